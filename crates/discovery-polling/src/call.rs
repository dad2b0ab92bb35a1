//! Calls for the list, as the schedule and its driver speak of them.

use crate::Micros;

/// A call of one schedule. An id never comes twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub id: CallId,
    /// How long discovery may wait for news before it answers, in microseconds. 0: it answers at once.
    pub hold: Micros,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Make this call, and tell [`crate::Schedule::ended`] how it ended.
    Start(Call),
    /// Drop this call; nothing is to be told of its end.
    Abandon(CallId),
}

/// How a call ended. A call without an end is given up by the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It brought the list, or what has changed of it.
    Answered,
    /// Discovery answered that it does not serve the call.
    Refused,
    /// The connection failed or ended, or what came cannot be read.
    Broken,
}

/// A call without an end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub id: CallId,
    pub hold: Micros,
    pub started: Micros,
    /// When it is given up.
    pub expires: Micros,
}
