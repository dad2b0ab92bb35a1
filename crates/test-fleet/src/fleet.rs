//! A fleet of real processes before many targets: their clients, releases of targets, restarts, and the
//! record of it all.

use crate::boxes::{BoxPlan, DiskBox};
use crate::daemon::{Daemon, Start, Usage};
use crate::discovery::{Discovery, Entry, State};
use crate::duty_cycle::DutyCycle;
use crate::keys::Rack;
use crate::load::{Counts, Load, LoadPlan};
use crate::recorder::Recorder;
use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_checker::{History, ProcessEnd, ProcessId};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Targets that are started between two turns of others.
const STARTED_AT_ONCE: usize = 64;
const POLL: Duration = Duration::from_millis(5);
/// An initiator that takes longer than this to be ready has failed.
const READY: Duration = Duration::from_secs(30);
/// After SIGTERM clients go on making connections for so long.
const CONNECTS_ON: Duration = Duration::from_millis(300);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// What each process is started with; names, numbers and addresses are filled in.
    pub start: Start,
    pub zone: String,
    pub processes: usize,
    pub targets: usize,
    pub target: BoxPlan,
    /// The traffic of each process; its volumes are drawn, so many with so many shards each.
    pub load: LoadPlan,
    pub volumes: usize,
    pub shards_of_volume: usize,
    /// The share of a core that each process has; none: as the machine gives.
    pub share: Option<f64>,
    /// Processes may send each other datagrams.
    pub peers: bool,
    pub seed: u64,
}

/// The period of a process's share of a core.
const PERIOD: Duration = Duration::from_millis(50);

/// One place of the fleet, whose process may be started anew.
pub struct Member {
    number: usize,
    pub process: ProcessId,
    pub daemon: Daemon,
    pub load: Rc<Load>,
}

