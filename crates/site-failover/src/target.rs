//! The evidence that one target gives for or against its site.

use crate::Micros;

/// A probe without an outcome is abandoned after this long, and another may be sent.
const PROBE_TIMEOUT: Micros = 2_000_000;

/// The state of a target in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts requests.
    Active,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target is no longer listed.
    Removed,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub site: String,
    pub shard: u32,
    pub state: TargetState,
    /// When the target was removed without having drained first.
    pub removed_undrained_at: Option<Micros>,
    pub responded_at: Option<Micros>,
    pub failed_at: Option<Micros>,
    /// When the probe in flight was sent.
    pub probed_at: Option<Micros>,
    /// When the target last returned with its site.
    pub returned_at: Option<Micros>,
}

impl Target {
    /// Creates a target that has not been listed yet.
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

    /// Updates the state from the endpoint list. A removal counts as evidence only if the target was not
    /// draining.
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

    /// Whether the target has failed, or was removed undrained, within the window, without a response since.
    pub fn is_failing(&self, now: Micros, window: Micros) -> bool {
        let failed = is_within(self.failed_at, now, window) && self.failed_at > self.responded_at;
        failed || self.was_removed_undrained(now, window)
    }

    /// Whether the target is considered when a loss of its site is judged.
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

    /// Whether the target has responded since `since`, and has not failed after that.
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
