//! What the end of an attempt tells, and what follows for its request.

use super::*;

/// Weight of a new answer in the learned latency and speed.
const SMOOTHING: f64 = 0.1;
/// The weight of an answer of a target that was never heard.
const FRESH: f64 = 0.5;
/// The part of answers that should come within their prediction, and how fast the margin learns it.
const KEPT: f64 = 0.6;
const MARGIN_STEP: f64 = 0.05;
/// A latency beyond this multiple of the learned one counts as this multiple.
const CREDIBLE: f64 = 3.0;
/// A target that turned a request away or could not be reached rests this long, doubled at each further one.
const REST: Micros = 20_000;
const LONGEST_REST: Micros = 640_000;
/// An attempt is lost once this many later ones have answers and it waited for this multiple of its due.
const OVERTAKEN: usize = 4;
const LOST_AFTER: f64 = 4.0;

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub outcome: Outcome,
    pub took: Micros,
    /// The request is over.
    pub over: bool,
}

/// What is learned from an attempt's end.
struct Sample {
    class: usize,
    units: f64,
    took: Micros,
    predicted: f64,
    /// How long its client would have waited for it.
    patience: Micros,
    /// It was called off, since its answer did not come.
    lost: bool,
}

impl Scheduler {
    /// What an answer tells of the volume's use.
    pub(super) fn use_told(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        used: Option<f64>,
        elsewhere: f64,
    ) {
        let Some(h) = self.requests.get(&id) else { return };
        let Some(v) = self.volumes.get_mut(&h.volume) else { return };
        if let (Some(used), Some(plan)) = (used, h.plan) {
            v.meter = Some((now, used * self.settings.plans[plan.0 as usize].nominal));
        }
        if outcome == Outcome::Served {
            v.served.add(now, h.units);
        }
        if let Some(p) = h.shard.and_then(|s| v.parts.get_mut(&s)) {
            p.elsewhere.add(now, if elsewhere.is_finite() { elsewhere.max(0.0) } else { 0.0 });
        }
    }

