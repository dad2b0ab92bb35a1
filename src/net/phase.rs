//! The serving phase of this process.

/// Whether this process serves clients. A handover or a shutdown changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process does not serve: another process owns the state, or the state is being handed over.
    Preparing,
    /// The process accepts clients and serves their requests.
    Serving,
    /// Shutdown was requested. The process still accepts clients for as long as new connections may arrive.
    ShuttingDown,
    /// The process accepts no new clients and finishes its open requests.
    Draining,
}

impl Phase {
    /// Whether clients are accepted.
    pub fn accepts(self) -> bool {
        matches!(self, Phase::Serving | Phase::ShuttingDown)
    }
}
