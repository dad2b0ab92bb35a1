//! The state machine of one site: up, lost, returning, up again.

use crate::latency::MeanLatency;
use crate::target::Target;
use crate::{Command, FailoverConfig, Micros, SiteChange};

/// Number of ejection times without a loss after which a site is stable: its next ejection time is the
/// initial one.
const STABLE_PERIODS_BEFORE_RESET: Micros = 10;
/// Minimum number of failing targets for a loss: a single target that fails does not mean that its site has
/// failed.
const MIN_FAILING_TARGETS: usize = 2;

/// The phase of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The site is used.
    Up,
    /// Nothing is sent to the site.
    Lost {
        /// When it was ejected.
        since: Micros,
        /// When its ejection time ends and probing begins.
        until: Micros,
    },
    /// The site's targets are warming up.
    Returning {
        /// When its recovery ramp began.
        since: Micros,
    },
}

/// The data that a review of a site needs besides the site itself.
pub(crate) struct Review<'a> {
    pub now: Micros,
    pub config: FailoverConfig,
    pub site: &'a str,
    /// The site's targets with their names, in the order of the names.
    pub targets: Vec<(&'a String, &'a mut Target)>,
    pub commands: &'a mut Vec<Command>,
}

impl Review<'_> {
    fn count(&self, matches: impl Fn(&Target) -> bool) -> usize {
        self.targets.iter().filter(|(_, target)| matches(target)).count()
    }

    /// Number of targets that are considered when a loss is judged.
    fn count_relevant_targets(&self) -> usize {
        self.count(|target| target.counts_for_site(self.now, self.config.evidence_window))
    }

    fn count_failing_targets(&self) -> usize {
        self.count(|target| target.is_failing(self.now, self.config.evidence_window))
    }

    fn is_lost(&self) -> bool {
        let relevant = self.count_relevant_targets();
        let quorum = self.config.quorum_size(relevant).max(MIN_FAILING_TARGETS);
        relevant >= MIN_FAILING_TARGETS && self.count_failing_targets() >= quorum
    }

    fn report(&mut self, change: SiteChange) {
        self.commands.push(Command::SiteChanged { site: self.site.to_string(), change });
    }

    /// Once half of the site's targets fail, probes those without a recent outcome: the absence of attempts
    /// is no evidence.
    fn probe_silent_targets(&mut self) {
        let relevant = self.count_relevant_targets();
        if relevant < MIN_FAILING_TARGETS || 2 * self.count_failing_targets() < relevant {
            return;
        }
        for (name, target) in &mut self.targets {
            let is_silent = !target.has_recent_outcome(self.now, self.config.evidence_window);
            if is_silent && target.is_active() && !target.is_being_probed(self.now) {
                target.probed_at = Some(self.now);
                self.commands.push(Command::Probe((*name).clone()));
            }
        }
    }

    /// Probes one of the targets that have not responded since `since`, selected by `turn`.
    fn probe_next_target(&mut self, since: Micros, turn: usize) {
        let now = self.now;
        let mut candidates: Vec<_> = self
            .targets
            .iter_mut()
            .filter(|(_, target)| {
                let is_due = !target.has_responded_since(since) && !target.is_being_probed(now);
                target.is_active() && is_due
            })
            .collect();
        if candidates.is_empty() {
            return;
        }
        let index = turn % candidates.len();
        let (name, target) = &mut candidates[index];
        target.probed_at = Some(now);
        self.commands.push(Command::Probe((*name).clone()));
    }

    /// Makes the site's targets count as started now.
    fn restart_targets(&mut self) {
        for (_, target) in &mut self.targets {
            target.returned_at = Some(self.now);
        }
    }

    /// Discards failures from before the return, which are no evidence of another loss.
    fn clear_failures(&mut self) {
        for (_, target) in &mut self.targets {
            target.failed_at = None;
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub phase: Phase,
    /// Duration of the next ejection.
    ejection_time: Micros,
    ejected_at: Micros,
    next_probe_at: Micros,
    probe_turn: usize,
    usual_latency: MeanLatency,
    returning_latency: MeanLatency,
}

impl Site {
    pub fn new(ejection_time: Micros) -> Site {
        Site {
            phase: Phase::Up,
            ejection_time,
            ejected_at: 0,
            next_probe_at: 0,
            probe_turn: 0,
            usual_latency: MeanLatency::default(),
            returning_latency: MeanLatency::default(),
        }
    }

    /// Records the latency of a request that a target of the site has served.
    pub fn record_latency(&mut self, latency: Micros) {
        match self.phase {
            Phase::Up => self.usual_latency.add(latency),
            Phase::Returning { .. } => self.returning_latency.add(latency),
            Phase::Lost { .. } => {}
        }
    }

    /// Changes the phase if the evidence requires it, and sends the probes that are due.
    pub fn poll(&mut self, review: &mut Review<'_>) {
        match self.phase {
            Phase::Up | Phase::Returning { .. } if review.is_lost() => self.eject(review),
            Phase::Up => review.probe_silent_targets(),
            Phase::Returning { since } => {
                review.probe_silent_targets();
                self.continue_ramp(since, review);
            }
            Phase::Lost { until, .. } if review.now >= until => self.return_or_probe(until, review),
            Phase::Lost { .. } => {}
        }
    }

    fn eject(&mut self, review: &mut Review<'_>) {
        let Review { now, config, .. } = *review;
        if now > self.ejected_at + STABLE_PERIODS_BEFORE_RESET * self.ejection_time {
            self.ejection_time = config.ejection_time;
        }
        let ejection_time = self.ejection_time;
        self.phase = Phase::Lost { since: now, until: now + ejection_time };
        self.ejected_at = now;
        self.ejection_time = (2 * ejection_time).min(config.max_ejection_time).max(config.ejection_time);
        // Each initiator starts at its own turn, so that all of them together send one probe per interval.
        let turn = u64::from(config.own_index);
        self.next_probe_at = now + ejection_time + config.probe_interval * turn;
        let (failing, targets) = (review.count_failing_targets(), review.count_relevant_targets());
        review.report(SiteChange::Lost { failing, targets, ejection_time });
    }

    fn continue_ramp(&mut self, since: Micros, review: &mut Review<'_>) {
        let Review { now, config, .. } = *review;
        let slower = self.returning_latency.percent_if_slower(&self.usual_latency, config.slow_factor);
        if let Some(latency_percent) = slower {
            self.begin_ramp(review);
            review.report(SiteChange::RampRestarted { latency_percent });
        } else if now >= since + config.recovery_ramp {
            self.phase = Phase::Up;
            review.report(SiteChange::Recovered);
        }
    }

    fn begin_ramp(&mut self, review: &mut Review<'_>) {
        self.phase = Phase::Returning { since: review.now };
        self.returning_latency = MeanLatency::default();
        review.restart_targets();
    }

    /// Returns the site to service once most of its targets have responded since `until`, the end of its
    /// ejection time; probes them otherwise.
    fn return_or_probe(&mut self, until: Micros, review: &mut Review<'_>) {
        let targets = review.count(Target::is_active);
        let responding = review.count(|target| target.is_active() && target.has_responded_since(until));
        if targets == 0 {
            return;
        }
        if responding >= review.config.quorum_size(targets) {
            self.begin_ramp(review);
            review.clear_failures();
            review.report(SiteChange::Returning { responding, targets });
        } else if review.now >= self.next_probe_at {
            review.probe_next_target(until, self.probe_turn);
            self.probe_turn = self.probe_turn.wrapping_add(1);
            self.next_probe_at = review.now + next_probe_after(&review.config, responding);
        }
    }
}

/// Initiators take turns while no target responds. The first response shows that probing the other targets is
/// worthwhile, and this initiator then sends a probe in every interval.
fn next_probe_after(config: &FailoverConfig, responding: usize) -> Micros {
    let turns = if responding > 0 { 1 } else { u64::from(config.initiators.max(1)) };
    config.probe_interval * turns
}
