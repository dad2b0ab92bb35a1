//! Sets of requests and sets of boxes, each a product of one set a field.

use crate::request::{Front, RouteRequest};
use crate::target::TargetInfo;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixSet;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// A set of addresses. An IPv4 network mapped into IPv6 counts as the IPv4 one.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    nets: Vec<IpNet>,
    v4: PrefixSet<Ipv4Net>,
    v6: PrefixSet<Ipv6Net>,
}

impl PartialEq for Addresses {
    fn eq(&self, other: &Addresses) -> bool {
        self.nets == other.nets
    }
}

impl Addresses {
    pub fn insert(&mut self, net: IpNet) {
        let net = match net.trunc() {
            IpNet::V6(v6) => match v6.addr().to_ipv4_mapped() {
                Some(v4) if v6.prefix_len() >= 96 => {
                    Ipv4Net::new(v4, v6.prefix_len() - 96).map_or(IpNet::V6(v6), IpNet::V4)
                }
                _ => IpNet::V6(v6),
            },
            v4 => v4,
        };
        self.nets.push(net);
        match net {
            IpNet::V4(net) => drop(self.v4.insert(net)),
            IpNet::V6(net) => drop(self.v6.insert(net)),
        }
    }

    /// The length of the longest prefix that holds the address.
    pub fn holds(&self, addr: IpAddr) -> Option<u8> {
        match addr.to_canonical() {
            IpAddr::V4(v4) => self.v4.get_lpm(&Ipv4Net::from(v4)).map(|n| n.prefix_len()),
            IpAddr::V6(v6) => self.v6.get_lpm(&Ipv6Net::from(v6)).map(|n| n.prefix_len()),
        }
    }

    pub fn nets(&self) -> &[IpNet] {
        &self.nets
    }

    /// Addresses between which nothing changes: the first of each network, and the one behind its last.
    pub fn edges(&self, out: &mut BTreeSet<IpAddr>) {
        for net in &self.nets {
            out.insert(net.network());
            let behind = match net.broadcast() {
                IpAddr::V4(v4) => u32::from(v4).checked_add(1).map(|n| IpAddr::V4(Ipv4Addr::from(n))),
                IpAddr::V6(v6) => u128::from(v6).checked_add(1).map(|n| IpAddr::V6(Ipv6Addr::from(n))),
            };
            out.extend(behind);
        }
    }
}

/// Whole numbers, as ranges that include their ends.
pub type Ranges = Vec<(u64, u64)>;

pub fn in_ranges(ranges: &Ranges, value: u64) -> bool {
    ranges.iter().any(|(from, to)| (*from..=*to).contains(&value))
}

fn ranges_meet(a: &Ranges, b: &Ranges) -> bool {
    a.iter().any(|(from, to)| b.iter().any(|(f, t)| from <= t && f <= to))
}

/// A set of requests. What is absent holds all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Match {
    pub fronts: Option<Vec<Front>>,
    pub clients: Option<Addresses>,
    pub classes: Option<BTreeSet<String>>,
    pub plans: Option<BTreeSet<String>>,
    pub volumes: Option<Ranges>,
    pub shards: Option<BTreeSet<u32>>,
    pub write: Option<bool>,
    /// New objects, or those that lie on a shard.
    pub new: Option<bool>,
}

fn among<T: Ord>(set: &Option<BTreeSet<T>>, value: &T) -> bool {
    set.as_ref().is_none_or(|s| s.contains(value))
}

fn meet<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => a.intersection(b).next().is_some(),
        _ => true,
    }
}

impl Match {
    /// Whether the request is in the set, and by how long a prefix of its network: 0 where none is named.
    pub fn holds(&self, r: &RouteRequest<'_>) -> Option<u8> {
        let plain = self.fronts.as_ref().is_none_or(|f| f.contains(&r.front))
            && self.volumes.as_ref().is_none_or(|v| in_ranges(v, r.volume))
            && self.classes.as_ref().is_none_or(|c| c.contains(r.class))
            && self.plans.as_ref().is_none_or(|p| r.plan.is_some_and(|plan| p.contains(plan)))
            && self.shards.as_ref().is_none_or(|s| r.shard.is_some_and(|shard| s.contains(&shard)))
            && self.write.is_none_or(|w| w == r.write)
            && self.new.is_none_or(|n| n == r.shard.is_none());
        match &self.clients {
            _ if !plain => None,
            None => Some(0),
            Some(nets) => r.client.and_then(|c| nets.holds(c)),
        }
    }

    /// Whether the two sets could share a request. It may say yes where only their networks keep them apart.
    pub fn meets(&self, other: &Match) -> bool {
        let fronts = match (&self.fronts, &other.fronts) {
            (Some(a), Some(b)) => a.iter().any(|f| b.contains(f)),
            _ => true,
        };
        let volumes = match (&self.volumes, &other.volumes) {
            (Some(a), Some(b)) => ranges_meet(a, b),
            _ => true,
        };
        let clients = match (&self.clients, &other.clients) {
            (Some(a), Some(b)) => {
                a.nets.iter().any(|x| b.nets.iter().any(|y| x.contains(y) || y.contains(x)))
            }
            _ => true,
        };
        let apart = |a: Option<bool>, b: Option<bool>| matches!((a, b), (Some(a), Some(b)) if a != b);
        let shards = |a: &Match, b: &Match| a.shards.is_some() && b.new == Some(true);
        fronts
            && volumes
            && clients
            && meet(&self.classes, &other.classes)
            && meet(&self.plans, &other.plans)
            && meet(&self.shards, &other.shards)
            && !apart(self.write, other.write)
            && !apart(self.new, other.new)
            && !shards(self, other)
            && !shards(other, self)
    }

    /// The volumes it names one by one; none where it holds more.
    pub fn single_volumes(&self) -> Option<impl Iterator<Item = u64> + '_> {
        let ranges = self.volumes.as_ref()?;
        ranges.iter().all(|(a, b)| a == b).then(|| ranges.iter().map(|(a, _)| *a))
    }
}

/// A set of boxes. What is absent holds all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selector {
    pub names: Option<BTreeSet<String>>,
    pub zones: Option<BTreeSet<String>>,
    pub kinds: Option<BTreeSet<String>>,
    pub shards: Option<BTreeSet<u32>>,
    pub addresses: Option<Addresses>,
}

impl Selector {
    pub fn holds(&self, b: &TargetInfo) -> bool {
        among(&self.names, &b.name)
            && among(&self.zones, &b.zone)
            && among(&self.kinds, &b.kind)
            && among(&self.shards, &b.shard)
            && self.addresses.as_ref().is_none_or(|a| a.holds(b.addr).is_some())
    }

    /// Whether names alone decide.
    pub fn by_name(&self) -> bool {
        let Selector { zones, kinds, shards, addresses, .. } = self;
        zones.is_none() && kinds.is_none() && shards.is_none() && addresses.is_none()
    }
}
