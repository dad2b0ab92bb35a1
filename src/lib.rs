//! An I/O initiator: a module that decides, an actor that owns it, and the fronts that speak to the network.
//!
//! A scheduler loads the module, hands it its settings and a seed, and then every event with the
//! time it happened. The module answers with actions and does no I/O of its own. Instances share
//! nothing; the same events give the same actions.
//!
//! ```
//! use rowanglade::interface::*;
//! use rowanglade::scheduler::Scheduler;
//!
//! let settings = Settings {
//!     initiators: 1,
//!     classes: vec![Class {
//!         aim: 100_000,
//!         deadline: 1_000_000,
//!         repeat: Repeat::Repeatable,
//!         in_order: false,
//!         write: false,
//!         worth: 1.0,
//!         late_worth: 0.1,
//!     }],
//!     plans: vec![Plan { nominal: 10.0, reserve: 5.0, weight: 1.0, price: 1.0, limit: None }],
//!     rules: Rules {
//!         drain_grace: 1_000_000,
//!         cold_from: 0.2,
//!         warm_within: 10_000_000,
//!         cold_units: 30.0,
//!         fall_window: 1_000_000,
//!         fall_multiple: 3.0,
//!         attempt_budget: None,
//!         key_rest: 0,
//!         attempts: 3,
//!     },
//!     usual_units: 2.0,
//!     share_worth: 0.4,
//!     spare_worth: 0.1,
//!     meter_period: 0,
//!     tells_elsewhere: false,
//!     may_probe: false,
//!     may_cancel: true,
//!     may_copy: false,
//!     longest_advice: 0,
//! };
//! let mut scheduler = Scheduler::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! let entry = Entry {
//!     node: TargetId(0),
//!     shard: ShardId(0),
//!     zone: ZoneId(0),
//!     state: TargetState::In,
//!     started: None,
//! };
//! scheduler.handle(0, Event::List { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: Some(ClassId(0)),
//!     plan: Some(PlanId(0)),
//!     volume: VolumeId(0),
//!     key: None,
//!     units: 2.0,
//!     shard: Some(ShardId(0)),
//!     initiators: 1,
//!     deadline: 1_000_000,
//!     reach: None,
//! };
//! scheduler.handle(10, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { node: TargetId(0), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
pub mod core;
pub mod initiator;
pub mod interface;
pub mod names;
pub mod net;
pub mod scheduler;
pub mod settings;
pub mod upgrade;
