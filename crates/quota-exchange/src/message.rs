//! What initiators send each other.

/// Thousandths of a unit.
pub type MilliUnits = u32;

/// Another initiator, by its index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer(pub u16);

/// Names a request for quota; never used twice in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce {
    /// Drawn at random at the requester's start.
    pub incarnation: u64,
    /// Never used twice by that incarnation.
    pub sequence: u32,
}

/// Units of one volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeUnits {
    /// The volume, by the number that all initiators have for it.
    pub volume: u64,
    /// Units that are needed or granted.
    pub units: MilliUnits,
}

/// What passes between initiators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// To all others: quota that the sender needs.
    Request {
        /// Names the request.
        nonce: Nonce,
        /// What each receiver is asked for.
        needed: Vec<VolumeUnits>,
    },
    /// To the requester: quota that is no longer the sender's.
    Grant {
        /// The request that is answered.
        nonce: Nonce,
        /// What the requester may add to its token buckets.
        granted: Vec<VolumeUnits>,
    },
}
