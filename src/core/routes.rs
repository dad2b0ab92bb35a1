//! The routing table in force, and the targets that each open request may reach under the table that was in
//! force when it arrived. Does no I/O: its methods receive requests and changes of targets, and return
//! [`Event::TargetSetChanged`] events for the scheduler.

use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::request::Request;
use crate::interface::{Event, TargetId, TargetSetId, TargetState};
use rowanglade_routing::{Front, ListedState, RouteRequest, RouteTable, TargetInfo};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// When there are this many target sets, those without an open request are dropped; until then they are kept
/// for later requests.
const MAX_SETS: usize = 4_096;

/// A routing table with its version.
#[derive(Debug, Default)]
pub struct LoadedRoutes {
    /// Incremented with each table that is loaded.
    pub version: u64,
    /// The routing table.
    pub table: RouteTable,
}

/// What determines a target set: the version of the table, the index of the route in it, and the shard of the
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TargetSetKey {
    version: u64,
    route: usize,
    shard: Option<u32>,
}

/// The targets that the requests with one key may reach.
#[derive(Debug)]
struct TargetSet {
    key: TargetSetKey,
    /// Keeps the table alive until its last set is dropped.
    table: Arc<LoadedRoutes>,
    /// The number of open requests that use the set.
    users: usize,
    targets: Vec<TargetId>,
}

/// The routing table in force, the listed targets, and the target sets of open requests.
#[derive(Debug)]
pub struct Routes {
    current: Arc<LoadedRoutes>,
    listed: ListedTargets,
    sets: BTreeMap<TargetSetId, TargetSet>,
    by_key: HashMap<TargetSetKey, TargetSetId>,
    next_id: u32,
    /// Events that the scheduler has not received yet.
    events: Vec<Event>,
}

impl Routes {
    /// Creates routes with this table in force and without targets.
    pub fn new(current: Arc<LoadedRoutes>) -> Routes {
        Routes {
            current,
            listed: ListedTargets::default(),
            sets: BTreeMap::new(),
            by_key: HashMap::new(),
            next_id: 0,
            events: Vec::new(),
        }
    }

    /// Puts another table in force. Open requests keep the table they arrived under; it is dropped with the
    /// last of them.
    pub fn load(&mut self, table: Arc<LoadedRoutes>) {
        self.current = table;
        self.drop_idle(|set, current| set.key.version != current);
    }

