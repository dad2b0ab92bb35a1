//! A simulated fleet of schedules and one discovery service that serves their requests one after another.
#![allow(dead_code)]

use rowanglade_discovery_polling::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Simulated time per step.
const STEP: Micros = 10 * MS;

/// State of the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Up,
    /// Every request gets no response until the timeout and is then rejected.
    Down,
    /// Every request is rejected immediately.
    Rejecting,
    /// Connections are reset immediately.
    Resetting,
    /// No request gets a response, and neither do the watches that are open.
    Silent,
}

/// The discovery service. A request takes its service time whether or not its sender still waits. One that
/// would queue for longer than the timeout is rejected, after the timeout or, if the queue is more than twice
/// as long, immediately; it takes its service time all the same.
pub struct Discovery {
    pub service: Service,
    /// Work of one request.
    pub service_time: Micros,
    pub timeout: Micros,
    free_at: Micros,
    /// Requests received, the rejected ones among them, and the longest queue in time.
    pub requests: usize,
    pub rejected: usize,
    pub longest_queue: Micros,
}

impl Discovery {
    pub fn new(service_time: Micros, timeout: Micros) -> Discovery {
        Discovery {
            service: Service::Up,
            service_time,
            timeout,
            free_at: 0,
            requests: 0,
            rejected: 0,
            longest_queue: 0,
        }
    }

    /// When and how a request received at `now` ends; `None` if it gets no response.
    fn serve(&mut self, now: Micros) -> Option<(Micros, Outcome)> {
        self.requests += 1;
        match self.service {
            Service::Down => return Some((now + self.timeout, Outcome::Rejected)),
            Service::Rejecting => return Some((now, Outcome::Rejected)),
            Service::Resetting => return Some((now, Outcome::Failed)),
            Service::Silent => return None,
            Service::Up => {}
        }
        let queue = self.free_at.saturating_sub(now);
        self.free_at = self.free_at.max(now) + self.service_time;
        self.longest_queue = self.longest_queue.max(queue);
        if queue <= self.timeout {
            return Some((self.free_at, Outcome::Received));
        }
        self.rejected += 1;
        let at = if queue > 2 * self.timeout { now } else { now + self.timeout };
        Some((at, Outcome::Rejected))
    }
}

/// An initiator, and the outcomes that have not reached it yet.
pub struct Initiator {
    pub schedule: Schedule,
    /// Outcomes with the time at which they reach the initiator.
    pending_outcomes: Vec<(Micros, RequestId, Outcome)>,
    /// The long poll in flight and when it ends: after its wait, or never.
    watch: Option<(Micros, RequestId)>,
    /// When the list was last received.
    pub received_at: Option<Micros>,
    /// When its requests were sent.
    pub requests: Vec<Micros>,
}

/// All initiators and their discovery service.
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
        Initiator {
            schedule,
            pending_outcomes: Vec::new(),
            watch: None,
            received_at: None,
            requests: Vec::new(),
        }
    }

    /// Ends an initiator and starts a new one in its place.
    pub fn restart(&mut self, instance_index: usize) {
        self.initiators[instance_index] = self.start(instance_index as u32);
    }

    /// Fails every watch that is open.
    pub fn reset_watches(&mut self) {
        let now = self.now;
        for initiator in &mut self.initiators {
            if let Some((_, id)) = initiator.watch.take() {
                initiator.schedule.handle_outcome(now, id, Outcome::Failed);
            }
        }
    }

    /// Makes the open watches silent; later ones are not affected.
    pub fn silence_watches(&mut self) {
        for initiator in &mut self.initiators {
            initiator.watch = initiator.watch.map(|(_, id)| (Micros::MAX, id));
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
            if let Some((at, id)) = initiator.watch
                && at <= now
            {
                initiator.watch = None;
                initiator.received_at = Some(now);
                initiator.schedule.handle_outcome(now, id, Outcome::Received);
            }
            let due_outcomes: Vec<_> =
                initiator.pending_outcomes.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, id, outcome) in due_outcomes {
                if outcome == Outcome::Received {
                    initiator.received_at = Some(now);
                }
                initiator.schedule.handle_outcome(now, id, outcome);
            }
            while let Some(command) = initiator.schedule.poll(now) {
                match command {
                    Command::Cancel(id) => {
                        initiator.pending_outcomes.retain(|(_, request, _)| *request != id);
                        initiator.watch = initiator.watch.filter(|(_, request)| *request != id);
                    }
                    // Renewing a watch takes no service time.
                    Command::Send(request) if request.max_wait > 0 => {
                        let at = if self.discovery.service == Service::Silent {
                            Micros::MAX
                        } else {
                            now + request.max_wait
                        };
                        initiator.watch = Some((at, request.id));
                    }
                    Command::Send(request) => {
                        initiator.requests.push(now);
                        if let Some((at, outcome)) = self.discovery.serve(now) {
                            initiator.pending_outcomes.push((at, request.id, outcome));
                        }
                    }
                }
            }
        }
    }

    /// Number of initiators that have received the list since `since`.
    pub fn received_since(&self, since: Micros) -> usize {
        self.initiators.iter().filter(|i| i.received_at.is_some_and(|at| at >= since)).count()
    }

    /// Runs until all initiators have received the list since `since`, and returns the time that this took;
    /// `None` after `max_span`.
    pub fn all_received_within(&mut self, since: Micros, max_span: Micros) -> Option<Micros> {
        while self.now < since + max_span {
            self.now += STEP;
            self.step();
            if self.received_since(since) == self.initiators.len() {
                return Some(self.now - since);
            }
        }
        None
    }
}

/// The largest number of requests in any second, over all initiators.
pub fn max_requests_per_second(fleet: &Fleet, since: Micros) -> usize {
    let mut seconds: BTreeMap<Micros, usize> = BTreeMap::new();
    for at in fleet.initiators.iter().flat_map(|i| &i.requests).filter(|at| **at >= since) {
        *seconds.entry(at / SECOND).or_default() += 1;
    }
    seconds.values().copied().max().unwrap_or(0)
}
