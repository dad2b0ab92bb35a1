//! Holds expectations against a table: for all requests, by classes of requests that no route and no
//! expectation tells apart, and for all states of boxes, by what a pool could ever hold.
//!
//! A class of requests is one point of each field's values: one for each value that is named, one for all
//! others, one between any two edges of networks. A box that is not listed can come with any name and place
//! that its pool takes; where only its attributes would decide, the verdict waits for the list to name it.

use crate::expect::{Expectation, Must, Undecided};
use crate::request::{Front, RouteRequest};
use crate::sets::{Addresses, Match, Ranges, Selector, in_ranges};
use crate::table::{Origin, Table};
use crate::target::{BoxState, TargetInfo};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// What the settings say that expectations can be about.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Each class's name, and whether it writes.
    pub classes: Vec<(String, bool)>,
    /// Each plan's name, and the units a second that no volume on it passes.
    pub plans: Vec<(String, Option<f64>)>,
    pub attempts: u32,
    pub drain_grace_ms: u64,
}

/// What a check of an expectation found.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Holds,
    /// Why not, and the smallest request and list that show it.
    Broken {
        why: String,
        request: Option<String>,
        list: Vec<String>,
        route: Option<(String, Origin)>,
    },
    /// These boxes are not listed, and on their attributes it depends.
    NotYet {
        boxes: BTreeSet<String>,
    },
}

/// An expectation's verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its place.
    pub expectation: usize,
    pub verdict: Verdict,
}

/// What is no error and worth a look.
#[derive(Clone, Debug, PartialEq)]
pub struct Warning {
    pub origin: Origin,
    pub problem: String,
}

/// All that a check found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Of every expectation, in their order.
    pub findings: Vec<Finding>,
    /// Two expectations that cannot both hold, and why.
    pub contradictions: Vec<(usize, usize, String)>,
    pub warnings: Vec<Warning>,
}

impl Report {
    /// Whether the configuration may be loaded, and if not, whether it may be once the list names more boxes.
    pub fn decision(&self, expectations: &[Expectation]) -> Decision {
        let broken = |f: &Finding| matches!(f.verdict, Verdict::Broken { .. });
        let waits = |what| {
            let is = move |f: &&Finding| {
                matches!(f.verdict, Verdict::NotYet { .. })
                    && expectations.get(f.expectation).is_some_and(|e| e.undecided == what)
            };
            self.findings.iter().filter(is).count()
        };
        if !self.contradictions.is_empty() || self.findings.iter().any(broken) || waits(Undecided::Refuse) > 0
        {
            Decision::Refuse
        } else if waits(Undecided::Hold) > 0 {
            Decision::Hold
        } else {
            Decision::Load
        }
    }

    /// What an operator reads: each broken or undecided expectation, contradiction and warning, a paragraph
    /// each.
    pub fn lines(&self, expectations: &[Expectation]) -> Vec<String> {
        let named = |place: usize| {
            expectations.get(place).map_or(String::new(), |e| format!("{}: {:?}", e.origin, e.name))
        };
        let mut lines = Vec::new();
        for Finding { expectation, verdict } in &self.findings {
            let name = named(*expectation);
            match verdict {
                Verdict::Holds => {}
                Verdict::Broken { why, request, list, route } => {
                    let mut line = format!("{name} is broken: {why}");
                    if let Some(request) = request {
                        line += &format!("; by a request of {request}");
                    }
                    if !list.is_empty() {
                        line += &format!("; with the list {}", list.join(", "));
                    }
                    if let Some((route, origin)) = route {
                        line += &format!("; on route {route:?} ({origin})");
                    }
                    lines.push(line);
                }
                Verdict::NotYet { boxes } => {
                    let boxes: Vec<&str> = boxes.iter().map(String::as_str).collect();
                    lines
                        .push(format!("{name} cannot be decided before the list names {}", boxes.join(", ")));
                }
            }
        }
        for (a, b, why) in &self.contradictions {
            lines.push(format!("{} and {} contradict each other: {why}", named(*a), named(*b)));
        }
        lines.extend(self.warnings.iter().map(|w| format!("warning: {}: {}", w.origin, w.problem)));
        lines
    }
}

