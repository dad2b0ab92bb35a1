//! How fast one instance may call, so that the calls of all instances together do not overload discovery.

use crate::{Delivery, MILLISECOND, Micros, SECOND};

/// From the moment that discovery can be reached, the list is heard within this time.
pub const HEARD_WITHIN: Micros = 6 * SECOND;
/// The longest time from one call to the next while discovery is not known to be overloaded. Within a cycle
/// after discovery can be reached, each instance makes one call that can be served; together with a wait in
/// its queue that has to stay under [`HEARD_WITHIN`].
pub const LONGEST_CYCLE: Micros = 5 * SECOND;
/// The same for a fleet of fewer than [`FEW`]: each call is a larger part of discovery's work there, so a
/// shorter cycle leaves time for it. The calls of one cycle may then wait for each other, for less than
/// discovery lets them.
const LONGEST_CYCLE_OF_FEW: Micros = 3_500 * MILLISECOND;
/// One alone has nobody to make room for.
const LONGEST_CYCLE_OF_ONE: Micros = SECOND;
const FEW: Micros = LONGEST_CYCLE / CYCLE_PER_INSTANCE;
/// The part of what a call took that a cycle has for each instance.
const WORK_PART: f64 = 0.7;
/// A call that took longer than what is known raises that by this part of the difference.
const WORK_RISE: f64 = 0.125;
const SHORTEST_CYCLE: Micros = 500 * MILLISECOND;
/// The part of a cycle that each instance adds while it is shorter than the longest.
const CYCLE_PER_INSTANCE: Micros = 125 * MILLISECOND;
/// Where a watch fell silent, a call to open it again gets another beside it after this long, since the news
/// that was missed is older by then; and later where many instances may stand in discovery's queue with such
/// calls.
const SHORTEST_HEDGE_AFTER_SILENCE: Micros = 500 * MILLISECOND;
const LONGEST_HEDGE_AFTER_SILENCE: Micros = 2_200 * MILLISECOND;
const HEDGE_PER_INSTANCE: Micros = 50 * MILLISECOND;
/// From a failure to the next call at least.
const SHORTEST_PAUSE: Micros = 50 * MILLISECOND;
/// After a reload, instances call within this time.
const LONGEST_SPREAD_AFTER_MOVE: Micros = SECOND;
/// After silence, when the watches of all instances may have fallen silent together.
const LONGEST_SPREAD_AFTER_SILENCE: Micros = 3 * SECOND;
/// After a refusal, from one call to the next at least: a call that is refused still costs discovery work.
const SHORTEST_CYCLE_AFTER_REFUSAL: Micros = 2 * SECOND;
/// Calls that have failed for this long mean a long outage, or an overload; instances then call less often
/// than once in [`LONGEST_CYCLE`], up to what the settings ask of discovery.
const LONG_OUTAGE: Micros = 12 * SECOND;
/// Where the settings do not say how often discovery bears to be asked.
const DEFAULT_ASK_WITHIN: Micros = 10 * SECOND;

/// The part of the grace on sends by an older list that may pass between two calls to an instance's own
/// agent.
const AGENT_PART: Micros = 4;
const SHORTEST_AGENT_PAUSE: Micros = 20 * MILLISECOND;
const LONGEST_AGENT_PAUSE: Micros = 500 * MILLISECOND;
/// A call to the agent is given up after so many pauses, and after this long at most.
const AGENT_TIMEOUT_PAUSES: Micros = 32;
const LONGEST_AGENT_TIMEOUT: Micros = 5 * SECOND;

/// The pace of one instance's calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    delivery: Delivery,
    instances: Micros,
    /// Since the last success.
    failures: u32,
    first_failure: Option<Micros>,
    /// Of them, those since the outage was found to be long.
    late_failures: u32,
    /// What a call takes that waits for nothing, as far as answers have shown; 0: none has.
    work: Micros,
}

impl Pace {
    pub fn new(delivery: Delivery, instances: u32) -> Pace {
        let instances = Micros::from(instances.max(1));
        Pace { delivery, instances, failures: 0, first_failure: None, late_failures: 0, work: 0 }
    }

    pub fn is_own_agent(&self) -> bool {
        matches!(self.delivery, Delivery::Pushed { .. })
    }

