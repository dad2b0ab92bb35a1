//! A fleet of real daemon processes with clients and many stub targets: starts, replaces and restarts them,
//! and records what they do.

use crate::client_load::{ClientLoad, get_status};
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

/// The number of targets started before the task yields.
const TARGET_STARTS_PER_YIELD: usize = 64;
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// How long an initiator may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long after SIGTERM clients still open new connections.
const CONNECT_PERIOD_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// The period in which a process gets its share of a core.
const DUTY_CYCLE_PERIOD: Duration = Duration::from_millis(50);

/// One initiator of the fleet. Its process may be restarted.
pub struct Member {
    number: usize,
    /// The id of the current process in the record.
    pub process: ProcessId,
    /// The current process.
    pub daemon: Daemon,
    /// The initiator's clients.
    pub load: Rc<ClientLoad>,
}

/// A running fleet.
pub struct Fleet {
    plan: FleetPlan,
    /// The record of what clients, targets and discovery observed.
    pub recorder: Rc<Recorder>,
    /// The discovery service that lists the targets.
    pub discovery: Rc<Discovery>,
    /// Keyed by the target's name.
    targets: BTreeMap<String, Rc<StubTarget>>,
    /// The number of targets started so far.
    started: usize,
    /// The initiators, in the order of their numbers.
    pub members: Vec<Member>,
    peers: Vec<SocketAddr>,
    duty_cycle: Option<DutyCycle>,
    random: Pcg64Mcg,
    /// The final usage of processes that have ended.
    ended_usage: Vec<ProcessUsage>,
    connections_of_removed: u64,
}

impl Fleet {
    /// Starts targets and discovery, and then each process with its clients.
    ///
    /// # Errors
    /// A socket cannot be bound, or a process does not become ready.
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

