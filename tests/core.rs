//! Tests of the core with targets that consist of a mailbox only: each request gets exactly one response,
//! whatever the targets do.

use bytes::Bytes;
use rowanglade::core::{
    Clock, Connect, Core, CoreDependencies, CoreHandle, Endpoint, Message, Protocol, Request, RequestOrigin,
    Response, TargetMessage, mailbox as core_mailbox,
};
use rowanglade::interface::{EndpointUpdateKind, TargetState};
use rowanglade::names::Names;
use rowanglade::scheduler::Scheduler;
use rowanglade::settings::Settings;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const EXAMPLE: &str = include_str!("../deploy/example.json");

/// Runs `test` with a core whose targets are started by `connect`. Time is paused and advances only while all
/// tasks are idle, so a core that spins never finishes, which the time-out reports.
fn with_core<F: Future<Output = ()>>(
    connect: impl FnOnce() -> Connect + Send + 'static,
    test: impl FnOnce(CoreHandle) -> F + Send + 'static,
) {
    let (done, finished) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let example: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
        let settings: Settings = serde_json::from_value(example["settings"].clone()).expect("settings");
        let mut names = Names::default();
        let scheduler = Scheduler::new(settings.translate(&mut names).expect("usable"), 1).expect("usable");
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (mailbox, handle) = core_mailbox(&settings, None);
            let (_routes, routes) = watch::channel(Arc::default());
            let (_operators, admin_requests) = mpsc::channel(1);
            let (_handover, handover_requests) = mpsc::channel(1);
            let (admin_commands, _admin_commands) = mpsc::channel(1);
            let (object_observations, _object_observations) = mpsc::channel(1);
            let (used_ids, _used_ids) = mpsc::channel(1);
            let core = Core::new(
                scheduler,
                names,
                Clock::start(),
                mailbox,
                connect(),
                CoreDependencies {
                    routes,
                    quota: None,
                    admin_requests,
                    handover_requests,
                    admin_commands,
                    object_observations,
                    used_ids,
                    sites: None,
                    subset: None,
                },
            );
            tokio::select! {
                () = core.run() => panic!("the core stopped before the test"),
                () = test(handle) => {}
            }
        });
        let _ = done.send(());
    });
    finished.recv_timeout(Duration::from_secs(10)).expect("the test did not finish within 10 s");
}

fn request() -> Request {
    Request {
        origin: RequestOrigin { front: Protocol::Http, client: None, connection: None },
        id: "a".into(),
        class: "view".into(),
        plan: Some("full".into()),
        write: false,
        volume: 1,
        object: 2,
        locator: "/view/1/2".into(),
        idempotency_key: None,
        units: 1.0,
        shard: Some(0),
        initiators: 1,
        length: 0,
        body: Bytes::new(),
        body_rest: None,
        time_left: Duration::from_millis(1_000),
    }
}

async fn send_cached_list(core: &CoreHandle) {
    let entries = vec![Endpoint {
        kind: String::new(),
        name: "s".into(),
        protocol: Protocol::Http,
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "kingston".into(),
        shard: 0,
        state: TargetState::Active,
        started: None,
    }];
    core.send(Message::endpoints(Protocol::Http, EndpointUpdateKind::Cached, entries)).await;
}

/// Targets whose actors have stopped.
fn stopped_actors() -> Connect {
    Box::new(|_| mpsc::channel(1).0)
}

// Guards against a busy loop: a core without targets waited again and again for a time that had already
// passed, and used a whole CPU.
#[test]
fn without_targets_the_core_is_not_ready_and_does_not_spin() {
    with_core(stopped_actors, async |core| {
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(!core.is_ready());
        send_cached_list(&core).await;
        core.readiness().wait_for(|ready| *ready).await.expect("the core stopped");
    });
}

