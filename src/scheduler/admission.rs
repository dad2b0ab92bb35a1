//! Admission control of arriving requests. A request that is not admitted is answered at once.

use super::Scheduler;
use super::request::RequestState;
use crate::interface::{Action, Micros, RequestId, RequestProfile, ShardId, TargetId};

/// A request beyond its volume's fair share is admitted only if it is predicted to complete within this
/// fraction of its objective, so that it is rejected before requests within their share are.
const EXCESS_OBJECTIVE_FRACTION: f64 = 0.5;
/// The longest time that a background request waits in the queue, as a fraction of the time to its client's
/// deadline. A waiting request occupies one of its client's connections, which the client's other requests
/// then lack. docs/results.md compares fractions from 0.08 to 0.95.
const BACKGROUND_QUEUE_TIMEOUT_FRACTION: f64 = 0.08;

/// The decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// The request waits in the queue of its shard, or for a shard.
    Admitted,
    Rejected,
}

/// An arriving request and the target that would serve it.
struct Candidate {
    id: RequestId,
    shard: ShardId,
    target: TargetId,
    /// The position in the shard's queue at which the request would be inserted.
    position: usize,
    is_within_fair_share: bool,
}

/// The predicted completion of an arriving request.
struct Prediction {
    /// Units that the target has to serve until then: those in flight, those queued ahead of the request, and
    /// its own.
    units: f64,
    completes_at: Micros,
}

impl Scheduler {
    /// Handles an arriving request: answers it at once, or admits it and dispatches it if the rules allow
    /// that now.
    pub(super) fn request_arrived(
        &mut self,
        now: Micros,
        profile: RequestProfile,
        actions: &mut Vec<Action>,
    ) {
        let id = profile.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if let Some(budget) = &self.settings.rules.retry_budget {
            self.retry_budget.record_arrival(now, budget);
        }
        let class = profile.class.map(|class| class.0 as usize);
        let Some(class) = class.filter(|class| *class < self.settings.classes.len()) else {
            actions.push(Action::Fail { id });
            return;
        };
        let request = self.new_request(now, class, &profile);
        self.prepare_quota(now, &request, actions);
        if let (true, Some(key)) = (self.settings.classes[class].ordered_by_key, request.key) {
            self.key_order.push(key, id);
        }
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
        match self.admit(now, id) {
            Admission::Rejected => self.reject_or_fail(now, id, actions),
            Admission::Admitted => {
                if let Some(shard) = self.requests[&id].shard {
                    self.dispatch_ready(now, shard, actions);
                }
            }
        }
    }

    /// Creates the state of an arriving request. A size that is not a positive finite number is replaced by
    /// the mean size.
    fn new_request(&self, now: Micros, class: usize, profile: &RequestProfile) -> RequestState {
        let settings = &self.settings;
        let RequestProfile { deadline, units, .. } = *profile;
        let deadline = self.deadline_before_shutdown(deadline);
        let is_size = units.is_finite() && units > 0.0;
        let objective_at = (now + settings.classes[class].latency_objective).min(deadline);
        let initiators =
            if profile.initiators == 0 { settings.initiators.max(1) } else { profile.initiators };
        RequestState {
            class,
            volume: profile.volume,
            plan: profile.plan.filter(|plan| (plan.0 as usize) < settings.plans.len()),
            key: profile.key,
            units: if is_size { units } else { settings.mean_request_units },
            shard_is_given: profile.shard.is_some(),
            shard: profile.shard,
            objective_at,
            virtual_deadline: objective_at,
            queue_timeout_at: self.queue_timeout_at(now, class, deadline),
            deadline,
            target_set: profile.target_set,
            initiators: f64::from(initiators),
            ..RequestState::default()
        }
    }

    /// When an arriving request expires if it has had no attempt. A request expires at its objective, since
    /// it is late from then on; a background request after a fraction of the time to its deadline; a request
    /// of a class that is ordered by key at its deadline, since it has to wait for its key's turn.
    fn queue_timeout_at(&self, now: Micros, class: usize, deadline: Micros) -> Micros {
        let settings = &self.settings.classes[class];
        if settings.ordered_by_key {
            return deadline;
        }
        let timeout = if self.objectives.is_background(class) {
            (deadline.saturating_sub(now) as f64 * BACKGROUND_QUEUE_TIMEOUT_FRACTION) as Micros
        } else {
            settings.latency_objective
        };
        (now + timeout).min(deadline)
    }

