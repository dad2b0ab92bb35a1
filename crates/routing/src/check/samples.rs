//! Samples of requests: one for each class that routes and expectations can distinguish.

use crate::request::{Front, RouteRequest};
use crate::request_match::{RequestMatch, VolumeRanges, in_ranges};
use crate::settings::{ClassSettings, ServiceSettings};
use crate::table::RouteTable;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// For each field, the values needed to represent all requests of one volume that a set of matches can
/// distinguish.
pub(crate) struct RequestSamples<'a> {
    fronts: Vec<Front>,
    clients: Vec<Option<IpAddr>>,
    classes: &'a [ClassSettings],
    plans: Vec<Option<&'a str>>,
    shards: Vec<Option<u32>>,
}

impl<'a> RequestSamples<'a> {
    pub(crate) fn of<'m>(
        matches: impl Iterator<Item = &'m RequestMatch> + Clone,
        settings: &'a ServiceSettings,
        shards: &BTreeSet<u32>,
    ) -> RequestSamples<'a> {
        let any = |names: fn(&RequestMatch) -> bool| matches.clone().any(names);
        RequestSamples {
            fronts: match any(|m| m.fronts.is_some()) {
                true => vec![Front::Http, Front::Iscsi],
                false => vec![Front::Http],
            },
            clients: sample_clients(matches.clone()),
            classes: match any(|m| m.classes.is_some() || m.write.is_some()) {
                true => &settings.classes,
                false => settings.classes.get(..1).unwrap_or_default(),
            },
            plans: sample_plans(settings, any(|m| m.plans.is_some())),
            shards: sample_shards(matches, shards),
        }
    }

    /// Requests of a volume, one for each combination of the fields' values.
    pub(crate) fn requests(&self, volume: u64) -> impl Iterator<Item = RouteRequest<'a>> + '_ {
        let request = move |class: &'a ClassSettings, shard, plan, front, client| RouteRequest {
            front,
            client,
            class: &class.name,
            plan,
            write: class.writes,
            volume,
            shard,
        };
        let classes = self.classes.iter();
        let with_shard = classes.flat_map(|class| self.shards.iter().map(move |shard| (class, *shard)));
        let with_plan =
            with_shard.flat_map(|(class, shard)| self.plans.iter().map(move |plan| (class, shard, *plan)));
        let with_front = with_plan.flat_map(|(class, shard, plan)| {
            self.fronts.iter().map(move |front| (class, shard, plan, *front))
        });
        with_front.flat_map(move |(class, shard, plan, front)| {
            self.clients.iter().map(move |client| request(class, shard, plan, front, *client))
        })
    }
}

fn sample_clients<'m>(matches: impl Iterator<Item = &'m RequestMatch>) -> Vec<Option<IpAddr>> {
    let mut boundaries = BTreeSet::new();
    for clients in matches.filter_map(|m| m.clients.as_ref()) {
        boundaries.insert(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        boundaries.insert(IpAddr::V6(Ipv6Addr::UNSPECIFIED));
        clients.boundaries(&mut boundaries);
    }
    [None].into_iter().chain(boundaries.into_iter().map(Some)).collect()
}

fn sample_plans(settings: &ServiceSettings, named: bool) -> Vec<Option<&str>> {
    let mut plans: Vec<Option<&str>> = settings.plans.iter().map(|plan| Some(plan.name.as_str())).collect();
    match named {
        true => plans.push(None),
        false => plans.truncate(1),
    }
    plans
}

/// No shard, each shard that is listed or named, and one other.
fn sample_shards<'m>(
    matches: impl Iterator<Item = &'m RequestMatch>,
    listed: &BTreeSet<u32>,
) -> Vec<Option<u32>> {
    let mut shards = listed.clone();
    matches.filter_map(|m| m.shards.as_ref()).for_each(|named| shards.extend(named));
    let other = (0..).find(|shard| !shards.contains(shard));
    [None].into_iter().chain(shards.into_iter().chain(other).map(Some)).collect()
}

/// Volumes that represent all volumes of `requests`: those that routes name, and one between any two
/// neighboring boundaries of ranges.
pub(crate) fn sample_volumes(table: &RouteTable, requests: &RequestMatch) -> Vec<u64> {
    if let Some(named) = requests.single_volumes() {
        return named.collect();
    }
    let all: VolumeRanges = vec![(0, u64::MAX)];
    let ranges = requests.volumes.as_ref().unwrap_or(&all);
    let mut volumes: BTreeSet<u64> = range_edges(table, ranges)
        .into_iter()
        .filter_map(|edge| (edge..=u64::MAX).find(|volume| !table.names_volume(*volume)))
        .filter(|volume| in_ranges(ranges, *volume))
        .collect();
    volumes.extend(table.named_volumes().filter(|volume| in_ranges(ranges, *volume)));
    volumes.into_iter().collect()
}

/// The starts of ranges, and the volumes that follow the ends of the routes' ranges.
fn range_edges(table: &RouteTable, ranges: &VolumeRanges) -> BTreeSet<u64> {
    let mut edges: BTreeSet<u64> = ranges.iter().map(|(first, _)| *first).collect();
    let with_ranges = table.routes().iter().filter(|route| route.requests.single_volumes().is_none());
    for (first, last) in with_ranges.flat_map(|route| route.requests.volumes.iter().flatten()) {
        edges.insert(*first);
        edges.extend(last.checked_add(1));
    }
    edges
}