// After a release that killed most instances, each instance became ready 1.5 s later than its start-up
// needed, because it waited for discovery.
#[test]
fn without_discovery_the_cached_list_is_trusted_within_310_ms() {
    with_core(stopped_actors, async |core| {
        let start = tokio::time::Instant::now();
        send_cached_list(&core).await;
        assert!(!core.is_ready(), "discovery still has time to answer");
        core.readiness().wait_for(|ready| *ready).await.expect("the core stopped");
        assert!(start.elapsed() <= Duration::from_millis(310), "{:?}", start.elapsed());
    });
}

#[test]
fn requests_to_a_target_with_a_stopped_actor_are_rejected() {
    with_core(stopped_actors, async |core| {
        send_cached_list(&core).await;
        let response = core.submit(request()).await.expect("valid request").response().await;
        assert!(
            matches!(response, Response::Rejected { retry_after } if !retry_after.is_zero()),
            "{response:?}"
        );
        assert_eq!(core.open_requests(), 0);
    });
}

// An attempt whose actor drops it without a result may have been executed, so a keyed write must not be
// rejected as having had no effect. If it is dropped before it asked whether its first byte may be sent, it
// was never executed.
#[test]
fn an_attempt_dropped_without_a_result_counts_as_broken_once_it_may_have_started() {
    let dropping_actors = |started: bool| -> Connect {
        Box::new(move |_| {
            let (tx, mut rx) = mpsc::channel(8);
            tokio::task::spawn_local(async move {
                while let Some(message) = rx.recv().await {
                    if let (TargetMessage::Attempt(attempt), true) = (message, started) {
                        assert!(attempt.report.may_start().await);
                    }
                }
            });
            tx
        })
    };
    let write =
        || Request { class: "deposit".into(), write: true, idempotency_key: Some("k".into()), ..request() };
    with_core(
        move || dropping_actors(true),
        async move |core| {
            send_cached_list(&core).await;
            assert_eq!(core.submit(write()).await.expect("valid request").response().await, Response::Failed);
        },
    );
    with_core(
        move || dropping_actors(false),
        async move |core| {
            send_cached_list(&core).await;
            let response = core.submit(write()).await.expect("valid request").response().await;
            assert!(matches!(response, Response::Rejected { .. }), "{response:?}");
        },
    );
}

/// Targets that keep each attempt without reporting its end.
fn holding_actors() -> Connect {
    Box::new(|_| {
        let (tx, mut rx) = mpsc::channel(8);
        tokio::task::spawn_local(async move {
            let mut held = Vec::new();
            while let Some(message) = rx.recv().await {
                held.push(message);
            }
        });
        tx
    })
}

// Guards against requests that arrive after the process has made its last responses: the core was told of the
// shutdown in one message, which failed what was open then, and it sent on what came later.
#[test]
fn a_request_that_arrives_after_the_last_responses_of_a_shutdown_is_rejected() {
    with_core(holding_actors, async |core| {
        send_cached_list(&core).await;
        core.send(Message::Shutdown { responses_due: Instant::now() + Duration::from_millis(50) }).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        let pending = core.submit(request()).await.expect("valid request");
        let response = tokio::time::timeout(Duration::from_millis(10), pending.response()).await;
        assert!(matches!(response, Ok(Response::Rejected { .. })), "{response:?}");
    });
}

// A request that is still open when the process exits would never get a response. One that may have run fails; a read is
// rejected, since its client may repeat it.
#[test]
fn at_shutdown_every_open_request_is_answered() {
    with_core(holding_actors, async |core| {
        send_cached_list(&core).await;
        let read = core.submit(request()).await.expect("valid request");
        let write = Request {
            id: "b".into(),
            class: "deposit".into(),
            write: true,
            idempotency_key: Some("k".into()),
            ..request()
        };
        let write = core.submit(write).await.expect("valid request");
        core.send(Message::Shutdown { responses_due: Instant::now() }).await;
        assert!(matches!(read.response().await, Response::Rejected { .. }));
        assert_eq!(write.response().await, Response::Failed);
        assert_eq!(core.open_requests(), 0);
    });
}
