//! The relay: serves a bounded number of followers and sends them changes within its byte budget. The source
//! is a relay without an upstream.

use crate::budget::ByteBudget;
use crate::counters::RelayCounters;
use crate::delta::{Delta, EntryChange};
use crate::follower::{Follower, StateUpdate};
use crate::history::DeltaHistory;
use crate::message::{ResponseBody, WatchRequest, WatchResponse};
use crate::snapshot::Snapshot;
use crate::{Millis, NodeId, State, Version};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// How long a relay's own requests wait for a change, in milliseconds. Bounds the source age that the relay
/// reports to its followers.
pub const RELAY_MAX_WAIT: Millis = 1_000;
/// The maximum time in milliseconds that a follower's request waits for a change, whatever the request asks
/// for.
const MAX_WAIT: Millis = 10_000;
/// How long to wait, in milliseconds, before a response delayed by the byte budget is tried again.
const DELAYED_RETRY_INTERVAL: Millis = 20;
/// How long, in milliseconds, a follower's rejections count after its last request: the follower may have
/// switched to another relay.
const REJECTION_TIMEOUT: Millis = 15_000;
/// Approximate encoded bytes of a response in addition to its content.
const RESPONSE_OVERHEAD_BYTES: usize = 96;
/// Estimated ratio of a state's text to its snapshot in bytes, used until the snapshot has been compressed.
/// The actual ratio is higher.
const ASSUMED_COMPRESSION_RATIO: usize = 3;
/// The age reported if the source has never responded: far beyond any limit, and small enough to add time
/// spans to without overflow.
const UNKNOWN_AGE: Millis = Millis::MAX / 2;

/// A response to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The follower to send the response to.
    pub to: NodeId,
    /// The response itself.
    pub response: WatchResponse,
}

/// The limits on what a relay spends on its followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLimits {
    /// Requests of different followers that may be pending at the same time.
    pub max_followers: usize,
    /// Bytes per second on average.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once.
    pub burst_bytes: u64,
}

/// A follower's request that has not been answered yet.
#[derive(Debug)]
struct PendingRequest {
    request: WatchRequest,
    answer_by: Millis,
}

/// The number of instances, at a follower or downstream of it, that reject their newest state.
#[derive(Debug)]
struct Rejections {
    instances: u32,
    expires_at: Millis,
}

#[derive(Debug)]
enum Role {
    Source(State),
    Relay(Box<Follower>),
}

/// The kind of response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Unchanged,
    Behind,
    Empty,
    DigestMismatch,
    /// All deltas from this index of the history on.
    DeltasSince(usize),
    Snapshot,
}

/// One relay, or the source.
#[derive(Debug)]
pub struct Relay {
    id: NodeId,
    max_followers: usize,
    role: Role,
    history: DeltaHistory,
    /// The snapshot of the current state, compressed when first requested.
    snapshot: Option<Snapshot>,
    pending: BTreeMap<NodeId, PendingRequest>,
    rejections: BTreeMap<NodeId, Rejections>,
    budget: ByteBudget,
    counters: RelayCounters,
}

impl Relay {
    /// Creates the source from a state that it stored, or from an empty one of a new epoch.
    pub fn source(id: NodeId, limits: RelayLimits, state: State) -> Relay {
        Relay::with_role(id, limits, Role::Source(state))
    }

    /// Creates a relay that prefers `upstreams` in the order given. `cached` is the state that it stored
    /// before a restart, if any.
    pub fn new(id: NodeId, limits: RelayLimits, upstreams: Vec<NodeId>, cached: Option<State>) -> Relay {
        // A relay forwards every state that it receives: each instance validates the states itself.
        let accept_all = Box::new(|_: &State| Ok(()));
        let follower = Follower::new(id, upstreams, RELAY_MAX_WAIT, accept_all, cached);
        Relay::with_role(id, limits, Role::Relay(Box::new(follower)))
    }

    fn with_role(id: NodeId, limits: RelayLimits, role: Role) -> Relay {
        Relay {
            id,
            max_followers: limits.max_followers,
            role,
            history: DeltaHistory::default(),
            snapshot: None,
            pending: BTreeMap::new(),
            rejections: BTreeMap::new(),
            budget: ByteBudget::new(&limits),
            counters: RelayCounters::default(),
        }
    }