    /// The version in force and the versions that open requests still use, ascending.
    pub fn versions(&self) -> Vec<u64> {
        let in_use = self.sets.values().filter(|s| s.users > 0).map(|s| s.key.version);
        let mut versions: Vec<u64> = in_use.chain([self.current.version]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// The listed targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.listed.all.values().map(|(info, _)| info)
    }

    /// The target set of a request that arrives now; `None` if it may reach every target. The caller must
    /// [`release`](Self::release) the set once.
    pub fn acquire(&mut self, request: &Request) -> Option<TargetSetId> {
        if self.current.table.is_empty() {
            return None;
        }
        let route_request = RouteRequest {
            front: match request.origin.front {
                Protocol::Http => Front::Http,
                Protocol::Iscsi => Front::Iscsi,
            },
            client: request.origin.client,
            class: &request.class,
            plan: request.plan.as_deref(),
            write: request.write,
            volume: request.volume,
            shard: request.shard,
        };
        let route = self.current.table.route(&route_request)?;
        let key = TargetSetKey { version: self.current.version, route, shard: request.shard };
        if let Some(id) = self.by_key.get(&key)
            && let Some(set) = self.sets.get_mut(id)
        {
            set.users += 1;
            return Some(*id);
        }
        if self.sets.len() >= MAX_SETS {
            self.drop_idle(|_, _| true);
        }
        let id = TargetSetId(self.next_id);
        self.next_id += 1;
        let targets = self.listed.reachable(&self.current.table, key);
        self.events.push(Event::TargetSetChanged { set: id, targets: Some(targets.clone()) });
        self.sets.insert(id, TargetSet { key, table: Arc::clone(&self.current), users: 1, targets });
        self.by_key.insert(key, id);
        Some(id)
    }

    /// Releases the target set of a request that has ended.
    pub fn release(&mut self, id: TargetSetId) {
        let Some(set) = self.sets.get_mut(&id) else { return };
        set.users -= 1;
        if set.users == 0 && set.key.version != self.current.version {
            self.drop_idle(|set, current| set.key.version != current);
        }
    }

    fn drop_idle(&mut self, filter: impl Fn(&TargetSet, u64) -> bool) {
        let current = self.current.version;
        let idle = |set: &TargetSet| set.users == 0 && filter(set, current);
        let idle_ids: Vec<TargetSetId> =
            self.sets.iter().filter(|(_, s)| idle(s)).map(|(id, _)| *id).collect();
        for id in idle_ids {
            if let Some(set) = self.sets.remove(&id) {
                self.by_key.remove(&set.key);
                let version = set.key.version;
                if version != current && !self.sets.values().any(|s| s.key.version == version) {
                    tracing::info!(version, "old routes dropped with their last request");
                }
            }
            self.events.push(Event::TargetSetChanged { set: id, targets: None });
        }
    }

    /// Applies changes of targets. Emits an event for each set whose targets change as a result.
    pub fn apply_changes<'a>(&mut self, changed: impl Iterator<Item = (TargetId, &'a Endpoint)>) {
        let mut shards = BTreeSet::new();
        for (target, endpoint) in changed {
            shards.extend(self.listed.remove(target));
            if endpoint.state != TargetState::Removed {
                shards.insert(endpoint.shard);
                self.listed.insert(target, endpoint);
            }
        }
        for (id, set) in &mut self.sets {
            if set.key.shard.is_some_and(|shard| !shards.contains(&shard)) {
                continue;
            }
            let targets = self.listed.reachable(&set.table.table, set.key);
            if targets != set.targets {
                set.targets = targets.clone();
                self.events.push(Event::TargetSetChanged { set: *id, targets: Some(targets) });
            }
        }
    }

    /// Takes the events that the scheduler has not received yet, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}

/// The listed targets, also indexed by shard.
#[derive(Debug, Default)]
struct ListedTargets {
    all: BTreeMap<TargetId, (TargetInfo, ListedState)>,
    by_shard: BTreeMap<u32, BTreeSet<TargetId>>,
}

impl ListedTargets {
    /// Removes a target and returns its shard. `None`: it was not listed.
    fn remove(&mut self, target: TargetId) -> Option<u32> {
        let (info, _) = self.all.remove(&target)?;
        if let Some(targets) = self.by_shard.get_mut(&info.shard) {
            targets.remove(&target);
            if targets.is_empty() {
                self.by_shard.remove(&info.shard);
            }
        }
        Some(info.shard)
    }

    fn insert(&mut self, target: TargetId, endpoint: &Endpoint) {
        let info = TargetInfo {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            shard: endpoint.shard,
            addr: endpoint.addr.ip(),
        };
        let state = match endpoint.state {
            TargetState::Active => ListedState::Active,
            TargetState::Draining => ListedState::Draining,
            TargetState::Removed => ListedState::Removed,
        };
        self.by_shard.entry(endpoint.shard).or_default().insert(target);
        self.all.insert(target, (info, state));
    }

    /// The targets of a set, chosen from the targets of the key's shard, or from all if it has none.
    fn reachable(&self, table: &RouteTable, key: TargetSetKey) -> Vec<TargetId> {
        let with_info = |target: &TargetId| {
            let (info, state) = &self.all[target];
            (info, *state, *target)
        };
        match key.shard {
            Some(shard) => {
                let targets = self.by_shard.get(&shard).into_iter().flatten();
                table.reachable(Some(key.route), key.shard, targets.map(with_info))
            }
            None => table.reachable(Some(key.route), None, self.all.keys().map(with_info)),
        }
    }
}

#[cfg(test)]
mod tests;