    pub fn succeeded(&mut self) {
        *self = Pace { failures: 0, first_failure: None, late_failures: 0, ..*self };
    }

    /// A call that did not wait for news was answered after so long, its time in discovery's queue included.
    pub fn answered_in(&mut self, took: Micros) {
        let known = self.work as f64;
        let took = took as f64;
        self.work =
            if self.work == 0 || took < known { took } else { known + WORK_RISE * (took - known) } as Micros;
    }

    /// What each instance adds to a cycle while that is shorter than the longest.
    fn per_instance(&self) -> Micros {
        CYCLE_PER_INSTANCE.max((WORK_PART * self.work as f64) as Micros)
    }

    fn longest_cycle(&self) -> Micros {
        match self.instances {
            1 => LONGEST_CYCLE_OF_ONE,
            instances if instances < FEW => LONGEST_CYCLE_OF_FEW,
            _ => LONGEST_CYCLE,
        }
    }

    pub fn failed(&mut self, now: Micros) {
        self.failures = self.failures.saturating_add(1);
        let since = *self.first_failure.get_or_insert(now);
        if now >= since + LONG_OUTAGE {
            self.late_failures = self.late_failures.saturating_add(1);
        }
    }

    /// Within which time instances that begin together make their first calls.
    pub fn spread(&self) -> Micros {
        if self.is_own_agent() { 0 } else { (self.per_instance() * self.instances).min(self.longest_cycle()) }
    }

    pub fn spread_after_move(&self) -> Micros {
        self.spread().min(LONGEST_SPREAD_AFTER_MOVE)
    }

    pub fn spread_after_silence(&self) -> Micros {
        self.spread().min(LONGEST_SPREAD_AFTER_SILENCE)
    }

    pub fn hedge_after_silence(&self) -> Micros {
        // Where calls are heavy, others of the fleet are in discovery's queue for as long as they take.
        let per_instance = HEDGE_PER_INSTANCE.max((WORK_PART * self.work as f64) as Micros);
        (per_instance * self.instances).clamp(SHORTEST_HEDGE_AFTER_SILENCE, LONGEST_HEDGE_AFTER_SILENCE)
    }

    /// When to call next, after a failure now of a call that began at `last`.
    pub fn next_call(&self, now: Micros, last: Micros, refused: bool) -> Micros {
        match self.agent_pause() {
            Some(pause) => now + pause,
            None => (last + self.cycle(refused)).max(now + SHORTEST_PAUSE),
        }
    }

    /// From one call to the next: doubled at each further failure up to the longest, and beyond that only in
    /// a long outage.
    fn cycle(&self, refused: bool) -> Micros {
        // A refused call was work for discovery, and all instances that ask it may have been refused.
        let (shortest, first) = match refused {
            true => (SHORTEST_CYCLE_AFTER_REFUSAL, 2 * self.per_instance() * self.instances),
            false => (SHORTEST_CYCLE, self.per_instance() * self.instances),
        };
        let doublings = self.failures.saturating_sub(1).min(8);
        let usual = (first.max(shortest) << doublings).min(self.longest_cycle());
        (usual << self.late_failures.min(8)).min(self.ask_within().max(LONGEST_CYCLE))
    }

    fn ask_within(&self) -> Micros {
        match self.delivery {
            Delivery::OnRequest { ask_within } if ask_within > 0 => ask_within,
            _ => DEFAULT_ASK_WITHIN,
        }
    }

    fn agent_pause(&self) -> Option<Micros> {
        match self.delivery {
            Delivery::Pushed { grace } => {
                Some((grace / AGENT_PART).clamp(SHORTEST_AGENT_PAUSE, LONGEST_AGENT_PAUSE))
            }
            Delivery::OnRequest { .. } => None,
        }
    }

    /// How long a call to an instance's own agent may go without an answer before another is made beside it:
    /// about the grace. An agent that is back answers the new call, and one that is slow the old one.
    pub fn hedge_after(&self) -> Option<Micros> {
        self.agent_pause().map(|pause| pause * AGENT_PART)
    }

    pub fn call_timeout(&self) -> Option<Micros> {
        self.agent_pause().map(|pause| (pause * AGENT_TIMEOUT_PAUSES).min(LONGEST_AGENT_TIMEOUT))
    }
}