/// What is to become of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Load,
    /// Kept until the list names the boxes that it depends on.
    Hold,
    Refuse,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Decision::Load => "it can be loaded",
            Decision::Hold => "it waits for boxes that are not listed",
            Decision::Refuse => "it is refused",
        })
    }
}

/// Points that stand for all requests of one volume that a set of matches could tell apart.
pub(crate) struct Points<'a> {
    fronts: Vec<Front>,
    clients: Vec<Option<IpAddr>>,
    classes: Vec<(&'a str, bool)>,
    plans: Vec<Option<&'a str>>,
    shards: Vec<Option<u32>>,
}

impl<'a> Points<'a> {
    pub(crate) fn of<'m>(
        matches: impl Iterator<Item = &'m Match> + Clone,
        terms: &'a Terms,
        boxes: &BTreeSet<u32>,
    ) -> Points<'a> {
        let any = |names: &dyn Fn(&Match) -> bool| matches.clone().any(names);
        let fronts = match any(&|m| m.fronts.is_some()) {
            true => vec![Front::Http, Front::Iscsi],
            false => vec![Front::Http],
        };
        let mut clients = vec![None];
        if any(&|m| m.clients.is_some()) {
            let mut edges = BTreeSet::new();
            edges.insert(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
            edges.insert(IpAddr::V6(Ipv6Addr::UNSPECIFIED));
            matches.clone().filter_map(|m| m.clients.as_ref()).for_each(|a| a.edges(&mut edges));
            clients.extend(edges.into_iter().map(Some));
        }
        let classes: Vec<(&str, bool)> = terms.classes.iter().map(|(n, w)| (n.as_str(), *w)).collect();
        let classes = match any(&|m| m.classes.is_some() || m.write.is_some()) {
            true => classes,
            false => classes.into_iter().take(1).collect(),
        };
        let mut plans: Vec<Option<&str>> = terms.plans.iter().map(|(n, _)| Some(n.as_str())).collect();
        match any(&|m| m.plans.is_some()) {
            true => plans.push(None),
            false => plans.truncate(1),
        }
        let mut shards: BTreeSet<u32> = boxes.clone();
        matches.clone().filter_map(|m| m.shards.as_ref()).for_each(|s| shards.extend(s));
        let fresh = (0..).find(|s| !shards.contains(s));
        let shards = [None].into_iter().chain(shards.into_iter().chain(fresh).map(Some)).collect();
        Points { fronts, clients, classes, plans, shards }
    }

    pub(crate) fn requests(&self, volume: u64) -> impl Iterator<Item = RouteRequest<'a>> + '_ {
        let plan = |p: &Option<&'a str>| *p;
        self.classes.iter().flat_map(move |(class, write)| {
            self.shards.iter().flat_map(move |shard| {
                self.plans.iter().map(plan).flat_map(move |plan| {
                    self.fronts.iter().flat_map(move |front| {
                        self.clients.iter().map(move |client| RouteRequest {
                            front: *front,
                            client: *client,
                            class,
                            plan,
                            write: *write,
                            volume,
                            shard: *shard,
                        })
                    })
                })
            })
        })
    }
}

/// Volumes that stand for all that a region holds: those that routes name, and one between any two edges of
/// ranges.
pub(crate) fn volumes(table: &Table, region: &Match) -> Vec<u64> {
    if let Some(named) = region.single_volumes() {
        return named.collect();
    }
    let all: Ranges = vec![(0, u64::MAX)];
    let ranges = region.volumes.as_ref().unwrap_or(&all);
    let mut edges: BTreeSet<u64> = ranges.iter().map(|(from, _)| *from).collect();
    for route in table.routes() {
        if route.requests.single_volumes().is_none() {
            for (from, to) in route.requests.volumes.iter().flatten() {
                edges.insert(*from);
                edges.extend(to.checked_add(1));
            }
        }
    }
    let mut out: BTreeSet<u64> = edges
        .into_iter()
        .filter_map(|edge| (edge..=u64::MAX).find(|v| !table.names(*v)))
        .filter(|v| in_ranges(ranges, *v))
        .collect();
    out.extend(table.named_volumes().filter(|v| in_ranges(ranges, *v)));
    out.into_iter().collect()
}

struct Checker<'a> {
    table: &'a Table,
    terms: &'a Terms,
    boxes: &'a [TargetInfo],
    listed: BTreeSet<&'a str>,
    shards: BTreeSet<u32>,
    everything: Selector,
}

