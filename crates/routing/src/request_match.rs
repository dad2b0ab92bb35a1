//! Sets of requests, defined by the attributes that routes and expectations name.

use crate::addresses::AddressSet;
use crate::request::{Front, RouteRequest};
use std::collections::BTreeSet;

/// Volumes, as ranges that include both ends.
pub type VolumeRanges = Vec<(u64, u64)>;

/// Whether a volume is in one of the ranges.
pub fn in_ranges(ranges: &VolumeRanges, volume: u64) -> bool {
    ranges.iter().any(|(first, last)| (*first..=*last).contains(&volume))
}

fn ranges_overlap(a: &VolumeRanges, b: &VolumeRanges) -> bool {
    a.iter().any(|(a_first, a_last)| b.iter().any(|(b_first, b_last)| a_first <= b_last && b_first <= a_last))
}

/// A set of requests. An attribute that is `None` matches every request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMatch {
    /// The fronts that receive the requests.
    pub fronts: Option<Vec<Front>>,
    /// The addresses of the clients.
    pub clients: Option<AddressSet>,
    /// The names of the request classes.
    pub classes: Option<BTreeSet<String>>,
    /// The names of the volumes' QoS plans.
    pub plans: Option<BTreeSet<String>>,
    /// The volumes.
    pub volumes: Option<VolumeRanges>,
    /// The shards of the objects.
    pub shards: Option<BTreeSet<u32>>,
    /// Only writes if true, only reads if false.
    pub write: Option<bool>,
    /// Only new objects if true, only objects that have a shard if false.
    pub new: Option<bool>,
}

/// Whether both values are given and differ.
fn differ<T: PartialEq>(a: Option<T>, b: Option<T>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

/// Whether two sets have a value in common; `None` contains all values.
fn overlap<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => !a.is_disjoint(b),
        _ => true,
    }
}

/// Whether both values are given and the test fails for them.
fn are_exclusive<T>(a: &Option<T>, b: &Option<T>, test: impl Fn(&T, &T) -> bool) -> bool {
    matches!((a, b), (Some(a), Some(b)) if !test(a, b))
}

impl RequestMatch {
    /// The length in bits of the network prefix by which the request is in the set; 0 if the set names no
    /// network. `None` if the request is not in the set.
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

    /// Whether the two sets may have a request in common. The attributes are compared one by one, so sets
    /// that only a combination of attributes separates, such as a class and `write`, count as overlapping.
    pub fn overlaps(&self, other: &RequestMatch) -> bool {
        let shard_against_new =
            |a: &RequestMatch, b: &RequestMatch| a.shards.is_some() && b.new == Some(true);
        let share_front = |a: &Vec<Front>, b: &Vec<Front>| a.iter().any(|front| b.contains(front));
        !are_exclusive(&self.fronts, &other.fronts, share_front)
            && !are_exclusive(&self.volumes, &other.volumes, ranges_overlap)
            && !are_exclusive(&self.clients, &other.clients, AddressSet::overlaps)
            && overlap(&self.classes, &other.classes)
            && overlap(&self.plans, &other.plans)
            && overlap(&self.shards, &other.shards)
            && !differ(self.write, other.write)
            && !differ(self.new, other.new)
            && !shard_against_new(self, other)
            && !shard_against_new(other, self)
    }

    /// The volumes, if each is named individually; `None` if the set contains a range or all volumes.
    pub fn single_volumes(&self) -> Option<impl Iterator<Item = u64> + '_> {
        let ranges = self.volumes.as_ref()?;
        let single = ranges.iter().all(|(first, last)| first == last);
        single.then(|| ranges.iter().map(|(volume, _)| *volume))
    }
}
