//! The host of all initiators that the simulator has started.

use crate::discovery::{DiscoveryClient, TIMER_TOKEN};
use crate::error::{LineError, LineProblem};
use crate::wire::{Batch, Event as WireEvent, InitiatorAction, InitiatorEvent, Reply};
use rowanglade::interface::{Action, EndpointUpdateKind, Event, Micros, RequestId};
use rowanglade::names::Names;
use rowanglade::scheduler::Scheduler;
use rowanglade::settings::Settings;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Processes batches of events, one per line, until the input ends, and writes one reply per line.
///
/// # Errors
/// A line cannot be read or processed, or its reply cannot be written.
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

/// An initiator: its scheduler, and the state that translates the simulator's messages.
struct Initiator {
    number: u64,
    scheduler: Scheduler,
    names: Names,
    /// `None` if the endpoint list is pushed and needs no polls.
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

    fn handle(
        &mut self,
        now: Micros,
        number: u64,
        event: InitiatorEvent,
        actions: &mut Vec<InitiatorAction>,
    ) {
        match event {
            InitiatorEvent::Started { seed, settings } => {
                match Initiator::start(number, seed, &settings, now) {
                    Ok(initiator) => drop(self.initiators.insert(number, initiator)),
                    Err(error) => actions.push(InitiatorAction::start_failed(number, error)),
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
                    initiator.handle(now, event, actions);
                }
            }
        }
    }
}

impl Initiator {
    /// Creates the scheduler of an initiator from its settings.
    ///
    /// # Errors
    /// The settings are invalid; the error is the text that the simulator receives.
    fn start(number: u64, seed: u64, settings: &Settings, now: Micros) -> Result<Initiator, String> {
        let mut names = Names::default();
        let discovery = DiscoveryClient::new(number, settings, seed, now);
        let scheduler = settings.translate(&mut names).and_then(|settings| Scheduler::new(settings, seed));
        let scheduler = scheduler.map_err(|error| error.to_string())?;
        Ok(Initiator { number, scheduler, names, discovery })
    }

    fn handle(&mut self, now: Micros, event: WireEvent, wire_actions: &mut Vec<InitiatorAction>) {
        let Some(event) = event.translate(&mut self.names) else { return };
        if self.handled_by_discovery(now, &event) {
            return;
        }
        let ended_attempt = self.record_end(&event);
        let mut actions = Vec::new();
        self.scheduler.handle(now, event, &mut actions);
        for action in &actions {
            // In the simulator's protocol an attempt reaches its target immediately.
            if let Action::StartAttempt { id, .. } = action {
                self.scheduler.commit_reserved(now, *id);
            }
            wire_actions.extend(InitiatorAction::translate(self.number, action, &mut self.names));
        }
        if let Some((id, request_over)) = ended_attempt {
            self.names.attempt_ended(id, request_over);
        }
    }

    /// Passes an event to the discovery client, and returns whether the scheduler must not receive it.
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

    /// Finishes the request of a client that has gone. For the end of an attempt, returns the request, and whether
    /// the request is finished with it.
    fn record_end(&mut self, event: &Event) -> Option<(RequestId, bool)> {
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
