//! Sets of requests, by the attributes that routes and expectations name.

use crate::addresses::AddressSet;
use crate::request::{Front, RouteRequest};
use std::collections::BTreeSet;

/// Volumes, as ranges that include both their ends.
pub type VolumeRanges = Vec<(u64, u64)>;

/// Whether a volume is in one of the ranges.
pub fn in_ranges(ranges: &VolumeRanges, volume: u64) -> bool {
    ranges.iter().any(|(first, last)| (*first..=*last).contains(&volume))
}

fn ranges_overlap(a: &VolumeRanges, b: &VolumeRanges) -> bool {
    a.iter().any(|(a_first, a_last)| b.iter().any(|(b_first, b_last)| a_first <= b_last && b_first <= a_last))
}

/// A set of requests. An attribute that is none matches every request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMatch {
    /// The fronts that they come through.
    pub fronts: Option<Vec<Front>>,
    /// The clients' addresses.
    pub clients: Option<AddressSet>,
    /// The names of their classes.
    pub classes: Option<BTreeSet<String>>,
    /// The names of their volumes' plans.
    pub plans: Option<BTreeSet<String>>,
    /// Their volumes.
    pub volumes: Option<VolumeRanges>,
    /// The shards of their objects.
    pub shards: Option<BTreeSet<u32>>,
    /// Writes, or reads.
    pub write: Option<bool>,
    /// New objects, or those that lie on a shard.
    pub new: Option<bool>,
}

/// Whether two values that are both given differ.
fn differ<T: PartialEq>(a: Option<T>, b: Option<T>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

/// Whether two sets share a value; a set that is none holds all.
fn overlap<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => !a.is_disjoint(b),
        _ => true,
    }
}

/// Whether both values are given and a test of them fails.
fn both_and_not<T>(a: &Option<T>, b: &Option<T>, test: impl Fn(&T, &T) -> bool) -> bool {
    matches!((a, b), (Some(a), Some(b)) if !test(a, b))
}

impl RequestMatch {
    /// Whether the request is in the set, and by how long a prefix of its network in bits: 0 where none is
    /// named. None: it is not.
    pub fn matched_prefix(&self, request: &RouteRequest<'_>) -> Option<u8> {
        if !self.matches_all_but_client(request) {
            return None;
        }
        match &self.clients {
            None => Some(0),
            Some(clients) => clients.longest_prefix(request.client?),
        }
    }

    /// Whether the request is in the set.
    pub fn matches(&self, request: &RouteRequest<'_>) -> bool {
        self.matched_prefix(request).is_some()
    }

    fn matches_all_but_client(&self, request: &RouteRequest<'_>) -> bool {
        let RouteRequest { front, class, plan, write, volume, shard, .. } = *request;
        self.fronts.as_ref().is_none_or(|fronts| fronts.contains(&front))
            && self.volumes.as_ref().is_none_or(|volumes| in_ranges(volumes, volume))
            && self.classes.as_ref().is_none_or(|classes| classes.contains(class))
            && self.plans.as_ref().is_none_or(|plans| plan.is_some_and(|plan| plans.contains(plan)))
            && self.shards.as_ref().is_none_or(|shards| shard.is_some_and(|shard| shards.contains(&shard)))
            && self.write.is_none_or(|wanted| wanted == write)
            && self.new.is_none_or(|wanted| wanted == shard.is_none())
    }

    /// Whether the two sets could share a request. It may say yes where only their networks keep them apart.
    pub fn overlaps(&self, other: &RequestMatch) -> bool {
        let shard_against_new =
            |a: &RequestMatch, b: &RequestMatch| a.shards.is_some() && b.new == Some(true);
        let share_front = |a: &Vec<Front>, b: &Vec<Front>| a.iter().any(|front| b.contains(front));
        !both_and_not(&self.fronts, &other.fronts, share_front)
            && !both_and_not(&self.volumes, &other.volumes, ranges_overlap)
            && !both_and_not(&self.clients, &other.clients, AddressSet::overlaps)
            && overlap(&self.classes, &other.classes)
            && overlap(&self.plans, &other.plans)
            && overlap(&self.shards, &other.shards)
            && !differ(self.write, other.write)
            && !differ(self.new, other.new)
            && !shard_against_new(self, other)
            && !shard_against_new(other, self)
    }

    /// The volumes that it names one by one; none where it holds a range or all.
    pub fn single_volumes(&self) -> Option<impl Iterator<Item = u64> + '_> {
        let ranges = self.volumes.as_ref()?;
        let single = ranges.iter().all(|(first, last)| first == last);
        single.then(|| ranges.iter().map(|(volume, _)| *volume))
    }
}
