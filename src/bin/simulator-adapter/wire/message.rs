//! The messages that the simulator sends.

use rowanglade::interface::Micros;
use rowanglade::settings::Settings;
use serde::Deserialize;

/// A batch of events that happen at the same time.
#[derive(Deserialize)]
pub struct Batch {
    /// The time in microseconds.
    #[serde(rename = "at-time")]
    pub now: Micros,
    /// The events, in their order.
    #[serde(rename = "arrivals")]
    pub events: Vec<Event>,
}

/// An event of the simulator. Which fields are required depends on the verb.
#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum Event {
    /// An initiator starts.
    #[serde(rename = "Born")]
    Started(Started),
    /// The endpoint list, a change of it, or a failure to get it.
    #[serde(rename = "Membership")]
    EndpointUpdate(EndpointUpdate),
    /// A client's request arrives.
    #[serde(rename = "Inbound")]
    RequestArrived(RequestArrived),
    /// An attempt has ended.
    #[serde(rename = "Resolved")]
    AttemptEnded(AttemptEnded),
    /// The first byte of a response has arrived.
    FirstByte(FirstByte),
    /// A timer is due.
    #[serde(rename = "TickDue")]
    TimerFired(TimerFired),
    /// A client has gone.
    #[serde(rename = "Withdrawn")]
    ClientGone(ClientGone),
    /// An initiator ends.
    Destroy(AddressedTo),
    /// A probe has ended.
    #[serde(rename = "StatusBack")]
    ProbeEnded(ProbeEnded),
    /// A message of another initiator, which is ignored.
    #[serde(rename = "Mail")]
    PeerMessage(AddressedTo),
}

/// The initiator that an event is addressed to; other fields are not read.
#[derive(Deserialize)]
pub struct AddressedTo {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
}

#[derive(Deserialize)]
pub struct Started {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "nonce64")]
    pub(super) seed: u64,
    pub(super) settings: Box<Settings>,
}

#[derive(Deserialize)]
pub struct EndpointUpdate {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    pub(super) mode: String,
    #[serde(rename = "rows-in", default)]
    pub(super) entries: Option<Vec<EndpointEntry>>,
}

#[derive(Deserialize)]
pub struct EndpointEntry {
    #[serde(rename = "store")]
    pub(super) target: String,
    #[serde(rename = "hall", default)]
    pub(super) zone: Option<String>,
    #[serde(rename = "bay")]
    pub(super) shard: i64,
    pub(super) state: String,
    /// When the target started, in microseconds.
    #[serde(rename = "since", default)]
    pub(super) started: Option<Micros>,
}

#[derive(Deserialize)]
pub struct RequestArrived {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "xid")]
    pub(super) request: String,
    #[serde(rename = "cls")]
    pub(super) class: String,
    #[serde(rename = "policy-no")]
    pub(super) plan: Option<String>,
    #[serde(rename = "chunk")]
    pub(super) object: Option<String>,
    #[serde(rename = "client-deadline")]
    pub(super) deadline: Micros,
    pub(super) volume: Option<String>,
    #[serde(rename = "size-units")]
    pub(super) units: Option<f64>,
    #[serde(rename = "lies-in")]
    pub(super) shard: Option<f64>,
    #[serde(rename = "set-size")]
    pub(super) initiators: Option<f64>,
}

#[derive(Deserialize)]
pub struct AttemptEnded {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "xid")]
    pub(super) request: String,
    #[serde(rename = "go")]
    pub(super) attempt: u32,
    #[serde(rename = "store")]
    pub(super) target: String,
    #[serde(rename = "state-code")]
    pub(super) outcome: String,
    #[serde(rename = "delay-seen")]
    pub(super) elapsed: Micros,
    #[serde(rename = "last")]
    pub(super) request_over: bool,
    /// One more than the used percentage of the volume's nominal rate. Zero or absent: not reported.
    #[serde(rename = "metered")]
    pub(super) used_percent_plus_one: Option<f64>,
    #[serde(rename = "others-got")]
    pub(super) units_elsewhere: Option<f64>,
    #[serde(rename = "metrics")]
    pub(super) load: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
pub struct FirstByte {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "xid")]
    pub(super) request: String,
    #[serde(rename = "go")]
    pub(super) attempt: u32,
}

#[derive(Deserialize)]
pub struct TimerFired {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    pub(super) token: u64,
}

#[derive(Deserialize)]
pub struct ClientGone {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "xid")]
    pub(super) request: String,
}

#[derive(Deserialize)]
pub struct ProbeEnded {
    #[serde(rename = "gateway-id")]
    pub(super) initiator: u64,
    #[serde(rename = "store")]
    pub(super) target: String,
    #[serde(rename = "state-code")]
    pub(super) outcome: String,
    #[serde(rename = "delay-seen")]
    pub(super) elapsed: Micros,
    #[serde(rename = "metrics")]
    pub(super) load: Option<Vec<Option<f64>>>,
}
