//! The unit of time, and the ids of targets, volumes, requests and the like in events and actions.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A storage target. It keeps its id when it restarts.
    TargetId(u32);
    /// A volume, whose requests share the rates of its QoS plan.
    VolumeId(u64);
    /// A client's request. An id is never reused.
    RequestId(u64);
    /// The object that a request is for. Requests with the same key may have to run in order.
    KeyId(u64);
    /// A request class: an index into [`Settings::classes`](super::Settings::classes).
    ClassId(u32);
    /// A QoS plan: an index into [`Settings::plans`](super::Settings::plans).
    PlanId(u32);
    /// The part of the data that a target holds. A target and its successor hold the same shard.
    ShardId(u32);
    /// A zone: an index into the caller's list of zones.
    ZoneId(u32);
    /// The number of an attempt among those of its request, from 0 in the order of the sends.
    AttemptNumber(u32);
    /// A set of targets to which a route restricts its requests. See
    /// [`Event::TargetSetChanged`](super::Event::TargetSetChanged).
    TargetSetId(u32);
}
