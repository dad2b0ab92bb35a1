//! The follower: decides which responses to accept and which state is active.

use crate::check::{InvalidState, StateCheck};
use crate::counters::FollowerCounters;
use crate::delta::{ApplyError, Delta};
use crate::message::{HeldVersion, ResponseBody, WatchRequest, WatchResponse};
use crate::snapshot::Snapshot;
use crate::upstreams::Upstreams;
use crate::{Millis, NodeId, State, Version};
use std::fmt;

/// How long, in milliseconds after the requested wait, a response may take before the request times out.
const RESPONSE_TIMEOUT: Millis = 1_500;
/// The timeout for snapshot requests; longer, because a relay may delay snapshots while many followers
/// request them.
const SNAPSHOT_TIMEOUT: Millis = 5_000;
/// The maximum age, in milliseconds, of the source's last response. A relay that reports a greater age is
/// considered cut off from the source: relays' own requests wait for at most a second
/// ([`crate::RELAY_MAX_WAIT`]).
const MAX_SOURCE_AGE: Millis = 4_000;
/// The maximum number of nodes on the path from the source to a follower; a longer path is treated as a loop.
const MAX_PATH_NODES: usize = 4;

/// The result of a response that carried a new state.
#[derive(Clone, Debug, PartialEq)]
pub enum StateUpdate {
    /// The state is active from now on.
    Activated(State),
    /// The instance's validation rejected the state: the last accepted state stays active.
    Rejected {
        /// The version of the state.
        version: Version,
        /// Why the state was rejected.
        reason: InvalidState,
    },
}

/// When the last response arrived, and the age of the source's response at that time.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    at: Millis,
    source_age: Millis,
}

/// The current relay is not usable now: the follower switches to the next one.
struct RelayUnusable;

/// One follower. Its driver sends the requests that [`Follower::poll`] returns, and passes the responses to
/// [`Follower::handle_response`].
pub struct Follower {
    id: NodeId,
    upstreams: Upstreams,
    /// How long its requests wait for a change, in milliseconds.
    max_wait: Millis,
    check: StateCheck,
    /// When the request in flight times out. `None` if no request is in flight.
    response_due: Option<Millis>,
    needs_snapshot: bool,
    newest: Option<State>,
    active: Option<State>,
    last_response: Option<LastResponse>,
    path: Vec<NodeId>,
    last_deltas: Vec<Delta>,
    counters: FollowerCounters,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let newest = self.newest.as_ref().map(State::version);
        f.debug_struct("Follower").field("id", &self.id).field("newest", &newest).finish_non_exhaustive()
    }
}

impl Follower {
    /// Creates a follower that prefers `upstreams` in the order given and whose requests wait up to
    /// `max_wait` milliseconds for a change. `cached` is the state that was active before a restart, if any;
    /// it is active until a newer one is received.
    pub fn new(
        id: NodeId,
        upstreams: Vec<NodeId>,
        max_wait: Millis,
        check: StateCheck,
        cached: Option<State>,
    ) -> Follower {
        Follower {
            id,
            upstreams: Upstreams::new(id, upstreams),
            max_wait,
            check,
            response_due: None,
            needs_snapshot: false,
            newest: cached.clone(),
            active: cached,
            last_response: None,
            path: Vec::new(),
            last_deltas: Vec::new(),
            counters: FollowerCounters::default(),
        }
    }

    /// The id of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The counts since the start.
    pub fn counters(&self) -> FollowerCounters {
        self.counters
    }

    /// The newest state received, whether active or rejected. `None` if there is none yet.
    pub fn newest(&self) -> Option<&State> {
        self.newest.as_ref()
    }

    /// The state that the instance runs with. `None` if there is none yet.
    pub fn active(&self) -> Option<&State> {
        self.active.as_ref()
    }

    /// The nodes that the last response passed through, the source first.
    pub fn path(&self) -> &[NodeId] {
        &self.path
    }

    /// How many milliseconds ago the source last responded, through any path. `None` if it never did.
    pub fn source_age(&self, now: Millis) -> Option<Millis> {
        self.last_response.map(|last| last.source_age + now.saturating_sub(last.at))
    }

    /// The deltas that led from the previous state to the newest one; empty if a snapshot replaced it.
    pub(crate) fn last_deltas(&self) -> &[Delta] {
        &self.last_deltas
    }

    /// Whether this instance rejects the newest state that it has received.
    pub fn is_rejecting(&self) -> bool {
        self.newest.as_ref().map(State::version) != self.active.as_ref().map(State::version)
    }

    /// When to call [`Follower::poll`] again, unless a message arrives earlier. `None` if there are no
    /// relays.
    pub fn next_timeout(&self) -> Option<Millis> {
        let next = self.response_due.unwrap_or(self.upstreams.backoff_until());
        (!self.upstreams.is_empty()).then_some(next)
    }

    /// The request to send now and the relay to send it to, if a request is due. `rejecting_downstream` is
    /// the number of instances downstream of a relay that reject the newest state that they have received.
    pub fn poll(&mut self, now: Millis, rejecting_downstream: u32) -> Option<(NodeId, WatchRequest)> {
        self.upstreams.current()?;
        if let Some(due) = self.response_due {
            if now < due {
                return None;
            }
            self.counters.timeouts += 1;
            self.switch_relay(now);
        }
        if now < self.upstreams.backoff_until() {
            return None;
        }
        self.upstreams.return_to_first_if_due(now);
        let relay = self.upstreams.current()?;
        Some((relay, self.build_request(now, rejecting_downstream)))
    }

