//! The simulator's wire: its messages, and their translation to the module's events and actions.

use rowanglade::interface as api;
use rowanglade::interface::{Action, AttemptNumber, Micros, ShardId};
use rowanglade::names::Names;
use rowanglade::settings::Settings;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "at-time")]
    pub now: Micros,
    #[serde(rename = "arrivals")]
    pub events: Vec<Event>,
}

#[derive(Serialize)]
pub struct Reply {
    #[serde(rename = "do")]
    pub actions: Vec<Sent>,
}

/// An event as it comes: which fields must be there depends on the verb.
#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum Event {
    Born(Born),
    Membership(Membership),
    Inbound(Inbound),
    Resolved(Resolved),
    FirstByte(FirstByte),
    TickDue(TickDue),
    Withdrawn(Withdrawn),
    Destroy(Whose),
    StatusBack(StatusBack),
    Mail(Whose),
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Whose {
    gateway_id: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Born {
    gateway_id: u64,
    nonce64: u64,
    settings: Box<Settings>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Membership {
    gateway_id: u64,
    mode: String,
    #[serde(default)]
    rows_in: Option<Vec<Row>>,
}

#[derive(Deserialize)]
pub struct Row {
    store: String,
    #[serde(default)]
    hall: Option<String>,
    bay: i64,
    state: String,
    #[serde(default)]
    since: Option<Micros>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Inbound {
    gateway_id: u64,
    xid: String,
    cls: String,
    policy_no: Option<String>,
    chunk: Option<String>,
    client_deadline: Micros,
    volume: Option<String>,
    size_units: Option<f64>,
    lies_in: Option<f64>,
    set_size: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Resolved {
    gateway_id: u64,
    xid: String,
    go: u32,
    store: String,
    state_code: String,
    delay_seen: Micros,
    last: bool,
    metered: Option<f64>,
    others_got: Option<f64>,
    metrics: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FirstByte {
    gateway_id: u64,
    xid: String,
    go: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TickDue {
    gateway_id: u64,
    token: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Withdrawn {
    gateway_id: u64,
    xid: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusBack {
    gateway_id: u64,
    store: String,
    state_code: String,
    delay_seen: Micros,
    metrics: Option<Vec<Option<f64>>>,
}

/// An event with its instance.
pub enum Opened {
    Born {
        seed: u64,
        settings: Box<Settings>,
    },
    Destroy,
    /// A call for the list failed, or the subscription broke.
    DiscoveryFailed,
    Other(Event),
}

impl Event {
    /// The instance that an event is for, and its kind.
    pub fn open(self) -> Result<(u64, Opened), String> {
        let inst = match self {
            Event::Born(b) => {
                return Ok((b.gateway_id, Opened::Born { seed: b.nonce64, settings: b.settings }));
            }
            Event::Destroy(w) => return Ok((w.gateway_id, Opened::Destroy)),
            Event::Membership(ref m) => {
                if m.mode == "X" {
                    return Ok((m.gateway_id, Opened::DiscoveryFailed));
                }
                if !matches!(m.mode.as_str(), "D" | "F" | "C") {
                    return Err(format!("field `mode`: unknown value {:?}", m.mode));
                }
                m.gateway_id
            }
            Event::Inbound(ref e) => e.gateway_id,
            Event::Resolved(ref e) => e.gateway_id,
            Event::FirstByte(ref e) => e.gateway_id,
            Event::TickDue(ref e) => e.gateway_id,
            Event::Withdrawn(ref e) => e.gateway_id,
            Event::StatusBack(ref e) => e.gateway_id,
            Event::Mail(ref e) => e.gateway_id,
        };
        Ok((inst, Opened::Other(self)))
    }

    /// None: nothing that the module could know of.
    pub fn translate(self, names: &mut Names) -> Option<api::Event> {
        Some(match self {
            Event::Born(_) | Event::Destroy(_) | Event::Mail(_) => return None,
            Event::Membership(m) => api::Event::EndpointsChanged {
                kind: match m.mode.as_str() {
                    "D" => api::EndpointUpdateKind::Delta,
                    "F" => api::EndpointUpdateKind::Snapshot,
                    _ => api::EndpointUpdateKind::Cached,
                },
                entries: m
                    .rows_in
                    .unwrap_or_default()
                    .into_iter()
                    .map(|r| api::EndpointEntry {
                        target: names.intern_target(&r.store),
                        shard: ShardId(r.bay.max(0) as u32),
                        zone: names.zone(r.hall.as_deref().unwrap_or_default()),
                        state: match r.state.as_str() {
                            "IN" => api::TargetState::Active,
                            "LAME" => api::TargetState::Draining,
                            _ => api::TargetState::Removed,
                        },
                        started: r.since,
                    })
                    .collect(),
            },
            Event::Inbound(r) => api::Event::RequestArrived(api::RequestProfile {
                id: names.taken(&r.xid),
                class: names.class(&r.cls),
                plan: r.policy_no.and_then(|p| names.plan(&p)),
                volume: names.volume(r.volume.as_deref().unwrap_or_default()),
                key: r.chunk.filter(|k| !k.is_empty()).map(|k| names.key(&k)),
                units: r.size_units.unwrap_or(0.0),
                shard: r.lies_in.filter(|s| *s >= 0.0).map(|s| ShardId(s as u32)),
                initiators: r.set_size.map_or(0, |n| n as u32),
                deadline: r.client_deadline,
                target_set: None,
            }),
            Event::Resolved(r) => api::Event::AttemptEnded {
                id: names.request(&r.xid)?,
                attempt: AttemptNumber(r.go),
                target: names.target(&r.store)?,
                outcome: outcome(&r.state_code),
                elapsed: r.delay_seen,
                request_over: r.last,
                used: r.metered.filter(|m| *m > 0.0).map(|m| (m - 1.0) / 100.0),
                elsewhere: r.others_got.unwrap_or(0.0),
                load: load(r.metrics, names),
            },
            Event::FirstByte(f) => api::Event::TransferStarted {
                id: names.request(&f.xid)?,
                attempt: AttemptNumber(f.go),
                deadline_applies: false,
            },
            Event::TickDue(t) => api::Event::TimerFired { token: t.token },
            Event::Withdrawn(w) => api::Event::ClientGone { id: names.request(&w.xid)? },
            Event::StatusBack(s) => api::Event::ProbeEnded {
                target: names.target(&s.store)?,
                outcome: outcome(&s.state_code),
                elapsed: s.delay_seen,
                load: load(s.metrics, names),
            },
        })
    }
}

fn outcome(word: &str) -> api::Outcome {
    match word {
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

fn load(row: Option<Vec<Option<f64>>>, names: &Names) -> api::LoadReport {
    let mut load = api::LoadReport::default();
    for (field, value) in names.fields.iter().zip(row.unwrap_or_default()) {
        let value = value.filter(|v| v.is_finite() && *v >= 0.0);
        match field.as_str() {
            "concurrent" => load.in_flight = value,
            "depth" => load.queued = value,
            "mean_ms" => load.service_time = value.map(|ms| (ms * 1e3) as Micros),
            "load_share" => load.utilization = value,
            _ => {}
        }
    }
    load
}

#[derive(Serialize)]
pub struct Sent {
    #[serde(rename = "gateway-id")]
    inst: u64,
    #[serde(flatten)]
    what: What,
}

#[derive(Serialize)]
#[serde(tag = "verb")]
enum What {
    Issue {
        xid: String,
        #[serde(rename = "try-for", skip_serializing_if = "Option::is_none")]
        timeout: Option<Micros>,
        store: String,
    },
    Deny {
        xid: String,
        wait: Micros,
    },
    RespondError {
        xid: String,
    },
    DropAttempt {
        xid: String,
        go: u32,
    },
    WakeAt {
        token: u64,
        offset: Micros,
    },
    Subscribe {
        active: bool,
    },
    Check {
        store: String,
    },
    Panic {
        line: String,
    },
}

impl Sent {
    pub fn panic(inst: u64, line: String) -> Sent {
        Sent { inst, what: What::Panic { line } }
    }

    /// Asks discovery for the list's changes from now on.
    pub fn subscribe(inst: u64) -> Sent {
        Sent { inst, what: What::Subscribe { active: true } }
    }

    /// Asks for a timer that is due `offset` microseconds from now.
    pub fn wake(inst: u64, token: u64, offset: Micros) -> Sent {
        Sent { inst, what: What::WakeAt { token, offset } }
    }

    /// None: the action names what the wire no longer knows.
    pub fn from(inst: u64, action: &Action, names: &mut Names) -> Option<Sent> {
        let what = match *action {
            Action::StartAttempt { id, target, timeout } => {
                names.sent(id);
                What::Issue {
                    xid: names.request_name(id)?.to_string(),
                    timeout,
                    store: names.target_name(target)?.to_string(),
                }
            }
            Action::Reject { id, retry_after } => {
                let xid = names.request_name(id)?.to_string();
                names.ended(id);
                What::Deny { xid, wait: retry_after }
            }
            Action::Fail { id } => {
                let xid = names.request_name(id)?.to_string();
                names.ended(id);
                What::RespondError { xid }
            }
            Action::CancelAttempt { id, attempt } => {
                What::DropAttempt { xid: names.request_name(id)?.to_string(), go: attempt.0 }
            }
            Action::SetTimer { token, after } => What::WakeAt { token, offset: after },
            // The simulator's instances talk of no units.
            Action::QuotaNeeded { .. } | Action::QuotaOffered { .. } => return None,
            Action::Probe { target } => What::Check { store: names.target_name(target)?.to_string() },
        };
        Some(Sent { inst, what })
    }
}

#[cfg(test)]
mod tests;
