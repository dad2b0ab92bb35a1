//! The mapping between names on the wire and ids of the scheduler, for one initiator.

use crate::interface::*;
use std::collections::{HashMap, VecDeque};

/// The most names that an interner stores. Beyond it the oldest name is dropped, and gets a new number when
/// it occurs again.
const MAX_NAMES: usize = 1 << 16;

/// Assigns numbers to names, in the order in which the names first occur.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u64>,
    order: VecDeque<String>,
    last: u64,
}

impl Interner {
    /// The number of the name; a new one if the name has none.
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
        // Numbers are assigned in sequence, and the oldest names are dropped first.
        let oldest = self.last - self.order.len() as u64 + 1;
        let position = usize::try_from(number.checked_sub(oldest)?).ok()?;
        self.order.get(position).map(String::as_str)
    }
}

/// The name of a request, stored until the request is finished and all of its attempts have ended.
struct NamedRequest {
    name: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// All names of one initiator, and the ids that they are mapped to.
#[derive(Default)]
pub struct Names {
    /// The names of the request classes; [`ClassId`] is an index into them.
    pub classes: Vec<String>,
    /// The names of the QoS plans; [`PlanId`] is an index into them.
    pub plans: Vec<String>,
    /// The names of the zones; [`ZoneId`] is an index into them.
    pub zones: Vec<String>,
    /// The fields of a target's load report, in the order in which they are sent.
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
    /// The request class with this name; `None` if the settings do not define it.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// The QoS plan with this name; `None` if the settings do not define it.
    pub fn plan(&self, name: &str) -> Option<PlanId> {
        position(&self.plans, name).map(PlanId)
    }

    /// The zone with this name. All names that the settings do not define are mapped to one further zone.
    pub fn zone(&self, name: &str) -> ZoneId {
        ZoneId(position(&self.zones, name).unwrap_or(self.zones.len() as u32))
    }

    /// The volume with this name; its first occurrence assigns a new id.
    pub fn volume(&mut self, name: &str) -> VolumeId {
        VolumeId(self.volumes.number(name))
    }

    /// The name of a volume; `None` if it was dropped.
    pub fn volume_name(&self, id: VolumeId) -> Option<&str> {
        self.volumes.name(id.0)
    }

    /// The key with this name; its first occurrence assigns a new id.
    pub fn key(&mut self, name: &str) -> KeyId {
        KeyId(self.keys.number(name))
    }

    /// The target with this name; its first occurrence assigns a new id. The names of targets are never
    /// dropped.
    pub fn intern_target(&mut self, name: &str) -> TargetId {
        if let Some(id) = self.targets.get(name) {
            return *id;
        }
        let id = TargetId(self.target_names.len() as u32);
        self.target_names.push(name.to_string());
        self.targets.insert(name.to_string(), id);
        id
    }

    /// The target with this name; `None` if it never occurred in an endpoint list.
    pub fn target(&self, name: &str) -> Option<TargetId> {
        self.targets.get(name).copied()
    }

    /// The name of a target; `None` if the id was not assigned.
    pub fn target_name(&self, id: TargetId) -> Option<&str> {
        self.target_names.get(id.0 as usize).map(String::as_str)
    }

    /// Assigns a new id to an arriving request with this name.
    pub fn open_request(&mut self, name: &str) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.requests.insert(name.to_string(), id);
        let request = NamedRequest { name: name.to_string(), attempts_in_flight: 0, finished: false };
        self.open_requests.insert(id, request);
        id
    }

    /// The open request with this name; `None` if no open request has it.
    pub fn request(&self, name: &str) -> Option<RequestId> {
        self.requests.get(name).copied()
    }

    /// The name of an open request; `None` if the request is not open.
    pub fn request_name(&self, id: RequestId) -> Option<&str> {
        self.open_requests.get(&id).map(|request| request.name.as_str())
    }

    /// Records that an attempt of the request was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records the end of an attempt, and whether the request is finished with it.
    pub fn attempt_ended(&mut self, id: RequestId, request_finished: bool) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= request_finished;
        }
        self.remove_if_settled(id);
    }

    /// Records that the request is finished. Its name is stored as long as one of its attempts is in flight.
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
