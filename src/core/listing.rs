//! What the list, operators' calls and judged sites say of targets, and what the core's neighbours learn of
//! it.

use crate::core::actor::{Core, Target};
use crate::core::attempt::TargetMessage;
use crate::core::message::{AdminCommand, AdminRequest, Endpoint, Protocol};
use crate::interface::{EndpointEntry, EndpointUpdateKind, Event, Micros, ShardId, TargetId, TargetState};
use rowanglade_maintenance::State;
use std::collections::HashSet;
use tokio::sync::mpsc;

impl Core {
    /// The news of one source, or a part of it. Another source's targets are not in its list, and stay. What
    /// it costs goes with what has changed, beyond a look at each line that came.
    pub(super) fn list(
        &mut self,
        wire: Protocol,
        kind: EndpointUpdateKind,
        mut entries: Vec<Endpoint>,
        more: bool,
    ) {
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            entries.extend(self.part_of_whole_list(wire, &entries, more));
        }
        if wire == Protocol::Http {
            if kind == EndpointUpdateKind::Delta && !more {
                entries.extend(self.not_departed(&entries));
            }
            if !more {
                self.departed.clear();
            }
        }
        let changed: Vec<TargetId> = entries.into_iter().filter_map(|told| self.take_line(told)).collect();
        self.put_in_force(&changed);
        if !more
            && (self.trusting || matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Delta))
        {
            self.make_ready();
        }
    }

    /// Notes whom a part of a whole list names. At its end, the targets of the source that no part has named.
    fn part_of_whole_list(&mut self, wire: Protocol, entries: &[Endpoint], more: bool) -> Vec<Endpoint> {
        let begun = self.named.take().filter(|(source, _)| *source == wire);
        let mut named = begun.map_or_else(HashSet::new, |(_, named)| named);
        named.extend(entries.iter().map(|told| self.names.listed(&told.name)));
        if more {
            self.named = Some((wire, named));
            return Vec::new();
        }
        let own = self.targets.iter().filter(|(_, target)| target.told.protocol == wire);
        let left_out = own.filter(|(node, _)| !named.contains(node));
        left_out.map(|(_, target)| Endpoint { state: TargetState::Removed, ..target.told.clone() }).collect()
    }

    /// Takes a line that a source told. None: it changes nothing.
    fn take_line(&mut self, told: Endpoint) -> Option<TargetId> {
        let node = self.names.listed(&told.name);
        if told.protocol == Protocol::Http {
            // Discovery's own word holds again.
            self.departed.remove(&node);
        }
        self.maintenance.told(&told.name, state(told.state), told.started);
        if let Some(sites) = &mut self.sites {
            sites.listed(self.clock.now(), &told);
        }
        let before = self.targets.get(&node).map(|target| target.told.started);
        if let (Some(before), Some(started)) = (before, told.started)
            && before != told.started
            && self.starts.restarted(self.clock.now(), started)
        {
            tracing::warn!(target = told.name, "the wall clock was ahead when this process started");
        }
        let line = self.view(&told);
        match self.targets.get_mut(&node) {
            Some(target) if target.told.addr == told.addr => {
                // A start that lay in the future counts from when it was told first.
                let again = target.told.started == told.started;
                let line =
                    Endpoint { started: if again { target.line.started } else { line.started }, ..line };
                let changed = target.line != line;
                (target.told, target.line) = (told, line);
                changed.then_some(node)
            }
            None if told.state == TargetState::Removed => None,
            _ => {
                // Sessions are kept up whether or not they are used.
                let mailbox = (told.protocol == Protocol::Iscsi).then(|| self.connected(&line));
                self.targets.insert(node, Target { told, line, mailbox });
                Some(node)
            }
        }
    }

    /// The mailbox of a new actor for a target.
    fn connected(&self, line: &Endpoint) -> mpsc::Sender<TargetMessage> {
        let mailbox = (self.connect)(line);
        if self.maintenance.is_out(&line.name) {
            // A new mailbox has room.
            let _ = mailbox.try_send(TargetMessage::Rest(true));
        }
        mailbox
    }

    /// The mailbox of a target's actor, which begins with its first message.
    pub(super) fn mailbox(&mut self, node: TargetId) -> Option<mpsc::Sender<TargetMessage>> {
        let target = self.targets.get(&node)?;
        if let Some(mailbox) = &target.mailbox {
            return Some(mailbox.clone());
        }
        let mailbox = self.connected(&target.line);
        self.targets.get_mut(&node)?.mailbox = Some(mailbox.clone());
        Some(mailbox)
    }

    /// Has what was told of these targets take effect: routes first, then the module, then the attempts.
    fn put_in_force(&mut self, changed: &[TargetId]) {
        if changed.is_empty() {
            return;
        }
        let lines = || changed.iter().filter_map(|node| Some((*node, &self.targets.get(node)?.line)));
        let entries = lines().map(|(node, line)| self.entry(node, line)).collect();
        // Who may be reached is told before the list, which may send what waits.
        self.routes.changed(lines());
        self.tell_reach();
        self.revision.send_modify(|revision| *revision += 1);
        self.tell_near();
        self.feed(Event::EndpointsChanged { kind: EndpointUpdateKind::Gossip, entries });
        self.call_off_unstarted();
        for node in changed {
            if self.targets.get(node).is_some_and(|target| target.line.state == TargetState::Removed) {
                self.targets.remove(node);
            }
        }
    }

    /// The targets that other instances said were leaving, and of which discovery, which has been heard now,
    /// tells no change: as discovery had them.
    fn not_departed(&self, changes: &[Endpoint]) -> Vec<Endpoint> {
        let told: HashSet<&str> = changes.iter().map(|change| change.name.as_str()).collect();
        let departed = self.departed.iter().filter_map(|node| self.targets.get(node));
        let kept = departed.filter(|target| !told.contains(target.told.name.as_str()));
        kept.map(|target| Endpoint { state: TargetState::Active, ..target.told.clone() }).collect()
    }

    /// Other instances say that these targets leave: nothing new goes to them until discovery is heard.
    pub(super) fn departed(&mut self, names: &[String]) {
        let mut changed = Vec::with_capacity(names.len());
        for node in names.iter().filter_map(|name| self.names.target(name)) {
            let Some(target) = self.targets.get_mut(&node).filter(|t| t.told.state == TargetState::Active)
            else {
                continue;
            };
            target.told.state = TargetState::Draining;
            self.departed.insert(node);
            let line = self.view(&self.targets[&node].told);
            self.targets.entry(node).and_modify(|target| target.line = line);
            changed.push(node);
        }
        self.diagnostics.counters.departures_taken += changed.len() as u64;
        self.put_in_force(&changed);
    }

    /// A line of the list as it holds with operators' calls.
    pub(super) fn view(&self, told: &Endpoint) -> Endpoint {
        let started = told.started.map(|started| self.starts.on_clock(self.clock.now(), started));
        let (held, started) = self.maintenance.view(&told.name, state(told.state), started);
        let held = match held {
            State::Up => TargetState::Active,
            State::Draining => TargetState::Draining,
            State::Gone => TargetState::Removed,
        };
        let line = Endpoint { state: held, started, ..told.clone() };
        match &self.sites {
            Some(sites) => sites.view(line),
            None => line,
        }
    }

    pub(super) fn entry(&self, node: TargetId, line: &Endpoint) -> EndpointEntry {
        EndpointEntry {
            target: node,
            shard: ShardId(line.shard),
            zone: self.names.zone(&line.zone),
            state: line.state,
            started: line.started,
        }
    }

    pub(super) fn operate(&mut self, operation: AdminRequest) {
        let held = self.call(&operation.call);
        if held {
            // Without another process nobody takes it.
            let _ = self.calls.try_send(operation.call);
        }
        // A caller that has left meanwhile needs no answer; what it asked for holds.
        let _ = operation.done.send(held);
    }

    /// Does what an operator's call asks. False: nobody has such a target.
    pub(super) fn call(&mut self, call: &AdminCommand) -> bool {
        let (AdminCommand::Maint(name) | AdminCommand::Ready(name)) = call;
        let node = self.names.target(name);
        let listed = node.filter(|node| self.targets.contains_key(node));
        let used = node.is_some_and(|node| {
            self.requests.values().flat_map(|o| o.attempts.iter().flatten()).any(|out| out.node == node)
        });
        if listed.is_none() && !used && !self.maintenance.is_out(name) {
            return false;
        }
        let (now, out) = (self.clock.now(), matches!(call, AdminCommand::Maint(_)));
        let changed = match out {
            true => self.maintenance.call_out(now, name),
            false => self.maintenance.call_back(now, name),
        };
        tracing::info!(target = name, out, changed, "an operator's call");
        if let (true, Some(node)) = (changed, listed) {
            self.hold(node, out);
        }
        true
    }

    /// Puts in force what operators' calls have changed of a listed target.
    pub(super) fn hold(&mut self, node: TargetId, out: bool) {
        self.hold_all(&[node], out);
    }

    /// Puts in force what others than discovery have changed of listed targets.
    pub(super) fn hold_all(&mut self, nodes: &[TargetId], out: bool) {
        let mut changed = Vec::with_capacity(nodes.len());
        for node in nodes {
            let Some(target) = self.targets.get(node) else { continue };
            let line = self.view(&target.told);
            let Some(target) = self.targets.get_mut(node) else { continue };
            if target.line != line {
                target.line = line;
                changed.push(*node);
            }
            // An actor that begins later is told then.
            if let Some(mailbox) = &target.mailbox
                && mailbox.try_send(TargetMessage::Rest(out)).is_err()
            {
                tracing::warn!(
                    target = target.told.name,
                    "its connections are not told that it rests or is back"
                );
            }
        }
        self.put_in_force(&changed);
    }

    /// What has become of sites by now.
    pub(super) fn judge_sites(&mut self, now: Micros) {
        let Some((probes, changed)) = self.sites.as_mut().map(|s| s.poll(now)) else { return };
        let nodes = |names: Vec<String>| {
            let listed = names.iter().filter_map(|name| self.names.target(name));
            listed.filter(|node| self.targets.contains_key(node)).collect::<Vec<TargetId>>()
        };
        let (probes, changed) = (nodes(probes), nodes(changed));
        if !changed.is_empty() {
            // One that discovery has drain is not held here: nobody would tell its connections that it is
            // back.
            let rests = |node: &TargetId| {
                self.targets.get(node).is_some_and(|t| {
                    let held = t.told.state == TargetState::Active
                        && self.view(&t.told).state == TargetState::Draining;
                    held || self.maintenance.is_out(&t.told.name)
                })
            };
            let (out, back): (Vec<TargetId>, Vec<TargetId>) = changed.into_iter().partition(rests);
            for (nodes, out) in [(out, true), (back, false)] {
                if !nodes.is_empty() {
                    self.hold_all(&nodes, out);
                }
            }
        }
        for node in probes {
            self.probe(now, node);
        }
    }

    /// Tells the module whom routes let requests reach, where that has changed.
    pub(super) fn tell_reach(&mut self) {
        let news = self.routes.news();
        for event in news {
            self.feed(event);
        }
    }

    /// Tells the module which targets this instance's new objects go to, where the list has changed that.
    pub(super) fn tell_near(&mut self) {
        let Some(subset) = &mut self.subset else { return };
        let usable = self.targets.values().filter(|t| t.line.state == TargetState::Active);
        let Some(change) = subset.update_targets(usable.map(|t| t.line.name.clone()).collect()) else {
            return;
        };
        let preferred = subset.preferred();
        if change.includes_all_targets && !preferred.is_empty() {
            tracing::warn!(targets = preferred.len(), "the subset holds all targets: none is preferred");
        } else {
            let (came, left) = (change.added.len(), change.removed.len());
            tracing::info!(?preferred, came, left, "new objects");
        }
        let preferred = preferred
            .iter()
            .filter(|_| !change.includes_all_targets)
            .filter_map(|name| self.names.target(name));
        let event = Event::PreferredTargets(preferred.collect());
        self.feed(event);
    }
}

fn state(told: TargetState) -> State {
    match told {
        TargetState::Active => State::Up,
        TargetState::Draining => State::Draining,
        TargetState::Removed => State::Gone,
    }
}