    /// The newest state. `None` at a relay that has not received one yet.
    pub fn state(&self) -> Option<&State> {
        match &self.role {
            Role::Source(state) => Some(state),
            Role::Relay(follower) => follower.newest(),
        }
    }

    /// The relay's own follower. `None` at the source.
    pub fn follower(&self) -> Option<&Follower> {
        match &self.role {
            Role::Source(_) => None,
            Role::Relay(follower) => Some(follower),
        }
    }

    /// The counts since the start.
    pub fn counters(&self) -> RelayCounters {
        self.counters
    }

    /// The number of instances, at its followers or downstream of them, that reject the newest state that
    /// they have received.
    pub fn rejecting(&self, now: Millis) -> u32 {
        let current = self.rejections.values().filter(|rejections| rejections.expires_at > now);
        current.map(|rejections| rejections.instances).sum()
    }

    /// Publishes these changes as the source's next version. `None` at a relay, which creates no versions.
    pub fn publish(&mut self, changes: Vec<EntryChange>) -> Option<Version> {
        let Role::Source(state) = &mut self.role else { return None };
        let version = Version { number: state.version().number + 1, ..state.version() };
        let delta = state.delta(version, changes);
        *state = state.apply(&delta).ok()?;
        self.record_deltas(vec![delta]);
        Some(version)
    }

    /// Records that the state changed. `deltas` is empty if a snapshot replaced it.
    fn record_deltas(&mut self, deltas: Vec<Delta>) {
        self.snapshot = None;
        self.history.extend(deltas);
    }

    /// The relay's own request to send now and the node to send it to, if a request is due.
    pub fn poll_upstream(&mut self, now: Millis) -> Option<(NodeId, WatchRequest)> {
        self.rejections.retain(|_, rejections| rejections.expires_at > now);
        let rejecting = self.rejecting(now);
        match &mut self.role {
            Role::Source(_) => None,
            Role::Relay(follower) => follower.poll(now, rejecting),
        }
    }

    /// Processes the response to the relay's own request.
    pub fn handle_response(&mut self, now: Millis, from: NodeId, response: WatchResponse) {
        let Role::Relay(follower) = &mut self.role else { return };
        if let Some(StateUpdate::Activated(_)) = follower.handle_response(now, from, response) {
            let deltas = follower.last_deltas().to_vec();
            self.record_deltas(deltas);
        }
    }

    /// The connection to `peer`, an upstream or a follower, failed or ended.
    pub fn handle_disconnect(&mut self, now: Millis, peer: NodeId) {
        self.pending.remove(&peer);
        self.rejections.remove(&peer);
        if let Role::Relay(follower) = &mut self.role {
            follower.handle_disconnect(now, peer);
        }
    }

    /// Processes a follower's request. [`Relay::poll`] returns the response, unless the request is rejected
    /// at once.
    pub fn handle_request(&mut self, now: Millis, from: NodeId, request: WatchRequest) -> Option<Outgoing> {
        let is_full = self.pending.len() >= self.max_followers;
        if is_full && !self.pending.contains_key(&from) {
            self.counters.busy += 1;
            return Some(self.outgoing(now, from, ResponseBody::Busy));
        }
        self.record_rejections(now, from, request.rejecting);
        let answer_by = now + request.max_wait.min(MAX_WAIT);
        self.pending.insert(from, PendingRequest { request, answer_by });
        None
    }

    fn record_rejections(&mut self, now: Millis, from: NodeId, instances: u32) {
        if instances == 0 {
            self.rejections.remove(&from);
        } else {
            self.rejections.insert(from, Rejections { instances, expires_at: now + REJECTION_TIMEOUT });
        }
    }

