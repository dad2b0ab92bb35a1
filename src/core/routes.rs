//! The table in force, and whom each open request may reach under the table it began with. Without I/O: it
//! takes requests and news of the list, and gives the module's [`Event::Reach`]s.

use crate::core::message::{Endpoint, Protocol, Request};
use crate::interface::{Event, TargetId, TargetSetId, TargetState};
use rowanglade_routing::{Front, ListedState, RouteRequest, RouteTable, TargetInfo};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Sets that nobody uses are kept for the next request up to this many.
const KEPT: usize = 4_096;

/// A table, and its version.
#[derive(Debug, Default)]
pub struct Loaded {
    pub version: u64,
    pub table: RouteTable,
}

/// What a set of nodes is for: a table, a route in it, and the shard of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Key {
    version: u64,
    route: usize,
    shard: Option<u32>,
}

#[derive(Debug)]
struct Set {
    key: Key,
    /// The table is let go of with its last set.
    table: Arc<Loaded>,
    uses: usize,
    nodes: Vec<TargetId>,
}

/// The routes, as the core holds them.
#[derive(Debug)]
pub struct Routes {
    current: Arc<Loaded>,
    boxes: Boxes,
    sets: BTreeMap<TargetSetId, Set>,
    by_key: HashMap<Key, TargetSetId>,
    next: u32,
    news: Vec<Event>,
}

impl Routes {
    pub fn new(current: Arc<Loaded>) -> Routes {
        Routes {
            current,
            boxes: Boxes::default(),
            sets: BTreeMap::new(),
            by_key: HashMap::new(),
            next: 0,
            news: Vec::new(),
        }
    }

    /// Puts another table in force. Open requests keep the one they began with, which ends with the last of
    /// them.
    pub fn swap(&mut self, table: Arc<Loaded>) {
        self.current = table;
        self.drop_idle(|set, current| set.key.version != current);
    }

    /// The version in force, and those that open requests still have.
    pub fn versions(&self) -> Vec<u64> {
        let held = self.sets.values().filter(|s| s.uses > 0).map(|s| s.key.version);
        let mut versions: Vec<u64> = held.chain([self.current.version]).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// The boxes that are listed.
    pub fn boxes(&self) -> impl Iterator<Item = &TargetInfo> {
        self.boxes.all.values().map(|(info, _)| info)
    }

    /// What a request that begins now may reach; none: every node. It is to be released once.
    pub fn take(&mut self, request: &Request) -> Option<TargetSetId> {
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
        let key = Key { version: self.current.version, route, shard: request.shard };
        if let Some(id) = self.by_key.get(&key)
            && let Some(set) = self.sets.get_mut(id)
        {
            set.uses += 1;
            return Some(*id);
        }
        if self.sets.len() >= KEPT {
            self.drop_idle(|_, _| true);
        }
        let id = TargetSetId(self.next);
        self.next += 1;
        let nodes = self.boxes.reach(&self.current.table, key);
        self.news.push(Event::TargetSetChanged { set: id, targets: Some(nodes.clone()) });
        self.sets.insert(id, Set { key, table: Arc::clone(&self.current), uses: 1, nodes });
        self.by_key.insert(key, id);
        Some(id)
    }

    /// A request that had this set is over.
    pub fn release(&mut self, id: TargetSetId) {
        let Some(set) = self.sets.get_mut(&id) else { return };
        set.uses -= 1;
        if set.uses == 0 && set.key.version != self.current.version {
            self.drop_idle(|set, current| set.key.version != current);
        }
    }

    fn drop_idle(&mut self, which: impl Fn(&Set, u64) -> bool) {
        let current = self.current.version;
        let idle = |set: &Set| set.uses == 0 && which(set, current);
        let gone: Vec<TargetSetId> = self.sets.iter().filter(|(_, s)| idle(s)).map(|(id, _)| *id).collect();
        for id in gone {
            if let Some(set) = self.sets.remove(&id) {
                self.by_key.remove(&set.key);
                let version = set.key.version;
                if version != current && !self.sets.values().any(|s| s.key.version == version) {
                    tracing::info!(version, "routes have ended with their last request");
                }
            }
            self.news.push(Event::TargetSetChanged { set: id, targets: None });
        }
    }

    /// Lines of the list that have changed. Sets change where a pool has got somebody, or has nobody any
    /// more.
    pub fn changed<'a>(&mut self, lines: impl Iterator<Item = (TargetId, &'a Endpoint)>) {
        let mut shards = BTreeSet::new();
        for (node, line) in lines {
            shards.extend(self.boxes.take_out(node));
            if line.state != TargetState::Removed {
                shards.insert(line.shard);
                self.boxes.put(node, line);
            }
        }
        for (id, set) in &mut self.sets {
            if set.key.shard.is_some_and(|shard| !shards.contains(&shard)) {
                continue;
            }
            let nodes = self.boxes.reach(&set.table.table, set.key);
            if nodes != set.nodes {
                set.nodes = nodes.clone();
                self.news.push(Event::TargetSetChanged { set: *id, targets: Some(nodes) });
            }
        }
    }

    /// What the module has not been told yet, in its order.
    pub fn news(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.news)
    }
}

/// The boxes that are listed, also by their shards.
#[derive(Debug, Default)]
struct Boxes {
    all: BTreeMap<TargetId, (TargetInfo, ListedState)>,
    by_shard: BTreeMap<u32, BTreeSet<TargetId>>,
}

impl Boxes {
    /// Takes a box out, and returns the shard that it had.
    fn take_out(&mut self, node: TargetId) -> Option<u32> {
        let (info, _) = self.all.remove(&node)?;
        if let Some(nodes) = self.by_shard.get_mut(&info.shard) {
            nodes.remove(&node);
            if nodes.is_empty() {
                self.by_shard.remove(&info.shard);
            }
        }
        Some(info.shard)
    }

    fn put(&mut self, node: TargetId, line: &Endpoint) {
        let info = TargetInfo {
            name: line.name.clone(),
            zone: line.zone.clone(),
            kind: line.kind.clone(),
            shard: line.shard,
            addr: line.addr.ip(),
        };
        let state = match line.state {
            TargetState::Active => ListedState::Active,
            TargetState::Draining => ListedState::Draining,
            TargetState::Removed => ListedState::Removed,
        };
        self.by_shard.entry(line.shard).or_default().insert(node);
        self.all.insert(node, (info, state));
    }

    /// The nodes that a set holds: of a shard's boxes where it is for one shard, else of all.
    fn reach(&self, table: &RouteTable, key: Key) -> Vec<TargetId> {
        let known = |node: &TargetId| {
            let (info, state) = &self.all[node];
            (info, *state, *node)
        };
        match key.shard {
            Some(shard) => {
                let nodes = self.by_shard.get(&shard).into_iter().flatten();
                table.reachable(Some(key.route), key.shard, nodes.map(known))
            }
            None => table.reachable(Some(key.route), None, self.all.keys().map(known)),
        }
    }
}

#[cfg(test)]
mod tests;
