//! Tests of requests that wait at the initiator: for capacity at their target, for their volume's rate limit,
//! for a connection, or for the backoff between two attempts. Meanwhile their target begins to drain,
//! announced in every possible way, or their client disconnects. They are then not sent.

use crate::harness::*;
use crate::late_connections::*;
use rowanglade::config::Reload;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The reason for which the request waits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WaitReason {
    /// Two earlier requests are stalled and use the target's whole concurrency limit.
    Capacity,
    /// Its volume's rate limit admits it half a second from now.
    RateLimit,
    /// The connection to its target is established late.
    Connect,
    /// Its first attempt was rejected, and the target is at its concurrency limit with a stalled request.
    Backoff,
}

const WAIT_REASONS: [WaitReason; 4] =
    [WaitReason::Capacity, WaitReason::RateLimit, WaitReason::Connect, WaitReason::Backoff];

const UNPROCESSED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// An initiator with one waiting request, its client and its target.
struct WaitingRequest {
    initiator: RunningInitiator,
    client: TcpStream,
    target: Result<ScriptedServer, FullBacklog>,
    stalled_clients: Vec<TcpStream>,
    /// Attempts of the request that the target has received so far: 1 if the request waits for a backoff,
    /// else 0.
    attempts_received: usize,
}

const WAITING_ID: &str = "w-aits";

