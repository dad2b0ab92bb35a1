//! The translation of the simulator's events to the scheduler's.

use super::message::{AttemptEnded, EndpointEntry, EndpointUpdate, Event, ProbeEnded, RequestArrived};
use crate::error::EventError;
use rowanglade::interface as api;
use rowanglade::interface::{AttemptNumber, Micros, ShardId};
use rowanglade::names::Names;
use rowanglade::settings::Settings;

/// The mode of an endpoint update that reports a failed poll or a broken subscription.
const MODE_FAILED: &str = "X";
const MODE_DELTA: &str = "D";
const MODE_SNAPSHOT: &str = "F";
const MODE_CACHED: &str = "C";

/// An event of one initiator, as its host handles it.
pub enum InitiatorEvent {
    /// The initiator starts.
    Started {
        /// The seed of the scheduler's random draws.
        seed: u64,
        /// The settings of the initiator.
        settings: Box<Settings>,
    },
    /// The initiator ends.
    Destroyed,
    /// A poll for the endpoint list failed, or the subscription broke.
    DiscoveryFailed,
    /// An event that is translated for the scheduler.
    Other(Event),
}

impl Event {
    /// The initiator that the event is addressed to, and how its host handles it.
    ///
    /// # Errors
    /// A field contains a value that is not one of those allowed.
    pub fn classify(self) -> Result<(u64, InitiatorEvent), EventError> {
        let initiator = match self {
            Event::Started(started) => {
                let event = InitiatorEvent::Started { seed: started.seed, settings: started.settings };
                return Ok((started.initiator, event));
            }
            Event::Destroy(to) => return Ok((to.initiator, InitiatorEvent::Destroyed)),
            Event::EndpointUpdate(update) if update.mode == MODE_FAILED => {
                return Ok((update.initiator, InitiatorEvent::DiscoveryFailed));
            }
            Event::EndpointUpdate(ref update) => {
                update.kind()?;
                update.initiator
            }
            Event::RequestArrived(ref event) => event.initiator,
            Event::AttemptEnded(ref event) => event.initiator,
            Event::FirstByte(ref event) => event.initiator,
            Event::TimerFired(ref event) => event.initiator,
            Event::ClientGone(ref event) => event.initiator,
            Event::ProbeEnded(ref event) => event.initiator,
            Event::PeerMessage(ref event) => event.initiator,
        };
        Ok((initiator, InitiatorEvent::Other(self)))
    }

    /// Translates the event to the scheduler's. `None`: the scheduler has no such event, or the event names
    /// an unknown request or target.
    pub fn translate(self, names: &mut Names) -> Option<api::Event> {
        Some(match self {
            Event::Started(_) | Event::Destroy(_) | Event::PeerMessage(_) => return None,
            Event::EndpointUpdate(update) => update.translate(names)?,
            Event::RequestArrived(request) => api::Event::RequestArrived(request.translate(names)),
            Event::AttemptEnded(attempt) => attempt.translate(names)?,
            Event::ProbeEnded(probe) => probe.translate(names)?,
            Event::FirstByte(event) => api::Event::TransferStarted {
                id: names.request(&event.request)?,
                attempt: AttemptNumber(event.attempt),
                deadline_applies: false,
            },
            Event::TimerFired(event) => api::Event::TimerFired { token: event.token },
            Event::ClientGone(event) => api::Event::ClientGone { id: names.request(&event.request)? },
        })
    }
}

impl EndpointUpdate {
    fn kind(&self) -> Result<api::EndpointUpdateKind, EventError> {
        match self.mode.as_str() {
            MODE_DELTA => Ok(api::EndpointUpdateKind::Delta),
            MODE_SNAPSHOT => Ok(api::EndpointUpdateKind::Snapshot),
            MODE_CACHED => Ok(api::EndpointUpdateKind::Cached),
            other => Err(EventError::UnknownValue { field: "mode", value: other.to_string() }),
        }
    }

    fn translate(self, names: &mut Names) -> Option<api::Event> {
        let kind = self.kind().ok()?;
        let entries = self.entries.unwrap_or_default();
        let entries = entries.into_iter().map(|entry| entry.translate(names)).collect();
        Some(api::Event::EndpointsChanged { kind, entries })
    }
}

impl EndpointEntry {
    fn translate(self, names: &mut Names) -> api::EndpointEntry {
        api::EndpointEntry {
            target: names.intern_target(&self.target),
            shard: ShardId(self.shard.max(0) as u32),
            zone: names.zone(self.zone.as_deref().unwrap_or_default()),
            state: match self.state.as_str() {
                "IN" => api::TargetState::Active,
                "LAME" => api::TargetState::Draining,
                _ => api::TargetState::Removed,
            },
            started: self.started,
        }
    }
}

impl RequestArrived {
    fn translate(self, names: &mut Names) -> api::RequestProfile {
        api::RequestProfile {
            id: names.open_request(&self.request),
            class: names.class(&self.class),
            plan: self.plan.and_then(|plan| names.plan(&plan)),
            volume: names.volume(self.volume.as_deref().unwrap_or_default()),
            key: self.object.filter(|object| !object.is_empty()).map(|object| names.key(&object)),
            units: self.units.unwrap_or(0.0),
            shard: self.shard.filter(|shard| *shard >= 0.0).map(|shard| ShardId(shard as u32)),
            initiators: self.initiators.map_or(0, |count| count as u32),
            deadline: self.deadline,
            target_set: None,
        }
    }
}

impl AttemptEnded {
    fn translate(self, names: &Names) -> Option<api::Event> {
        Some(api::Event::AttemptEnded {
            id: names.request(&self.request)?,
            attempt: AttemptNumber(self.attempt),
            target: names.target(&self.target)?,
            outcome: outcome(&self.outcome),
            elapsed: self.elapsed,
            request_over: self.request_over,
            used_fraction: self
                .used_percent_plus_one
                .filter(|used| *used > 0.0)
                .map(|used| (used - 1.0) / 100.0),
            units_elsewhere: self.units_elsewhere.unwrap_or(0.0),
            load: load(self.load, names),
        })
    }
}

impl ProbeEnded {
    fn translate(self, names: &Names) -> Option<api::Event> {
        Some(api::Event::ProbeEnded {
            target: names.target(&self.target)?,
            outcome: outcome(&self.outcome),
            elapsed: self.elapsed,
            load: load(self.load, names),
        })
    }
}

fn outcome(value: &str) -> api::Outcome {
    match value {
        "pass" => api::Outcome::Served,
        "no_room" => api::Outcome::QueueFull,
        "too_slow" => api::Outcome::TimedOut,
        "no_route" => api::Outcome::Unreachable,
        "cut" => api::Outcome::Broken,
        "undone" => api::Outcome::Cancelled,
        "stale_send" => api::Outcome::NotSent,
        _ => api::Outcome::Error,
    }
}

/// Translates a load report, whose values are in the order of the fields in the settings.
fn load(values: Option<Vec<Option<f64>>>, names: &Names) -> api::LoadReport {
    let mut load = api::LoadReport::default();
    for (field, value) in names.load_report_fields.iter().zip(values.unwrap_or_default()) {
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        match field.as_str() {
            "concurrent" => load.in_flight = value,
            "depth" => load.queued = value,
            "mean_ms" => load.service_time = value.map(|millis| (millis * 1e3) as Micros),
            "load_share" => load.utilization = value,
            _ => {}
        }
    }
    load
}
