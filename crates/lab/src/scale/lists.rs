//! Cost of the endpoint list for an initiator: a snapshot, and a change of one target.

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
/// Number of changes that the mean cost of one is computed from.
const CHANGES: usize = 20;
const EMPTY_CHANGES: usize = 2_000;
/// Number of times that a list is decoded or encoded. The minimum is used: other load on the machine only
/// adds time.
const RUNS: usize = 60;
/// Number of zones in the fleet.
const ZONES: usize = 9;

/// An entry of the endpoint list. Nothing ever connects to its address.
pub fn endpoint(index: usize) -> Endpoint {
    let [.., high, low] = (index as u32).to_be_bytes();
    Endpoint {
        name: format!("s-{index:08x}"),
        protocol: Protocol::Http,
        addr: SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 9)),
        zone: format!("{ZONE}-{}", index % ZONES),
        kind: "std-box".into(),
        shard: index as u32,
        state: TargetState::Active,
        started: None,
    }
}

pub fn endpoints(targets: usize) -> Vec<Endpoint> {
    (0..targets).map(endpoint).collect()
}

/// Decodes a snapshot from JSON.
pub fn decode(size: Size) -> Result<Cost, Failure> {
    let text = serde_json::to_vec(&EndpointPage::snapshot(endpoints(size.targets)))?;
    serde_json::from_slice::<EndpointPage>(&text)?;
    let cost = measure(RUNS, || serde_json::from_slice::<EndpointPage>(&text));
    Ok(Cost { wire: text.len() as f64, ..cost })
}

/// Encodes a snapshot as JSON, the minimum work that a discovery server does for each reader.
pub fn encode(size: Size) -> Result<Cost, Failure> {
    let page = EndpointPage::snapshot(endpoints(size.targets));
    let text = serde_json::to_vec(&page)?;
    let cost = measure(RUNS, || serde_json::to_vec(&page));
    Ok(Cost { wire: text.len() as f64, ..cost })
}

/// Creates a scheduler that has received a snapshot of all targets.
fn scheduler_with_list(size: Size) -> Result<(Scheduler, Vec<Action>), Failure> {
    let settings = rowanglade_test_fleet::settings(
        &traces::standard_header(),
        size.initiators as usize,
        ZONE,
        size.targets,
    );
    let settings: Settings = serde_json::from_value(settings)?;
    let settings = settings
        .translate(&mut Names::default())
        .map_err(|error| Failure::InvalidSettings(format!("{error:?}")))?;
    let mut scheduler =
        Scheduler::new(settings, SEED).map_err(|error| Failure::InvalidSettings(format!("{error:?}")))?;
    let mut actions = Vec::new();
    let entries = (0..size.targets).map(|index| entry(index, TargetState::Active)).collect();
    scheduler.handle(
        0,
        Event::EndpointsChanged { kind: EndpointUpdateKind::Snapshot, entries },
        &mut actions,
    );
    actions.clear();
    Ok((scheduler, actions))
}

fn entry(index: usize, state: TargetState) -> EndpointEntry {
    let (target_id, shard) = (TargetId(index as u32), ShardId(index as u32));
    EndpointEntry { target: target_id, shard, zone: ZoneId((index % ZONES) as u32), state, started: None }
}

/// Cost of a change of one target in the scheduler alone.
pub fn scheduler_change(size: Size) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = scheduler_with_list(size)?;
    let started_at = thread_time();
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
    Ok(Cost { processor: (thread_time() - started_at) / CHANGES as f64, ..Cost::default() })
}

/// Number of requests that the mean cost of one is computed from, and the microseconds between two of them,
/// which make 1,050 requests per second.
const REQUESTS: u64 = 60;
const REQUEST_INTERVAL: Micros = 952;
/// Microseconds that a target takes to serve a request.
const SERVICE_TIME: Micros = 2_000;

/// Cost of a request in the scheduler alone. The requests spread over as many shards as there are targets,
/// and all of them are served.
pub fn scheduler_request(size: Size) -> Result<Cost, Failure> {
    scheduler_requests(size, |number| Some(ShardId((number as usize * 7 % size.targets) as u32)))
}

/// Cost of a request for a new object, for which the scheduler chooses the shard.
pub fn scheduler_new_object(size: Size) -> Result<Cost, Failure> {
    scheduler_requests(size, |_| None)
}