    /// An attempt has ended: its target has room again, its time is learned from, and its request goes on or
    /// ends.
    pub(super) fn outcome(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, outcome, over, .. } = end;
        let Some(h) = self.requests.get_mut(&id) else { return };
        let Some(t) = h.tries.get_mut(attempt.0 as usize).filter(|t| t.ran == Ran::Out) else { return };
        t.ran = if outcome.proves_not_executed() { Ran::Never } else { Ran::Maybe };
        let (target, sent, units) = (t.target, t.sent, h.units);
        let sample = Sample {
            class: h.class,
            units,
            took: end.took,
            predicted: t.predicted,
            patience: h.deadline.saturating_sub(sent),
            lost: t.lost,
        };
        let key = h.key.filter(|_| self.settings.classes[h.class].ordered_by_key);
        let may_run_on = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled);
        if let (true, Some(queue)) = (may_run_on, key.and_then(|k| self.key_queues.get_mut(&k))) {
            queue.rests_until = queue.rests_until.max(now + self.settings.rules.key_quiet_period);
        }
        let shard = h.shard;
        let left = !matches!(outcome, Outcome::NotSent | Outcome::Unreachable);
        self.settle_cold(now, target, id, left);
        if self.targets.contains(&target) {
            self.targets.free_room(target, (sent, id, attempt.0), units);
            self.note_answer(now, target, sent, outcome);
            self.learn(now, target, outcome, sample);
            self.rest_after(now, target, outcome);
        }
        if over || outcome == Outcome::Served {
            self.end(now, id);
        } else {
            self.go_on(now, id, target, outcome, actions);
        }
        self.drop_if_done(now, id);
        if let Some(shard) = shard {
            self.pump(now, shard, actions);
        }
    }

    /// A request whose attempt failed waits for another, or has its answer.
    fn go_on(
        &mut self,
        now: Micros,
        id: RequestId,
        target: TargetId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let h = &self.requests[&id];
        if h.over || h.started || h.waiting {
            return;
        }
        let spent = h.tries.len() as u32 >= self.settings.rules.max_attempts || outcome.is_late();
        let out_of_time = now + ANSWER_EARLY >= h.deadline;
        if spent || out_of_time || !self.may_repeat(now, h, target) {
            self.answer(now, id, actions);
        } else {
            self.hold(now, id, false);
        }
    }

    /// When a target answered, and which of its attempts.
    fn note_answer(&mut self, now: Micros, target: TargetId, sent: Micros, outcome: Outcome) {
        let Some(n) = self.targets.get_mut(&target) else { return };
        if !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent) {
            n.answered = now;
        }
        if matches!(outcome, Outcome::Served | Outcome::Error) {
            n.answers.push_back(sent);
            n.answers.drain(..n.answers.len().saturating_sub(OVERTAKEN));
        }
    }

    /// Learns the margin of a class, and the latency and speed of a target and of all.
    fn learn(&mut self, now: Micros, target: TargetId, outcome: Outcome, sample: Sample) {
        let Sample { class, units, took, predicted, patience, lost } = sample;
        let own = self.known(now, self.targets[&target].heard);
        let (known_speed, known_latency) = self.learned(now, target);
        let fade = self.known(now, self.overall.heard);
        // The closed form errs with others' load and parallel work: each class's margin follows.
        if matches!(outcome, Outcome::Served | Outcome::TimedOut) && predicted > 0.0 {
            let short = took as f64 > predicted * self.margins[class];
            let step = if short { 1.0 + MARGIN_STEP * KEPT } else { 1.0 - MARGIN_STEP * (1.0 - KEPT) };
            self.margins[class] = (self.margins[class] * step).clamp(0.25, 4.0);
        }
        // No answer took at least that long, a full target all of the time: a jam is not forgotten.
        let latency = match outcome {
            // A connection that fell silent says nothing of the target.
            _ if lost => return,
            Outcome::Served => took.max(1) as f64,
            Outcome::TimedOut | Outcome::Cancelled => (took as f64).max(known_latency),
            Outcome::QueueFull => (patience as f64).max(known_latency),
            _ => return,
        };
        let speed = units / latency * 1e6;
        let first = self.overall.heard.is_none();
        // One late answer of a target that has recovered must not shut it out.
        let latency = if first { latency } else { latency.min(CREDIBLE * known_latency) };
        let weight = |known: f64| if first { 1.0 } else { FRESH + (SMOOTHING - FRESH) * known };
        if let Some(n) = self.targets.get_mut(&target) {
            n.latency = known_latency + weight(own) * (latency - known_latency);
            n.speed = known_speed + weight(own) * (speed - known_speed);
        }
        self.targets.heard(target, Some(now));
        self.overall.latency += weight(fade) * (latency - self.overall.latency);
        self.overall.speed += weight(fade) * (speed - self.overall.speed);
        self.overall.heard = Some(now);
    }

    /// A target that turned a request away or could not be reached rests for a while.
    fn rest_after(&mut self, now: Micros, target: TargetId, outcome: Outcome) {
        let Some(n) = self.targets.get_mut(&target) else { return };
        if outcome == Outcome::Served {
            n.failing = 0;
        } else if matches!(outcome, Outcome::QueueFull | Outcome::Unreachable) && now >= n.rest_until {
            // Several sent at once and turned away together count once.
            n.rest_until = now + (REST << n.failing.min(16)).min(LONGEST_REST);
            n.failing += 1;
        }
    }

    /// Calls off attempts that the target's answers to later ones have overtaken: silent connections would
    /// hold their units until the deadline. One alone waits longer. It hurts where work varies by
    /// `LOST_AFTER`.
    pub(super) fn call_off_lost(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        for (target, n) in self.targets.busy().filter(|_| self.settings.may_cancel) {
            let (latency, known) = (self.learned(now, target).1, self.known(now, n.heard));
            for (sent, id, i) in n.out.keys() {
                let Some(t) = self.requests.get(id).and_then(|h| h.tries.get(*i as usize)) else { continue };
                let (waited, patience) = ((now - sent) as f64, LOST_AFTER * latency.max(t.predicted));
                let alone = (2.0 * patience).max(AIM_PART * self.tightest as f64 / known);
                let overtaken = n.answers.iter().filter(|s| *s > sent).count() >= OVERTAKEN;
                if !t.lost && (overtaken && waited > patience || n.out.len() == 1 && waited > alone) {
                    lost.push((*id, *i));
                }
            }
        }
        for (id, i) in lost {
            self.requests.entry(id).and_modify(|h| h.tries[i as usize].lost = true);
            actions.push(Action::CancelAttempt { id, attempt: AttemptNumber(i) });
        }
    }
}
