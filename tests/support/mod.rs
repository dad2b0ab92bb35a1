//! Shared by the integration tests: settings, requests and a harness that drives a scheduler one event at a
//! time on a simulated clock.
#![allow(dead_code)]

use rowanglade::interface::*;
use rowanglade::scheduler::Scheduler;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
pub const READ: u32 = 0;
pub const KEYED: u32 = 1;
pub const BACKGROUND: u32 = 2;
pub const NON_IDEMPOTENT: u32 = 3;
pub const ORDERED: u32 = 4;

fn class(objective: Micros, deadline: Micros, repeat: Idempotency, write: bool) -> RequestClass {
    RequestClass {
        latency_objective: objective,
        deadline,
        idempotency: repeat,
        ordered_by_key: false,
        write,
        priority_weight: 1.0,
        late_weight: 0.1,
    }
}

pub fn settings() -> Settings {
    let keyed = Idempotency::KeyedWithin { scope: DeduplicationScope::Shard, window: 2 * SECOND };
    let mut ordered = class(100 * MS, SECOND, Idempotency::Idempotent, false);
    ordered.ordered_by_key = true;
    Settings {
        initiators: 2,
        classes: vec![
            class(100 * MS, SECOND, Idempotency::Idempotent, false),
            class(200 * MS, SECOND, keyed, true),
            class(600 * MS, 2 * SECOND, Idempotency::Idempotent, false),
            class(200 * MS, SECOND, Idempotency::NonIdempotent, true),
            ordered,
        ],
        plans: vec![
            QosPlan { nominal: 10.0, reserve: 0.0, weight: 1.0, price: 1.0, limit: None },
            QosPlan {
                nominal: 10.0,
                reserve: 0.0,
                weight: 1.0,
                price: 1.0,
                limit: Some(RateLimit { rate: 10.0, burst: 20.0, debt_limit: 2.0 }),
            },
        ],
        rules: RuleBounds {
            drain_grace: SECOND,
            slow_start_capacity: 0.25,
            slow_start_duration: 10 * SECOND,
            slow_start_units: 16.0,
            overload_window: SECOND,
            overload_multiple: 3.0,
            retry_budget: None,
            key_quiet_period: 300 * MS,
            max_attempts: 3,
        },
        mean_request_units: 2.0,
        weight_within_share: 0.4,
        weight_beyond_share: 0.1,
        may_cancel: true,
        ..Settings::default()
    }
}

pub fn entry(target: u32, shard: u32) -> EndpointEntry {
    EndpointEntry {
        target: TargetId(target),
        shard: ShardId(shard),
        zone: ZoneId(0),
        state: TargetState::Active,
        started: None,
    }
}

pub fn request(id: u64, class: u32) -> RequestProfile {
    RequestProfile {
        id: RequestId(id),
        class: Some(ClassId(class)),
        plan: Some(PlanId(0)),
        volume: VolumeId(1),
        key: Some(KeyId(id)),
        units: 2.0,
        shard: Some(ShardId(0)),
        initiators: 1,
        deadline: 0,
        target_set: None,
    }
}

pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Micros,
    /// Pending timers as (due time, token).
    timers: Vec<(Micros, u64)>,
    settings: Settings,
    /// Whether the test itself reports when an attempt arrives at its target. If false, every attempt arrives
    /// as soon as it starts.
    pub manual_arrivals: bool,
}

impl Harness {
    /// Starts with `entries` as the cached endpoint list, one target per entry, and seed 1.
    pub fn new(settings: Settings, entries: &[EndpointEntry]) -> Harness {
        Harness::with_seed(settings, entries, 1)
    }

    pub fn with_seed(settings: Settings, entries: &[EndpointEntry], seed: u64) -> Harness {
        let mut harness = Harness::without_endpoints(settings, seed);
        harness.endpoints_changed(EndpointUpdateKind::Cached, entries);
        harness
    }

    /// Starts without any endpoint list, not even a cached one.
    pub fn without_endpoints(settings: Settings, seed: u64) -> Harness {
        let scheduler = Scheduler::new(settings.clone(), seed).expect("the settings are valid");
        Harness { scheduler, now: 100 * SECOND, timers: Vec::new(), settings, manual_arrivals: false }
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { token, after } => self.timers.push((self.now + after, *token)),
                Action::StartAttempt { id, .. } if !self.manual_arrivals => {
                    self.scheduler.commit_reserved(self.now, *id)
                }
                _ => {}
            }
        }
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    pub fn endpoints_changed(&mut self, kind: EndpointUpdateKind, entries: &[EndpointEntry]) -> Vec<Action> {
        self.event(Event::EndpointsChanged { kind, entries: entries.to_vec() })
    }

    /// Delivers a request. A request whose deadline is 0 gets the deadline of its class, counted from now.
    pub fn arrive(&mut self, mut request: RequestProfile) -> Vec<Action> {
        if request.deadline == 0 {
            let class = request.class.map_or(0, |c| c.0 as usize);
            request.deadline = self.now + self.settings.classes[class].deadline;
        }
        self.event(Event::RequestArrived(request))
    }

    pub fn attempt_ended(
        &mut self,
        id: u64,
        attempt: u32,
        target: u32,
        outcome: Outcome,
        took: Micros,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded {
            id: RequestId(id),
            attempt: AttemptNumber(attempt),
            target: TargetId(target),
            outcome,
            elapsed: took,
            request_over: outcome == Outcome::Served,
            used_fraction: None,
            units_elsewhere: 0.0,
            load: LoadReport::default(),
        })
    }

    pub fn served(&mut self, id: u64, took: Micros) -> Vec<Action> {
        self.attempt_ended(id, 0, 0, Outcome::Served, took)
    }

    /// Advances the clock by `span` and fires every timer that comes due, in order of time. Returns the
    /// actions of all of them.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).min().filter(|at| *at <= until) {
            let place = self.timers.iter().position(|t| t.0 == at).expect("the timer is pending");
            let (_, token) = self.timers.remove(place);
            self.now = self.now.max(at);
            actions.extend(self.event(Event::TimerFired { token }));
        }
        self.now = until;
        actions
    }
}

pub fn started_requests(actions: &[Action]) -> Vec<u64> {
    let send = |a: &Action| match a {
        Action::StartAttempt { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// A final response that the initiator itself gives to a request, rather than a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Nothing was executed: the client may retry.
    Rejected,
    /// The request may or may not have been executed.
    Failed,
}

pub fn final_responses(actions: &[Action]) -> Vec<(u64, FinalResponse)> {
    let response = |action: &Action| match action {
        Action::Reject { id, .. } => Some((id.0, FinalResponse::Rejected)),
        Action::Fail { id } => Some((id.0, FinalResponse::Failed)),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}
