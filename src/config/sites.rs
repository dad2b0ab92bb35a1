//! The operator's `sites` table: when a site is ejected, and how it returns.

use super::ConfigError;
use crate::core::SiteSettings;
use crate::settings::Settings;
use rowanglade_site_failover::FailoverConfig;
use serde::Deserialize;

/// The longest time span that may be configured, in milliseconds: a day. Larger values are of no use, and the
/// limit keeps sums of times far from an overflow.
const MAX_SPAN_MS: u64 = 86_400_000;

/// When a site counts as lost, and how it returns.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SitesTable {
    /// The zones that are monitored as sites; empty: all zones.
    names: Vec<String>,
    #[serde(rename = "window_ms")]
    evidence_window_ms: u64,
    #[serde(rename = "part")]
    quorum: f64,
    #[serde(rename = "hold_ms")]
    ejection_time_ms: u64,
    #[serde(rename = "longest_hold_ms")]
    max_ejection_time_ms: u64,
    #[serde(rename = "probe_every_ms")]
    probe_interval_ms: u64,
    #[serde(rename = "slow_times")]
    slow_factor: f64,
}

impl Default for SitesTable {
    fn default() -> SitesTable {
        SitesTable {
            names: Vec::new(),
            evidence_window_ms: 1_000,
            quorum: 0.75,
            ejection_time_ms: 5_000,
            max_ejection_time_ms: 60_000,
            probe_interval_ms: 500,
            slow_factor: 3.0,
        }
    }
}

impl SitesTable {
    /// Checks the table against the settings, whose zones it refers to.
    ///
    /// # Errors
    /// A value is out of range, a name is not a zone of the settings, or the settings have no recovery ramp.
    pub fn check(self, settings: &Settings) -> Result<SiteSettings, ConfigError> {
        self.check_spans()?;
        self.check_shares()?;
        self.check_names(settings)?;
        if settings.slow_start_duration() == 0 {
            let problem = "returning targets need a recovery ramp, but settings.rules.warm-within is zero";
            return Err(ConfigError::new("sites", problem));
        }
        let (own_index, initiators) = settings.initiator_number_and_count();
        let rules = FailoverConfig {
            evidence_window: micros(self.evidence_window_ms),
            quorum: self.quorum,
            ejection_time: micros(self.ejection_time_ms),
            max_ejection_time: micros(self.max_ejection_time_ms),
            probe_interval: micros(self.probe_interval_ms),
            recovery_ramp: settings.slow_start_duration(),
            slow_factor: self.slow_factor,
            own_index,
            initiators,
        };
        let names = self.names.into_iter().collect();
        Ok(SiteSettings { names, rules, max_retry_after: settings.max_retry_after() })
    }

    fn check_spans(&self) -> Result<(), ConfigError> {
        let spans = [
            ("window_ms", self.evidence_window_ms),
            ("hold_ms", self.ejection_time_ms),
            ("longest_hold_ms", self.max_ejection_time_ms),
            ("probe_every_ms", self.probe_interval_ms),
        ];
        match spans.iter().find(|(_, span)| !(1..=MAX_SPAN_MS).contains(span)) {
            Some((key, span)) => Err(error(key, format!("{span} is not between 1 and {MAX_SPAN_MS}"))),
            None => Ok(()),
        }
    }

    fn check_shares(&self) -> Result<(), ConfigError> {
        if !(self.quorum > 0.5 && self.quorum <= 1.0) {
            return Err(error("part", format!("{} is not above 0.5 and at most 1", self.quorum)));
        }
        if self.max_ejection_time_ms < self.ejection_time_ms {
            let problem = format!("{} is below sites.hold_ms", self.max_ejection_time_ms);
            return Err(error("longest_hold_ms", problem));
        }
        if !(self.slow_factor > 1.0 && self.slow_factor.is_finite()) {
            return Err(error("slow_times", format!("{} is not a finite number above 1", self.slow_factor)));
        }
        Ok(())
    }

    fn check_names(&self, settings: &Settings) -> Result<(), ConfigError> {
        match self.names.iter().enumerate().find(|(_, name)| !settings.zones().contains(name)) {
            Some((index, name)) => {
                let problem = format!("{name:?} is not a zone of settings.azs");
                Err(error(&format!("names[{index}]"), problem))
            }
            None => Ok(()),
        }
    }
}

fn error(key: &str, problem: String) -> ConfigError {
    ConfigError::new(format!("sites.{key}"), problem)
}

fn micros(milliseconds: u64) -> u64 {
    milliseconds * 1_000
}
