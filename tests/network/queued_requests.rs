//! A request waits, for room at its target, for its volume's limit, for a connection or between two attempts;
//! meanwhile its target is announced as leaving, in every way in which that can be told, or its client
//! leaves. Nothing of it is sent on.

use crate::harness::*;
use crate::late_connections::*;
use rowanglade::config::Reload;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What the request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wait {
    /// Two requests before it hang, and take all of the room that there is.
    Room,
    /// Its volume's limit lets it through half a second from now.
    Limit,
    /// A connection to its target comes up late.
    Dial,
    /// Its first attempt was turned away, and a request that hangs is all that its target gets meanwhile.
    Again,
}

const WAITS: [Wait; 4] = [Wait::Room, Wait::Limit, Wait::Dial, Wait::Again];

const TURNED_AWAY: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// An initiator with one request that waits, and what it waits for.
struct Scene {
    node: Running,
    client: TcpStream,
    target: Result<Peer, Full>,
    hanging: Vec<TcpStream>,
    /// Attempts of it that its target has had.
    tried: usize,
}

/// The request that waits.
const WAITING: &str = "w-aits";

impl Scene {
    async fn new(
        wait: Wait,
        list: Option<std::net::SocketAddr>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Scene {
        Scene::with(&patient_request("view", WAITING), wait, list, change).await
    }

    async fn with(
        request: &str,
        wait: Wait,
        list: Option<std::net::SocketAddr>,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Scene {
        let Step::Answer(done) = ok("done") else { unreachable!("it answers") };
        let hangs = || Step::Wait(done.clone());
        let script = match wait {
            Wait::Room => vec![hangs(), hangs(), ok("a"), ok("b")],
            Wait::Again => vec![hangs(), Step::Answer(TURNED_AWAY.into()), ok("a"), ok("b")],
            Wait::Limit | Wait::Dial => vec![ok("a"), ok("b")],
        };
        let mut target = match wait {
            Wait::Dial => Err(Full::new()),
            _ => Ok(peer(script).await),
        };
        let addr = target.as_ref().map_or_else(|full| full.addr, |peer| peer.addr);
        let change = |json: &mut serde_json::Value| {
            patient(json);
            let plan = &mut json["settings"]["policies"][0];
            (plan["never-over"], plan["burst"], plan["tolerance"]) = (4.0.into(), 10.0.into(), 0.0.into());
            change(json);
        };
        let node = start_with(&[endpoint_entry(addr, 0, "active")], list, None, change).await;
        let mut hanging = Vec::new();
        if let (Wait::Room | Wait::Again, Ok(target)) = (wait, &mut target) {
            for id in ["h0", "h1"].into_iter().take(if wait == Wait::Room { 2 } else { 1 }) {
                let mut client = TcpStream::connect(node.http).await.expect("connected");
                sent(&mut client, &patient_request("view", id)).await;
                assert!(next_seen(target).await.contains(id));
                hanging.push(client);
            }
        }
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        let plan = if wait == Wait::Limit { "basic" } else { "full" };
        sent(&mut client, &request.replace("full", plan)).await;
        match (wait, &mut target) {
            (Wait::Again, Ok(target)) => assert!(next_seen(target).await.contains(WAITING)),
            // Nothing is seen of it from outside: so long a time is enough to take it.
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
        let tried = usize::from(wait == Wait::Again);
        Scene { node, client, target, hanging, tried }
    }

    /// Ends what the request waits for, and tells what its target then sees of it.
    async fn let_go(self) -> (Running, TcpStream, Vec<String>) {
        let Scene { node, client, target, mut hanging, tried } = self;
        let mut target = target.unwrap_or_else(|full| full.let_in(vec![ok("a"), ok("b")]));
        for client in &mut hanging {
            target.go.notify_one();
            assert!(read_message(client).await.expect("answered").0.contains("200"));
        }
        let mut seen = seen_after(&mut target, TRIED_AGAIN).await;
        seen.retain(|line| line.contains(WAITING));
        // Nothing of it has begun that did not come whole.
        let begun = target.begun.borrow().iter().filter(|head| head.contains(WAITING)).count();
        assert_eq!(begun, tried + seen.len());
        (node, client, seen)
    }
}

// Where nothing is announced and nobody leaves, each of these waits ends with the request being sent on.
#[test]
fn queued_requests_are_sent_in_the_end() {
    for wait in WAITS {
        story(async move {
            let (_node, mut client, seen) = Scene::new(wait, None, |_| {}).await.let_go().await;
            assert_eq!(seen.len(), 1, "{wait:?}");
            assert!(read_message(&mut client).await.expect("answered").0.contains("200"), "{wait:?}");
        });
    }
}

/// How the news comes that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum News {
    Watch,
    /// The watch is reset, and opened anew.
    Reset,
    /// The watch falls silent.
    Silence,
    /// So does the call that opens it anew; the one beside that is answered.
    SilenceTwice,
    /// Discovery was down from the start.
    Return,
    /// Another discovery tells it, after SIGHUP.
    Sighup,
    /// The list is pushed.
    Push,
}

fn page(version: u64, full: bool, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":{full},"servers":[{entries}]}}"#))
}

async fn announced(wait: Wait, news: News) {
    // The list is started before its target is known: what it tells is written once it is.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    // A watch waits 1 s for news, and is silent 1 s after that.
    let scene = Scene::new(wait, Some(addr), |json| {
        json["settings"]["rules"]["must-ask-in"] = 1_000_000.into();
        if news == News::Push {
            json["settings"]["discovery"] = "pushed".into();
        }
    })
    .await;
    let target = scene.target.as_ref().map_or_else(|full| full.addr, |peer| peer.addr);
    let leaving = endpoint_entry(target, 0, "leaving");
    let told = page(3, news == News::Return, &leaving);
    let Step::Answer(later) = told.clone() else { unreachable!("it answers") };
    let script = match news {
        News::Watch | News::Push => vec![page(2, false, ""), Step::Wait(later), Step::Silence],
        News::Reset => vec![page(2, false, ""), Step::Close, told, Step::Silence],
        News::Silence => vec![page(2, false, ""), Step::Silence, told, Step::Silence],
        News::SilenceTwice => vec![page(2, false, ""), Step::Silence, Step::Silence, told, Step::Silence],
        News::Return => vec![Step::Last(String::new()), Step::Last(String::new()), told, Step::Silence],
        News::Sighup => vec![page(2, false, ""), Step::Silence],
    };
    let mut list = peer_on(listener, script);
    let mut moved = None;
    match news {
        News::Watch | News::Push | News::Reset => {
            for _ in 0..2 {
                next_seen(&mut list).await;
            }
            list.go.notify_one();
        }
        News::Sighup => {
            let new = peer(vec![page(7, true, &leaving), Step::Silence]).await;
            scene
                .node
                .reloads
                .apply_settings(&Reload { discovery: Some(new.addr), routing: Default::default() });
            moved = Some(new);
        }
        News::Silence | News::SilenceTwice | News::Return => {}
    }
    // It has been told once the watch goes on from there.
    let list = moved.as_mut().unwrap_or(&mut list);
    let newest = if news == News::Sighup { "from=7&" } else { "from=3&" };
    let begun = Instant::now();
    while !list.seen.recv().await.expect("it lives").contains(newest) {}
    assert!(begun.elapsed() < Duration::from_millis(3_000), "{wait:?} {news:?}: {:?}", begun.elapsed());
    let (_node, mut client, seen) = scene.let_go().await;
    assert_eq!(seen, Vec::<String>::new(), "{wait:?} {news:?}");
    // Its client still gets its answer: it may come back, since nothing has run.
    let (head, _) = read_message(&mut client).await.expect("answered");
    assert!(
        head.starts_with("HTTP/1.1 503") || head.starts_with("HTTP/1.1 429"),
        "{wait:?} {news:?}: {head}"
    );
}

// The operators saw requests go to targets announced as leaving.
#[test]
fn requests_queued_for_a_draining_target_are_not_sent_to_it() {
    for wait in WAITS {
        story(announced(wait, News::Watch));
    }
}

#[test]
fn queued_requests_are_not_sent_to_a_drained_target_however_the_change_arrives() {
    for news in [News::Reset, News::Sighup, News::Return, News::Push] {
        story(announced(Wait::Room, news));
    }
}

#[test]
fn a_silent_watch_is_reopened_before_queued_requests_are_sent() {
    for news in [News::Silence, News::SilenceTwice] {
        story(announced(Wait::Room, news));
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    /// It closes.
    Fin,
    /// It closes over bytes that it has not read, or wants nothing of: a reset.
    Reset,
    /// It closes behind bytes of its own that are no request, more than the front holds.
    Behind,
    /// It closes behind a few bytes of a next request.
    Junk,
    /// It closes behind a whole next request.
    Pipelined,
    /// It closes with the body of its request half sent.
    HalfSent,
    /// The same by a reset.
    HalfSentReset,
}

impl Leave {
    /// What the client has asked, or half asked.
    fn request(self) -> String {
        match self {
            Leave::HalfSent | Leave::HalfSentReset => {
                let whole = patient_request("deposit", WAITING);
                whole.replace("Length: 1\r\n\r\nx", &format!("Length: 900000\r\n\r\n{}", "y".repeat(HALF)))
            }
            _ => patient_request("view", WAITING),
        }
    }

    async fn leave(self, mut client: TcpStream) {
        match self {
            Leave::Fin | Leave::HalfSent => {}
            Leave::Reset | Leave::HalfSentReset => client.set_zero_linger().expect("set"),
            Leave::Behind => sent(&mut client, &"x".repeat(256 * 1024)).await,
            Leave::Junk => sent(&mut client, "GET /vi").await,
            Leave::Pipelined => sent(&mut client, &patient_request("view", &format!("{WAITING}-too"))).await,
        }
    }
}

/// So much of a body is more than the front waits for before it hands the request over.
const HALF: usize = 200_000;

/// The rule gives 0.1 s from a client's leaving to the last attempt that may begin for it. Turns of the
/// runtime are counted, which a busy machine makes longer than 1 ms, but no more of them.
const TURNS: usize = 10;

/// Passes once no more than so many requests are open.
async fn noticed(node: &Running, open: usize, what: &str) {
    for _ in 0..TURNS {
        if (node.open)() <= open {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("{what}: {} requests are open, not {open}", (node.open)());
}

async fn left(wait: Wait, leave: Leave, may_cancel: bool) {
    let change = |json: &mut serde_json::Value| json["settings"]["ceilings"]["cancel"] = may_cancel.into();
    let Scene { node, client, target, hanging, tried } =
        Scene::with(&leave.request(), wait, None, change).await;
    assert_eq!((node.open)(), hanging.len() + 1, "{wait:?} {leave:?} {may_cancel}");
    leave.leave(client).await;
    noticed(&node, hanging.len(), &format!("{wait:?} {leave:?} {may_cancel}")).await;
    let client = TcpStream::connect(node.http).await.expect("connected");
    let scene = Scene { node, client, target, hanging, tried };
    let (node, mut client, seen) = scene.let_go().await;
    assert_eq!(seen, Vec::<String>::new(), "{wait:?} {leave:?} {may_cancel}");
    // Nothing that was held for it is missing now: neither room nor units nor a place.
    let (asked, plan) = (Instant::now(), if wait == Wait::Limit { "basic" } else { "full" });
    let answer = send_request_on(&mut client, &patient_request("view", "after").replace("full", plan)).await;
    assert!(answer.starts_with("200"), "{wait:?} {leave:?} {may_cancel}: {answer}");
    assert!(asked.elapsed() < Duration::from_millis(400), "{wait:?} {leave:?} {may_cancel}");
    drop((node, client));
}

// While bytes behind a request were unread, the front looked for the end of the stream every 50 ms.
#[test]
fn a_queued_attempt_of_a_disconnected_client_is_not_sent() {
    for wait in WAITS {
        for leave in [Leave::Fin, Leave::Reset, Leave::Behind, Leave::Junk, Leave::Pipelined] {
            story(left(wait, leave, true));
        }
    }
}

#[test]
fn a_queued_attempt_with_half_its_body_is_not_sent_for_a_disconnected_client() {
    // With the body half sent, no target has turned it away.
    for wait in [Wait::Room, Wait::Limit, Wait::Dial] {
        for leave in [Leave::HalfSent, Leave::HalfSentReset] {
            story(left(wait, leave, true));
        }
    }
}

#[test]
fn a_queued_attempt_of_a_disconnected_client_is_not_sent_without_cancellation() {
    for wait in WAITS {
        for leave in [Leave::Fin, Leave::Behind] {
            story(left(wait, leave, false));
        }
    }
}

/// A target that turns everything away rests for 20 ms, then for 40 ms. Tells how many attempts of a request
/// begin once its client has left while the target rests, or, where it stays, behind the first two.
async fn backed_off(leave: Option<Leave>) -> usize {
    let mut target = peer(vec![Step::Answer(TURNED_AWAY.into()); 9]).await;
    let node = start_with(&[endpoint_entry(target.addr, 0, "active")], None, None, patient).await;
    let mut client = TcpStream::connect(node.http).await.expect("connected");
    sent(&mut client, &patient_request("view", WAITING)).await;
    for _ in 0..2 {
        assert!(next_seen(&mut target).await.contains(WAITING));
    }
    let begun = |target: &Peer| target.begun.borrow().iter().filter(|head| head.contains(WAITING)).count();
    let (mut before, mut stays) = (2, Some(client));
    if let Some((leave, client)) = leave.zip(stays.take_if(|_| leave.is_some())) {
        leave.leave(client).await;
        noticed(&node, 0, &format!("{leave:?}")).await;
        before = begun(&target);
    }
    seen_after(&mut target, Duration::from_millis(200)).await;
    drop(stays);
    begun(&target) - before
}

#[test]
fn a_backoff_between_attempts_ends_when_the_client_disconnects() {
    story(async {
        assert!(backed_off(None).await >= 1, "it is tried again for a client that stays");
    });
    for leave in [Leave::Fin, Leave::Reset, Leave::Behind, Leave::Junk, Leave::Pipelined] {
        story(async move {
            assert_eq!(backed_off(Some(leave)).await, 0, "{leave:?}");
        });
    }
}

// Many that leave at once while they wait for one target.
#[test]
fn a_burst_of_disconnecting_clients_frees_all_that_they_held() {
    story(async {
        let Scene { node, client, target, hanging, tried } = Scene::new(Wait::Room, None, |_| {}).await;
        let mut clients = vec![client];
        for i in 0..100 {
            let mut client = TcpStream::connect(node.http).await.expect("connected");
            sent(&mut client, &patient_request("view", &format!("{WAITING}-{i}"))).await;
            clients.push(client);
        }
        // The last of them was taken once its connection answers for another that is unfit.
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!((node.open)(), hanging.len() + clients.len());
        drop(clients);
        noticed(&node, hanging.len(), "a burst").await;
        let client = TcpStream::connect(node.http).await.expect("connected");
        let scene = Scene { node, client, target, hanging, tried };
        let (node, mut client, seen) = scene.let_go().await;
        assert_eq!(seen, Vec::<String>::new());
        assert_eq!(send_request_on(&mut client, &patient_request("view", "after")).await, "200 a");
        assert!(tokio::time::timeout(Duration::from_millis(20), client.read_u8()).await.is_err(), "it stays");
        drop(node);
    });
}
