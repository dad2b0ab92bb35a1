//! The initiators that the simulator has started, and the events that they are given.

use crate::discovery::{DiscoveryClient, TIMER_TOKEN};
use crate::error::{LineError, LineProblem};
use crate::wire::{Batch, Event as WireEvent, InitiatorEvent, Reply, Sent};
use rowanglade::interface::{Action, EndpointUpdateKind, Event, Micros, RequestId};
use rowanglade::names::Names;
use rowanglade::scheduler::Scheduler;
use rowanglade::settings::Settings;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Serves batches of events, one a line, until the input ends.
///
/// # Errors
/// A line cannot be read or used, or its reply cannot be written.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut host = Host::default();
    for (index, line) in input.lines().enumerate() {
        let served = line.map_err(LineProblem::from).and_then(|line| host.serve_line(&line, &mut output));
        served.map_err(|problem| LineError { line: index + 1, problem })?;
    }
    Ok(())
}

/// All initiators that the simulator has started and not destroyed, by their numbers.
#[derive(Default)]
struct Host {
    initiators: BTreeMap<u64, Initiator>,
}

/// One initiator.
struct Initiator {
    number: u64,
    scheduler: Scheduler,
    names: Names,
    /// None where the endpoint list comes without being polled for.
    discovery: Option<DiscoveryClient>,
}

impl Host {
    fn serve_line(&mut self, line: &str, output: &mut impl Write) -> Result<(), LineProblem> {
        let batch: Batch = serde_json::from_str(line)?;
        let mut reply = Reply { actions: Vec::new() };
        for event in batch.events {
            let (initiator, event) = event.classify()?;
            self.handle(batch.now, initiator, event, &mut reply.actions);
        }
        for initiator in self.initiators.values_mut() {
            if let Some(discovery) = &mut initiator.discovery {
                discovery.poll(batch.now, &mut reply.actions);
            }
        }
        serde_json::to_writer(&mut *output, &reply)?;
        output.write_all(b"\n")?;
        output.flush()?;
        Ok(())
    }

    fn handle(&mut self, now: Micros, number: u64, event: InitiatorEvent, out: &mut Vec<Sent>) {
        match event {
            InitiatorEvent::Started { seed, settings } => {
                match Initiator::start(number, seed, &settings, now) {
                    Ok(initiator) => drop(self.initiators.insert(number, initiator)),
                    Err(error) => out.push(Sent::panic(number, error)),
                }
            }
            InitiatorEvent::Destroyed => drop(self.initiators.remove(&number)),
            InitiatorEvent::DiscoveryFailed => {
                let initiator = self.initiators.get_mut(&number);
                if let Some(discovery) = initiator.and_then(|initiator| initiator.discovery.as_mut()) {
                    discovery.failed(now);
                }
            }
            InitiatorEvent::Other(event) => {
                if let Some(initiator) = self.initiators.get_mut(&number) {
                    initiator.handle(now, event, out);
                }
            }
        }
    }
}

impl Initiator {
    /// Starts an initiator.
    ///
    /// # Errors
    /// The settings cannot be used; the error is the line that the simulator is told.
    fn start(number: u64, seed: u64, settings: &Settings, now: Micros) -> Result<Initiator, String> {
        let mut names = Names::default();
        let discovery = DiscoveryClient::new(number, settings, seed, now);
        let scheduler = settings.translate(&mut names).and_then(|settings| Scheduler::new(settings, seed));
        let scheduler = scheduler.map_err(|error| error.to_string())?;
        Ok(Initiator { number, scheduler, names, discovery })
    }

    fn handle(&mut self, now: Micros, event: WireEvent, out: &mut Vec<Sent>) {
        let Some(event) = event.translate(&mut self.names) else { return };
        if self.handled_by_discovery(now, &event) {
            return;
        }
        let resolved = self.resolved_request(&event);
        let mut actions = Vec::new();
        self.scheduler.handle(now, event, &mut actions);
        for action in &actions {
            // On this wire an attempt has reached its target at once.
            if let Action::StartAttempt { id, .. } = action {
                self.scheduler.commit_reserved(now, *id);
            }
            out.extend(Sent::from(self.number, action, &mut self.names));
        }
        if let Some((id, over)) = resolved {
            self.names.attempt_ended(id, over);
        }
    }

    /// Lets the discovery client see an event. True: it was for the client alone.
    fn handled_by_discovery(&mut self, now: Micros, event: &Event) -> bool {
        let Some(discovery) = &mut self.discovery else { return false };
        match event {
            Event::EndpointsChanged {
                kind: EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot,
                ..
            } => {
                discovery.list_received(now);
                false
            }
            Event::TimerFired { token: TIMER_TOKEN } => {
                discovery.timer_fired(now);
                true
            }
            _ => false,
        }
    }

    /// The request whose attempt an event ends, and whether the request is over with it. A request whose client
    /// has gone is over.
    fn resolved_request(&mut self, event: &Event) -> Option<(RequestId, bool)> {
        match event {
            Event::AttemptEnded { id, request_over, .. } => Some((*id, *request_over)),
            Event::ClientGone { id } => {
                self.names.request_finished(*id);
                None
            }
            _ => None,
        }
    }
}
