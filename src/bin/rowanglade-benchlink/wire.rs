//! The simulator's wire: its messages, and their translation to the module's events and actions.

use crate::names::Names;
use rowanglade::interface as api;
use rowanglade::interface::{Action, Attempt, Micros, SettingsError, ShardId};
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    #[serde(default)]
    azs: Vec<String>,
    ceilings: Ceilings,
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfo,
    grades: Vec<Grade>,
    #[serde(default)]
    policies: Vec<Policy>,
    #[serde(default)]
    report: Report,
    rules: Rules,
    siblings: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Ceilings {
    #[serde(default)]
    cancel: bool,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: Micros,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    cold_units: Option<f64>,
    idle_worth: Option<f64>,
    meter_period: Option<Micros>,
    tells_elsewhere: Option<bool>,
    usual_units: Option<f64>,
    within_share: Option<f64>,
    writes: Option<Vec<bool>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    group: Option<String>,
    hard_limit: Micros,
    idempotency: String,
    #[serde(default)]
    fifo_by_key: bool,
    late_worth: Option<f64>,
    memory_span: Option<Micros>,
    name: String,
    promise: Micros,
    worth: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Policy {
    burst: Option<f64>,
    floor_rate: Option<f64>,
    name: String,
    never_over: Option<f64>,
    nominal: Option<f64>,
    tolerance: Option<f64>,
    value_factor: Option<f64>,
    weight: Option<f64>,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    cold_from: Option<f64>,
    drain_grace: Option<Micros>,
    fall_multiple: Option<f64>,
    tip_after: Option<Micros>,
    warm_within: Option<Micros>,
    must_ask_in: Option<Micros>,
    extra_free: Option<f64>,
    resend_ratio: Option<f64>,
    counted_over: Option<Micros>,
    turn_gap: Option<Micros>,
}

/// An event with its instance.
pub enum Opened {
    Born { seed: u64, settings: Box<Settings> },
    Destroy,
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
                if !matches!(m.mode.as_str(), "D" | "F" | "C" | "X") {
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
            Event::Membership(m) => api::Event::List {
                kind: match m.mode.as_str() {
                    "D" => api::ListKind::Changes,
                    "F" => api::ListKind::Full,
                    "C" => api::ListKind::Remembered,
                    _ => api::ListKind::Failed,
                },
                entries: m
                    .rows_in
                    .unwrap_or_default()
                    .into_iter()
                    .map(|r| api::Entry {
                        node: names.listed(&r.store),
                        shard: ShardId(r.bay.max(0) as u32),
                        zone: names.zone(r.hall.as_deref().unwrap_or_default()),
                        state: match r.state.as_str() {
                            "IN" => api::NodeState::In,
                            "LAME" => api::NodeState::Draining,
                            _ => api::NodeState::Gone,
                        },
                        started: r.since,
                    })
                    .collect(),
            },
            Event::Inbound(r) => api::Event::Request(api::Request {
                id: names.taken(&r.xid),
                class: names.class(&r.cls),
                plan: r.policy_no.and_then(|p| names.plan(&p)),
                volume: names.volume(r.volume.as_deref().unwrap_or_default()),
                key: r.chunk.filter(|k| !k.is_empty()).map(|k| names.key(&k)),
                units: r.size_units.unwrap_or(0.0),
                shard: r.lies_in.filter(|s| *s >= 0.0).map(|s| ShardId(s as u32)),
                gateways: r.set_size.map_or(0, |n| n as u32),
                deadline: r.client_deadline,
            }),
            Event::Resolved(r) => api::Event::Outcome {
                id: names.request(&r.xid)?,
                attempt: Attempt(r.go),
                node: names.node(&r.store)?,
                outcome: outcome(&r.state_code),
                took: r.delay_seen,
                over: r.last,
                used: r.metered.filter(|m| *m > 0.0).map(|m| (m - 1.0) / 100.0),
                elsewhere: r.others_got.unwrap_or(0.0),
                load: load(r.metrics, names),
            },
            Event::FirstByte(f) => api::Event::Started { id: names.request(&f.xid)?, attempt: Attempt(f.go) },
            Event::TickDue(t) => api::Event::Wake { token: t.token },
            Event::Withdrawn(w) => api::Event::Withdrawn { id: names.request(&w.xid)? },
            Event::StatusBack(s) => api::Event::Probed {
                node: names.node(&s.store)?,
                outcome: outcome(&s.state_code),
                took: s.delay_seen,
                load: load(s.metrics, names),
            },
        })
    }
}

fn outcome(word: &str) -> api::Outcome {
    match word {
        "pass" => api::Outcome::Served,
        "no_room" => api::Outcome::Full,
        "too_slow" => api::Outcome::TimedOut,
        "no_route" => api::Outcome::Unreachable,
        "cut" => api::Outcome::Broken,
        "undone" => api::Outcome::Cancelled,
        "stale_send" => api::Outcome::NotSent,
        _ => api::Outcome::Error,
    }
}

