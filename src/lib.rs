//! An I/O initiator: the scheduler decides when each client request goes to which storage target, the core
//! actor owns the scheduler, and the fronts and targets do the network I/O.
//!
//! The scheduler is a state machine without I/O: it is created from the settings and a seed, is given each
//! event together with the time at which it happened, and returns actions. Schedulers share no state. The
//! same settings, seed and events always produce the same actions.
//!
//! ```
//! use rowanglade::interface::*;
//! use rowanglade::scheduler::Scheduler;
//!
//! let settings = Settings {
//!     initiators: 1,
//!     classes: vec![RequestClass {
//!         latency_objective: 100_000,
//!         deadline: 1_000_000,
//!         idempotency: Idempotency::Idempotent,
//!         ordered_by_key: false,
//!         write: false,
//!         priority_weight: 1.0,
//!         late_weight: 0.1,
//!     }],
//!     plans: vec![QosPlan { nominal: 10.0, reserve: 5.0, weight: 1.0, price: 1.0, limit: None }],
//!     rules: RuleBounds {
//!         drain_grace: 1_000_000,
//!         slow_start_capacity: 0.2,
//!         slow_start_duration: 10_000_000,
//!         slow_start_units: 30.0,
//!         overload_window: 1_000_000,
//!         overload_multiple: 3.0,
//!         retry_budget: None,
//!         key_quiet_period: 0,
//!         max_attempts: 3,
//!     },
//!     mean_request_units: 2.0,
//!     weight_within_share: 0.4,
//!     weight_beyond_share: 0.1,
//!     meter_period: 0,
//!     reports_usage_elsewhere: false,
//!     may_probe: false,
//!     may_cancel: true,
//!     may_hedge: false,
//!     max_retry_after: 0,
//! };
//! let mut scheduler = Scheduler::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! let entry = EndpointEntry {
//!     target: TargetId(0),
//!     shard: ShardId(0),
//!     zone: ZoneId(0),
//!     state: TargetState::Active,
//!     started: None,
//! };
//! scheduler.handle(0, Event::EndpointsChanged { kind: EndpointUpdateKind::Snapshot, entries: vec![entry] }, &mut actions);
//! let request = RequestProfile {
//!     id: RequestId(1),
//!     class: Some(ClassId(0)),
//!     plan: Some(PlanId(0)),
//!     volume: VolumeId(0),
//!     key: None,
//!     units: 2.0,
//!     shard: Some(ShardId(0)),
//!     initiators: 1,
//!     deadline: 1_000_000,
//!     target_set: None,
//! };
//! scheduler.handle(10, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::StartAttempt { target: TargetId(0), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
pub mod core;
pub mod handover;
pub mod initiator;
pub mod interface;
pub mod names;
pub mod net;
pub mod scheduler;
pub mod settings;