fn scheduler_requests(size: Size, shard: impl Fn(u64) -> Option<ShardId>) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = scheduler_with_list(size)?;
    let mut due: BTreeMap<(Micros, u64), Event> = BTreeMap::new();
    let mut order = 0;
    for number in 0..REQUESTS {
        let at = number * REQUEST_INTERVAL;
        let request = RequestProfile {
            id: RequestId(number),
            class: Some(ClassId(0)),
            plan: Some(PlanId(1)),
            volume: VolumeId(number),
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
    let (started_at, mut served) = (thread_time(), 0);
    while served < REQUESTS {
        let ((now, _), event) = due.pop_first().ok_or(Failure::Unexpected("a request did not end"))?;
        served += u64::from(matches!(event, Event::AttemptEnded { .. }));
        scheduler.handle(now, event, &mut actions);
        for action in std::mem::take(&mut actions) {
            let (after, event) = match action {
                Action::SetTimer { token, after } => (after, Event::TimerFired { token }),
                Action::StartAttempt { id, target: target_id, .. } => {
                    scheduler.commit_reserved(now, id);
                    (SERVICE_TIME, attempt_served(id, target_id))
                }
                Action::Reject { .. } | Action::Fail { .. } => {
                    return Err(Failure::Unexpected("a request was rejected or failed"));
                }
                _ => continue,
            };
            due.insert((now + after, order), event);
            order += 1;
        }
    }
    Ok(Cost { processor: (thread_time() - started_at) / REQUESTS as f64, ..Cost::default() })
}

fn attempt_served(id: RequestId, target_id: TargetId) -> Event {
    Event::AttemptEnded {
        id,
        attempt: AttemptNumber(0),
        target: target_id,
        outcome: Outcome::Served,
        elapsed: SERVICE_TIME,
        request_over: true,
        used_fraction: None,
        units_elsewhere: 0.0,
        load: LoadReport::default(),
    }
}

/// Cost in the scheduler of an empty delta, as a watch returns that times out without a change.
pub fn scheduler_empty_change(size: Size) -> Result<Cost, Failure> {
    let (mut scheduler, mut actions) = scheduler_with_list(size)?;
    let started_at = thread_time();
    for change in 0..EMPTY_CHANGES {
        let event = Event::EndpointsChanged { kind: EndpointUpdateKind::Delta, entries: Vec::new() };
        scheduler.handle(1_000 * change as u64, event, &mut actions);
        actions.clear();
    }
    Ok(Cost { processor: (thread_time() - started_at) / EMPTY_CHANGES as f64, ..Cost::default() })
}

/// Cost of changes in a core without sockets, whose target connections are plain channels. `state` is the
/// memory of the snapshot, `processor` the time for a change of one target.
fn core_changes(size: Size, subset: Option<SubsetConfig>) -> Result<Cost, Failure> {
    let settings = rowanglade_test_fleet::settings(
        &traces::standard_header(),
        size.initiators as usize,
        ZONE,
        size.targets,
    );
    let settings: Settings = serde_json::from_value(settings)?;
    let mut names = Names::default();
    let scheduler = Scheduler::new(
        settings.translate(&mut names).map_err(|error| Failure::InvalidSettings(format!("{error:?}")))?,
        SEED,
    );
    let scheduler = scheduler.map_err(|error| Failure::InvalidSettings(format!("{error:?}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inbox, handle) = mailbox(&settings, None);
        let (_routes, table) = watch::channel(Arc::default());
        let (_operators, operations) = mpsc::channel(1);
        let (_handover, upgrades) = mpsc::channel(1);
        let (commands, _commands) = mpsc::channel(1);
        let (observations, _observations) = mpsc::channel(1);
        let (used_ids, _used_ids) = mpsc::channel(1);
        let subset = subset.map(|rule| Subset::new(rule, 0, size.initiators));
        let dependencies = CoreDependencies {
            routes: table,
            quota: None,
            admin_requests: operations,
            handover_requests: upgrades,
            admin_commands: commands,
            object_observations: observations,
            used_ids,
            sites: None,
            subset,
        };
        let connect = Box::new(|_: &Endpoint| mpsc::channel(1).0);
        let core = Core::new(scheduler, names, Clock::start(), inbox, connect, dependencies);
        tokio::task::spawn_local(core.run());
        let mut list_revision = handle.endpoint_revision();
        let entries = endpoints(size.targets);
        let snapshot = Message::endpoints(Protocol::Http, EndpointUpdateKind::Snapshot, entries);
        let memory = super::cost::allocated();
        handle.send(snapshot).await;
        list_revision.changed().await?;
        tokio::task::yield_now().await;
        let state = (super::cost::allocated() - memory).max(0.0);
        let started_at = thread_time();
        for change in 0..CHANGES {
            // A changed kind notifies those who watch the list; a changed start time makes the scheduler
            // process the entry.
            let mut entry = endpoint(change * 7 % size.targets);
            entry.kind = format!("box-{change}");
            entry.started = Some(1_000_000 * change as u64);
            // Alternating between draining and active makes the subset process the change as well.
            entry.state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Active };
            let update = Message::endpoints(Protocol::Http, EndpointUpdateKind::Delta, vec![entry]);
            handle.send(update).await;
            list_revision.changed().await?;
        }
        let processor = (thread_time() - started_at) / CHANGES as f64;
        Ok(Cost { processor, state, ..Cost::default() })
    })
}

/// Cost of a change of one target without target subsets.
pub fn change(size: Size) -> Result<Cost, Failure> {
    core_changes(size, None)
}

/// Cost of a change of one target with `[subset]`.
pub fn change_with_subset(size: Size) -> Result<Cost, Failure> {
    core_changes(size, Some(super::subsets::SUBSET_CONFIG))
}
