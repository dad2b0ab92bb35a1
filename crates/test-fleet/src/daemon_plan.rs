//! The parameters of a daemon process.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The parameters of a daemon process.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// The initiator's name; its random seed is derived from it.
    pub name: String,
    /// The path of the daemon's executable.
    pub program: PathBuf,
    /// Command line arguments before `serve`.
    pub args: Vec<String>,
    /// The settings that the platform provides.
    pub settings: Value,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The maximum number of open descriptors (`limits.sockets`).
    pub sockets: usize,
    /// The memory limit in MiB.
    pub memory_mb: usize,
    /// The text of the operator's file, if there is one.
    pub operator: Option<String>,
    /// For a handover between predecessor and successor; also enables the admin interface.
    pub handover: Option<HandoverPaths>,
    /// Additional environment variables.
    pub env: Vec<(String, String)>,
}

/// What the processes of one handover share.
#[derive(Clone, Debug)]
pub struct HandoverPaths {
    /// The `$TMPDIR` of both processes.
    pub folder: PathBuf,
    /// The listen address of the predecessor's HTTP front. `None` for the first process.
    pub listen: Option<SocketAddr>,
}