fn load(row: Option<Vec<Option<f64>>>, names: &Names) -> api::Load {
    let mut load = api::Load::default();
    for (field, value) in names.fields.iter().zip(row.unwrap_or_default()) {
        let value = value.filter(|v| v.is_finite() && *v >= 0.0);
        match field.as_str() {
            "concurrent" => load.in_hand = value,
            "depth" => load.waiting = value,
            "mean_ms" => load.service = value.map(|ms| (ms * 1e3) as Micros),
            "load_share" => load.busy = value,
            _ => {}
        }
    }
    load
}

impl Settings {
    pub fn translate(&self, names: &mut Names) -> Result<api::Settings, SettingsError> {
        let word = |field: String| SettingsError { field, problem: "holds an unknown word" };
        names.zones = self.azs.clone();
        names.classes = self.grades.iter().map(|g| g.name.clone()).collect();
        names.plans = self.policies.iter().map(|p| p.name.clone()).collect();
        names.fields = self.report.fields.clone();
        let (info, rules) = (&self.family_info, &self.rules);
        let mut classes = Vec::new();
        for (i, g) in self.grades.iter().enumerate() {
            classes.push(api::Class {
                aim: g.promise,
                deadline: g.hard_limit,
                repeat: match g.idempotency.as_str() {
                    "repeatable" => api::Repeat::Repeatable,
                    "once" => api::Repeat::Once,
                    "by_key" => api::Repeat::Keyed {
                        group: match g.group.as_deref() {
                            None | Some("all") => api::Group::All,
                            Some("zone") => api::Group::Zone,
                            Some("cell") => api::Group::Shard,
                            _ => return Err(word(format!("grades[{i}].group"))),
                        },
                        span: g.memory_span.unwrap_or(0),
                    },
                    _ => return Err(word(format!("grades[{i}].idempotency"))),
                },
                in_order: g.fifo_by_key,
                write: info.writes.as_ref().and_then(|w| w.get(i)).copied().unwrap_or(false),
                worth: g.worth.unwrap_or(1.0),
                late_worth: g.late_worth.unwrap_or(0.0),
            });
        }
        let plan = |p: &Policy| api::Plan {
            nominal: p.nominal.unwrap_or(0.0),
            reserve: p.floor_rate.unwrap_or(0.0),
            weight: p.weight.unwrap_or(1.0),
            price: p.value_factor.unwrap_or(1.0),
            limit: p.never_over.filter(|r| *r != 0.0).map(|rate| api::Limit {
                rate,
                burst: p.burst.unwrap_or(0.0),
                slack: p.tolerance.unwrap_or(0.0),
            }),
        };
        Ok(api::Settings {
            gateways: self.siblings,
            classes,
            plans: self.policies.iter().map(plan).collect(),
            rules: api::Rules {
                drain_grace: rules.drain_grace.unwrap_or(0),
                cold_from: rules.cold_from.unwrap_or(1.0),
                warm_within: rules.warm_within.unwrap_or(0),
                cold_units: info.cold_units.unwrap_or(0.0),
                fall_window: rules.tip_after.unwrap_or(0),
                fall_multiple: rules.fall_multiple.unwrap_or(1.0),
                attempt_budget: rules.resend_ratio.map(|ratio| api::AttemptBudget {
                    free: rules.extra_free.unwrap_or(0.0),
                    ratio,
                    window: rules.counted_over.unwrap_or(0),
                }),
                key_rest: rules.turn_gap.unwrap_or(0),
                ask_within: rules.must_ask_in.unwrap_or(0),
                attempts: self.ceilings.max_attempts,
            },
            list_is_asked: self.discovery == "on_request",
            usual_units: info.usual_units.unwrap_or(1.0),
            share_worth: info.within_share.unwrap_or(1.0),
            spare_worth: info.idle_worth.unwrap_or(1.0),
            meter_period: info.meter_period.unwrap_or(0),
            tells_elsewhere: info.tells_elsewhere.unwrap_or(false),
            may_probe: self.ceilings.probes,
            may_cancel: self.ceilings.cancel,
            may_copy: self.ceilings.second_copies,
            longest_advice: if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 },
        })
    }
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
    Resolve {},
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

    /// None: the action names what the wire no longer knows.
    pub fn from(inst: u64, action: &Action, names: &mut Names) -> Option<Sent> {
        let what = match *action {
            Action::Send { id, node, timeout } => {
                names.sent(id);
                What::Issue {
                    xid: names.request_name(id)?.to_string(),
                    timeout,
                    store: names.node_name(node)?.to_string(),
                }
            }
            Action::Refuse { id, wait } => {
                let xid = names.request_name(id)?.to_string();
                names.ended(id);
                What::Deny { xid, wait }
            }
            Action::Fail { id } => {
                let xid = names.request_name(id)?.to_string();
                names.ended(id);
                What::RespondError { xid }
            }
            Action::Cancel { id, attempt } => {
                What::DropAttempt { xid: names.request_name(id)?.to_string(), go: attempt.0 }
            }
            Action::Wake { token, after } => What::WakeAt { token, offset: after },
            Action::Watch => What::Subscribe { active: true },
            Action::FetchList => What::Resolve {},
            Action::Probe { node } => What::Check { store: names.node_name(node)?.to_string() },
        };
        Some(Sent { inst, what })
    }
}
