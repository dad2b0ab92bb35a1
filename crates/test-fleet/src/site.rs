//! A few stub targets with their discovery service.

use crate::deduplication::DeduplicationScope;
use crate::discovery::Discovery;
use crate::endpoint::{Endpoint, EndpointState};
use crate::target::StubTarget;
use crate::target_counters::TargetCounters;
use crate::target_plan::TargetPlan;
use std::io;
use std::rc::Rc;

/// Stub targets, each with its own deduplication scope, and the discovery service that lists them.
pub struct StubSite {
    /// The targets in the order of their plans.
    pub targets: Vec<Rc<StubTarget>>,
    /// The service that lists the targets.
    pub discovery: Rc<Discovery>,
}

impl StubSite {
    /// Starts one target per plan, each with its own shard. Targets and shards are numbered in the order
    /// given.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(plans: &[TargetPlan], zone: &str, seed: u64) -> io::Result<StubSite> {
        let mut targets = Vec::new();
        for (number, plan) in plans.iter().enumerate() {
            let scope = DeduplicationScope::new(plan.deduplication_window);
            let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add(number as u64);
            let name = format!("box-{number}");
            targets.push(StubTarget::start(name, number as u32, plan.clone(), scope, seed).await?);
        }
        let discovery = Discovery::start(zone).await?;
        for target in &targets {
            discovery.upsert(Endpoint::of(target, EndpointState::Active));
        }
        Ok(StubSite { targets, discovery })
    }

    /// The sum of the counts of all targets.
    pub fn counters(&self) -> TargetCounters {
        let all = self.targets.iter().map(|target| target.counters());
        all.fold(TargetCounters::default(), TargetCounters::merge)
    }

    /// Sets a target to draining, and lists it as draining.
    ///
    /// # Panics
    /// There is no target with this number.
    pub fn drain(&self, number: usize) {
        self.targets[number].set_draining(true);
        self.discovery.upsert(Endpoint::of(&self.targets[number], EndpointState::Draining));
    }

    /// Kills a target, which resets its connections and refuses new ones, and lists it as removed.
    ///
    /// # Panics
    /// There is no target with this number.
    pub fn kill(&self, number: usize) {
        self.targets[number].kill();
        self.discovery.remove(self.targets[number].name());
    }

    /// Restarts a killed target at the same address, cold, and lists it as active.
    ///
    /// # Errors
    /// The address cannot be bound again.
    ///
    /// # Panics
    /// There is no target with this number.
    pub async fn restart(&self, number: usize) -> io::Result<()> {
        self.targets[number].restart().await?;
        self.discovery.upsert(Endpoint::of(&self.targets[number], EndpointState::Active));
        Ok(())
    }
}
