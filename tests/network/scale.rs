//! Real processes in a large fleet: 1,024 targets in what they remember and on discovery, and as many
//! instances in their settings. They start while discovery is down, slow or refuses every call.

use crate::harness::{
    Peer, Step, UnusedAddress, ok, peer, read_message, request, send_request, send_request_on, story,
};
use crate::processes::told;
use rowanglade_test_fleet::{Daemon, DaemonPlan, Endpoint, EndpointState};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const TARGETS: usize = 1_024;
const INSTANCES: usize = 1_024;
/// One target in so many listens; the others are only listed.
const LISTENING_EVERY: usize = 64;

/// Processes that are started at once, in a fleet of so many that do the same.
const RESTARTED: usize = 24;
const FLEET: usize = 350;
/// Nine of ten restarted processes are ready within this time.
const READY: Duration = Duration::from_secs(10);

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// The targets of a large fleet, of which some are there.
struct Targets {
    listening: Vec<Peer>,
    lines: Vec<Value>,
}

impl Targets {
    async fn start() -> Targets {
        let (mut listening, mut lines) = (Vec::new(), Vec::new());
        for shard in 0..TARGETS {
            let addr = if shard.is_multiple_of(LISTENING_EVERY) {
                let target = peer(vec![ok("served"); 1_000]).await;
                let addr = target.addr;
                listening.push(target);
                addr
            } else {
                // Nobody listens there.
                SocketAddr::from(([127, 9, (shard >> 8) as u8, shard as u8], 9))
            };
            lines.push(json!({
                "id": format!("s-{shard:08x}"), "addr": addr.to_string(), "zone": "kingston", "kind": "std-box",
                "cell": shard, "state": "active", "weight": 1.0, "started_ms": 0,
            }));
        }
        Targets { listening, lines }
    }

    /// The whole list, in the form of discovery.
    fn page(&self, version: u64) -> Value {
        json!({"version": version, "full": true, "servers": self.lines})
    }

    /// A shard whose target listens.
    fn shard(&self, place: usize) -> i32 {
        (place % self.listening.len() * LISTENING_EVERY) as i32
    }
}

fn start(name: &str, instances: usize, discovery: SocketAddr) -> DaemonPlan {
    DaemonPlan {
        name: name.to_string(),
        program: env!("CARGO_BIN_EXE_rowanglade").into(),
        args: Vec::new(),
        settings: told(instances, TARGETS),
        discovery,
        sockets: 1_024,
        memory_mb: 192,
        operator: None,
        handover: None,
        env: Vec::new(),
    }
}