/// A fleet that runs.
pub struct Fleet {
    plan: FleetPlan,
    pub recorder: Rc<Recorder>,
    pub discovery: Rc<Discovery>,
    /// By name.
    targets: BTreeMap<String, Rc<DiskBox>>,
    started: usize,
    pub members: Vec<Member>,
    peers: Vec<SocketAddr>,
    cycle: Option<DutyCycle>,
    random: Pcg64Mcg,
    /// What processes that have ended had used.
    ended: Vec<Usage>,
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
        let cycle = plan.share.map(|share| DutyCycle::start(share, PERIOD));
        let peers = match plan.peers {
            true => peer_addresses(plan.processes)?,
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
            cycle,
            random,
            ended: Vec::new(),
            connections_of_removed: 0,
            plan,
        };
        let shards: Vec<u32> = (0..fleet.plan.targets as u32).collect();
        let entries = fleet.start_targets(&shards).await?;
        fleet.discovery.put_all(entries);
        for number in 0..fleet.plan.processes {
            let member = fleet.member(number).await?;
            fleet.members.push(member);
        }
        Ok(fleet)
    }

    /// Starts a target for each shard, and returns their lines.
    async fn start_targets(&mut self, shards: &[u32]) -> io::Result<Vec<Entry>> {
        let mut entries = Vec::with_capacity(shards.len());
        for (place, shard) in shards.iter().enumerate() {
            let name = format!("s-{:08x}", self.started);
            let seed = self.plan.seed.wrapping_mul(31).wrapping_add(self.started as u64);
            self.started += 1;
            let plan = BoxPlan { recorder: Some(Rc::clone(&self.recorder)), ..self.plan.target.clone() };
            let rack = Rack::new(plan.key_span);
            let target = DiskBox::start(name.clone(), *shard, plan, rack, seed).await?;
            entries.push(Entry::of(&target, State::Active));
            self.targets.insert(name, target);
            if place % STARTED_AT_ONCE == 0 {
                tokio::task::yield_now().await;
            }
        }
        Ok(entries)
    }

    async fn daemon(&self, number: usize, process: ProcessId) -> io::Result<Daemon> {
        let discovery = self.discovery.addr_for(process).await?;
        let mut start = self.plan.start.clone();
        start.name = format!("n{number}");
        start.discovery = discovery;
        start.settings["my-number"] = number.into();
        start.settings["siblings"] = self.plan.processes.into();
        start.settings["ceilings"]["peer-messages"] = self.plan.peers.into();
        let known = self.discovery.page();
        let (peers, all): (_, Vec<Value>) =
            (self.peers.clone(), self.peers.iter().map(|addr| addr.to_string().into()).collect());
        // It waits for the process, while the stand-ins go on.
        let started = tokio::task::spawn_blocking(move || {
            Daemon::start_with(&start, |text| {
                text["known"] = known;
                if let Some(own) = peers.get(number) {
                    text["peer_listen"] = own.to_string().into();
                    text["peers"] = all.into();
                }
            })
        });
        let daemon = started.await.map_err(io::Error::other)??;
        if let Some(cycle) = &self.cycle {
            cycle.add(daemon.process());
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
        let load = Load::start(load, &name, process, daemon.http, Rc::clone(&self.recorder), seed);
        Ok(Member { number, process, daemon, load })
    }

    /// Ends a member's process by a signal, waits until it has ended or `patience` is over, kills it then,
    /// and starts another in its place.
    ///
    /// # Errors
    /// The new process does not serve.
    pub async fn restart(&mut self, place: usize, signal: Signal, patience: Duration) -> io::Result<()> {
        self.stop(place, signal, patience).await;
        let number = self.members[place].number;
        let process = self.recorder.process();
        let daemon = self.daemon(number, process).await?;
        let member = &mut self.members[place];
        member.load.turn_to(process, daemon.http);
        (member.process, member.daemon) = (process, daemon);
        Ok(())
    }

    async fn stop(&mut self, place: usize, signal: Signal, patience: Duration) {
        let member = &mut self.members[place];
        let begun = tokio::time::Instant::now();
        let told = (signal != Signal::SIGKILL).then(|| self.recorder.now());
        let mut killed = (signal == Signal::SIGKILL).then(|| self.recorder.now());
        // One that has ended by itself is seen below.
        let _ = member.daemon.signal(signal);
        let mut usage = member.daemon.usage();
        while !member.daemon.ended() {
            usage = member.daemon.usage();
            if begun.elapsed() >= CONNECTS_ON {
                member.load.keep_connections();
            }
            if killed.is_none() && begun.elapsed() >= patience {
                killed = Some(self.recorder.now());
                let _ = member.daemon.signal(Signal::SIGKILL);
            }
            sleep(POLL).await;
        }
        self.recorder.end(ProcessEnd { process: member.process, told, killed });
        if let Some(cycle) = &self.cycle {
            cycle.remove(member.daemon.process());
        }
        self.ended.push(usage);
    }

    /// Sends a signal to a member's process, which goes on.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, place: usize, signal: Signal) -> io::Result<()> {
        self.members[place].daemon.signal(signal)
    }

    /// How many members' processes have ended though nobody told them to.
    pub fn crashed(&mut self) -> usize {
        self.members.iter_mut().map(|member| usize::from(member.daemon.ended())).sum()
    }

    /// Has a part of the targets leave, and starts as many for the same shards, in one version of the list.
    /// The names of those that leave are returned.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn replace(&mut self, count: usize) -> io::Result<Vec<String>> {
        let leaving = self.in_use(count);
        let shards: Vec<u32> = leaving.iter().map(|target| target.shard()).collect();
        let mut entries = self.start_targets(&shards).await?;
        for entry in &mut entries {
            entry.started_ms = unix_ms();
        }
        entries.extend(leaving.iter().map(|target| Entry::of(target, State::Leaving)));
        self.discovery.put_all(entries);
        leaving.iter().for_each(|target| target.drain(true));
        Ok(leaving.iter().map(|target| target.name().to_string()).collect())
    }

    /// Ends the processes of targets, and takes them off the list in one version.
    pub fn remove(&mut self, names: &[String]) {
        let gone: Vec<_> = names.iter().filter_map(|name| self.targets.remove(name)).collect();
        self.discovery.put_all(gone.iter().map(|target| Entry::of(target, State::Left)));
        gone.iter().for_each(|target| target.kill());
        self.connections_of_removed += gone.iter().map(|target| target.counters().connections).sum::<u64>();
    }

    /// Some targets in use, drawn at random.
    pub fn in_use(&mut self, count: usize) -> Vec<Rc<DiskBox>> {
        let mut all: Vec<_> = self.targets.values().filter(|target| !target.is_draining()).cloned().collect();
        all.shuffle(&mut self.random);
        all.truncate(count);
        all
    }

    /// No more requests are made; resolves once all have ended.
    pub async fn settle(&self) {
        self.members.iter().for_each(|member| member.load.end());
        for member in &self.members {
            member.load.settled().await;
        }
    }

    /// What became of all requests.
    pub fn counts(&self) -> Counts {
        self.members.iter().map(|member| member.load.counts()).fold(Counts::default(), Counts::and)
    }

    /// What each process that runs has used.
    pub fn usage(&self) -> Vec<Usage> {
        self.members.iter().map(|member| member.daemon.usage()).collect()
    }

    /// What processes that have ended had used.
    pub fn ended(&self) -> &[Usage] {
        &self.ended
    }

    /// Connections that targets accepted, also those that are gone.
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

    pub fn history(&self) -> History {
        self.recorder.history()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Processes that are stopped are let go on, so that they can end.
        drop(self.cycle.take());
    }
}

/// Resolves once an initiator answers that it can be used.
async fn ready(http: SocketAddr) -> io::Result<()> {
    let until = tokio::time::Instant::now() + READY;
    while tokio::time::Instant::now() < until {
        // While connections fail, or the answer is another, it is asked again.
        if let Ok(200) = crate::load::status_of(http, "/up").await {
            return Ok(());
        }
        sleep(POLL).await;
    }
    Err(io::Error::other(format!("{http} is not ready after {READY:?}")))
}

fn unix_ms() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.unwrap_or_default().as_millis() as u64
}

/// Addresses that are free now, one for each process.
fn peer_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}
