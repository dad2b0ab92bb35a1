//! The messages between initiators.

/// Thousandths of a unit.
pub type MilliUnits = u32;

/// Another initiator, by its index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer(pub u16);

/// Identifies a request for quota; unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce {
    /// Drawn at random when the requester started.
    pub incarnation: u64,
    /// Number of the request, never reused by that incarnation.
    pub sequence: u32,
}

/// An amount of units of one volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeUnits {
    /// The number of the volume, which is the same on all initiators.
    pub volume: u64,
    /// The amount that is needed or granted.
    pub units: MilliUnits,
}

/// A message between initiators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Requests quota that the sender needs; sent to all others.
    Request {
        /// Identifies the request.
        nonce: Nonce,
        /// Units that each receiver is asked for.
        needed: Vec<VolumeUnits>,
    },
    /// Grants quota that the sender has given away; sent to the requester.
    Grant {
        /// The nonce of the request that is answered.
        nonce: Nonce,
        /// Units that the requester may add to its token buckets.
        granted: Vec<VolumeUnits>,
    },
}
