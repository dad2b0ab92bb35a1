//! The routing table in force, and the targets that each open request may reach under the table it began
//! with. Without I/O: it takes requests and changes of targets, and gives the scheduler's
//! [`Event::TargetSetChanged`]s.

use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::request::Request;
use crate::interface::{Event, TargetId, TargetSetId, TargetState};
use rowanglade_routing::{Front, ListedState, RouteRequest, RouteTable, TargetInfo};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// With this many sets, those that no request uses are dropped: until then they serve the next request.
const MAX_SETS: usize = 4_096;

/// A routing table, and its version.
#[derive(Debug, Default)]
pub struct LoadedRoutes {
    /// Grows with each table that is loaded.
    pub version: u64,
    /// The routes.
    pub table: RouteTable,
}

/// What a target set is for: a table, a route in it, and the shard of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TargetSetKey {
    version: u64,
    route: usize,
    shard: Option<u32>,
}

/// The targets that some requests may reach.
#[derive(Debug)]
struct TargetSet {
    key: TargetSetKey,
    /// The table is dropped with its last set.
    table: Arc<LoadedRoutes>,
    /// Open requests that use the set.
    users: usize,
    targets: Vec<TargetId>,
}

/// The routes, as the core holds them.
#[derive(Debug)]
pub struct Routes {
    current: Arc<LoadedRoutes>,
    listed: ListedTargets,
    sets: BTreeMap<TargetSetId, TargetSet>,
    by_key: HashMap<TargetSetKey, TargetSetId>,
    next_id: u32,
    /// What the scheduler has not taken yet.
    events: Vec<Event>,
}

impl Routes {
    /// Routes with this table in force, and no target.
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

    /// Puts another table in force. Open requests keep the one they began with, which ends with the last of
    /// them.
    pub fn load(&mut self, table: Arc<LoadedRoutes>) {
        self.current = table;
        self.drop_idle(|set, current| set.key.version != current);
    }

    /// The version in force, and those that open requests still have.
    pub fn versions(&self) -> Vec<u64> {
        let held = self.sets.values().filter(|s| s.users > 0).map(|s| s.key.version);
        let mut versions: Vec<u64> = held.chain([self.current.version]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// The targets that are listed.
    pub fn targets(&self) -> impl Iterator<Item = &TargetInfo> {
        self.listed.all.values().map(|(info, _)| info)
    }

    /// What a request that begins now may reach; `None`: every target. It is to be released once.
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

    /// A request that had this set is over.
    pub fn release(&mut self, id: TargetSetId) {
        let Some(set) = self.sets.get_mut(&id) else { return };
        set.users -= 1;
        if set.users == 0 && set.key.version != self.current.version {
            self.drop_idle(|set, current| set.key.version != current);
        }
    }

    fn drop_idle(&mut self, which: impl Fn(&TargetSet, u64) -> bool) {
        let current = self.current.version;
        let idle = |set: &TargetSet| set.users == 0 && which(set, current);
        let gone: Vec<TargetSetId> = self.sets.iter().filter(|(_, s)| idle(s)).map(|(id, _)| *id).collect();
        for id in gone {
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

    /// Takes targets that have changed. Sets change where a pool has got a target, or has none any more.
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

    /// What the scheduler has not taken yet, in its order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}

/// The targets that are listed, also by their shards.
#[derive(Debug, Default)]
struct ListedTargets {
    all: BTreeMap<TargetId, (TargetInfo, ListedState)>,
    by_shard: BTreeMap<u32, BTreeSet<TargetId>>,
}

impl ListedTargets {
    /// Removes a target, and returns the shard that it had.
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

    /// The targets that a set holds: of a shard's targets where it is for one shard, else of all.
    fn reachable(&self, table: &RouteTable, key: TargetSetKey) -> Vec<TargetId> {
        let known = |target: &TargetId| {
            let (info, state) = &self.all[target];
            (info, *state, *target)
        };
        match key.shard {
            Some(shard) => {
                let targets = self.by_shard.get(&shard).into_iter().flatten();
                table.reachable(Some(key.route), key.shard, targets.map(known))
            }
            None => table.reachable(Some(key.route), None, self.all.keys().map(known)),
        }
    }
}

#[cfg(test)]
mod tests;
