//! The operator's `sites` table.

use super::ConfigError;
use crate::core::SiteSettings;
use crate::settings::Settings;
use rowanglade_site_failover::FailoverConfig;
use serde::Deserialize;

/// The longest span, in milliseconds: far above any use, and well inside the range of times.
const MAX_SPAN_MS: u64 = 86_400_000;

/// When a site counts as lost, and how it comes back.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SitesTable {
    /// The zones that are sites; empty: all.
    names: Vec<String>,
    window_ms: u64,
    part: f64,
    hold_ms: u64,
    longest_hold_ms: u64,
    probe_every_ms: u64,
    slow_times: f64,
}

impl Default for SitesTable {
    fn default() -> SitesTable {
        SitesTable {
            names: Vec::new(),
            window_ms: 1_000,
            part: 0.75,
            hold_ms: 5_000,
            longest_hold_ms: 60_000,
            probe_every_ms: 500,
            slow_times: 3.0,
        }
    }
}

impl SitesTable {
    /// Checks the table.
    ///
    /// # Errors
    /// A value is out of range, a name is no zone of the settings, or the settings give targets no ramp.
    pub fn check(self, settings: &Settings) -> Result<SiteSettings, ConfigError> {
        self.check_spans()?;
        self.check_shares()?;
        self.check_names(settings)?;
        if settings.slow_start_duration() == 0 {
            let problem = "what returns has no ramp: settings.rules.warm-within is zero";
            return Err(ConfigError::new("sites", problem));
        }
        let (own_index, initiators) = settings.initiator_number_and_count();
        let rules = FailoverConfig {
            evidence_window: micros(self.window_ms),
            quorum: self.part,
            ejection_time: micros(self.hold_ms),
            max_ejection_time: micros(self.longest_hold_ms),
            probe_interval: micros(self.probe_every_ms),
            recovery_ramp: settings.slow_start_duration(),
            slow_factor: self.slow_times,
            own_index,
            initiators,
        };
        let names = self.names.into_iter().collect();
        Ok(SiteSettings { names, rules, max_retry_after: settings.max_retry_after() })
    }

    fn check_spans(&self) -> Result<(), ConfigError> {
        let spans = [
            ("window_ms", self.window_ms),
            ("hold_ms", self.hold_ms),
            ("longest_hold_ms", self.longest_hold_ms),
            ("probe_every_ms", self.probe_every_ms),
        ];
        match spans.iter().find(|(_, span)| !(1..=MAX_SPAN_MS).contains(span)) {
            Some((key, span)) => Err(error(key, format!("{span} is not from 1 to {MAX_SPAN_MS}"))),
            None => Ok(()),
        }
    }

    fn check_shares(&self) -> Result<(), ConfigError> {
        if !(self.part > 0.5 && self.part <= 1.0) {
            return Err(error("part", format!("{} is not over 0.5 and up to 1", self.part)));
        }
        if self.longest_hold_ms < self.hold_ms {
            let problem = format!("{} is under sites.hold_ms", self.longest_hold_ms);
            return Err(error("longest_hold_ms", problem));
        }
        if !(self.slow_times > 1.0 && self.slow_times.is_finite()) {
            return Err(error("slow_times", format!("{} is not over 1", self.slow_times)));
        }
        Ok(())
    }

    fn check_names(&self, settings: &Settings) -> Result<(), ConfigError> {
        match self.names.iter().enumerate().find(|(_, name)| !settings.zones().contains(name)) {
            Some((index, name)) => {
                let problem = format!("{name:?} is no zone of settings.azs");
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
