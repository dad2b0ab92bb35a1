//! Handles the requests of a handover.

use super::Core;
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::handover_request::{HandoverRequest, HandoverState};
use crate::interface::{Event, TargetId, VolumeId};
use std::collections::HashMap;

impl Core {
    /// Handles a request of a handover. The requester may have stopped waiting for the answer.
    pub(super) fn handle_handover_request(&mut self, request: HandoverRequest) {
        match request {
            HandoverRequest::Describe(answer) => {
                let _ = answer.send((self.clock.now(), self.reported_endpoints()));
            }
            HandoverRequest::Freeze(answer) => {
                let _ = answer.send(Box::new(self.handover_state()));
                self.set_handed_over(true);
                self.handover.start_sharing_ids();
            }
            HandoverRequest::Resume(answer) => {
                self.set_handed_over(false);
                let _ = answer.send(());
            }
            HandoverRequest::ServeWithoutState(answer) => {
                self.scheduler.reset_owned_state(self.clock.now());
                self.set_handed_over(false);
                let _ = answer.send(());
            }
            HandoverRequest::TakeOver(state, answer) => {
                self.take_over(*state);
                let _ = answer.send(());
            }
            HandoverRequest::AdminCommand(command) => {
                self.apply_admin_command(&command);
            }
            HandoverRequest::ObjectObserved(object, observation) => {
                self.object_locations.merge([(object, observation)])
            }
            HandoverRequest::IdUsed(id) => self.request_ids.merge([id]),
        }
    }

    /// The HTTP targets as discovery reported them.
    fn reported_endpoints(&self) -> Vec<Endpoint> {
        let reported = self.endpoints.iter().map(|(_, target)| &target.reported);
        reported.filter(|endpoint| endpoint.protocol == Protocol::Http).cloned().collect()
    }

    /// All state that this process owns.
    fn handover_state(&self) -> HandoverState {
        let scheduler = self.scheduler.snapshot(self.clock.now()).map_names(
            |target| self.names.target_name(target).map(str::to_string),
            |volume| Some(format!("{:016x}", volume.0)),
        );
        HandoverState {
            maintenance: self.endpoints.maintenance().clone(),
            scheduler,
            object_locations: self.object_locations.iter().collect(),
            used_ids: self.request_ids.hashes(),
        }
    }

    /// Continues with the state that another process owned.
    fn take_over(&mut self, state: HandoverState) {
        let HandoverState { maintenance, scheduler, object_locations, used_ids } = state;
        self.request_ids.merge(used_ids);
        self.handover.start_sharing_ids();
        self.endpoints.set_maintenance(maintenance);
        self.object_locations.merge(object_locations);
        // The end of a maintenance changes a target's effective start, so it is applied first: the scheduler
        // restores its estimates of a target only if the target's start is the same as when they were made.
        self.refresh_all_targets();
        let targets: HashMap<&str, TargetId> =
            self.endpoints.iter().map(|(id, target)| (target.reported.name.as_str(), id)).collect();
        let scheduler = scheduler.map_names(
            |target| targets.get(target.as_str()).copied(),
            |volume| u64::from_str_radix(&volume, 16).ok().map(VolumeId),
        );
        self.scheduler.restore(scheduler);
    }

    fn refresh_all_targets(&mut self) {
        let maintenance = self.endpoints.maintenance();
        let is_in_maintenance = |id: &TargetId| {
            self.endpoints.get(*id).is_some_and(|target| maintenance.is_in_maintenance(&target.reported.name))
        };
        let (suspended, active): (Vec<TargetId>, Vec<TargetId>) =
            self.endpoints.iter().map(|(id, _)| id).partition(is_in_maintenance);
        self.refresh_targets(&suspended, true);
        self.refresh_targets(&active, false);
    }

    /// Ownership of the state has passed to another process (`true`), or is this process's again (`false`).
    fn set_handed_over(&mut self, handed_over: bool) {
        self.handover.set_handed_over(handed_over);
        self.apply_event(Event::OwnershipChanged { owned_here: !handed_over });
    }
}
