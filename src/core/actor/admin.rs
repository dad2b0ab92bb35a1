//! Operators' commands.

use super::Core;
use crate::core::admin::{AdminCommand, AdminRequest};

impl Core {
    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) {
        let known = self.apply_admin_command(&request.command);
        if known {
            self.handover.send_admin_command(request.command);
        }
        // A caller that has left meanwhile needs no answer; what it asked for holds.
        let _ = request.reply.send(known);
    }

    /// Does what an operator asks. False: no target has that name.
    pub(super) fn apply_admin_command(&mut self, command: &AdminCommand) -> bool {
        let name = command.target();
        let target = self.names.target(name);
        let listed = target.filter(|target| self.endpoints.contains(*target));
        let used = target.is_some_and(|target| self.open_requests.any_attempt_at(target));
        if listed.is_none() && !used && !self.endpoints.maintenance().is_in_maintenance(name) {
            return false;
        }
        let now = self.clock.now();
        let out = matches!(command, AdminCommand::Maint(_));
        let maintenance = self.endpoints.maintenance_mut();
        let changed = if out { maintenance.begin(now, name) } else { maintenance.end(now, name) };
        tracing::info!(target = name, out, changed, "admin command applied");
        if let (true, Some(target)) = (changed, listed) {
            self.refresh_targets(&[target], out);
        }
        true
    }
}
