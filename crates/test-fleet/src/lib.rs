//! Stand-ins for what an initiator talks to: disk boxes and discovery, as the platform's protocol has them,
//! on loopback addresses; and real daemons as processes beside them. The stand-ins misbehave on command, draw
//! whatever is left to chance from a seed, and count what they see, so that an experiment can compare it with
//! what clients were told.
//!
//! Everything runs on the caller's thread, in a `LocalSet` or a runtime that has one.
#![forbid(unsafe_code)]

mod boxes;
mod daemon;
mod discovery;
mod duty_cycle;
mod fleet;
mod http;
mod keys;
mod load;
mod recorder;

pub use boxes::{BoxPlan, Counters, DiskBox, Fault};
pub use daemon::{Daemon, Meeting, Start, Usage, settings, standard_settings};
pub use discovery::{Discovery, Entry, State, Trouble};
pub use duty_cycle::DutyCycle;
pub use fleet::{Fleet, FleetPlan, Member};
pub use keys::{Effect, Rack};
pub use load::{ClassPlan, Counts, Load, LoadPlan, Patience, usual_classes};
pub use nix::sys::signal::Signal;
pub use recorder::Recorder;

use std::io;
use std::rc::Rc;

/// Boxes with their racks, and the discovery that lists them.
pub struct Site {
    pub boxes: Vec<Rc<DiskBox>>,
    pub discovery: Rc<Discovery>,
}

impl Site {
    /// Starts one box for each plan, each with a rack and a shard of its own, in the order given.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(plans: &[BoxPlan], zone: &str, seed: u64) -> io::Result<Site> {
        let mut boxes = Vec::new();
        for (i, plan) in plans.iter().enumerate() {
            let rack = Rack::new(plan.key_span);
            let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add(i as u64);
            boxes.push(DiskBox::start(format!("box-{i}"), i as u32, plan.clone(), rack, seed).await?);
        }
        let discovery = Discovery::start(zone).await?;
        for each in &boxes {
            discovery.put(Entry::of(each, State::Active));
        }
        Ok(Site { boxes, discovery })
    }

    /// The counts of all boxes together.
    pub fn counters(&self) -> Counters {
        self.boxes.iter().map(|b| b.counters()).fold(Counters::default(), Counters::and)
    }

    /// Has a box drain and tells discovery.
    pub fn drain(&self, place: usize) {
        self.boxes[place].drain(true);
        self.discovery.put(Entry::of(&self.boxes[place], State::Leaving));
    }

    /// Ends a box's process: connections are reset, new ones refused. Discovery hears of it.
    pub fn kill(&self, place: usize) {
        self.boxes[place].kill();
        self.discovery.remove(self.boxes[place].name());
    }

    /// Starts a killed box again at its address, cold, and tells discovery.
    ///
    /// # Errors
    /// Its address cannot be bound again.
    pub async fn restart(&self, place: usize) -> io::Result<()> {
        self.boxes[place].restart().await?;
        self.discovery.put(Entry::of(&self.boxes[place], State::Active));
        Ok(())
    }
}
