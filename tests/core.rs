//! The core with targets that are no more than a mailbox: each request gets its one response, whatever the
//! targets do.

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

const EXAMPLE: &str = include_str!("../deploy/example.json");

/// Runs `test` with a core whose targets are made by `connect`. Time is the test's own: it passes when nothing
/// is left to do, so a core that spins hangs, which the time-out shows.
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
                    sites: None,
                    subset: None,
                },
            );
            tokio::select! {
                () = core.run() => panic!("the core ended"),
                () = test(handle) => {}
            }
        });
        let _ = done.send(());
    });
    finished.recv_timeout(Duration::from_secs(10)).expect("the test ends");
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

/// Targets whose actors have ended.
fn ended_actors() -> Connect {
    Box::new(|_| mpsc::channel(1).0)
}

// A core without any target waited again and again for a time that had passed, and took the whole processor.
#[test]
fn without_a_target_it_is_not_ready_and_does_not_spin() {
    with_core(ended_actors, async |core| {
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert!(!core.is_ready());
        send_cached_list(&core).await;
        core.readiness().wait_for(|ready| *ready).await.expect("it runs");
    });
}

// After a release that killed most instances, each was away for 1.5 s longer than it took to start.
#[test]
fn without_discovery_the_cached_list_must_do_soon() {
    with_core(ended_actors, async |core| {
        let start = tokio::time::Instant::now();
        send_cached_list(&core).await;
        assert!(!core.is_ready(), "discovery may just be about to answer");
        core.readiness().wait_for(|ready| *ready).await.expect("it runs");
        assert!(start.elapsed() <= Duration::from_millis(310), "{:?}", start.elapsed());
    });
}

#[test]
fn a_target_that_takes_nothing_leaves_no_request_without_its_response() {
    with_core(ended_actors, async |core| {
        send_cached_list(&core).await;
        let answer = core.submit(request()).await.expect("fit").response().await;
        assert!(matches!(answer, Response::Rejected { retry_after } if !retry_after.is_zero()), "{answer:?}");
        assert_eq!(core.open_requests(), 0);
    });
}

// An attempt whose actor drops it without a result may have run: a keyed write must not be rejected as harmless. Dropped
// before it asked whether its first byte may go out, it never ran.
#[test]
fn an_attempt_dropped_without_a_result_counts_as_broken_once_it_may_have_started() {
    let drops = |started: bool| -> Connect {
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
        move || drops(true),
        async move |core| {
            send_cached_list(&core).await;
            assert_eq!(core.submit(write()).await.expect("fit").response().await, Response::Failed);
        },
    );
    with_core(
        move || drops(false),
        async move |core| {
            send_cached_list(&core).await;
            let answer = core.submit(write()).await.expect("fit").response().await;
            assert!(matches!(answer, Response::Rejected { .. }), "{answer:?}");
        },
    );
}

// What has no answer when the program must end would be lost with it.
#[test]
fn at_shutdown_every_open_request_fails() {
    let holds = || -> Connect {
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
    };
    with_core(holds, async |core| {
        send_cached_list(&core).await;
        let pending = core.submit(request()).await.expect("fit");
        core.send(Message::Shutdown).await;
        assert_eq!(pending.response().await, Response::Failed);
        assert_eq!(core.open_requests(), 0);
    });
}
