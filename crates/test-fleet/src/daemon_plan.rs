//! What a daemon is started with.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// The initiator's name; its random numbers follow from it.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// What comes before `serve` on the command line.
    pub args: Vec<String>,
    /// What the platform tells it.
    pub settings: Value,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may use, in MiB.
    pub memory_mb: usize,
    /// The text of an operator's file, if there is one.
    pub operator: Option<String>,
    /// Where it meets its predecessor or successor; it then listens for admin commands too.
    pub handover: Option<HandoverPaths>,
    /// Further variables of its environment.
    pub env: Vec<(String, String)>,
}

/// Where the processes of one handover meet.
#[derive(Clone, Debug)]
pub struct HandoverPaths {
    /// The `$TMPDIR` of both.
    pub folder: PathBuf,
    /// Where the predecessor listens; none for the first process.
    pub listen: Option<SocketAddr>,
}
