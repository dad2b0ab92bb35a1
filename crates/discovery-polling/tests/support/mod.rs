//! A fleet of schedules before one discovery that serves their calls one after another, in simulated time.
#![allow(dead_code)]

use rowanglade_discovery_polling::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// The step of the simulation.
const STEP: Micros = 10 * MS;

/// What discovery is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Up,
    /// Every call hangs for the time-out and is refused.
    Down,
    /// Every call is refused at once.
    Refusing,
    /// Connections are reset at once.
    Resetting,
    /// No call is ever answered, nor is a watch that was open.
    Silent,
}

/// One discovery. A call takes its time whether or not its caller still waits; one that would wait longer
/// than the time-out is refused, after the time-out or, where the queue is twice as long, at once, and still
/// takes its time.
pub struct Discovery {
    pub service: Service,
    /// The work of one call.
    pub call: Micros,
    pub timeout: Micros,
    free_at: Micros,
    /// Calls so far, those refused among them, and the longest queue in time.
    pub calls: usize,
    pub refused: usize,
    pub longest_queue: Micros,
}

impl Discovery {
    pub fn new(call: Micros, timeout: Micros) -> Discovery {
        Discovery { service: Service::Up, call, timeout, free_at: 0, calls: 0, refused: 0, longest_queue: 0 }
    }

    /// When and how a call ends that comes now; none: never.
    fn serve(&mut self, now: Micros) -> Option<(Micros, Outcome)> {
        self.calls += 1;
        match self.service {
            Service::Down => return Some((now + self.timeout, Outcome::Rejected)),
            Service::Refusing => return Some((now, Outcome::Rejected)),
            Service::Resetting => return Some((now, Outcome::Failed)),
            Service::Silent => return None,
            Service::Up => {}
        }
        let queue = self.free_at.saturating_sub(now);
        self.free_at = self.free_at.max(now) + self.call;
        self.longest_queue = self.longest_queue.max(queue);
        if queue <= self.timeout {
            return Some((self.free_at, Outcome::Received));
        }
        self.refused += 1;
        let at = if queue > 2 * self.timeout { now } else { now + self.timeout };
        Some((at, Outcome::Rejected))
    }
}

/// One initiator, and what is on its way to it.
pub struct Initiator {
    pub schedule: Schedule,
    /// Ends on their way.
    ends: Vec<(Micros, RequestId, Outcome)>,
    /// The held call, which ends when its wait is over, or never.
    held: Option<(Micros, RequestId)>,
    /// When the list was last heard.
    pub heard: Option<Micros>,
    /// When its calls began.
    pub calls: Vec<Micros>,
}

/// All of them.
pub struct Fleet {
    pub now: Micros,
    pub discovery: Discovery,
    pub initiators: Vec<Initiator>,
    config: PollingConfig,
    seed: u64,
}

pub fn polling_config(initiators: u32, max_poll_interval: Micros) -> PollingConfig {
    PollingConfig {
        delivery: Delivery::Polled { max_poll_interval },
        watch_mode: WatchMode::LongPoll,
        initiators,
        instance_index: None,
    }
}

impl Fleet {
    pub fn new(config: PollingConfig, seed: u64, discovery: Discovery) -> Fleet {
        let now = 100 * SECOND;
        let mut fleet = Fleet { now, discovery, initiators: Vec::new(), config, seed };
        for instance_index in 0..config.initiators {
            let initiator = fleet.start(instance_index);
            fleet.initiators.push(initiator);
        }
        fleet
    }

    fn start(&mut self, instance_index: u32) -> Initiator {
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(instance_index));
        self.seed = self.seed.wrapping_add(0x9E37_79B9);
        let config = PollingConfig {
            instance_index: self.config.instance_index.map(|_| instance_index),
            ..self.config
        };
        let schedule = Schedule::new(config, seed, self.now);
        Initiator { schedule, ends: Vec::new(), held: None, heard: None, calls: Vec::new() }
    }

    /// Kills and starts one initiator.
    pub fn restart(&mut self, instance_index: usize) {
        self.initiators[instance_index] = self.start(instance_index as u32);
    }

    /// Ends every watch that is open.
    pub fn reset_watches(&mut self) {
        let now = self.now;
        for initiator in &mut self.initiators {
            if let Some((_, id)) = initiator.held.take() {
                initiator.schedule.handle_outcome(now, id, Outcome::Failed);
            }
        }
    }

    /// Open watches fall silent, once.
    pub fn silence_watches(&mut self) {
        for initiator in &mut self.initiators {
            initiator.held = initiator.held.map(|(_, id)| (Micros::MAX, id));
        }
    }

    pub fn set(&mut self, service: Service) {
        if service != Service::Up {
            match service {
                Service::Silent => self.silence_watches(),
                _ => self.reset_watches(),
            }
        }
        self.discovery.service = service;
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for initiator in &mut self.initiators {
            if let Some((at, id)) = initiator.held
                && at <= now
            {
                initiator.held = None;
                initiator.heard = Some(now);
                initiator.schedule.handle_outcome(now, id, Outcome::Received);
            }
            let due: Vec<_> = initiator.ends.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, id, end) in due {
                if end == Outcome::Received {
                    initiator.heard = Some(now);
                }
                initiator.schedule.handle_outcome(now, id, end);
            }
            while let Some(command) = initiator.schedule.poll(now) {
                match command {
                    Command::Cancel(id) => {
                        initiator.ends.retain(|(_, call, _)| *call != id);
                        initiator.held = initiator.held.filter(|(_, call)| *call != id);
                    }
                    // A watch that goes on costs no turn.
                    Command::Send(call) if call.max_wait > 0 => {
                        let at = if self.discovery.service == Service::Silent {
                            Micros::MAX
                        } else {
                            now + call.max_wait
                        };
                        initiator.held = Some((at, call.id));
                    }
                    Command::Send(call) => {
                        initiator.calls.push(now);
                        if let Some((at, end)) = self.discovery.serve(now) {
                            initiator.ends.push((at, call.id, end));
                        }
                    }
                }
            }
        }
    }

    /// How many have heard the list since `since`.
    pub fn heard_since(&self, since: Micros) -> usize {
        self.initiators.iter().filter(|i| i.heard.is_some_and(|at| at >= since)).count()
    }

    /// Runs until all have heard the list after `since`; the span that it took, or none after `most`.
    pub fn all_heard_within(&mut self, since: Micros, most: Micros) -> Option<Micros> {
        while self.now < since + most {
            self.now += STEP;
            self.step();
            if self.heard_since(since) == self.initiators.len() {
                return Some(self.now - since);
            }
        }
        None
    }
}

/// The largest number of calls in any second, over all initiators.
pub fn most_calls_a_second(fleet: &Fleet, since: Micros) -> usize {
    let mut seconds: BTreeMap<Micros, usize> = BTreeMap::new();
    for at in fleet.initiators.iter().flat_map(|i| &i.calls).filter(|at| **at >= since) {
        *seconds.entry(at / SECOND).or_default() += 1;
    }
    seconds.values().copied().max().unwrap_or(0)
}
