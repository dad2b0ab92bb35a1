//! Hosts initiators of rowanglade on the simulator's wire. Translation only: no decision is taken here.
#![forbid(unsafe_code)]

mod discovery;
mod wire;

use discovery::{DiscoveryClient, TIMER_TOKEN};
use rowanglade::interface::{Action, EndpointUpdateKind, Event};
use rowanglade::names::Names;
use rowanglade::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

struct Instance {
    scheduler: Scheduler,
    names: Names,
    /// None where the list comes without being asked for.
    discovery: Option<DiscoveryClient>,
}

fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    for (number, line) in input.lines().enumerate() {
        let number = number + 1;
        let line = line.map_err(|e| format!("line {number}: {e}"))?;
        let batch: wire::Batch = serde_json::from_str(&line).map_err(|e| format!("line {number}: {e}"))?;
        let mut reply = wire::Reply { actions: Vec::new() };
        for event in batch.events {
            let (inst, event) = event.open().map_err(|e| format!("line {number}: {e}"))?;
            match event {
                wire::Opened::Born { seed, settings } => {
                    let mut names = Names::default();
                    let discovery = DiscoveryClient::new(inst, &settings, seed, batch.now);
                    match settings.translate(&mut names).and_then(|s| Scheduler::new(s, seed)) {
                        Ok(scheduler) => {
                            instances.insert(inst, Instance { scheduler, names, discovery });
                        }
                        Err(e) => reply.actions.push(wire::Sent::panic(inst, e.to_string())),
                    }
                }
                wire::Opened::DiscoveryFailed => {
                    let client = instances.get_mut(&inst).and_then(|i| i.discovery.as_mut());
                    client.into_iter().for_each(|client| client.handle_failure(batch.now));
                }
                wire::Opened::Destroy => {
                    instances.remove(&inst);
                }
                wire::Opened::Other(event) => {
                    let Some(i) = instances.get_mut(&inst) else { continue };
                    let Some(event) = event.translate(&mut i.names) else { continue };
                    match (&event, &mut i.discovery) {
                        (
                            Event::EndpointsChanged {
                                kind: EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot,
                                ..
                            },
                            Some(client),
                        ) => {
                            client.handle_received(batch.now);
                        }
                        (Event::TimerFired { token: TIMER_TOKEN }, Some(client)) => {
                            client.handle_timer(batch.now);
                            continue;
                        }
                        _ => {}
                    }
                    let resolved = match &event {
                        Event::AttemptEnded { id, request_over: over, .. } => Some((*id, *over)),
                        Event::ClientGone { id } => {
                            i.names.ended(*id);
                            None
                        }
                        _ => None,
                    };
                    actions.clear();
                    i.scheduler.handle(batch.now, event, &mut actions);
                    for action in &actions {
                        // On this wire an attempt has reached its target at once.
                        if let Action::StartAttempt { id, .. } = action {
                            i.scheduler.commit_reserved(batch.now, *id);
                        }
                        reply.actions.extend(wire::Sent::from(inst, action, &mut i.names));
                    }
                    if let Some((id, over)) = resolved {
                        i.names.resolved(id, over);
                    }
                }
            }
        }
        for client in instances.values_mut().filter_map(|i| i.discovery.as_mut()) {
            client.poll(batch.now, &mut reply.actions);
        }
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("line {number}: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("line {number}: {e}"))?;
    }
    Ok(())
}

fn main() {
    let output = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    if let Err(message) = serve(io::BufReader::with_capacity(1 << 16, io::stdin().lock()), output) {
        eprintln!("rowanglade-benchlink: {message}");
        std::process::exit(1);
    }
}