/// How a point bears on an expectation.
enum Bearing {
    Fine,
    Broken { why: String, list: Vec<String> },
    NotYet(BTreeSet<String>),
}

fn subset<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(a), Some(b)) => a.is_subset(b),
    }
}

fn apart<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a.is_disjoint(b))
}

fn nets_within(a: &Option<Addresses>, b: &Option<Addresses>) -> bool {
    match (a, b) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(a), Some(b)) => a.nets().iter().all(|x| b.nets().iter().any(|y| y.contains(x))),
    }
}

fn nets_apart(a: &Option<Addresses>, b: &Option<Addresses>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => {
            !a.nets().iter().any(|x| b.nets().iter().any(|y| x.contains(y) || y.contains(x)))
        }
        _ => false,
    }
}

/// Whether the attributes, names aside, of every box in `a` that holds the shard are those of one in `b`.
fn attributes_within(a: &Selector, b: &Selector, shard: Option<u32>) -> bool {
    let shards = match shard {
        Some(shard) => b.shards.as_ref().is_none_or(|s| s.contains(&shard)),
        None => subset(&a.shards, &b.shards),
    };
    shards
        && subset(&a.zones, &b.zones)
        && subset(&a.kinds, &b.kinds)
        && nets_within(&a.addresses, &b.addresses)
}

/// Whether no box, names aside, could be in both and hold the shard.
fn attributes_apart(a: &Selector, b: &Selector, shard: Option<u32>) -> bool {
    let lacks = |s: &Selector| {
        shard.is_some_and(|shard| s.shards.as_ref().is_some_and(|shards| !shards.contains(&shard)))
    };
    lacks(a)
        || lacks(b)
        || apart(&a.shards, &b.shards)
        || apart(&a.zones, &b.zones)
        || apart(&a.kinds, &b.kinds)
        || nets_apart(&a.addresses, &b.addresses)
}

