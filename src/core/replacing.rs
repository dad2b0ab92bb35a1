//! What replacing the process asks of the core.

use crate::core::actor::Core;
use crate::core::message::{HandoverRequest, Protocol};
use crate::interface::{Event, TargetId};
use crate::upgrade::HandoverState;
use std::collections::HashMap;

impl Core {
    /// Does what replacing the process asks. Whoever asks and has ended needs no answer.
    pub(super) fn upgrade(&mut self, upgrade: HandoverRequest) {
        match upgrade {
            HandoverRequest::Describe(answer) => {
                let list =
                    self.targets.values().map(|t| t.told.clone()).filter(|t| t.protocol == Protocol::Http);
                let _ = answer.send((self.clock.now(), list.collect()));
            }
            HandoverRequest::Freeze(answer) => {
                let module = self.scheduler.handed(self.clock.now()).named(
                    |node| self.names.target_name(node).map(str::to_string),
                    |volume| self.names.volume_name(volume).map(str::to_string),
                );
                let places = self.places.iter().collect();
                let given = HandoverState { maintenance: self.maintenance.clone(), module, places };
                let _ = answer.send(Box::new(given));
                self.hand(true);
            }
            HandoverRequest::Resume(answer) => {
                self.hand(false);
                let _ = answer.send(());
            }
            HandoverRequest::Restart(answer) => {
                self.scheduler.forget_owned(self.clock.now());
                self.hand(false);
                let _ = answer.send(());
            }
            HandoverRequest::Take(given, answer) => {
                let HandoverState { maintenance, module, places } = *given;
                self.maintenance = maintenance;
                self.places.merge(places);
                // What they change of the list is told before what was learned, which is void for another
                // start.
                let all = self.targets.keys().copied();
                let (out, back): (Vec<TargetId>, Vec<TargetId>) =
                    all.partition(|node| self.maintenance.is_out(&self.targets[node].told.name));
                self.hold_all(&out, true);
                self.hold_all(&back, false);
                let names = &mut self.names;
                let nodes: HashMap<String, TargetId> =
                    self.targets.iter().map(|(id, t)| (t.told.name.clone(), *id)).collect();
                let module =
                    module.named(|node| nodes.get(&node).copied(), |volume| Some(names.volume(&volume)));
                self.scheduler.take(module);
                let _ = answer.send(());
            }
            HandoverRequest::AdminCommand(call) => {
                self.call(&call);
            }
            HandoverRequest::Seen(object, seen) => self.places.merge([(object, seen)]),
        }
    }

    /// What is owned is another process's from now on, or this one's again.
    fn hand(&mut self, handed: bool) {
        self.handed = handed;
        self.feed(Event::OwnershipTransferred(handed));
    }
}
