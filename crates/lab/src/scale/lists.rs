//! The list of targets: what a whole one and a change of one target cost an instance.

use super::cost::{Cost, Size, measure, thread_time};
use crate::failure::Failure;
use crate::initiators::ZONE;
use crate::traces;
use rowanglade::core::{Clock, Core, CoreDependencies, Endpoint, Message, Protocol, mailbox};
use rowanglade::interface::{
    Action, AttemptNumber, ClassId, EndpointEntry, EndpointUpdateKind, Event, KeyId, LoadReport, Micros,
    Outcome, PlanId, RequestId, RequestProfile, ShardId, TargetId, TargetState, VolumeId, ZoneId,
};
use rowanglade::names::Names;
use rowanglade::net::http::EndpointPage;
use rowanglade::scheduler::Scheduler;
use rowanglade::settings::Settings;
use rowanglade_subset::{Subset, SubsetConfig};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

const SEED: u64 = 33;
/// Changes that the mean cost of one is taken over.
const CHANGES: usize = 20;
const EMPTY_CHANGES: usize = 2_000;
/// Times that a list is read or written: the least of a few is noise where others use the machine.
const RUNS: usize = 60;
/// Zones of the fleet.
const ZONES: usize = 9;

/// A target as the list has it; its address is never connected to.
pub fn line(place: usize) -> Endpoint {
    let [.., high, low] = (place as u32).to_be_bytes();
    Endpoint {
        name: format!("s-{place:08x}"),
        protocol: Protocol::Http,
        addr: SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 9)),
        zone: format!("{ZONE}-{}", place % ZONES),
        kind: "std-box".into(),
        shard: place as u32,
        state: TargetState::Active,
        started: None,
    }
}

pub fn lines(targets: usize) -> Vec<Endpoint> {
    (0..targets).map(line).collect()
}

/// A whole list, read from its JSON.
pub fn decode(size: Size) -> Result<Cost, Failure> {
    let text = serde_json::to_vec(&EndpointPage::snapshot(lines(size.targets)))?;
    serde_json::from_slice::<EndpointPage>(&text)?;
    let cost = measure(RUNS, || serde_json::from_slice::<EndpointPage>(&text));
    Ok(Cost { wire: text.len() as f64, ..cost })
}

/// A whole list, written as JSON: the least that whoever serves it spends on each reader.
pub fn encode(size: Size) -> Result<Cost, Failure> {
    let page = EndpointPage::snapshot(lines(size.targets));
    let text = serde_json::to_vec(&page)?;
    let cost = measure(RUNS, || serde_json::to_vec(&page));
    Ok(Cost { wire: text.len() as f64, ..cost })
}

/// The decision module that has heard the whole list.
fn listed_module(size: Size) -> Result<(Scheduler, Vec<Action>), Failure> {
    let settings = rowanglade_test_fleet::settings(
        &traces::standard_header(),
        size.instances as usize,
        ZONE,
        size.targets,
    );
    let settings: Settings = serde_json::from_value(settings)?;
    let settings = settings
        .translate(&mut Names::default())
        .map_err(|error| Failure::Unreadable(format!("{error:?}")))?;
    let mut scheduler =
        Scheduler::new(settings, SEED).map_err(|error| Failure::Unreadable(format!("{error:?}")))?;
    let mut actions = Vec::new();
    let entries = (0..size.targets).map(|place| entry(place, TargetState::Active)).collect();
    scheduler.handle(
        0,
        Event::EndpointsChanged { kind: EndpointUpdateKind::Snapshot, entries },
        &mut actions,
    );
    actions.clear();
    Ok((scheduler, actions))
}

fn entry(place: usize, state: TargetState) -> EndpointEntry {
    let (node, shard) = (TargetId(place as u32), ShardId(place as u32));
    EndpointEntry { target: node, shard, zone: ZoneId((place % ZONES) as u32), state, started: None }
}

/// The decision module by itself: the whole list once, then changes of one target each.
pub fn module_change(size: Size) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = listed_module(size)?;
    let begun = thread_time();
    for change in 0..CHANGES {
        let state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Active };
        let entries = vec![entry(change * 7 % size.targets, state)];
        scheduler.handle(
            1_000 * change as u64,
            Event::EndpointsChanged { kind: EndpointUpdateKind::Delta, entries },
            &mut actions,
        );
        actions.clear();
    }
    Ok(Cost { processor: (thread_time() - begun) / CHANGES as f64, ..Cost::default() })
}

/// Requests that the mean cost of one is taken over, and the microseconds between two: 1,050 a second.
const REQUESTS: u64 = 60;
const BETWEEN: Micros = 952;
/// Microseconds that a target takes.
const SERVED_IN: Micros = 2_000;

/// The decision module by itself, with requests of as many shards as there are targets, all of which are
/// served.
pub fn module_request(size: Size) -> Result<Cost, Failure> {
    module_requests(size, |number| Some(ShardId((number as usize * 7 % size.targets) as u32)))
}

/// The same with new objects, for which the module chooses the shard.
pub fn module_new_object(size: Size) -> Result<Cost, Failure> {
    module_requests(size, |_| None)
}