    /// When to call [`Relay::poll`] and [`Relay::poll_upstream`] again, unless a message arrives earlier.
    pub fn next_timeout(&self, now: Millis) -> Option<Millis> {
        let answer_at = |pending: &PendingRequest| match self.reply_to(&pending.request) {
            Reply::Unchanged => pending.answer_by,
            _ => now + DELAYED_RETRY_INTERVAL,
        };
        let next_answer = self.pending.values().map(answer_at).min();
        let next_request = self.follower().and_then(Follower::next_timeout);
        next_answer.into_iter().chain(next_request).min()
    }

    /// The responses to send now, as many as the byte budget allows. Smaller responses come first, so that
    /// changes are sent before snapshots.
    pub fn poll(&mut self, now: Millis) -> Vec<Outgoing> {
        self.budget.refill(now);
        let mut responses = Vec::new();
        for (size, follower, reply) in self.due_replies(now) {
            if !self.budget.allows(size) {
                self.counters.delayed += 1;
                break;
            }
            let Some(body) = self.build_body(reply) else { continue };
            self.budget.spend(size);
            self.pending.remove(&follower);
            responses.push(self.outgoing(now, follower, body));
        }
        responses
    }

    /// The replies that are due now, with their approximate sizes in bytes, the smallest first.
    fn due_replies(&self, now: Millis) -> Vec<(usize, NodeId, Reply)> {
        let mut due = Vec::new();
        for (follower, pending) in &self.pending {
            let reply = self.reply_to(&pending.request);
            if reply != Reply::Unchanged || pending.answer_by <= now {
                due.push((self.estimate_size(&reply), *follower, reply));
            }
        }
        due.sort_by_key(|(size, follower, _)| (*size, *follower));
        due
    }

    fn outgoing(&self, now: Millis, to: NodeId, body: ResponseBody) -> Outgoing {
        let (mut path, age) = match &self.role {
            Role::Source(_) => (Vec::new(), 0),
            Role::Relay(follower) => {
                (follower.path().to_vec(), follower.source_age(now).unwrap_or(UNKNOWN_AGE))
            }
        };
        path.push(self.id);
        Outgoing { to, response: WatchResponse { path, age, body } }
    }

    /// The reply to a request as of now.
    fn reply_to(&self, request: &WatchRequest) -> Reply {
        let Some(state) = self.state() else { return Reply::Empty };
        let Some(held) = request.held else { return Reply::Snapshot };
        match held.version.cmp(&state.version()) {
            Ordering::Greater => Reply::Behind,
            Ordering::Equal if held.digest == state.digest() => Reply::Unchanged,
            Ordering::Equal => Reply::DigestMismatch,
            Ordering::Less => {
                self.history.first_after(held.version).map_or(Reply::Snapshot, Reply::DeltasSince)
            }
        }
    }

    /// The approximate encoded size of a reply in bytes.
    fn estimate_size(&self, reply: &Reply) -> usize {
        let content = match reply {
            Reply::DeltasSince(first) => self.history.bytes_since(*first),
            Reply::Snapshot => match &self.snapshot {
                Some(snapshot) => snapshot.size(),
                None => self.text_bytes() / ASSUMED_COMPRESSION_RATIO,
            },
            _ => 0,
        };
        RESPONSE_OVERHEAD_BYTES + content
    }

    fn text_bytes(&self) -> usize {
        let Some(state) = self.state() else { return 0 };
        state.entries().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Builds the content of a reply. `None` if the snapshot could not be compressed.
    fn build_body(&mut self, reply: Reply) -> Option<ResponseBody> {
        match reply {
            Reply::Unchanged => {
                self.counters.unchanged += 1;
                Some(ResponseBody::Unchanged)
            }
            Reply::Behind => Some(ResponseBody::Behind),
            Reply::Empty => Some(ResponseBody::Empty),
            Reply::DigestMismatch => Some(ResponseBody::DigestMismatch),
            Reply::DeltasSince(first) => {
                self.counters.deltas += 1;
                Some(ResponseBody::Deltas(self.history.since(first).cloned().collect()))
            }
            Reply::Snapshot => {
                self.counters.snapshots += 1;
                if self.snapshot.is_none() {
                    self.snapshot = self.state().and_then(|state| Snapshot::compress(state).ok());
                }
                self.snapshot.clone().map(ResponseBody::Snapshot)
            }
        }
    }
}
