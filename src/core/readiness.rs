//! Whether requests can be served: a target is active, and either discovery has answered or it has had its
//! time, after which the cached list must do.

use crate::core::clock::micros;
use crate::interface::{EndpointUpdateKind, Micros};
use std::time::Duration;
use tokio::sync::watch;

/// Without an answer of discovery, the cached list must do after this long. A discovery that is not
/// overloaded has answered by then; after a release that killed most initiators it takes seconds, and clients
/// whose initiators are away are served by nobody.
const TRUST_CACHED_LIST_AFTER: Duration = Duration::from_millis(300);

/// What is known of discovery's first answer.
#[derive(Clone, Copy, Debug)]
enum CachedList {
    /// Discovery still has until then to answer.
    WaitUntil(Micros),
    /// Discovery has had its time.
    Trusted,
}

/// Tells all who wait for it when requests can be served. Once ready, it stays so.
#[derive(Debug)]
pub(super) struct Readiness {
    ready: watch::Sender<bool>,
    cached_list: CachedList,
}

impl Readiness {
    /// Discovery has not been asked yet.
    pub(super) fn new(ready: watch::Sender<bool>) -> Readiness {
        Readiness { ready, cached_list: CachedList::WaitUntil(Micros::MAX) }
    }

    /// The core runs from now on, and discovery's time with it.
    pub(super) fn start(&mut self, now: Micros) {
        self.cached_list = CachedList::WaitUntil(now + micros(TRUST_CACHED_LIST_AFTER));
    }

    pub(super) fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Requests can be served from now on.
    pub(super) fn set_ready(&self) {
        self.ready.send_replace(true);
    }

    /// When discovery has had its time; `None` once that is over.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        match self.cached_list {
            CachedList::WaitUntil(at) => Some(at),
            CachedList::Trusted => None,
        }
    }

    /// Whether discovery's time has just run out. True once at most, whether or not there is a target: a time
    /// that has passed must not be waited for again.
    pub(super) fn trust_cached_list_if_due(&mut self, now: Micros) -> bool {
        let due = self.next_wake().is_some_and(|at| now >= at);
        if due {
            self.cached_list = CachedList::Trusted;
        }
        due
    }

    /// Whether a list of this kind is enough to serve from.
    pub(super) fn accepts(&self, kind: EndpointUpdateKind) -> bool {
        matches!(self.cached_list, CachedList::Trusted)
            || matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Delta)
    }
}
