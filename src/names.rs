//! The wire's names and the module's ids, for one instance.

use crate::interface::*;
use std::collections::{HashMap, VecDeque};

/// Names are forgotten, oldest first, beyond this many.
const KEPT: usize = 1 << 16;

/// Hands out a number for a name. The order of numbers is the order of first sight.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u64>,
    order: VecDeque<String>,
    next: u64,
}

impl Interner {
    pub fn number(&mut self, name: &str) -> u64 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        if self.order.len() >= KEPT
            && let Some(old) = self.order.pop_front()
        {
            self.numbers.remove(&old);
        }
        self.next += 1;
        self.numbers.insert(name.to_string(), self.next);
        self.order.push_back(name.to_string());
        self.next
    }
}

impl Interner {
    fn name(&self, number: u64) -> Option<&str> {
        // Numbers are handed out in turn, and the oldest names are forgotten first.
        let first = self.next - self.order.len() as u64 + 1;
        let at = usize::try_from(number.checked_sub(first)?).ok()?;
        self.order.get(at).map(String::as_str)
    }
}

struct Open {
    name: String,
    out: u32,
    over: bool,
}

#[derive(Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub fields: Vec<String>,
    volumes: Interner,
    keys: Interner,
    targets: HashMap<String, TargetId>,
    target_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    open: HashMap<RequestId, Open>,
    next_request: u64,
}

fn place(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).map(|i| i as u32)
}

impl Names {
    pub fn class(&self, name: &str) -> Option<ClassId> {
        place(&self.classes, name).map(ClassId)
    }

    pub fn plan(&self, name: &str) -> Option<PlanId> {
        place(&self.plans, name).map(PlanId)
    }

    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(place(&self.zones, name).unwrap_or(self.zones.len() as u32))
    }

    pub fn volume(&mut self, name: &str) -> VolumeId {
        VolumeId(self.volumes.number(name) as u32)
    }

    /// Looks through all names: for what is rare.
    pub fn volume_name(&self, id: VolumeId) -> Option<&str> {
        self.volumes.name(u64::from(id.0))
    }

    pub fn key(&mut self, name: &str) -> KeyId {
        KeyId(self.keys.number(name))
    }

    pub fn intern_target(&mut self, name: &str) -> TargetId {
        if let Some(id) = self.targets.get(name) {
            return *id;
        }
        let id = TargetId(self.target_names.len() as u32);
        self.target_names.push(name.to_string());
        self.targets.insert(name.to_string(), id);
        id
    }

    pub fn target(&self, name: &str) -> Option<TargetId> {
        self.targets.get(name).copied()
    }

    pub fn target_name(&self, id: TargetId) -> Option<&str> {
        self.target_names.get(id.0 as usize).map(String::as_str)
    }

    pub fn taken(&mut self, name: &str) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.requests.insert(name.to_string(), id);
        self.open.insert(id, Open { name: name.to_string(), out: 0, over: false });
        id
    }

    pub fn request(&self, name: &str) -> Option<RequestId> {
        self.requests.get(name).copied()
    }

    pub fn request_name(&self, id: RequestId) -> Option<&str> {
        self.open.get(&id).map(|o| o.name.as_str())
    }

    pub fn sent(&mut self, id: RequestId) {
        if let Some(o) = self.open.get_mut(&id) {
            o.out += 1;
        }
    }

    /// An attempt has its outcome.
    pub fn resolved(&mut self, id: RequestId, over: bool) {
        if let Some(o) = self.open.get_mut(&id) {
            o.out = o.out.saturating_sub(1);
            o.over |= over;
        }
        self.forget(id);
    }

    /// The request is over; its name is kept while an attempt has no outcome.
    pub fn ended(&mut self, id: RequestId) {
        if let Some(o) = self.open.get_mut(&id) {
            o.over = true;
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.over && o.out == 0)
            && let Some(o) = self.open.remove(&id)
        {
            self.requests.remove(&o.name);
        }
    }
}
