//! Whether requests can be served: a target is active, and discovery has either answered or missed its
//! timeout, after which the cached list is trusted.

use crate::core::clock::micros;
use crate::interface::{EndpointUpdateKind, Micros};
use std::time::Duration;
use tokio::sync::watch;

/// If discovery has not answered after this long, the cached list is trusted. A discovery service that is not
/// overloaded has answered by then. After a release that killed most initiators its answer takes seconds, and
/// until an initiator is ready its clients are not served.
const TRUST_CACHED_LIST_AFTER: Duration = Duration::from_millis(300);

/// The state of the wait for discovery's first answer.
#[derive(Clone, Copy, Debug)]
enum CachedList {
    /// Discovery has until this time to answer.
    WaitUntil(Micros),
    /// The timeout has passed.
    Trusted,
}

/// Publishes whether requests can be served. Once ready, the core stays ready.
#[derive(Debug)]
pub(super) struct Readiness {
    ready: watch::Sender<bool>,
    cached_list: CachedList,
}

impl Readiness {
    /// Not ready, with discovery's timeout not started.
    pub(super) fn new(ready: watch::Sender<bool>) -> Readiness {
        Readiness { ready, cached_list: CachedList::WaitUntil(Micros::MAX) }
    }

    /// Starts discovery's timeout.
    pub(super) fn start(&mut self, now: Micros) {
        self.cached_list = CachedList::WaitUntil(now + micros(TRUST_CACHED_LIST_AFTER));
    }

    pub(super) fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Publishes that requests can be served.
    pub(super) fn set_ready(&self) {
        self.ready.send_replace(true);
    }

    /// When discovery's timeout expires; `None` once it has.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        match self.cached_list {
            CachedList::WaitUntil(at) => Some(at),
            CachedList::Trusted => None,
        }
    }

    /// Whether discovery's timeout has just expired. Returns true only once, whether or not there is a
    /// target, so that the core does not wait again for a time that has passed.
    pub(super) fn trust_cached_list_if_due(&mut self, now: Micros) -> bool {
        let due = self.next_wake().is_some_and(|at| now >= at);
        if due {
            self.cached_list = CachedList::Trusted;
        }
        due
    }

    /// Whether a list of this kind is sufficient for serving.
    pub(super) fn accepts(&self, kind: EndpointUpdateKind) -> bool {
        matches!(self.cached_list, CachedList::Trusted)
            || matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Delta)
    }
}
