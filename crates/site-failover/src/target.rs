//! What is known of one target: the evidence for and against its site.

use crate::Micros;

/// A probe without an outcome is given up after this long: another may be sent then.
const PROBE_TIMEOUT: Micros = 2_000_000;

/// What the endpoint list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes requests.
    Active,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub site: String,
    pub shard: u32,
    pub state: TargetState,
    /// When it was removed without a drain before.
    pub removed_undrained_at: Option<Micros>,
    pub responded_at: Option<Micros>,
    pub failed_at: Option<Micros>,
    /// When the probe that is in flight was sent.
    pub probed_at: Option<Micros>,
    /// When it returned with its site.
    pub returned_at: Option<Micros>,
}

impl Target {
    /// A target that has never been listed.
    pub fn new(site: &str, shard: u32) -> Target {
        Target {
            site: site.to_string(),
            shard,
            state: TargetState::Removed,
            removed_undrained_at: None,
            responded_at: None,
            failed_at: None,
            probed_at: None,
            returned_at: None,
        }
    }

    pub fn is_active(&self) -> bool {
        self.state == TargetState::Active
    }

    /// Takes over what the list says. A removal counts as evidence only where no drain came before.
    pub fn update_state(&mut self, now: Micros, state: TargetState) {
        if state != TargetState::Removed {
            self.removed_undrained_at = None;
        } else if self.is_active() {
            self.removed_undrained_at = Some(now);
        }
        self.state = state;
    }

    pub fn record_response(&mut self, now: Micros) {
        self.responded_at = Some(now);
        self.probed_at = None;
    }

    pub fn record_failure(&mut self, now: Micros) {
        self.failed_at = Some(now);
        self.probed_at = None;
    }

    /// Whether it has failed, or was removed undrained, within the window, without a response since.
    pub fn is_failing(&self, now: Micros, window: Micros) -> bool {
        let failed = is_within(self.failed_at, now, window) && self.failed_at > self.responded_at;
        failed || self.was_removed_undrained(now, window)
    }

    /// Whether it is one of the site's targets that a loss is judged by.
    pub fn counts_for_site(&self, now: Micros, window: Micros) -> bool {
        self.is_active() || self.was_removed_undrained(now, window)
    }

    fn was_removed_undrained(&self, now: Micros, window: Micros) -> bool {
        is_within(self.removed_undrained_at, now, window)
    }

    /// Whether an attempt or a probe has ended within the window.
    pub fn has_recent_outcome(&self, now: Micros, window: Micros) -> bool {
        is_within(self.responded_at, now, window) || is_within(self.failed_at, now, window)
    }

    /// Whether it has responded since `since`, and not failed after that.
    pub fn has_responded_since(&self, since: Micros) -> bool {
        self.responded_at.is_some_and(|at| at >= since) && self.responded_at >= self.failed_at
    }

    /// Whether a probe is in flight.
    pub fn is_being_probed(&self, now: Micros) -> bool {
        is_within(self.probed_at, now, PROBE_TIMEOUT)
    }
}

fn is_within(at: Option<Micros>, now: Micros, window: Micros) -> bool {
    at.is_some_and(|at| at + window > now)
}