fn module_requests(size: Size, shard: impl Fn(u64) -> Option<ShardId>) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = listed_module(size)?;
    let mut due: BTreeMap<(Micros, u64), Event> = BTreeMap::new();
    let mut order = 0;
    for number in 0..REQUESTS {
        let at = number * BETWEEN;
        let request = RequestProfile {
            id: RequestId(number),
            class: Some(ClassId(0)),
            plan: Some(PlanId(1)),
            volume: VolumeId(number as u32),
            key: Some(KeyId(number)),
            units: 1.0,
            shard: shard(number),
            initiators: 1,
            deadline: at + 1_500_000,
            target_set: None,
        };
        due.insert((at, order), Event::RequestArrived(request));
        order += 1;
    }
    let (begun, mut served) = (thread_time(), 0);
    while served < REQUESTS {
        let ((now, _), event) = due.pop_first().ok_or(Failure::Unexpected("a request has no end"))?;
        served += u64::from(matches!(event, Event::AttemptEnded { .. }));
        scheduler.handle(now, event, &mut actions);
        for action in std::mem::take(&mut actions) {
            let (after, event) = match action {
                Action::SetTimer { token, after } => (after, Event::TimerFired { token }),
                Action::StartAttempt { id, target: node, .. } => {
                    scheduler.commit_reserved(now, id);
                    (SERVED_IN, answered(id, node))
                }
                Action::Reject { .. } | Action::Fail { .. } => {
                    return Err(Failure::Unexpected("a request is not served"));
                }
                _ => continue,
            };
            due.insert((now + after, order), event);
            order += 1;
        }
    }
    Ok(Cost { processor: (thread_time() - begun) / REQUESTS as f64, ..Cost::default() })
}

fn answered(id: RequestId, node: TargetId) -> Event {
    Event::AttemptEnded {
        id,
        attempt: AttemptNumber(0),
        target: node,
        outcome: Outcome::Served,
        elapsed: SERVED_IN,
        request_over: true,
        used_fraction: None,
        units_elsewhere: 0.0,
        load: LoadReport::default(),
    }
}

/// Lists that change nothing, in the module: a watch that ends without news.
pub fn module_empty_change(size: Size) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = listed_module(size)?;
    let begun = thread_time();
    for change in 0..EMPTY_CHANGES {
        let event = Event::EndpointsChanged { kind: EndpointUpdateKind::Delta, entries: Vec::new() };
        scheduler.handle(1_000 * change as u64, event, &mut actions);
        actions.clear();
    }
    Ok(Cost { processor: (thread_time() - begun) / EMPTY_CHANGES as f64, ..Cost::default() })
}

/// A core without sockets beside targets that are no more than a mailbox: the whole list once, then changes
/// of one target each. The state is the list's, the processor time that of one change.
fn core_changes(size: Size, subset: Option<SubsetConfig>) -> Result<Cost, Failure> {
    let settings = rowanglade_test_fleet::settings(
        &traces::standard_header(),
        size.instances as usize,
        ZONE,
        size.targets,
    );
    let settings: Settings = serde_json::from_value(settings)?;
    let mut names = Names::default();
    let scheduler = Scheduler::new(
        settings.translate(&mut names).map_err(|error| Failure::Unreadable(format!("{error:?}")))?,
        SEED,
    );
    let scheduler = scheduler.map_err(|error| Failure::Unreadable(format!("{error:?}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inbox, handle) = mailbox(&settings, None);
        let (_routes, table) = watch::channel(Arc::default());
        let (_operators, operations) = mpsc::channel(1);
        let (_handover, upgrades) = mpsc::channel(1);
        let (calls, _calls) = mpsc::channel(1);
        let (seen, _seen) = mpsc::channel(1);
        let subset = subset.map(|rule| Subset::new(rule, 0, size.instances));
        let beside = CoreDependencies {
            routes: table,
            quota: None,
            admin_requests: operations,
            handover_requests: upgrades,
            admin_commands: calls,
            object_observations: seen,
            sites: None,
            subset,
        };
        let connect = Box::new(|_: &Endpoint| mpsc::channel(1).0);
        let core = Core::new(scheduler, names, Clock::start(), inbox, connect, beside);
        tokio::task::spawn_local(core.run());
        let mut listed = handle.endpoint_revision();
        let entries = lines(size.targets);
        let whole = Message::endpoints(Protocol::Http, EndpointUpdateKind::Snapshot, entries);
        let memory = super::cost::allocated();
        handle.send(whole).await;
        listed.changed().await?;
        tokio::task::yield_now().await;
        let state = (super::cost::allocated() - memory).max(0.0);
        let begun = thread_time();
        for change in 0..CHANGES {
            // Another kind is news to whoever waits for the list; another start is news to the module.
            let mut entry = line(change * 7 % size.targets);
            entry.kind = format!("box-{change}");
            entry.started = Some(1_000_000 * change as u64);
            // One that had left comes back: the subset hears of it too.
            entry.state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Active };
            let news = Message::endpoints(Protocol::Http, EndpointUpdateKind::Delta, vec![entry]);
            handle.send(news).await;
            listed.changed().await?;
        }
        let processor = (thread_time() - begun) / CHANGES as f64;
        Ok(Cost { processor, state, ..Cost::default() })
    })
}

/// A change of one target, without a subset.
pub fn change(size: Size) -> Result<Cost, Failure> {
    core_changes(size, None)
}

/// The same, with `[subset]`.
pub fn change_with_subset(size: Size) -> Result<Cost, Failure> {
    core_changes(size, Some(super::subsets::RULE))
}