impl<'a> Checker<'a> {
    fn new(table: &'a Table, terms: &'a Terms, boxes: &'a [TargetInfo]) -> Checker<'a> {
        Checker {
            table,
            terms,
            boxes,
            listed: boxes.iter().map(|b| b.name.as_str()).collect(),
            shards: boxes.iter().map(|b| b.shard).collect(),
            everything: Selector::default(),
        }
    }

    /// The pools that could serve a request of a route: the first, and where it has nobody the second.
    fn pools(&self, route: Option<usize>) -> Vec<&Selector> {
        let Some(route) = route.map(|r| &self.table.routes()[r]) else { return vec![&self.everything] };
        let pool = |p: usize| &self.table.pools()[p].boxes;
        [Some(route.pool), route.fallback].into_iter().flatten().map(pool).collect()
    }

    fn unlisted<'s>(&self, s: &'s Selector) -> impl Iterator<Item = &'s String> {
        s.names.iter().flatten().filter(|n| !self.listed.contains(n.as_str()))
    }

    fn members<'s>(
        &self,
        s: &'s Selector,
        shard: Option<u32>,
    ) -> impl Iterator<Item = &'a TargetInfo> + use<'s, 'a> {
        self.boxes.iter().filter(move |b| shard.is_none_or(|shard| shard == b.shard) && s.holds(b))
    }

    fn only(&self, pools: &[&Selector], shard: Option<u32>, wanted: &Selector) -> Bearing {
        let mut waits = BTreeSet::new();
        for pool in pools {
            if let Some(b) = self.members(pool, shard).find(|b| !wanted.holds(b)) {
                let why = format!("it could reach {}", b.name);
                return Bearing::Broken { why, list: vec![format!("{} active", b.name)] };
            }
            // A pool that cannot hold the shard holds nobody for it.
            if shard.is_some_and(|s| pool.shards.as_ref().is_some_and(|shards| !shards.contains(&s))) {
                continue;
            }
            if pool.names.is_none() {
                if wanted.names.is_some() || !attributes_within(pool, wanted, shard) {
                    let why = "it could reach a box that is not listed yet".to_string();
                    return Bearing::Broken { why, list: vec!["a new box of the pool, active".into()] };
                }
                continue;
            }
            for name in self.unlisted(pool) {
                let excluded = wanted.names.as_ref().is_some_and(|w| !w.contains(name));
                if excluded && pool.by_name() && shard.is_none() {
                    let why = format!("it could reach {name}");
                    return Bearing::Broken { why, list: vec![format!("{name} active")] };
                }
                if excluded || !attributes_within(pool, wanted, shard) {
                    waits.insert(name.clone());
                }
            }
        }
        if waits.is_empty() { Bearing::Fine } else { Bearing::NotYet(waits) }
    }

    fn never(
        &self,
        pools: &[&Selector],
        shard: Option<u32>,
        banned: &Selector,
        states: &[BoxState],
    ) -> Bearing {
        // Nobody is given new work in the other states, whatever the routes say.
        let Some(state) = states.iter().find(|s| s.takes_work()) else { return Bearing::Fine };
        let state = format!("{state:?}").to_lowercase();
        let mut waits = BTreeSet::new();
        for pool in pools {
            if let Some(b) = self.members(pool, shard).find(|b| banned.holds(b)) {
                let why = format!("it could reach {}", b.name);
                return Bearing::Broken { why, list: vec![format!("{} {state}", b.name)] };
            }
            if attributes_apart(pool, banned, shard) {
                continue;
            }
            if pool.names.is_none() && banned.names.is_none() {
                let why = "it could reach a box that is not listed yet".to_string();
                return Bearing::Broken { why, list: vec![format!("a new box of the pool, {state}")] };
            }
            let both: BTreeSet<&String> = match (&pool.names, &banned.names) {
                (Some(a), Some(b)) => a.intersection(b).collect(),
                (Some(a), None) | (None, Some(a)) => a.iter().collect(),
                (None, None) => BTreeSet::new(),
            };
            for name in both.into_iter().filter(|n| !self.listed.contains(n.as_str())) {
                if pool.by_name() && banned.by_name() && shard.is_none() {
                    let why = format!("it could reach {name}");
                    return Bearing::Broken { why, list: vec![format!("{name} {state}")] };
                }
                waits.insert(name.clone());
            }
        }
        if waits.is_empty() { Bearing::Fine } else { Bearing::NotYet(waits) }
    }

    /// What to say where too few boxes are there: that they are too few, or that more are named than listed.
    fn too_few(&self, pools: &[&Selector], wanted: Option<&Selector>, why: String) -> Bearing {
        let named = pools.iter().copied().chain(wanted).flat_map(|s| self.unlisted(s).cloned());
        let named: BTreeSet<String> = named.collect();
        if self.boxes.is_empty() {
            // Without a list nothing can be counted yet.
            return Bearing::NotYet(["any box".to_string()].into());
        }
        match named.is_empty() {
            true => Bearing::Broken { why, list: self.boxes.iter().map(|b| b.name.clone()).collect() },
            false => Bearing::NotYet(named),
        }
    }

    fn some(&self, pools: &[&Selector], shard: Option<u32>, wanted: &Selector, without: usize) -> Bearing {
        let names = |s: &Selector| self.members(s, shard).map(|b| b.name.as_str()).collect::<BTreeSet<_>>();
        let wants: BTreeSet<&str> =
            self.boxes.iter().filter(|b| wanted.holds(b)).map(|b| b.name.as_str()).collect();
        let first = names(pools[0]);
        let second = pools.get(1).map(|p| names(p)).unwrap_or_default();
        let good = first.intersection(&wants).count();
        // The fewest boxes that must go until none of the wanted is reached.
        let fewest = if good < first.len() {
            good
        } else {
            first.len() + second.intersection(&wants).filter(|n| !first.contains(*n)).count()
        };
        if fewest > without {
            return Bearing::Fine;
        }
        let why = match fewest {
            0 => "none of the boxes is reached".to_string(),
            n => format!("none of the boxes is reached once {n} of them have gone"),
        };
        self.too_few(pools, Some(wanted), why)
    }

    fn bearing(&self, must: &Must, request: &RouteRequest<'_>, route: Option<usize>) -> Bearing {
        let pools = self.pools(route);
        let shard = request.shard;
        match must {
            Must::Only(wanted) => self.only(&pools, shard, wanted),
            Must::Never(banned, states) => self.never(&pools, shard, banned, states),
            Must::Some { boxes, without } => self.some(&pools, shard, boxes, *without),
            Must::Refused => {
                let reached = pools.iter().find_map(|p| self.members(p, shard).next());
                if let Some(b) = reached {
                    let why = format!("{} serves it", b.name);
                    return Bearing::Broken { why, list: vec![format!("{} active", b.name)] };
                }
                let named: BTreeSet<String> = pools.iter().flat_map(|p| self.unlisted(p).cloned()).collect();
                if named.is_empty() { Bearing::Fine } else { Bearing::NotYet(named) }
            }
            Must::Spread(least) => {
                let counts = pools.iter().map(|p| self.members(p, None).count());
                let there = counts.into_iter().find(|n| *n > 0).unwrap_or(0);
                match there >= *least {
                    true => Bearing::Fine,
                    false => self.too_few(&pools, None, format!("it can go to {there} boxes, not {least}")),
                }
            }
            Must::Attempts(_) | Must::DrainGrace(_) | Must::UnitLimit(_) => Bearing::Fine,
        }
    }

    /// What the settings alone decide.
    fn by_terms(&self, expectation: &Expectation) -> Option<String> {
        match expectation.must {
            Must::Attempts(most) if self.terms.attempts > most => {
                Some(format!("the settings allow {} attempts, not {most}", self.terms.attempts))
            }
            Must::DrainGrace(most) if self.terms.drain_grace_ms > most => Some(format!(
                "the settings allow {} ms after a drain is told, not {most}",
                self.terms.drain_grace_ms
            )),
            Must::UnitLimit(most) => {
                let wanted =
                    |name: &String| expectation.requests.plans.as_ref().is_none_or(|p| p.contains(name));
                let over = |limit: &Option<f64>| limit.is_none_or(|l| l > most);
                let plan = self.terms.plans.iter().find(|(name, limit)| wanted(name) && over(limit));
                plan.map(|(name, limit)| match limit {
                    Some(limit) => format!("plan {name} allows {limit} units a second, not {most}"),
                    None => format!("plan {name} has no limit"),
                })
            }
            _ => None,
        }
    }

    fn verdict(&self, e: &Expectation) -> Verdict {
        if let Some(why) = self.by_terms(e) {
            return Verdict::Broken { why, request: None, list: Vec::new(), route: None };
        }
        if matches!(e.must, Must::Attempts(_) | Must::DrainGrace(_) | Must::UnitLimit(_)) {
            return Verdict::Holds;
        }
        // A shard that no box holds has nobody whatever the routes say: only one that is named counts.
        let everywhere = matches!(e.must, Must::Only(_) | Must::Never(..));
        let named = |shard: u32| {
            everywhere
                || self.shards.contains(&shard)
                || e.requests.shards.as_ref().is_some_and(|s| s.contains(&shard))
        };
        let mut waits = BTreeSet::new();
        for volume in volumes(self.table, &e.requests) {
            let routes: Vec<&Match> =
                self.table.candidates(volume).map(|p| &self.table.routes()[p].requests).collect();
            let matches = routes.iter().copied().chain([&e.requests]);
            let points = Points::of(matches, self.terms, &self.shards);
            for request in points.requests(volume) {
                if e.requests.holds(&request).is_none()
                    || request.shard.is_some_and(|s| !named(s))
                    || (matches!(e.must, Must::Spread(_)) && request.shard.is_some())
                {
                    continue;
                }
                let route = self.table.route(&request);
                match self.bearing(&e.must, &request, route) {
                    Bearing::Fine => {}
                    Bearing::NotYet(boxes) => waits.extend(boxes),
                    Bearing::Broken { why, list } => {
                        let route = route.map(|r| &self.table.routes()[r]);
                        return Verdict::Broken {
                            why,
                            request: Some(request.to_string()),
                            list,
                            route: route.map(|r| (r.name.clone(), r.origin.clone())),
                        };
                    }
                }
            }
        }
        if waits.is_empty() { Verdict::Holds } else { Verdict::NotYet { boxes: waits } }
    }

    /// Routes that no request takes, and pools without a box.
    fn warnings(&self) -> Vec<Warning> {
        let mut out = Vec::new();
        for (place, route) in self.table.routes().iter().enumerate() {
            let mut instead = None;
            let taken = volumes(self.table, &route.requests).into_iter().any(|volume| {
                let matches = self.table.candidates(volume).map(|p| &self.table.routes()[p].requests);
                let matches: Vec<&Match> = matches.collect();
                let points = Points::of(matches.iter().copied(), self.terms, &self.shards);
                points.requests(volume).any(|request| {
                    if route.requests.holds(&request).is_none() {
                        return false;
                    }
                    let chosen = self.table.route(&request);
                    instead = instead.or(chosen);
                    chosen == Some(place)
                })
            });
            if !taken {
                let by = instead.map(|r| &self.table.routes()[r]);
                let by = by.map_or("no class or plan of the settings matches it".to_string(), |r| {
                    format!("{:?} ({}) takes its requests", r.name, r.origin)
                });
                let problem = format!("route {:?} is never taken: {by}", route.name);
                out.push(Warning { origin: route.origin.clone(), problem });
            }
        }
        for pool in self.table.pools() {
            if !self.boxes.is_empty() && self.members(&pool.boxes, None).next().is_none() {
                let problem = format!("pool {:?} holds none of the listed boxes", pool.name);
                out.push(Warning { origin: pool.origin.clone(), problem });
            }
        }
        out
    }
}