/// How long after `begun` the process answers that it is ready.
async fn ready(http: SocketAddr, begun: Instant) -> Duration {
    while send_request(http, UP).await != "200" {
        assert!(begun.elapsed() < 2 * READY, "not ready");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    begun.elapsed()
}

/// A list of peers, of which one is this instance's own.
fn peers(me: usize) -> Vec<SocketAddr> {
    let own = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("bound");
    let other = |i: usize| SocketAddr::from(([127, 8, (i >> 8) as u8, i as u8], 9));
    (0..INSTANCES).map(|i| if i == me { own } else { other(i) }).collect()
}

// One process with all that grows with the fleet: the list, the remembered list, peers, and what it prefers.
#[test]
fn it_starts_with_1024_targets_and_1024_instances() {
    story(async {
        let targets = Targets::start().await;
        let page = serde_json::to_string_pretty(&targets.page(7)).expect("text");
        let list = peer((0..3).flat_map(|_| [ok(&page), Step::Silence]).collect()).await;
        let me = INSTANCES - 1;
        let folder = tempfile::tempdir().expect("a folder");
        let key = folder.path().join("key");
        std::fs::write(&key, "5a".repeat(32)).expect("written");
        let all: Vec<String> = peers(me).iter().map(|addr| format!("\"{addr}\"")).collect();
        let fleet = format!("[fleet]\npeers = [{}]\nme = {me}\nkey_file = {key:?}\n", all.join(","));
        let subset = "[subset]\nsize = 16\n";
        for (what, operator) in [
            ("alone", String::new()),
            ("with peers", fleet.clone()),
            ("with peers and a subset", format!("{fleet}{subset}")),
        ] {
            let mut start = start("n1023", INSTANCES, list.addr);
            start.settings["my-number"] = me.into();
            start.operator = Some(operator);
            let begun = Instant::now();
            let daemon =
                Daemon::start_with(&start, |text| text["known"] = targets.page(6)).expect("it serves");
            let took = ready(daemon.http, begun).await;
            let at_start = daemon.usage();
            // Each of these targets once, and new objects, on one connection.
            let mut client = TcpStream::connect(daemon.http).await.expect("connected");
            for place in 0..targets.listening.len() {
                let asked =
                    request("view", &format!("{what}-{place}").replace(' ', "-"), targets.shard(place), "");
                assert_eq!(send_request_on(&mut client, &asked).await, "200 served", "{what} {place}");
            }
            let used = daemon.usage();
            println!(
                "{what}: ready after {took:?}, {} KiB at most, {} s of the processor to be ready, {} s in all",
                used.peak_memory_bytes >> 10,
                at_start.processor_seconds,
                used.processor_seconds
            );
            assert!(took < READY, "{what}: ready after {took:?}");
            // Half of what the platform lets it use.
            assert!(used.peak_memory_bytes < 96 << 20, "{what}: {} KiB", used.peak_memory_bytes >> 10);
        }
    });
}

/// What discovery does while many processes start.
#[derive(Clone, Copy, Debug)]
enum Discovery {
    /// Nobody listens.
    Down,
    /// It answers calls one after another, and takes its time.
    Slow,
    Refusing,
}

/// Starts a discovery that behaves like this, with this list. One that is down is held, so that its port is
/// nobody else's.
async fn discovery(kind: Discovery, page: String) -> (SocketAddr, Option<UnusedAddress>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let whole = match kind {
        Discovery::Down => {
            let nobody = UnusedAddress::new();
            return (nobody.addr, Some(nobody));
        }
        Discovery::Slow => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len()),
        Discovery::Refusing => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string(),
    };
    let (whole, turn) = (Rc::new(whole), Rc::new(Semaphore::new(1)));
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (whole, turn) = (Rc::clone(&whole), Rc::clone(&turn));
            actix_rt::spawn(async move {
                while read_message(&mut stream).await.is_some() {
                    if matches!(kind, Discovery::Slow) {
                        let _turn = turn.acquire().await.expect("it stays open");
                        tokio::time::sleep(Duration::from_millis(400)).await;
                    }
                    if stream.write_all(whole.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, None)
}

/// Starts many processes at once that remember all targets. All are to be ready, nine of ten within the time.
async fn restarted_at_once(kind: Discovery, word: &str) {
    let targets = Targets::start().await;
    let (addr, _down) = discovery(kind, targets.page(7).to_string()).await;
    let begun = Instant::now();
    let starting: Vec<_> = (0..RESTARTED)
        .map(|number| {
            let mut start = start(&format!("n{number}"), FLEET, addr);
            start.settings["my-number"] = number.into();
            start.settings["discovery"] = word.into();
            let known = targets.page(6);
            tokio::task::spawn_blocking(move || {
                Daemon::start_with(&start, |text| text["known"] = known).expect("it serves")
            })
        })
        .collect();
    let waiting: Vec<_> = starting
        .into_iter()
        .map(|starting| {
            actix_rt::spawn(async move {
                let daemon = starting.await.expect("started");
                let took = ready(daemon.http, begun).await;
                (daemon, took)
            })
        })
        .collect();
    let (mut daemons, mut times) = (Vec::new(), Vec::new());
    for each in waiting {
        let (daemon, took) = each.await.expect("ready in the end");
        daemons.push(daemon);
        times.push(took);
    }
    times.sort();
    let most = daemons.iter().map(|d| d.usage().peak_memory_bytes).max().expect("some");
    println!(
        "discovery {kind:?}, {word}: {RESTARTED} of {FLEET} ready after {:?} to {:?}, {:?} for nine of ten; {} KiB at most",
        times[0],
        times[RESTARTED - 1],
        times[RESTARTED * 9 / 10],
        most >> 10
    );
    assert!(times[RESTARTED * 9 / 10] < READY, "{kind:?} {word}: {times:?}");
    for (place, daemon) in daemons.iter().enumerate() {
        let asked = request("view", &format!("r{place}"), targets.shard(place), "");
        assert_eq!(send_request(daemon.http, &asked).await, "200 served", "{kind:?} {word}");
    }
}

#[test]
fn a_fleet_that_starts_while_discovery_is_down_is_soon_ready() {
    story(async {
        restarted_at_once(Discovery::Down, "on_request").await;
        restarted_at_once(Discovery::Down, "pushed").await;
    });
}

#[test]
fn a_fleet_that_starts_while_discovery_is_slow_is_soon_ready() {
    story(async {
        restarted_at_once(Discovery::Slow, "on_request").await;
        restarted_at_once(Discovery::Slow, "pushed").await;
    });
}

#[test]
fn a_fleet_that_starts_while_discovery_refuses_every_poll_is_soon_ready() {
    story(async {
        restarted_at_once(Discovery::Refusing, "on_request").await;
        restarted_at_once(Discovery::Refusing, "pushed").await;
    });
}

// Nothing is remembered, and every call is refused: there is no target to serve by, so it is not ready, and
// refuses whoever asks all the same. It is ready soon after discovery serves.
#[test]
fn an_initiator_without_a_cached_list_is_ready_once_discovery_serves() {
    story(async {
        let target = peer(vec![ok("served")]).await;
        let discovery = rowanglade_test_fleet::Discovery::start("kingston").await.expect("started");
        discovery.set_refusing(true);
        let daemon = Daemon::start(&start("n0", 1, discovery.addr())).expect("it serves");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(send_request(daemon.http, UP).await.starts_with("503"), "no target, not ready");
        let begun = Instant::now();
        let answer = send_request(daemon.http, &request("view", "e1", 0, "")).await;
        assert!(answer.starts_with("503") && answer.contains("retry-after"), "{answer}");
        assert!(begun.elapsed() < Duration::from_secs(1), "refused after {:?}", begun.elapsed());
        discovery.upsert(Endpoint {
            id: "s-0".into(),
            addr: target.addr,
            shard: 0,
            state: EndpointState::Active,
            started_ms: 0,
            zone: None,
        });
        discovery.set_refusing(false);
        let took = ready(daemon.http, Instant::now()).await;
        println!("nothing remembered: ready {took:?} after discovery served");
        assert!(took < Duration::from_secs(6), "{took:?}");
        assert_eq!(send_request(daemon.http, &request("view", "e2", 0, "")).await, "200 served");
    });
}
