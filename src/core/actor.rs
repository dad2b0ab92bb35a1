//! The core's actor. It exclusively owns the [`Scheduler`] and the state around it.

mod admin;
mod attempt_results;
mod attempts;
mod endpoint_updates;
mod handover;
mod quota;
mod requests;

use crate::core::admin::AdminRequest;
use crate::core::attempt::Connect;
use crate::core::clock::Clock;
use crate::core::dependencies::CoreDependencies;
use crate::core::diagnostics::{Diagnostics, Step};
use crate::core::endpoints::Endpoints;
use crate::core::handover_port::HandoverPort;
use crate::core::handover_request::HandoverRequest;
use crate::core::mailbox::CoreMailbox;
use crate::core::message::Message;
use crate::core::open_requests::OpenRequests;
use crate::core::quota::QuotaPeers;
use crate::core::readiness::Readiness;
use crate::core::request::Response;
use crate::core::request_ids::RequestIds;
use crate::core::routes::{LoadedRoutes, Routes};
use crate::core::timers::Timers;
use crate::interface::{Action, Event, LoadReport, Micros, Outcome, TargetId};
use crate::names::Names;
use crate::scheduler::Scheduler;
use rowanglade_object_locations::ObjectLocations;
use rowanglade_subset::Subset;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Objects whose observed locations are kept, about 1 MB.
const MAX_OBJECT_LOCATIONS: usize = 16_384;

/// The core's actor: processes one input at a time until its mailbox is closed; see [`Core::run`].
pub struct Core {
    clock: Clock,
    names: Names,
    scheduler: Scheduler,
    /// Events caused by an action, to be processed after the current event.
    queued_events: VecDeque<Event>,
    timers: Timers,
    mailbox: mpsc::Receiver<Message>,
    /// Weak, so that the core stops once all [`CoreHandle`](crate::core::CoreHandle)s are dropped.
    mailbox_sender: mpsc::WeakSender<Message>,
    admin_requests: mpsc::Receiver<AdminRequest>,
    open_requests: OpenRequests,
    endpoints: Endpoints,
    routes: Routes,
    /// Newly loaded routes take effect between two messages.
    loaded_routes: watch::Receiver<Arc<LoadedRoutes>>,
    /// The ids of requests that are open or may have run.
    request_ids: RequestIds,
    /// Absent where initiators do not exchange quota.
    quota: Option<QuotaPeers>,
    /// Units that the scheduler offered in its latest [`Action::QuotaOffered`].
    quota_offered: f64,
    object_locations: ObjectLocations,
    /// Absent where no targets are preferred.
    subset: Option<Subset>,
    handover: HandoverPort,
    readiness: Readiness,
    diagnostics: Diagnostics,
}

/// An input that the actor handles in one step.
#[expect(clippy::large_enum_variant, reason = "short-lived, and a box would cost an allocation per message")]
enum Input {
    Admin(AdminRequest),
    Handover(HandoverRequest),
    Message(Message),
    RoutesLoaded(Arc<LoadedRoutes>),
    TimerDue,
}

impl Input {
    fn step(&self) -> Step {
        match self {
            Input::Admin(_) => Step::Admin,
            Input::Handover(_) => Step::Handover,
            Input::Message(message) => message.step(),
            Input::RoutesLoaded(_) => Step::Routes,
            Input::TimerDue => Step::Timers,
        }
    }
}

impl Core {
    /// A core that is not running yet. `connect` starts the actor of a target.
    pub fn new(
        scheduler: Scheduler,
        names: Names,
        clock: Clock,
        mailbox: CoreMailbox,
        connect: Connect,
        dependencies: CoreDependencies,
    ) -> Core {
        let CoreDependencies {
            routes: mut loaded_routes,
            quota,
            admin_requests,
            handover_requests,
            admin_commands,
            object_observations,
            used_ids,
            sites,
            subset,
        } = dependencies;
        let routes = Routes::new(Arc::clone(&loaded_routes.borrow_and_update()));
        let CoreMailbox { receiver, sender, ready, unanswered, request_ids, revision } = mailbox;
        Core {
            clock,
            names,
            scheduler,
            queued_events: VecDeque::new(),
            timers: Timers::default(),
            mailbox: receiver,
            mailbox_sender: sender,
            admin_requests,
            open_requests: OpenRequests::new(request_ids.clone(), unanswered),
            request_ids,
            endpoints: Endpoints::new(connect, sites, revision),
            routes,
            loaded_routes,
            quota,
            quota_offered: 0.0,
            object_locations: ObjectLocations::new(MAX_OBJECT_LOCATIONS),
            subset,
            handover: HandoverPort::new(handover_requests, admin_commands, object_observations, used_ids),
            readiness: Readiness::new(ready),
            diagnostics: Diagnostics::default(),
        }
    }

    /// Runs until every [`CoreHandle`](crate::core::CoreHandle) has been dropped.
    pub async fn run(mut self) {
        self.readiness.start(self.clock.now());
        while let Some(input) = self.next_input().await {
            let started_at = Instant::now();
            let step = input.step();
            self.handle_input(input);
            self.end_step(step, started_at);
            let started_at = Instant::now();
            self.run_due_work();
            self.end_step(Step::Timers, started_at);
        }
    }

