//! What a handover controls in the rest of the process: the core, the phase and the budget of descriptors.

use super::message::{DescriptorShare, Listeners, Welcome};
use crate::core::HandoverRequest;
use crate::net::http::EndpointPage;
use crate::net::{DescriptorBudget, Phase};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};

/// A predecessor that has handed over may open so many descriptors more for what it still holds.
const RETIRED_DESCRIPTORS: usize = 8;
/// Descriptors that a successor needs until it has the state. Its predecessor makes room for them.
const SUCCESSOR_DESCRIPTORS: usize = 40;

/// The parts of the process that a handover controls.
#[derive(Debug)]
pub struct HandoverControls {
    /// Requests to the core.
    pub core: mpsc::Sender<HandoverRequest>,
    /// Whether there is an endpoint list that requests can be served by.
    pub ready: watch::Receiver<bool>,
    /// The phase, as all listeners follow it.
    pub phase: Rc<watch::Sender<Phase>>,
    /// What both processes count together.
    pub budget: DescriptorBudget,
    /// What is passed on to a successor.
    pub listeners: Listeners,
}

impl HandoverControls {
    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Sends the core a request and waits for its answer. `None`: the core has ended.
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
        // A core that has ended needs it no more.
        let _ = self.core.send(request).await;
    }

    /// Makes room for a successor, and collects all that it may know early. `None`: the core has ended.
    pub(super) async fn welcome(&self) -> Option<Welcome> {
        let (now, list) = self.request(HandoverRequest::Describe).await?;
        self.budget.reserve_for_other_process(SUCCESSOR_DESCRIPTORS);
        let descriptors = self.budget.total().saturating_sub(SUCCESSOR_DESCRIPTORS);
        let share = DescriptorShare { descriptors };
        Some(Welcome { now, list: EndpointPage::snapshot(list), share, listeners: self.listeners.names() })
    }

    /// Leaves so many descriptors to the other process; none where it is gone.
    pub(super) fn reserve_for_peer_process(&self, share: DescriptorShare) {
        self.budget.reserve_for_other_process(share.descriptors);
    }

    /// Nothing is left to the other process any more.
    pub(super) fn release_reservation(&self) {
        self.budget.reserve_for_other_process(0);
    }

    /// Uses no more than what is still held, and a few descriptors to finish it.
    pub(super) fn retire(&self) {
        self.set_phase(Phase::Draining);
        self.budget.cap_at_open_descriptors(RETIRED_DESCRIPTORS);
    }

    /// What a retired predecessor still uses.
    pub(super) fn retired_share(&self) -> DescriptorShare {
        DescriptorShare { descriptors: self.budget.open_descriptors() + RETIRED_DESCRIPTORS }
    }
}
