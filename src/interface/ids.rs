//! Times, and the numbers by which events and actions name things.

/// A time or a span, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A storage target. The same target keeps its id through a restart.
    TargetId(u32);
    /// A volume.
    VolumeId(u32);
    /// A client's request. An id is never used twice.
    RequestId(u64);
    /// A piece of data.
    KeyId(u64);
    /// A request class: its place in [`Settings::classes`](super::Settings::classes).
    ClassId(u32);
    /// A QoS plan: its place in [`Settings::plans`](super::Settings::plans).
    PlanId(u32);
    /// The part of the data that a target holds. A target and its successor hold the same.
    ShardId(u32);
    /// A zone: its place in the caller's list of zones.
    ZoneId(u32);
    /// An attempt of a request: 0, 1, 2 and so on in the order of the sends.
    AttemptNumber(u32);
    /// The targets that a route lets some requests reach. See
    /// [`Event::TargetSetChanged`](super::Event::TargetSetChanged).
    TargetSetId(u32);
}