    /// Waits for the next input. `None`: every [`CoreHandle`](crate::core::CoreHandle) has been dropped.
    async fn next_input(&mut self) -> Option<Input> {
        let wake_at = self.next_wake();
        let clock = self.clock;
        let timer = async {
            match wake_at {
                Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some(request) = self.admin_requests.recv() => Some(Input::Admin(request)),
            Some(request) = self.handover.requests.recv() => Some(Input::Handover(request)),
            message = self.mailbox.recv() => message.map(Input::Message),
            () = timer => Some(Input::TimerDue),
            Ok(()) = self.loaded_routes.changed() => {
                Some(Input::RoutesLoaded(Arc::clone(&self.loaded_routes.borrow_and_update())))
            }
        }
    }

    /// When timed work is due even if no other input arrives. `None`: no work is scheduled.
    fn next_wake(&self) -> Option<Micros> {
        let quota = self.quota.as_ref().filter(|_| !self.handover.is_handed_over());
        let wakes = [
            self.timers.next_wake(),
            self.open_requests.next_wake(),
            self.readiness.next_wake(),
            quota.and_then(QuotaPeers::next_wake),
            self.endpoints.sites().and_then(|sites| sites.next_wake(self.clock.now())),
        ];
        wakes.into_iter().flatten().min()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Admin(request) => self.handle_admin_request(request),
            Input::Handover(request) => self.handle_handover_request(request),
            Input::Message(message) => self.handle_message(message),
            Input::RoutesLoaded(routes) => {
                self.routes.load(routes);
                self.publish_target_sets();
            }
            Input::TimerDue => {}
        }
    }

    fn end_step(&mut self, step: Step, started_at: Instant) {
        let (targets, open) = (self.endpoints.len(), self.open_requests.unanswered());
        self.diagnostics.record_step(step, started_at, targets, open);
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Submit { id, request, arrived, response } => {
                self.submit(id, request, arrived, response);
            }
            Message::ClientGone(id) => self.handle_client_gone(id),
            Message::Shutdown { responses_due } => self.begin_shutdown(responses_due),
            Message::Status => self.log_status(),
            // The receiver may have stopped waiting.
            Message::ListTargets(answer) => drop(answer.send(self.routes.targets().cloned().collect())),
            Message::QuotaDatagram(from, message) => self.handle_quota_datagram(from, &message),
            Message::BodyStarted { id, number } => self.handle_body_started(id, number),
            // The attempt may have ended in the meantime.
            Message::MayStart { id, number, answer } => drop(answer.send(self.may_start(id, number))),
            Message::ResponseStarted { id, number } => self.handle_response_started(id, number),
            Message::AttemptEnded { id, number, result } => self.handle_attempt_end(id, number, result),
            Message::ProbeEnded { target, outcome, elapsed, load } => {
                self.handle_probe_end(target, outcome, elapsed, load);
            }
            Message::PeersReportDraining(targets) => self.handle_drain_gossip(&targets),
            Message::EndpointsChanged { protocol, kind, entries, more, received } => {
                let count = entries.len();
                self.update_endpoints(protocol, kind, entries, more);
                if !more {
                    self.diagnostics.record_endpoint_update(received, count);
                }
            }
        }
    }

    fn log_status(&self) {
        let (open, targets) = (self.open_requests.unanswered(), self.endpoints.len());
        let (routes, ready) = (self.routes.versions(), self.readiness.is_ready());
        tracing::info!(open, targets, ?routes, ready, "status");
        self.diagnostics.counters.log();
    }

    /// Does all timed work that is due.
    fn run_due_work(&mut self) {
        if self.readiness.trust_cached_list_if_due(self.clock.now()) {
            self.update_readiness();
        }
        let now = self.clock.now();
        self.poll_sites(now);
        if let Some(quota) = self.quota.as_mut().filter(|_| !self.handover.is_handed_over()) {
            quota.poll(now);
        }
        while let Some(token) = self.timers.pop_due(now) {
            self.apply_event(Event::TimerFired { token });
        }
        self.fail_overdue(now);
    }

    fn update_readiness(&mut self) {
        if self.endpoints.active().next().is_some() {
            self.readiness.set_ready();
        }
    }

    /// Passes an event to the scheduler and executes the resulting actions, including those of the events
    /// that the actions cause.
    fn apply_event(&mut self, event: Event) {
        self.queued_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.queued_events.pop_front() {
            let now = self.clock.now();
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt { id, target, timeout } => self.start_attempt(now, id, target, timeout),
            Action::Reject { id, retry_after } => {
                let retry_after = Duration::from_micros(retry_after);
                self.finish_request(id, Some(Response::Rejected { retry_after }));
            }
            Action::Fail { id } => {
                self.finish_request(id, Some(Response::Failed));
            }
            Action::CancelAttempt { id, attempt } => self.open_requests.cancel_attempt(id, attempt),
            Action::SetTimer { token, after } => self.timers.set(now + after, token),
            Action::QuotaNeeded { volume, units, initiators } => {
                if let Some(quota) = self.quota.as_mut().filter(|_| !self.handover.is_handed_over()) {
                    quota.record_need(now, volume, units, initiators);
                }
            }
            Action::QuotaOffered { units, .. } => self.quota_offered = units,
            Action::Probe { target } => {
                if !self.start_probe(now, target) {
                    self.queued_events.push_back(probe_not_sent(target));
                }
            }
        }
    }
}

fn probe_not_sent(target: TargetId) -> Event {
    Event::ProbeEnded { target, outcome: Outcome::NotSent, elapsed: 0, load: LoadReport::default() }
}
