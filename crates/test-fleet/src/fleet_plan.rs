//! The parameters of a fleet.

use crate::daemon_plan::DaemonPlan;
use crate::load_plan::LoadPlan;
use crate::target_plan::TargetPlan;

/// The parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The parameters of each daemon process; names, numbers and addresses are filled in per process.
    pub daemon: DaemonPlan,
    /// The zone of all targets and processes.
    pub zone: String,
    /// The number of initiators.
    pub processes: usize,
    /// The number of targets at the start.
    pub targets: usize,
    /// The parameters of each target.
    pub target: TargetPlan,
    /// The traffic of each initiator's clients; the volumes are chosen at random.
    pub load: LoadPlan,
    /// The number of volumes per initiator.
    pub volumes: usize,
    /// The number of shards per volume.
    pub shards_of_volume: usize,
    /// The share of a core that each process gets, between 0 and 1. `None` for no limit.
    pub core_share: Option<f64>,
    /// Whether initiators may exchange datagrams with their peers.
    pub peers: bool,
    /// The seed of all random choices.
    pub seed: u64,
}