    /// Decides whether an arriving request is admitted, and queues it if so. The request is rejected if
    ///
    /// - this process ends before it could pass on the response (shutdown.rs),
    /// - the limit of its volume does not provide its units before its deadline,
    /// - no target of its target set is active, or none that holds its data is,
    /// - it is predicted to miss its objective, or [`EXCESS_OBJECTIVE_FRACTION`] of it if it is beyond its
    ///   volume's fair share,
    /// - or it would make a queued request miss that request's objective.
    ///
    /// The predictions do not reject background requests: one that is predicted late is deferred.
    ///
    /// Guards against queues in which every request waits until it is late: a rejected client is answered at
    /// once, and can retry elsewhere.
    fn admit(&mut self, now: Micros, id: RequestId) -> Admission {
        if self.is_too_late_to_respond(now) {
            return Admission::Rejected;
        }
        self.choose_shard(now, id);
        let request = &self.requests[&id];
        if self.quota_fills_too_late(now, request) || !self.set_has_active_target(request.target_set) {
            return Admission::Rejected;
        }
        let (target_set, virtual_deadline) = (request.target_set, request.virtual_deadline);
        let Some(shard) = request.shard else {
            self.queues.add_unplaced(id);
            return Admission::Admitted;
        };
        let target = self.serving_target(shard, target_set);
        if target.is_none() && target_set.is_some() {
            return Admission::Rejected;
        }
        let is_within_fair_share = self.record_demand_within_share(now, id, shard);
        let position = self.queue_position(shard, virtual_deadline);
        let Some(target) = target else {
            self.insert_into_queue(shard, id, position);
            return Admission::Admitted;
        };
        let candidate = Candidate { id, shard, target, position, is_within_fair_share };
        self.admit_candidate(now, &candidate)
    }

    /// Predicts when an arriving request completes: the units in flight, those queued ahead of it and its
    /// own, divided by the target's speed, plus the target's latency, counted from when slow start admits the
    /// request. Queued requests that have missed their objective are left out, since they are dispatched
    /// after it.
    fn predict(&self, now: Micros, candidate: &Candidate) -> Prediction {
        let Candidate { id, shard, target, position, .. } = *candidate;
        let request = &self.requests[&id];
        let ahead = self.queues.requests(shard)[..position].iter().map(|ahead| &self.requests[ahead]);
        let units_ahead: f64 = ahead.filter(|ahead| ahead.objective_at >= now).map(|ahead| ahead.units).sum();
        let units = self.targets[&target].units_in_flight + units_ahead + request.units;
        let admits_at = self.slow_start_admits_at(now, target, request, units_ahead);
        let serving_time = self.predicted_time(now, target, request.class, units);
        Prediction { units, completes_at: admits_at + serving_time }
    }

    /// Decides on an arriving request by its predicted completion, and queues it if it is admitted.
    fn admit_candidate(&mut self, now: Micros, candidate: &Candidate) -> Admission {
        let Candidate { id, shard, .. } = *candidate;
        let request = &self.requests[&id];
        let (class, units) = (request.class, request.units);
        let prediction = self.predict(now, candidate);
        if self.ends_before(prediction.completes_at) {
            return Admission::Rejected;
        }
        let is_late = prediction.completes_at > self.latest_completion(now, request, candidate);
        if self.objectives.is_background(class) {
            let position = if is_late { self.defer_background(now, candidate) } else { candidate.position };
            self.insert_into_queue(shard, id, position);
            return Admission::Admitted;
        }
        if is_late && candidate.is_within_fair_share {
            self.fair_share.level_mut(shard).lower(now, units);
        }
        if is_late || self.makes_others_late(now, candidate, &prediction) {
            return Admission::Rejected;
        }
        self.insert_into_queue(shard, id, candidate.position);
        Admission::Admitted
    }

    /// The latest predicted completion at which an arriving request is admitted: its objective, or a fraction
    /// of the time to it if the request is beyond its volume's fair share.
    fn latest_completion(&self, now: Micros, request: &RequestState, candidate: &Candidate) -> Micros {
        if candidate.is_within_fair_share {
            return request.virtual_deadline;
        }
        let objective = request.virtual_deadline.saturating_sub(now) as f64;
        now + (objective * EXCESS_OBJECTIVE_FRACTION) as Micros
    }

    /// Defers a background request that is predicted late to its client's deadline, and returns its new
    /// position in the queue. A request beyond its volume's fair share also counts as having missed its
    /// objective.
    fn defer_background(&mut self, now: Micros, candidate: &Candidate) -> usize {
        let deadline = self.requests[&candidate.id].deadline;
        self.requests.entry(candidate.id).and_modify(|request| {
            request.virtual_deadline = deadline;
            if !candidate.is_within_fair_share {
                request.objective_at = now;
            }
        });
        self.queue_position(candidate.shard, deadline)
    }

    /// Whether a queued request behind the arriving one is predicted in time without the arriving one, and
    /// late with it. Queued background requests are not considered.
    fn makes_others_late(&self, now: Micros, candidate: &Candidate, prediction: &Prediction) -> bool {
        let own_units = self.requests[&candidate.id].units;
        let mut units = prediction.units;
        for queued in &self.queues.requests(candidate.shard)[candidate.position..] {
            let queued = &self.requests[queued];
            let complete_at = |units| now + self.predicted_time(now, candidate.target, queued.class, units);
            let units_with_queued = units + queued.units;
            let is_in_time_without = complete_at(units_with_queued - own_units) <= queued.virtual_deadline;
            let is_late_with = complete_at(units_with_queued) > queued.virtual_deadline;
            if !self.objectives.is_background(queued.class) && is_in_time_without && is_late_with {
                return true;
            }
            units = units_with_queued;
        }
        false
    }
}