    /// Starts one target per shard, and returns their list entries.
    async fn start_targets(&mut self, shards: &[u32]) -> io::Result<Vec<Endpoint>> {
        let mut endpoints = Vec::with_capacity(shards.len());
        for (index, shard) in shards.iter().enumerate() {
            let name = format!("s-{:08x}", self.started);
            let seed = self.plan.seed.wrapping_mul(31).wrapping_add(self.started as u64);
            self.started += 1;
            let plan = TargetPlan { recorder: Some(Rc::clone(&self.recorder)), ..self.plan.target.clone() };
            let scope = DeduplicationScope::new(plan.deduplication_window);
            let target = StubTarget::start(name.clone(), *shard, plan, scope, seed).await?;
            endpoints.push(Endpoint::of(&target, EndpointState::Active));
            self.targets.insert(name, target);
            if index % TARGET_STARTS_PER_YIELD == 0 {
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
        // Starting blocks until the process listens, while the stubs must continue to run.
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
        wait_until_ready(daemon.http).await?;
        Ok(daemon)
    }

    async fn member(&mut self, number: usize) -> io::Result<Member> {
        let process = self.recorder.register_process();
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

    /// Sends a signal to a member's process and waits until it has ended; kills it after `timeout`. Then
    /// starts a new process in its place.
    ///
    /// # Errors
    /// The new process does not become ready.
    pub async fn restart(&mut self, index: usize, signal: Signal, timeout: Duration) -> io::Result<()> {
        self.stop(index, signal, timeout).await;
        let number = self.members[index].number;
        let process = self.recorder.register_process();
        let daemon = self.daemon(number, process).await?;
        let member = &mut self.members[index];
        member.load.switch_to(process, daemon.http);
        (member.process, member.daemon) = (process, daemon);
        Ok(())
    }

    async fn stop(&mut self, index: usize, signal: Signal, timeout: Duration) {
        let member = &mut self.members[index];
        let started_at = tokio::time::Instant::now();
        let terminated_at = (signal != Signal::SIGKILL).then(|| self.recorder.now());
        let mut killed_at = (signal == Signal::SIGKILL).then(|| self.recorder.now());
        // Fails if the process has already ended, which the loop below detects.
        let _ = member.daemon.signal(signal);
        let mut usage = member.daemon.usage();
        while !member.daemon.has_ended() {
            usage = member.daemon.usage();
            if started_at.elapsed() >= CONNECT_PERIOD_AFTER_SIGTERM {
                member.load.stop_connecting();
            }
            if killed_at.is_none() && started_at.elapsed() >= timeout {
                killed_at = Some(self.recorder.now());
                let _ = member.daemon.signal(Signal::SIGKILL);
            }
            sleep(POLL_PERIOD).await;
        }
        self.recorder.record_process_end(ProcessEnd { process: member.process, terminated_at, killed_at });
        if let Some(cycle) = &self.duty_cycle {
            cycle.remove(member.daemon.pid());
        }
        self.ended_usage.push(usage);
    }

    /// Sends a signal to a member's process, without waiting for its end.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, index: usize, signal: Signal) -> io::Result<()> {
        self.members[index].daemon.signal(signal)
    }

    /// How many members' processes have ended without having been stopped.
    pub fn crashes(&mut self) -> usize {
        self.members.iter_mut().map(|member| usize::from(member.daemon.has_ended())).sum()
    }

    /// Sets `count` random targets to draining, and starts as many new ones for the same shards, in one
    /// version of the list. Returns the names of the draining targets.
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

    /// Kills targets, and removes them from the list in one version.
    pub fn remove(&mut self, names: &[String]) {
        let removed: Vec<_> = names.iter().filter_map(|name| self.targets.remove(name)).collect();
        self.discovery.upsert_all(removed.iter().map(|target| Endpoint::of(target, EndpointState::Removed)));
        removed.iter().for_each(|target| target.kill());
        self.connections_of_removed +=
            removed.iter().map(|target| target.counters().connections).sum::<u64>();
    }

    /// Up to `count` targets that are not draining, chosen at random.
    pub fn draw_active(&mut self, count: usize) -> Vec<Rc<StubTarget>> {
        let mut all: Vec<_> = self.targets.values().filter(|target| !target.is_draining()).cloned().collect();
        all.shuffle(&mut self.random);
        all.truncate(count);
        all
    }

    /// Stops sending requests; resolves when all requests in flight have ended.
    pub async fn settle(&self) {
        self.members.iter().for_each(|member| member.load.stop());
        for member in &self.members {
            member.load.wait_until_idle().await;
        }
    }

    /// The outcomes of all requests.
    pub fn counts(&self) -> RequestCounts {
        self.members
            .iter()
            .map(|member| member.load.counts())
            .fold(RequestCounts::default(), RequestCounts::merge)
    }

    /// The usage of each running process.
    pub fn usage(&self) -> Vec<ProcessUsage> {
        self.members.iter().map(|member| member.daemon.usage()).collect()
    }

    /// The final usage of processes that have ended.
    pub fn ended_usage(&self) -> &[ProcessUsage] {
        &self.ended_usage
    }

    /// The number of connections that all targets have accepted, including removed targets.
    pub fn connections(&self) -> u64 {
        let here = self.targets.values().map(|target| target.counters().connections);
        here.sum::<u64>() + self.connections_of_removed
    }

    /// Warnings and errors in the last log lines of the running processes, each prefixed with the initiator's
    /// name.
    pub fn warnings(&self) -> Vec<String> {
        let lines = self.members.iter().flat_map(|member| {
            let name = format!("n{}", member.number);
            member.daemon.log().into_iter().map(move |line| format!("{name} {line}"))
        });
        lines.filter(|line| line.contains("WARN") || line.contains("ERROR")).collect()
    }

    /// A copy of all that has been recorded so far.
    pub fn history(&self) -> History {
        self.recorder.history()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Continues processes that the duty cycle has stopped, so that they can end.
        drop(self.duty_cycle.take());
    }
}

/// Resolves when an initiator reports that it is ready.
async fn wait_until_ready(http: SocketAddr) -> io::Result<()> {
    let until = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < until {
        // Retries on failed connections and on other statuses.
        if let Ok(200) = get_status(http, "/up").await {
            return Ok(());
        }
        sleep(POLL_PERIOD).await;
    }
    Err(io::Error::other(format!("initiator at {http} did not become ready within {READY_TIMEOUT:?}")))
}

fn unix_ms() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.unwrap_or_default().as_millis() as u64
}