/// Why two musts cannot both hold for a request, if so.
fn clash(a: &Must, b: &Must) -> Option<String> {
    let disjoint = |a: &Selector, b: &Selector| apart(&a.names, &b.names) || attributes_apart(a, b, None);
    let within = |a: &Selector, b: &Selector| subset(&a.names, &b.names) && attributes_within(a, b, None);
    let working = |states: &[BoxState]| BoxState::ALL.iter().all(|s| !s.takes_work() || states.contains(s));
    let pair = match (a, b) {
        (Must::Only(x), Must::Only(y)) if disjoint(x, y) => "each allows only boxes that the other forbids",
        (Must::Only(x), Must::Some { boxes: y, .. }) if disjoint(x, y) => {
            "one wants a box reached that the other forbids"
        }
        (Must::Only(x), Must::Never(y, states)) if within(x, y) && working(states) => {
            "what one allows the other forbids"
        }
        (Must::Some { boxes: x, .. }, Must::Never(y, states)) if within(x, y) && working(states) => {
            "one wants a box reached that the other forbids"
        }
        (Must::Refused, Must::Some { .. } | Must::Spread(1..)) => "one wants it refused, the other served",
        (Must::Only(x), Must::Spread(least))
            if x.names.as_ref().is_some_and(|names| names.len() < *least) =>
        {
            "one allows fewer boxes than the other asks for"
        }
        _ => return None,
    };
    Some(pair.to_string())
}

