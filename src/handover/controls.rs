//! The parts of the process that a handover controls: the core, the phase and the descriptor budget.

use super::message::{DescriptorShare, Listeners, Welcome};
use crate::core::HandoverRequest;
use crate::net::http::EndpointPage;
use crate::net::{DescriptorBudget, Phase};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};

/// Descriptors that a retired predecessor may open in addition to those it still uses.
const RETIRED_DESCRIPTORS: usize = 8;
/// Descriptors that a successor needs until it has the state; its predecessor reserves them.
const SUCCESSOR_DESCRIPTORS: usize = 40;

/// The parts of the process that a handover controls.
#[derive(Debug)]
pub struct HandoverControls {
    /// Requests to the core.
    pub core: mpsc::Sender<HandoverRequest>,
    /// Whether the core has an endpoint list from which requests can be served.
    pub ready: watch::Receiver<bool>,
    /// The phase of this process, which all listeners follow.
    pub phase: Rc<watch::Sender<Phase>>,
    /// The descriptor budget that both processes share.
    pub budget: DescriptorBudget,
    /// The sockets that are passed on to a successor.
    pub listeners: Listeners,
}

impl HandoverControls {
    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Sends the core a request and waits for its answer. `None`: the core has stopped.
    pub(super) async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> HandoverRequest,
    ) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.core.send(request(answer)).await.ok()?;
        answered.await.ok()
    }

    /// Sends the core a request that it does not answer.
    pub(super) async fn notify(&self, request: HandoverRequest) {
        // The core may have stopped.
        let _ = self.core.send(request).await;
    }

    /// Reserves descriptors for a successor, and collects the contents of its welcome message. `None`: the
    /// core has stopped.
    pub(super) async fn welcome(&self) -> Option<Welcome> {
        let (now, list) = self.request(HandoverRequest::Describe).await?;
        self.budget.reserve_for_other_process(SUCCESSOR_DESCRIPTORS);
        let descriptors = self.budget.total().saturating_sub(SUCCESSOR_DESCRIPTORS);
        let share = DescriptorShare { descriptors };
        Some(Welcome { now, list: EndpointPage::snapshot(list), share, listeners: self.listeners.names() })
    }

    /// Reserves these descriptors of the shared budget for the other process.
    pub(super) fn reserve_for_peer_process(&self, share: DescriptorShare) {
        self.budget.reserve_for_other_process(share.descriptors);
    }

    /// Releases the descriptors reserved for the other process.
    pub(super) fn release_reservation(&self) {
        self.budget.reserve_for_other_process(0);
    }

    /// Enters the draining phase, and limits the budget to the descriptors in use plus a few to finish open
    /// requests.
    pub(super) fn retire(&self) {
        self.set_phase(Phase::Draining);
        self.budget.cap_at_open_descriptors(RETIRED_DESCRIPTORS);
    }

    /// The descriptors that a retired predecessor uses.
    pub(super) fn retired_share(&self) -> DescriptorShare {
        DescriptorShare { descriptors: self.budget.open_descriptors() + RETIRED_DESCRIPTORS }
    }
}
