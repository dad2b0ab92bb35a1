//! Ids of clients' sessions, from which the ids and idempotency keys of their commands derive.

use std::fmt;

/// Identifies a session among the sessions of all processes, of this and other initiators, past and present.
///
/// Targets drop a write whose idempotency key they have executed lately. They know nothing of sessions or
/// processes, so keys must not repeat when a process is restarted, when its successor takes over, or when a client
/// has sessions with several initiators. A count that each process begins anew does not ensure that; 128 random
/// bits do, without state that outlives the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SessionId(u128);

impl SessionId {
    /// Draws a new id. The generator is seeded by the system, never by the configuration, whose seed may be the same
    /// in several processes.
    pub(super) fn random() -> SessionId {
        SessionId(rand::random())
    }

    /// The id of the request with this number in the session. It consists of characters that every protocol to
    /// targets can carry, whatever the client's name contains.
    pub(super) fn request_id(self, number: u64) -> String {
        format!("{self}.{number}")
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
