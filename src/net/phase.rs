//! Whether this process serves.

/// What this process is doing for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not serve: what is owned is another process's, or on its way from it.
    Preparing,
    /// It serves.
    Serving,
    /// Shutdown was requested, and takes clients for as long as they may come.
    ShuttingDown,
    /// It takes no new clients, and finishes the requests that it has.
    Draining,
}

impl Phase {
    /// Whether clients are accepted.
    pub fn accepts(self) -> bool {
        matches!(self, Phase::Serving | Phase::ShuttingDown)
    }
}
