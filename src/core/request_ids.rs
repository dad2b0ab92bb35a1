//! The ids that clients have given their requests: an id that comes again is not run a second time.
//!
//! An id in use names an open request, and a second request of that id could get the response to the first. An id that
//! was used names one that may have run. Clients give each request a new id, so whoever sends it again repeats a request
//! whose response was lost, and the repeat must not have an effect of its own.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is remembered after its request. This exceeds the longest deadline and a handover together.
const USED_ID_RETENTION: Duration = Duration::from_secs(30);
/// Most ids that are remembered, some 30 bytes each: those of the last 30 s at a thousand requests a second.
const MAX_USED_IDS: usize = 32_768;

/// The hash of a request's id. Two processes of a handover may be of different builds: the hash is the same in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestIdHash(u64);

impl RequestIdHash {
    /// The hash of an id.
    pub fn of(id: &str) -> RequestIdHash {
        let hash = blake3::hash(id.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        RequestIdHash(u64::from_le_bytes(first))
    }
}

/// The ids of requests that may have run, the oldest first.
#[derive(Debug, Default)]
struct UsedIds {
    known: HashSet<RequestIdHash>,
    order: VecDeque<(Instant, RequestIdHash)>,
}

impl UsedIds {
    fn insert(&mut self, id: RequestIdHash) {
        let now = Instant::now();
        let is_old = |(at, _): &(Instant, RequestIdHash)| *at + USED_ID_RETENTION <= now;
        while self.order.len() >= MAX_USED_IDS || self.order.front().is_some_and(is_old) {
            let Some((_, oldest)) = self.order.pop_front() else { break };
            self.known.remove(&oldest);
        }
        if self.known.insert(id) {
            self.order.push_back((now, id));
        }
    }
}

/// The ids of all requests, shared by the core and its handles. Clones share one set.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestIds(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    open: HashSet<String>,
    used: UsedIds,
}

impl RequestIds {
    /// Whether a request of this id is open here.
    pub(super) fn is_open(&self, id: &str) -> bool {
        self.0.borrow().open.contains(id)
    }

    /// Whether a request of this id may have run, here or at the other process of a handover.
    pub(super) fn is_used(&self, id: &str) -> bool {
        let state = self.0.borrow();
        !state.used.known.is_empty() && state.used.known.contains(&RequestIdHash::of(id))
    }

    /// Records that a request of this id is open.
    pub(super) fn open(&self, id: &str) {
        self.0.borrow_mut().open.insert(id.to_string());
    }

    /// Records that the request of this id is settled. `may_have_run`: the id is remembered.
    pub(super) fn settle(&self, id: &str, may_have_run: bool) {
        let mut state = self.0.borrow_mut();
        state.open.remove(id);
        if may_have_run {
            state.used.insert(RequestIdHash::of(id));
        }
    }

    /// Records ids that were used at the other process of a handover.
    pub(super) fn merge(&self, ids: impl IntoIterator<Item = RequestIdHash>) {
        let mut state = self.0.borrow_mut();
        ids.into_iter().for_each(|id| state.used.insert(id));
    }

    /// The ids that the other process of a handover must not run: those that were used, and those of open requests.
    pub(super) fn hashes(&self) -> Vec<RequestIdHash> {
        let state = self.0.borrow();
        let used = state.used.order.iter().map(|(_, id)| *id);
        used.chain(state.open.iter().map(|id| RequestIdHash::of(id))).collect()
    }
}