impl WaitingRequest {
    async fn start(
        wait: WaitReason,
        discovery: Option<std::net::SocketAddr>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> WaitingRequest {
        WaitingRequest::start_with(&request_with_long_deadline("view", WAITING_ID), wait, discovery, change)
            .await
    }

    async fn start_with(
        request: &str,
        wait: WaitReason,
        discovery: Option<std::net::SocketAddr>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> WaitingRequest {
        let Step::Respond(done) = ok("done") else { unreachable!("ok() returns Step::Respond") };
        let respond_later = || Step::RespondOnResume(done.clone());
        let script = match wait {
            WaitReason::Capacity => vec![respond_later(), respond_later(), ok("a"), ok("b")],
            WaitReason::Backoff => {
                vec![respond_later(), Step::Respond(UNPROCESSED_RESPONSE.into()), ok("a"), ok("b")]
            }
            WaitReason::RateLimit | WaitReason::Connect => vec![ok("a"), ok("b")],
        };
        let mut target = match wait {
            WaitReason::Connect => Err(FullBacklog::new()),
            _ => Ok(scripted_server(script).await),
        };
        let addr = target.as_ref().map_or_else(|backlog| backlog.addr, |server| server.addr);
        let change = |json: &mut serde_json::Value| {
            allow_late_connections(json);
            let plan = &mut json["settings"]["policies"][0];
            (plan["never-over"], plan["burst"], plan["tolerance"]) = (4.0.into(), 10.0.into(), 0.0.into());
            change(json);
        };
        let initiator =
            start_initiator_with(&[endpoint_entry(addr, 0, "active")], discovery, None, change).await;
        let mut stalled_clients = Vec::new();
        if let (WaitReason::Capacity | WaitReason::Backoff, Ok(target)) = (wait, &mut target) {
            for id in ["h0", "h1"].into_iter().take(if wait == WaitReason::Capacity { 2 } else { 1 }) {
                let mut client = TcpStream::connect(initiator.http).await.expect("connected");
                write_text(&mut client, &request_with_long_deadline("view", id)).await;
                assert!(next_received(target).await.contains(id));
                stalled_clients.push(client);
            }
        }
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        let plan = if wait == WaitReason::RateLimit { "basic" } else { "full" };
        write_text(&mut client, &request.replace("full", plan)).await;
        match (wait, &mut target) {
            (WaitReason::Backoff, Ok(target)) => assert!(next_received(target).await.contains(WAITING_ID)),
            // The request cannot be observed from outside, so it gets this long to arrive.
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
        let attempts_received = usize::from(wait == WaitReason::Backoff);
        WaitingRequest { initiator, client, target, stalled_clients, attempts_received }
    }

    /// Removes the reason for the wait: the stalled requests are answered, or the target accepts connections.
    /// Returns the lines that the target then receives of the waiting request.
    async fn end_wait(self) -> (RunningInitiator, TcpStream, Vec<String>) {
        let WaitingRequest { initiator, client, target, mut stalled_clients, attempts_received } = self;
        let mut target = target.unwrap_or_else(|backlog| backlog.accept_all(vec![ok("a"), ok("b")]));
        for client in &mut stalled_clients {
            target.resume.notify_one();
            assert!(read_message(client).await.expect("answered").0.contains("200"));
        }
        let mut received = received_until_quiet(&mut target, AFTER_SYN_RETRY).await;
        received.retain(|line| line.contains(WAITING_ID));
        // No attempt was started without being completed.
        let attempts_started =
            target.request_heads.borrow().iter().filter(|head| head.contains(WAITING_ID)).count();
        assert_eq!(attempts_started, attempts_received + received.len());
        (initiator, client, received)
    }
}

// The control: without a drain or a disconnect, each of these waits ends with the request being sent.
#[test]
fn queued_requests_are_sent_without_a_drain_or_disconnect() {
    for wait in WAIT_REASONS {
        run_test(async move {
            let (_initiator, mut client, received) =
                WaitingRequest::start(wait, None, |_| {}).await.end_wait().await;
            assert_eq!(received.len(), 1, "{wait:?}");
            assert!(read_message(&mut client).await.expect("answered").0.contains("200"), "{wait:?}");
        });
    }
}

/// How the initiator learns that a target drains.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    Watch,
    /// The watch is reset, and the watch opened after it reports the drain.
    WatchReset,
    /// The watch falls silent, and the poll sent in parallel to it reports the drain.
    WatchSilent,
    /// The watch and the poll sent in parallel fall silent, and a third poll reports the drain.
    WatchAndPollSilent,
    /// Discovery is down from the start, and reports the drain once it is back.
    DiscoveryRecovery,
    /// SIGHUP changes discovery's address, and the new one reports the drain.
    AddressChange,
    /// The endpoint list is pushed.
    PushedList,
}

fn page(version: u64, is_snapshot: bool, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":{is_snapshot},"servers":[{entries}]}}"#))
}

async fn check_announcement(wait: WaitReason, announcement: Announcement) {
    // Discovery's socket is bound before the target's address, which its responses contain, is known.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    // A watch lasts 1 s, and counts as silent 1 s after that.
    let waiting = WaitingRequest::start(wait, Some(addr), |json| {
        json["settings"]["rules"]["must-ask-in"] = 1_000_000.into();
        if announcement == Announcement::PushedList {
            json["settings"]["discovery"] = "pushed".into();
        }
    })
    .await;
    let target = waiting.target.as_ref().map_or_else(|backlog| backlog.addr, |server| server.addr);
    let draining = endpoint_entry(target, 0, "leaving");
    let update = page(3, announcement == Announcement::DiscoveryRecovery, &draining);
    let Step::Respond(update_text) = update.clone() else { unreachable!("ok() returns Step::Respond") };
    let script = match announcement {
        Announcement::Watch | Announcement::PushedList => {
            vec![page(2, false, ""), Step::RespondOnResume(update_text), Step::Silence]
        }
        Announcement::WatchReset => vec![page(2, false, ""), Step::CloseOnResume, update, Step::Silence],
        Announcement::WatchSilent => vec![page(2, false, ""), Step::Silence, update, Step::Silence],
        Announcement::WatchAndPollSilent => {
            vec![page(2, false, ""), Step::Silence, Step::Silence, update, Step::Silence]
        }
        Announcement::DiscoveryRecovery => vec![
            Step::RespondAndClose(String::new()),
            Step::RespondAndClose(String::new()),
            update,
            Step::Silence,
        ],
        Announcement::AddressChange => vec![page(2, false, ""), Step::Silence],
    };
    let mut discovery = scripted_server_on(listener, script);
    let mut new_discovery = None;
    match announcement {
        Announcement::Watch | Announcement::PushedList | Announcement::WatchReset => {
            for _ in 0..2 {
                next_received(&mut discovery).await;
            }
            discovery.resume.notify_one();
        }
        Announcement::AddressChange => {
            let moved_discovery = scripted_server(vec![page(7, true, &draining), Step::Silence]).await;
            waiting.initiator.reloads.apply_settings(&Reload {
                discovery: Some(moved_discovery.addr),
                routing: Default::default(),
            });
            new_discovery = Some(moved_discovery);
        }
        Announcement::WatchSilent | Announcement::WatchAndPollSilent | Announcement::DiscoveryRecovery => {}
    }
    // The list was applied once the watch continues from its version.
    let discovery = new_discovery.as_mut().unwrap_or(&mut discovery);
    let next_poll = if announcement == Announcement::AddressChange { "from=7&" } else { "from=3&" };
    let started = Instant::now();
    while !discovery.received.recv().await.expect("discovery runs").contains(next_poll) {}
    assert!(
        started.elapsed() < Duration::from_millis(3_000),
        "{wait:?} {announcement:?}: {:?}",
        started.elapsed()
    );
    let (_initiator, mut client, received) = waiting.end_wait().await;
    assert_eq!(received, Vec::<String>::new(), "{wait:?} {announcement:?}");
    // The client is still answered, with a rejection: nothing was executed, so it may retry.
    let (head, _) = read_message(&mut client).await.expect("answered");
    assert!(
        head.starts_with("HTTP/1.1 503") || head.starts_with("HTTP/1.1 429"),
        "{wait:?} {announcement:?}: {head}"
    );
}

// Guards against requests to targets that were announced as draining while the requests waited.
#[test]
fn requests_queued_for_a_draining_target_are_not_sent_to_it() {
    for wait in WAIT_REASONS {
        run_test(check_announcement(wait, Announcement::Watch));
    }
}

#[test]
fn queued_requests_are_not_sent_to_a_draining_target_however_the_drain_is_announced() {
    for announcement in [
        Announcement::WatchReset,
        Announcement::AddressChange,
        Announcement::DiscoveryRecovery,
        Announcement::PushedList,
    ] {
        run_test(check_announcement(WaitReason::Capacity, announcement));
    }
}

#[test]
fn a_silent_watch_is_reopened_before_queued_requests_are_sent() {
    for announcement in [Announcement::WatchSilent, Announcement::WatchAndPollSilent] {
        run_test(check_announcement(WaitReason::Capacity, announcement));
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// It closes the connection.
    Fin,
    /// It resets the connection, as after closing with unread bytes.
    Reset,
    /// It closes the connection after more bytes than the front buffers, which are not a request.
    AfterJunk,
    /// It closes the connection after the first bytes of a next request.
    AfterPartialRequest,
    /// It closes the connection after a complete next request.
    AfterPipelinedRequest,
    /// It closes the connection with half of its request's body sent.
    FinMidBody,
    /// It resets the connection with half of its request's body sent.
    ResetMidBody,
}

impl Disconnect {
    /// The request that the client sends, or begins to send, before it disconnects.
    fn request(self) -> String {
        match self {
            Disconnect::FinMidBody | Disconnect::ResetMidBody => {
                let complete = request_with_long_deadline("deposit", WAITING_ID);
                complete.replace(
                    "Length: 1\r\n\r\nx",
                    &format!("Length: 900000\r\n\r\n{}", "y".repeat(HALF_BODY_BYTES)),
                )
            }
            _ => request_with_long_deadline("view", WAITING_ID),
        }
    }

    async fn apply(self, mut client: TcpStream) {
        match self {
            Disconnect::Fin | Disconnect::FinMidBody => {}
            Disconnect::Reset | Disconnect::ResetMidBody => {
                client.set_zero_linger().expect("the option is set")
            }
            Disconnect::AfterJunk => write_text(&mut client, &"x".repeat(256 * 1024)).await,
            Disconnect::AfterPartialRequest => write_text(&mut client, "GET /vi").await,
            Disconnect::AfterPipelinedRequest => {
                write_text(&mut client, &request_with_long_deadline("view", &format!("{WAITING_ID}-too")))
                    .await
            }
        }
    }
}

/// More of a body than the front buffers before it passes the request to the scheduler.
const HALF_BODY_BYTES: usize = 200_000;

/// The rule allows 0.1 s between a client's disconnect and the start of the last attempt for it. Polls of 1
/// ms are counted instead of time, because a busy machine stretches each of them but adds none.
const MAX_POLLS: usize = 10;

/// Waits until at most `most_open` requests are open.
async fn wait_for_open_requests(initiator: &RunningInitiator, most_open: usize, label: &str) {
    for _ in 0..MAX_POLLS {
        if (initiator.open_requests)() <= most_open {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("{label}: {} requests are open, not {most_open}", (initiator.open_requests)());
}

async fn check_disconnect(wait: WaitReason, disconnect: Disconnect, may_cancel: bool) {
    let change = |json: &mut serde_json::Value| json["settings"]["ceilings"]["cancel"] = may_cancel.into();
    let WaitingRequest { initiator, client, target, stalled_clients, attempts_received } =
        WaitingRequest::start_with(&disconnect.request(), wait, None, change).await;
    assert_eq!(
        (initiator.open_requests)(),
        stalled_clients.len() + 1,
        "{wait:?} {disconnect:?} {may_cancel}"
    );
    disconnect.apply(client).await;
    wait_for_open_requests(
        &initiator,
        stalled_clients.len(),
        &format!("{wait:?} {disconnect:?} {may_cancel}"),
    )
    .await;
    let client = TcpStream::connect(initiator.http).await.expect("connected");
    let waiting = WaitingRequest { initiator, client, target, stalled_clients, attempts_received };
    let (initiator, mut client, received) = waiting.end_wait().await;
    assert_eq!(received, Vec::<String>::new(), "{wait:?} {disconnect:?} {may_cancel}");
    // Nothing stays reserved for the cancelled request: no capacity, no units and no slot.
    let (sent_at, plan) = (Instant::now(), if wait == WaitReason::RateLimit { "basic" } else { "full" });
    let answer =
        send_request_on(&mut client, &request_with_long_deadline("view", "after").replace("full", plan))
            .await;
    assert!(answer.starts_with("200"), "{wait:?} {disconnect:?} {may_cancel}: {answer}");
    assert!(sent_at.elapsed() < Duration::from_millis(400), "{wait:?} {disconnect:?} {may_cancel}");
    drop((initiator, client));
}

// Guards against late detection of a disconnect: while bytes after a request were unread, the front checked
// for the end of the stream only every 50 ms.
#[test]
fn a_queued_attempt_of_a_disconnected_client_is_not_sent() {
    for wait in WAIT_REASONS {
        for disconnect in [
            Disconnect::Fin,
            Disconnect::Reset,
            Disconnect::AfterJunk,
            Disconnect::AfterPartialRequest,
            Disconnect::AfterPipelinedRequest,
        ] {
            run_test(check_disconnect(wait, disconnect, true));
        }
    }
}

#[test]
fn a_queued_attempt_with_half_its_body_is_not_sent_for_a_disconnected_client() {
    // No target has rejected a request whose body is half sent, so there is no backoff to wait for.
    for wait in [WaitReason::Capacity, WaitReason::RateLimit, WaitReason::Connect] {
        for disconnect in [Disconnect::FinMidBody, Disconnect::ResetMidBody] {
            run_test(check_disconnect(wait, disconnect, true));
        }
    }
}

#[test]
fn a_queued_attempt_of_a_disconnected_client_is_not_sent_when_cancellation_is_disabled() {
    for wait in WAIT_REASONS {
        for disconnect in [Disconnect::Fin, Disconnect::AfterJunk] {
            run_test(check_disconnect(wait, disconnect, false));
        }
    }
}

/// The target rejects every attempt, so the initiator backs off for 20 ms, then for 40 ms. Returns how many
/// attempts start after the client has disconnected during a backoff. With `None` the client stays connected,
/// and the attempts after the first two are counted.
async fn attempts_after_backoff(disconnect: Option<Disconnect>) -> usize {
    let mut target = scripted_server(vec![Step::Respond(UNPROCESSED_RESPONSE.into()); 9]).await;
    let initiator =
        start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, allow_late_connections)
            .await;
    let mut client = TcpStream::connect(initiator.http).await.expect("connected");
    write_text(&mut client, &request_with_long_deadline("view", WAITING_ID)).await;
    for _ in 0..2 {
        assert!(next_received(&mut target).await.contains(WAITING_ID));
    }
    let attempts_started = |target: &ScriptedServer| {
        target.request_heads.borrow().iter().filter(|head| head.contains(WAITING_ID)).count()
    };
    let (mut before, mut connected) = (2, Some(client));
    if let Some((disconnect, client)) = disconnect.zip(connected.take_if(|_| disconnect.is_some())) {
        disconnect.apply(client).await;
        wait_for_open_requests(&initiator, 0, &format!("{disconnect:?}")).await;
        before = attempts_started(&target);
    }
    received_until_quiet(&mut target, Duration::from_millis(200)).await;
    drop(connected);
    attempts_started(&target) - before
}

#[test]
fn a_backoff_between_attempts_ends_when_the_client_disconnects() {
    run_test(async {
        assert!(attempts_after_backoff(None).await >= 1, "the request is retried for a client that stays");
    });
    for disconnect in [
        Disconnect::Fin,
        Disconnect::Reset,
        Disconnect::AfterJunk,
        Disconnect::AfterPartialRequest,
        Disconnect::AfterPipelinedRequest,
    ] {
        run_test(async move {
            assert_eq!(attempts_after_backoff(Some(disconnect)).await, 0, "{disconnect:?}");
        });
    }
}

// Guards against capacity that stays reserved when many clients disconnect at the same time while their
// requests wait for one target.
#[test]
fn a_burst_of_disconnecting_clients_releases_all_reserved_capacity() {
    run_test(async {
        let WaitingRequest { initiator, client, target, stalled_clients, attempts_received } =
            WaitingRequest::start(WaitReason::Capacity, None, |_| {}).await;
        let mut clients = vec![client];
        for i in 0..100 {
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            write_text(&mut client, &request_with_long_deadline("view", &format!("{WAITING_ID}-{i}"))).await;
            clients.push(client);
        }
        // All of them have arrived by then.
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!((initiator.open_requests)(), stalled_clients.len() + clients.len());
        drop(clients);
        wait_for_open_requests(&initiator, stalled_clients.len(), "a burst").await;
        let client = TcpStream::connect(initiator.http).await.expect("connected");
        let waiting = WaitingRequest { initiator, client, target, stalled_clients, attempts_received };
        let (initiator, mut client, received) = waiting.end_wait().await;
        assert_eq!(received, Vec::<String>::new());
        assert_eq!(send_request_on(&mut client, &request_with_long_deadline("view", "after")).await, "200 a");
        assert!(
            tokio::time::timeout(Duration::from_millis(20), client.read_u8()).await.is_err(),
            "the connection stays open"
        );
        drop(initiator);
    });
}
