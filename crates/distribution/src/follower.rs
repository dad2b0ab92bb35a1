//! A follower's part: which responses it takes, and which state is active.

use crate::check::{InvalidState, StateCheck};
use crate::counters::FollowerCounters;
use crate::delta::{ApplyError, Delta};
use crate::message::{HeldVersion, ResponseBody, WatchRequest, WatchResponse};
use crate::snapshot::Snapshot;
use crate::upstreams::Upstreams;
use crate::{Millis, NodeId, State, Version};
use std::fmt;

/// A response later than this past the wait of its request does not come any more.
const RESPONSE_TIMEOUT: Millis = 1_500;
/// The same for a snapshot, which a relay may delay while many are requested.
const SNAPSHOT_TIMEOUT: Millis = 5_000;
/// A relay to which the source has not responded for this long is cut off: relays' own requests wait for a
/// second at most ([`crate::RELAY_MAX_WAIT`]).
const MAX_SOURCE_AGE: Millis = 4_000;
/// More relays between the source and a follower than these are a loop, or as good as one.
const MAX_PATH_NODES: usize = 4;

/// What a response has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum StateUpdate {
    /// The state is active from now on.
    Activated(State),
    /// The instance cannot run with it: the last good state stays active.
    Rejected {
        /// The version of the state.
        version: Version,
        /// What is wrong with it.
        reason: InvalidState,
    },
}

/// When a response last came, and how old the source's was then.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    at: Millis,
    source_age: Millis,
}

/// The present relay is of no use now, and is to be left.
struct RelayUnusable;

/// One follower. Its driver sends what [`Follower::poll`] returns, and passes on what comes back.
pub struct Follower {
    id: NodeId,
    upstreams: Upstreams,
    /// How long its requests wait for a change.
    max_wait: Millis,
    check: StateCheck,
    /// When the request in flight times out.
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
    /// A follower of these relays, from the most preferred one on, whose requests wait for a change for
    /// `max_wait` milliseconds. `cached` is what was active before a restart, if anything: it is active until
    /// something newer is received.
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

    /// This node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// What was counted since the start.
    pub fn counters(&self) -> FollowerCounters {
        self.counters
    }

    /// The newest state, active or not.
    pub fn newest(&self) -> Option<&State> {
        self.newest.as_ref()
    }

    /// The state that the instance runs with.
    pub fn active(&self) -> Option<&State> {
        self.active.as_ref()
    }

    /// The nodes that the last response came through, the source first.
    pub fn path(&self) -> &[NodeId] {
        &self.path
    }

    /// How many milliseconds ago the source responded, by whatever path. None: never.
    pub fn source_age(&self, now: Millis) -> Option<Millis> {
        self.last_response.map(|last| last.source_age + now.saturating_sub(last.at))
    }

    /// The deltas that led to the newest state, from the one before; none where a snapshot did.
    pub(crate) fn last_deltas(&self) -> &[Delta] {
        &self.last_deltas
    }

    /// Whether it rejects the newest state that it has.
    pub fn is_rejecting(&self) -> bool {
        self.newest.as_ref().map(State::version) != self.active.as_ref().map(State::version)
    }

    /// When to call [`Follower::poll`] again, unless something is received before. None: there is no relay.
    pub fn next_timeout(&self) -> Option<Millis> {
        let next = self.response_due.unwrap_or(self.upstreams.backoff_until());
        (!self.upstreams.is_empty()).then_some(next)
    }

    /// The request to be sent now, if one is due, and to which relay. `rejecting_behind` counts the instances
    /// behind a relay that reject the newest state that they have.
    pub fn poll(&mut self, now: Millis, rejecting_behind: u32) -> Option<(NodeId, WatchRequest)> {
        self.upstreams.current()?;
        if let Some(due) = self.response_due {
            if now < due {
                return None;
            }
            self.counters.timeouts += 1;
            self.leave_relay(now);
        }
        if now < self.upstreams.backoff_until() {
            return None;
        }
        self.upstreams.return_to_first_if_due(now);
        let relay = self.upstreams.current()?;
        Some((relay, self.build_request(now, rejecting_behind)))
    }

    fn build_request(&mut self, now: Millis, rejecting_behind: u32) -> WatchRequest {
        // The first response of a relay only shows that it is there.
        let may_wait = self.upstreams.is_settled() && !self.needs_snapshot;
        let max_wait = if may_wait { self.max_wait } else { 0 };
        let held = self.newest.as_ref().filter(|_| !self.needs_snapshot);
        let held = held.map(|state| HeldVersion { version: state.version(), digest: state.digest() });
        let timeout = if held.is_some() { RESPONSE_TIMEOUT } else { SNAPSHOT_TIMEOUT };
        self.response_due = Some(now + max_wait + timeout);
        let rejecting = rejecting_behind + u32::from(self.is_rejecting());
        WatchRequest { held, max_wait, rejecting }
    }

    /// Whether the response to the request in flight is to come from this node.
    fn awaits(&self, from: NodeId) -> bool {
        self.response_due.is_some() && self.upstreams.current() == Some(from)
    }

    /// The present relay cannot be reached, or its connection has ended.
    pub fn handle_disconnect(&mut self, now: Millis, from: NodeId) {
        if self.awaits(from) {
            self.counters.disconnects += 1;
            self.leave_relay(now);
        }
    }

    fn leave_relay(&mut self, now: Millis) {
        self.response_due = None;
        self.upstreams.leave_current(now);
    }

    /// A response was received.
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
            self.leave_relay(now);
            return None;
        }
        let Ok(update) = self.handle_body(body) else {
            self.leave_relay(now);
            return None;
        };
        self.path = path;
        self.last_response = Some(LastResponse { at: now, source_age: age });
        if age > MAX_SOURCE_AGE {
            // What it has may be the newest there is, but it would not learn of newer.
            self.counters.cut_off += 1;
            self.leave_relay(now);
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

    /// Applies all of them or none. States between are not checked, since no instance is to run with them.
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

    /// A snapshot of the version held repairs what is held, if it was requested for that.
    fn wants_snapshot_of(&self, version: Version) -> bool {
        let Some(newest) = &self.newest else { return true };
        version > newest.version() || (self.needs_snapshot && version == newest.version())
    }

    /// Keeps a state as the newest, and activates it if the instance can run with it.
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
