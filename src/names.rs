//! The numbers by which the scheduler knows what has a name on a wire, for one initiator.

use crate::interface::*;
use std::collections::{HashMap, VecDeque};

/// Names are forgotten, oldest first, beyond this many: what has not come for so long is learned anew.
const MAX_NAMES: usize = 1 << 16;

/// Hands out a number for a name. The order of numbers is the order of first sight.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u64>,
    order: VecDeque<String>,
    last: u64,
}

impl Interner {
    /// The name's number, a new one where it is not known.
    pub fn number(&mut self, name: &str) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        if self.order.len() >= MAX_NAMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.numbers.remove(&oldest);
        }
        self.last += 1;
        self.numbers.insert(name.to_string(), self.last);
        self.order.push_back(name.to_string());
        self.last
    }

    fn name(&self, number: u64) -> Option<&str> {
        // Numbers are handed out in turn, and the oldest names are forgotten first.
        let first = self.last - self.order.len() as u64 + 1;
        let position = usize::try_from(number.checked_sub(first)?).ok()?;
        self.order.get(position).map(String::as_str)
    }
}

/// A request that is known by its name, until it is finished and its attempts have ended.
struct NamedRequest {
    name: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// All names, and their numbers.
#[derive(Default)]
pub struct Names {
    /// Request classes, by their numbers.
    pub classes: Vec<String>,
    /// QoS plans, by their numbers.
    pub plans: Vec<String>,
    /// Zones, by their numbers.
    pub zones: Vec<String>,
    /// The fields of a target's load report, in the order in which they come.
    pub load_report_fields: Vec<String>,
    volumes: Interner,
    keys: Interner,
    targets: HashMap<String, TargetId>,
    target_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    open_requests: HashMap<RequestId, NamedRequest>,
    last_request: u64,
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|i| i as u32)
}

impl Names {
    /// The request class of this name; `None`: the settings have none.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// The QoS plan of this name; `None`: the settings have none.
    pub fn plan(&self, name: &str) -> Option<PlanId> {
        position(&self.plans, name).map(PlanId)
    }

    /// The zone of this name; all that the settings do not have count as one.
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(position(&self.zones, name).unwrap_or(self.zones.len() as u32))
    }

    /// The volume of this name, numbered at first sight.
    pub fn volume(&mut self, name: &str) -> VolumeId {
        VolumeId(self.volumes.number(name) as u32)
    }

    /// A volume's name; `None`: it is forgotten.
    pub fn volume_name(&self, id: VolumeId) -> Option<&str> {
        self.volumes.name(u64::from(id.0))
    }

    /// The key of this name, numbered at first sight.
    pub fn key(&mut self, name: &str) -> KeyId {
        KeyId(self.keys.number(name))
    }

    /// The target of this name, numbered at first sight. Targets are never forgotten.
    pub fn intern_target(&mut self, name: &str) -> TargetId {
        if let Some(id) = self.targets.get(name) {
            return *id;
        }
        let id = TargetId(self.target_names.len() as u32);
        self.target_names.push(name.to_string());
        self.targets.insert(name.to_string(), id);
        id
    }

    /// The target of this name; `None`: it was never listed.
    pub fn target(&self, name: &str) -> Option<TargetId> {
        self.targets.get(name).copied()
    }

    /// A target's name.
    pub fn target_name(&self, id: TargetId) -> Option<&str> {
        self.target_names.get(id.0 as usize).map(String::as_str)
    }

    /// A new request of this name.
    pub fn open_request(&mut self, name: &str) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.requests.insert(name.to_string(), id);
        let request = NamedRequest { name: name.to_string(), attempts_in_flight: 0, finished: false };
        self.open_requests.insert(id, request);
        id
    }

    /// The open request of this name.
    pub fn request(&self, name: &str) -> Option<RequestId> {
        self.requests.get(name).copied()
    }

    /// An open request's name.
    pub fn request_name(&self, id: RequestId) -> Option<&str> {
        self.open_requests.get(&id).map(|request| request.name.as_str())
    }

    /// An attempt of the request was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// An attempt has its outcome, and the request is finished with it or not.
    pub fn attempt_ended(&mut self, id: RequestId, request_finished: bool) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= request_finished;
        }
        self.remove_if_settled(id);
    }

    /// The request is finished; its name is kept while an attempt has no outcome.
    pub fn request_finished(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.finished = true;
        }
        self.remove_if_settled(id);
    }

    fn remove_if_settled(&mut self, id: RequestId) {
        let settled = |request: &NamedRequest| request.finished && request.attempts_in_flight == 0;
        if self.open_requests.get(&id).is_some_and(settled)
            && let Some(request) = self.open_requests.remove(&id)
        {
            self.requests.remove(&request.name);
        }
    }
}