fn contradictions(expectations: &[Expectation]) -> Vec<(usize, usize, String)> {
    // Those that name volumes one by one meet only where they share one.
    let mut by_volume: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut general = Vec::new();
    for (place, e) in expectations.iter().enumerate() {
        match e.requests.single_volumes() {
            Some(volumes) => volumes.for_each(|v| by_volume.entry(v).or_default().push(place)),
            None => general.push(place),
        }
    }
    let mut pairs = BTreeSet::new();
    for together in by_volume.values() {
        for (i, a) in together.iter().enumerate() {
            pairs.extend(together[i + 1..].iter().map(|b| (*a, *b)));
        }
    }
    for a in &general {
        pairs.extend((0..expectations.len()).filter(|b| b != a).map(|b| (*a.min(&b), *a.max(&b))));
    }
    let mut out = Vec::new();
    for (a, b) in pairs {
        let (x, y) = (&expectations[a], &expectations[b]);
        let why = clash(&x.must, &y.must).or_else(|| clash(&y.must, &x.must));
        if let Some(why) = why.filter(|_| x.requests.meets(&y.requests)) {
            out.push((a, b, why));
        }
    }
    out
}

/// Checks expectations against a table, the settings, and the boxes that are listed now.
pub fn check(table: &Table, expectations: &[Expectation], terms: &Terms, boxes: &[TargetInfo]) -> Report {
    let checker = Checker::new(table, terms, boxes);
    let verdict = |(expectation, e)| Finding { expectation, verdict: checker.verdict(e) };
    Report {
        findings: expectations.iter().enumerate().map(verdict).collect(),
        contradictions: contradictions(expectations),
        warnings: checker.warnings(),
    }
}