    fn build_request(&mut self, now: Millis, rejecting_downstream: u32) -> WatchRequest {
        // The first request to a relay does not wait for a change: its response only confirms that the relay
        // is usable.
        let may_wait = self.upstreams.is_settled() && !self.needs_snapshot;
        let max_wait = if may_wait { self.max_wait } else { 0 };
        let held = self.newest.as_ref().filter(|_| !self.needs_snapshot);
        let held = held.map(|state| HeldVersion { version: state.version(), digest: state.digest() });
        let timeout = if held.is_some() { RESPONSE_TIMEOUT } else { SNAPSHOT_TIMEOUT };
        self.response_due = Some(now + max_wait + timeout);
        let rejecting = rejecting_downstream + u32::from(self.is_rejecting());
        WatchRequest { held, max_wait, rejecting }
    }

    /// Whether a request to this node is in flight.
    fn awaits(&self, from: NodeId) -> bool {
        self.response_due.is_some() && self.upstreams.current() == Some(from)
    }

    /// The connection to `from` failed or ended. Ignored unless a request to that node is in flight.
    pub fn handle_disconnect(&mut self, now: Millis, from: NodeId) {
        if self.awaits(from) {
            self.counters.disconnects += 1;
            self.switch_relay(now);
        }
    }

    fn switch_relay(&mut self, now: Millis) {
        self.response_due = None;
        self.upstreams.switch_to_next(now);
    }

    /// Processes a response. Returns the update if it carried a new state.
    pub fn handle_response(
        &mut self,
        now: Millis,
        from: NodeId,
        response: WatchResponse,
    ) -> Option<StateUpdate> {
        if !self.awaits(from) {
            self.counters.unsolicited += 1;
            return None;
        }
        self.response_due = None;
        let WatchResponse { path, age, body } = response;
        if path.contains(&self.id) || path.len() > MAX_PATH_NODES {
            self.counters.loops += 1;
            self.switch_relay(now);
            return None;
        }
        let Ok(update) = self.handle_body(body) else {
            self.switch_relay(now);
            return None;
        };
        self.path = path;
        self.last_response = Some(LastResponse { at: now, source_age: age });
        if age > MAX_SOURCE_AGE {
            // The relay's state may be the newest one, but the relay would not receive later changes.
            self.counters.cut_off += 1;
            self.switch_relay(now);
        } else {
            self.upstreams.record_success(now);
        }
        update
    }

    fn handle_body(&mut self, body: ResponseBody) -> Result<Option<StateUpdate>, RelayUnusable> {
        match body {
            ResponseBody::Unchanged => Ok(None),
            ResponseBody::DigestMismatch => {
                self.counters.digest_mismatches += 1;
                self.needs_snapshot = true;
                Ok(None)
            }
            ResponseBody::Deltas(deltas) => self.handle_deltas(deltas),
            ResponseBody::Snapshot(snapshot) => self.handle_snapshot(&snapshot).map(Some),
            ResponseBody::Behind => {
                self.counters.stale += 1;
                Err(RelayUnusable)
            }
            ResponseBody::Empty => Err(RelayUnusable),
            ResponseBody::Busy => {
                self.counters.busy += 1;
                Err(RelayUnusable)
            }
        }
    }

    /// Applies all deltas or none. Intermediate states are not validated, since no instance runs with them.
    fn handle_deltas(&mut self, deltas: Vec<Delta>) -> Result<Option<StateUpdate>, RelayUnusable> {
        let Some(newest) = &self.newest else {
            self.counters.wrong_base += 1;
            self.needs_snapshot = true;
            return Ok(None);
        };
        let last_version = deltas.last().map(|delta| delta.to);
        if last_version.is_none_or(|last| last <= newest.version()) {
            self.counters.stale += 1;
            return Err(RelayUnusable);
        }
        match deltas.iter().try_fold(newest.clone(), |state, delta| state.apply(delta)) {
            Ok(state) => {
                self.counters.deltas += deltas.len() as u64;
                self.last_deltas = deltas;
                Ok(Some(self.accept_state(state)))
            }
            Err(error) => {
                match error {
                    ApplyError::WrongBase => self.counters.wrong_base += 1,
                    _ => self.counters.digest_mismatches += 1,
                }
                self.needs_snapshot = true;
                Ok(None)
            }
        }
    }

    fn handle_snapshot(&mut self, snapshot: &Snapshot) -> Result<StateUpdate, RelayUnusable> {
        if !self.wants_snapshot_of(snapshot.version) {
            self.counters.stale += 1;
            return Err(RelayUnusable);
        }
        let Ok(state) = snapshot.decompress() else {
            self.counters.malformed_snapshots += 1;
            return Err(RelayUnusable);
        };
        self.counters.snapshots += 1;
        self.last_deltas.clear();
        Ok(self.accept_state(state))
    }

    /// A snapshot of the current version is accepted only if it was requested, to replace a state with a
    /// mismatched digest.
    fn wants_snapshot_of(&self, version: Version) -> bool {
        let Some(newest) = &self.newest else { return true };
        version > newest.version() || (self.needs_snapshot && version == newest.version())
    }

    /// Stores a state as the newest, and activates it if the instance's validation accepts it.
    fn accept_state(&mut self, state: State) -> StateUpdate {
        self.needs_snapshot = false;
        self.newest = Some(state.clone());
        match (self.check)(&state) {
            Ok(()) => {
                self.active = Some(state.clone());
                StateUpdate::Activated(state)
            }
            Err(reason) => {
                self.counters.rejected += 1;
                StateUpdate::Rejected { version: state.version(), reason }
            }
        }
    }
}
