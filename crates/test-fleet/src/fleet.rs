//! A fleet of real processes before many targets: their clients, releases of targets, restarts, and the
//! record of it all.

use crate::client_load::{ClientLoad, status_of};
use crate::daemon::Daemon;
use crate::deduplication::DeduplicationScope;
use crate::discovery::Discovery;
use crate::duty_cycle::DutyCycle;
use crate::endpoint::{Endpoint, EndpointState};
use crate::fleet_plan::FleetPlan;
use crate::load_plan::{LoadPlan, RequestCounts};
use crate::ports::free_datagram_addresses;
use crate::recorder::Recorder;
use crate::target::StubTarget;
use crate::target_plan::TargetPlan;
use crate::usage::ProcessUsage;
use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_checker::{History, ProcessEnd, ProcessId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Targets that are started between two turns of others.
const STARTED_AT_ONCE: usize = 64;
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// An initiator that takes longer than this to be ready has failed.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// After SIGTERM clients go on making connections for so long.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// The period of a process's share of a core.
const DUTY_CYCLE_PERIOD: Duration = Duration::from_millis(50);

/// One place of the fleet, whose process may be started anew.
pub struct Member {
    number: usize,
    /// The process that runs in this place now.
    pub process: ProcessId,
    /// The process itself.
    pub daemon: Daemon,
    /// Its clients.
    pub load: Rc<ClientLoad>,
}

/// A fleet that runs.
pub struct Fleet {
    plan: FleetPlan,
    /// What clients, targets and discovery recorded.
    pub recorder: Rc<Recorder>,
    /// The service that lists the targets.
    pub discovery: Rc<Discovery>,
    /// By name.
    targets: BTreeMap<String, Rc<StubTarget>>,
    /// Targets started so far.
    started: usize,
    /// The processes, in the order of their numbers.
    pub members: Vec<Member>,
    peers: Vec<SocketAddr>,
    duty_cycle: Option<DutyCycle>,
    random: Pcg64Mcg,
    /// What processes that have ended had used.
    ended_usage: Vec<ProcessUsage>,
    connections_of_removed: u64,
}

impl Fleet {
    /// Starts targets, discovery and processes, and then the clients.
    ///
    /// # Errors
    /// A socket cannot be bound, or a process does not serve.
    pub async fn start(plan: FleetPlan) -> io::Result<Fleet> {
        let recorder = Recorder::new(plan.load.units);
        tokio::task::spawn_local(Recorder::watch_stalls(Rc::downgrade(&recorder)));
        let discovery = Discovery::start_recorded(&plan.zone, Some(Rc::clone(&recorder))).await?;
        let duty_cycle = plan.core_share.map(|share| DutyCycle::start(share, DUTY_CYCLE_PERIOD));
        let peers = match plan.peers {
            true => free_datagram_addresses(plan.processes)?,
            false => Vec::new(),
        };
        let random = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut fleet = Fleet {
            recorder,
            discovery,
            targets: BTreeMap::new(),
            started: 0,
            members: Vec::new(),
            peers,
            duty_cycle,
            random,
            ended_usage: Vec::new(),
            connections_of_removed: 0,
            plan,
        };
        let shards: Vec<u32> = (0..fleet.plan.targets as u32).collect();
        let endpoints = fleet.start_targets(&shards).await?;
        fleet.discovery.upsert_all(endpoints);
        for number in 0..fleet.plan.processes {
            let member = fleet.member(number).await?;
            fleet.members.push(member);
        }
        Ok(fleet)
    }

    /// Starts a target for each shard, and returns their lines.
    async fn start_targets(&mut self, shards: &[u32]) -> io::Result<Vec<Endpoint>> {
        let mut endpoints = Vec::with_capacity(shards.len());
        for (place, shard) in shards.iter().enumerate() {
            let name = format!("s-{:08x}", self.started);
            let seed = self.plan.seed.wrapping_mul(31).wrapping_add(self.started as u64);
            self.started += 1;
            let plan = TargetPlan { recorder: Some(Rc::clone(&self.recorder)), ..self.plan.target.clone() };
            let scope = DeduplicationScope::new(plan.deduplication_window);
            let target = StubTarget::start(name.clone(), *shard, plan, scope, seed).await?;
            endpoints.push(Endpoint::of(&target, EndpointState::Active));
            self.targets.insert(name, target);
            if place % STARTED_AT_ONCE == 0 {
                tokio::task::yield_now().await;
            }
        }
        Ok(endpoints)
    }

    async fn daemon(&self, number: usize, process: ProcessId) -> io::Result<Daemon> {
        let discovery = self.discovery.addr_for(process).await?;
        let mut plan = self.plan.daemon.clone();
        plan.name = format!("n{number}");
        plan.discovery = discovery;
        plan.settings["my-number"] = number.into();
        plan.settings["siblings"] = self.plan.processes.into();
        plan.settings["ceilings"]["peer-messages"] = self.plan.peers.into();
        let cached_list = self.discovery.snapshot();
        let (peers, all): (_, Vec<Value>) =
            (self.peers.clone(), self.peers.iter().map(|addr| addr.to_string().into()).collect());
        // It waits for the process, while the stand-ins go on.
        let started = tokio::task::spawn_blocking(move || {
            Daemon::start_with(&plan, |text| {
                text["known"] = cached_list;
                if let Some(own) = peers.get(number) {
                    text["peer_listen"] = own.to_string().into();
                    text["peers"] = all.into();
                }
            })
        });
        let daemon = started.await.map_err(io::Error::other)??;
        if let Some(cycle) = &self.duty_cycle {
            cycle.add(daemon.pid());
        }
        ready(daemon.http).await?;
        Ok(daemon)
    }

    async fn member(&mut self, number: usize) -> io::Result<Member> {
        let process = self.recorder.process();
        let daemon = self.daemon(number, process).await?;
        let volumes = (0..self.plan.volumes)
            .map(|volume| {
                let shards = (0..self.plan.shards_of_volume)
                    .map(|_| self.random.random_range(0..self.plan.targets as u32))
                    .collect();
                ((number * self.plan.volumes + volume + 1) as u64, shards)
            })
            .collect();
        let load = LoadPlan { volumes, ..self.plan.load.clone() };
        let (name, seed) = (format!("r{number}"), self.random.random());
        let load = ClientLoad::start(load, &name, process, daemon.http, Rc::clone(&self.recorder), seed);
        Ok(Member { number, process, daemon, load })
    }

    /// Ends a member's process by a signal, waits until it has ended or `timeout` is over, kills it then,
    /// and starts another in its place.
    ///
    /// # Errors
    /// The new process does not serve.
    pub async fn restart(&mut self, place: usize, signal: Signal, timeout: Duration) -> io::Result<()> {
        self.stop(place, signal, timeout).await;
        let number = self.members[place].number;
        let process = self.recorder.process();
        let daemon = self.daemon(number, process).await?;
        let member = &mut self.members[place];
        member.load.switch_to(process, daemon.http);
        (member.process, member.daemon) = (process, daemon);
        Ok(())
    }

    async fn stop(&mut self, place: usize, signal: Signal, timeout: Duration) {
        let member = &mut self.members[place];
        let started_at = tokio::time::Instant::now();
        let terminated_at = (signal != Signal::SIGKILL).then(|| self.recorder.now());
        let mut killed_at = (signal == Signal::SIGKILL).then(|| self.recorder.now());
        // One that has ended by itself is seen below.
        let _ = member.daemon.signal(signal);
        let mut usage = member.daemon.usage();
        while !member.daemon.ended() {
            usage = member.daemon.usage();
            if started_at.elapsed() >= CONNECTS_AFTER_SIGTERM {
                member.load.stop_connecting();
            }
            if killed_at.is_none() && started_at.elapsed() >= timeout {
                killed_at = Some(self.recorder.now());
                let _ = member.daemon.signal(Signal::SIGKILL);
            }
            sleep(POLL_PERIOD).await;
        }
        self.recorder.end(ProcessEnd { process: member.process, terminated_at, killed_at });
        if let Some(cycle) = &self.duty_cycle {
            cycle.remove(member.daemon.pid());
        }
        self.ended_usage.push(usage);
    }

    /// Sends a signal to a member's process, which goes on.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, place: usize, signal: Signal) -> io::Result<()> {
        self.members[place].daemon.signal(signal)
    }

    /// How many members' processes have ended by themselves.
    pub fn crashes(&mut self) -> usize {
        self.members.iter_mut().map(|member| usize::from(member.daemon.ended())).sum()
    }

    /// Has some targets drain, and starts as many for the same shards, in one version of the list. Returns the
    /// names of those that drain.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn replace(&mut self, count: usize) -> io::Result<Vec<String>> {
        let draining = self.draw_active(count);
        let shards: Vec<u32> = draining.iter().map(|target| target.shard()).collect();
        let mut endpoints = self.start_targets(&shards).await?;
        for endpoint in &mut endpoints {
            endpoint.started_ms = unix_ms();
        }
        endpoints.extend(draining.iter().map(|target| Endpoint::of(target, EndpointState::Draining)));
        self.discovery.upsert_all(endpoints);
        draining.iter().for_each(|target| target.set_draining(true));
        Ok(draining.iter().map(|target| target.name().to_string()).collect())
    }

    /// Ends the processes of targets, and takes them off the list in one version.
    pub fn remove(&mut self, names: &[String]) {
        let removed: Vec<_> = names.iter().filter_map(|name| self.targets.remove(name)).collect();
        self.discovery.upsert_all(removed.iter().map(|target| Endpoint::of(target, EndpointState::Removed)));
        removed.iter().for_each(|target| target.kill());
        self.connections_of_removed +=
            removed.iter().map(|target| target.counters().connections).sum::<u64>();
    }

    /// Some targets that take new work, drawn at random.
    pub fn draw_active(&mut self, count: usize) -> Vec<Rc<StubTarget>> {
        let mut all: Vec<_> = self.targets.values().filter(|target| !target.is_draining()).cloned().collect();
        all.shuffle(&mut self.random);
        all.truncate(count);
        all
    }

    /// Sends no more requests; resolves once all have ended.
    pub async fn settle(&self) {
        self.members.iter().for_each(|member| member.load.stop());
        for member in &self.members {
            member.load.settled().await;
        }
    }

    /// What became of all requests.
    pub fn counts(&self) -> RequestCounts {
        self.members
            .iter()
            .map(|member| member.load.counts())
            .fold(RequestCounts::default(), RequestCounts::merge)
    }

    /// What each process that runs has used.
    pub fn usage(&self) -> Vec<ProcessUsage> {
        self.members.iter().map(|member| member.daemon.usage()).collect()
    }

    /// What processes that have ended had used.
    pub fn ended_usage(&self) -> &[ProcessUsage] {
        &self.ended_usage
    }

    /// Connections that targets accepted, also those that are removed.
    pub fn connections(&self) -> u64 {
        let here = self.targets.values().map(|target| target.counters().connections);
        here.sum::<u64>() + self.connections_of_removed
    }

    /// What the processes that run warned of in the last lines of their logs.
    pub fn warnings(&self) -> Vec<String> {
        let lines = self.members.iter().flat_map(|member| {
            let name = format!("n{}", member.number);
            member.daemon.log().into_iter().map(move |line| format!("{name} {line}"))
        });
        lines.filter(|line| line.contains("WARN") || line.contains("ERROR")).collect()
    }

    /// A copy of all that is recorded so far.
    pub fn history(&self) -> History {
        self.recorder.history()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Processes that are stopped are let go on, so that they can end.
        drop(self.duty_cycle.take());
    }
}

/// Resolves once an initiator answers that it can be used.
async fn ready(http: SocketAddr) -> io::Result<()> {
    let until = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < until {
        // While connections fail, or the answer is another, it is asked again.
        if let Ok(200) = status_of(http, "/up").await {
            return Ok(());
        }
        sleep(POLL_PERIOD).await;
    }
    Err(io::Error::other(format!("{http} is not ready after {READY_TIMEOUT:?}")))
}

fn unix_ms() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.unwrap_or_default().as_millis() as u64
}
