//! A few stub targets with their discovery.

use crate::deduplication::DeduplicationScope;
use crate::discovery::Discovery;
use crate::endpoint::{Endpoint, EndpointState};
use crate::target::StubTarget;
use crate::target_counters::TargetCounters;
use crate::target_plan::TargetPlan;
use std::io;
use std::rc::Rc;

/// Stub targets, each with a deduplication scope of its own, and the discovery that lists them.
pub struct StubSite {
    /// In the order of their plans.
    pub targets: Vec<Rc<StubTarget>>,
    /// The service that lists them.
    pub discovery: Rc<Discovery>,
}

impl StubSite {
    /// Starts one target for each plan, each with a shard of its own, in the order given.
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

    /// The counts of all targets together.
    pub fn counters(&self) -> TargetCounters {
        let all = self.targets.iter().map(|target| target.counters());
        all.fold(TargetCounters::default(), TargetCounters::merge)
    }

    /// Has a target drain, and lists it so.
    ///
    /// # Panics
    /// There is no target of this number.
    pub fn drain(&self, number: usize) {
        self.targets[number].set_draining(true);
        self.discovery.upsert(Endpoint::of(&self.targets[number], EndpointState::Draining));
    }

    /// Ends a target's process: connections are reset, new ones refused. It is taken off the list.
    ///
    /// # Panics
    /// There is no target of this number.
    pub fn kill(&self, number: usize) {
        self.targets[number].kill();
        self.discovery.remove(self.targets[number].name());
    }

    /// Starts a killed target again at its address, cold, and lists it.
    ///
    /// # Errors
    /// Its address cannot be bound again.
    ///
    /// # Panics
    /// There is no target of this number.
    pub async fn restart(&self, number: usize) -> io::Result<()> {
        self.targets[number].restart().await?;
        self.discovery.upsert(Endpoint::of(&self.targets[number], EndpointState::Active));
        Ok(())
    }
}
