//! What a fleet is made of.

use crate::daemon_plan::DaemonPlan;
use crate::load_plan::LoadPlan;
use crate::target_plan::TargetPlan;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// What each process is started with; names, numbers and addresses are filled in.
    pub daemon: DaemonPlan,
    /// The zone of all targets and processes.
    pub zone: String,
    /// How many initiators there are.
    pub processes: usize,
    /// How many targets there are at the start.
    pub targets: usize,
    /// What each target is.
    pub target: TargetPlan,
    /// The traffic of each process; its volumes are drawn.
    pub load: LoadPlan,
    /// Volumes of each process.
    pub volumes: usize,
    /// Shards of each volume.
    pub shards_of_volume: usize,
    /// The share of a core that each process has; none: as the machine gives.
    pub core_share: Option<f64>,
    /// Processes may send each other datagrams.
    pub peers: bool,
    /// What all random numbers follow from.
    pub seed: u64,
}
