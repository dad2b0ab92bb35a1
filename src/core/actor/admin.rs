//! Handles operators' commands.

use super::Core;
use crate::core::admin::{AdminCommand, AdminRequest};

impl Core {
    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) {
        let known = self.apply_admin_command(&request.command);
        if known {
            self.handover.send_admin_command(request.command);
        }
        // The caller may have disconnected; the command stays in effect.
        let _ = request.reply.send(known);
    }

    /// Applies an operator's command. Returns false if no target of that name is known.
    pub(super) fn apply_admin_command(&mut self, command: &AdminCommand) -> bool {
        let name = command.target();
        let target = self.names.target(name);
        let listed = target.filter(|target| self.endpoints.contains(*target));
        let has_attempts = target.is_some_and(|target| self.open_requests.any_attempt_at(target));
        if listed.is_none() && !has_attempts && !self.endpoints.maintenance().is_in_maintenance(name) {
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
