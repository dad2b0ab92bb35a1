//! Handovers: between two initiators, or an initiator and a peer that does not keep to the protocol.

use crate::harness::*;
use rowanglade_handover::{MessageKind, VERSION};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};

/// A folder of a test's own, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let unique = format!("rowanglade-up-{}-{:?}", std::process::id(), std::thread::current().id());
        let path = std::env::temp_dir().join(unique.replace(['(', ')'], ""));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn socket(&self) -> PathBuf {
        self.0.join("rowanglade-n1.sock")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that can be replaced, or that replaces the one that serves. `listen`: where it would listen by
/// itself.
async fn process(folder: &Path, lines: &[String], listen: Option<SocketAddr>) -> Running {
    start_with(lines, None, None, |json| {
        json["admin"] = "127.0.0.1:0".into();
        json["folder"] = folder.display().to_string().into();
        if let Some(listen) = listen {
            json["listen"] = listen.to_string().into();
        }
    })
    .await
}

async fn call(initiator: &Running, call: &str) -> String {
    let admin = initiator.admin.expect("operators can call");
    send_request(admin, &format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n")).await
}

async fn healthy(initiator: &Running) {
    while call(initiator, "GET /healthcheck").await != "200 close" {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A peer on the handover's socket that the test plays.
struct HandoverPeer(UnixStream);

impl HandoverPeer {
    async fn connect(folder: &Folder) -> HandoverPeer {
        HandoverPeer(UnixStream::connect(folder.socket()).await.expect("somebody serves"))
    }

    async fn send(&mut self, message: Value) {
        let text = message.to_string();
        self.0.write_u32(text.len() as u32).await.expect("written");
        self.0.write_all(text.as_bytes()).await.expect("written");
    }

    async fn send_hello(&mut self, version: u32) {
        self.send(json!({"word": MessageKind::Hello { version }})).await;
    }

    /// The kind of the next message that has one; `None`: the link has ended.
    async fn receive(&mut self) -> Option<Value> {
        loop {
            let length = self.0.read_u32().await.ok()?;
            let mut text = vec![0; length as usize];
            self.0.read_exact(&mut text).await.ok()?;
            let message: Value = serde_json::from_slice(&text).expect("JSON");
            if !message["word"].is_null() {
                return Some(message["word"].clone());
            }
        }
    }
}

// The second process could not listen and ended. It takes the listener and all that is owned over;
// connections that are open are served on by the first, one request each, and operators' calls hold on both
// sides.
#[test]
fn a_successor_takes_over_and_no_connection_is_refused() {
    story(async {
        let folder = Folder::new();
        let target = peer((0..9).map(|i| ok(&i.to_string())).collect()).await;
        let lines = [endpoint_entry(target.addr, 0, "active"), endpoint_entry(target.addr, 1, "active")];
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let mut open = TcpStream::connect(first.http).await.expect("connected");
        assert_eq!(send_request_on(&mut open, &request("view", "u1", 0, "")).await, "200 0");
        assert_eq!(call(&first, "PUT /targets/s-1/maint").await, "200 close");

        let second = process(&folder.0, &lines, Some(first.http)).await;
        healthy(&second).await;
        assert_eq!(second.http, first.http, "one listener");
        assert_eq!(call(&first, "GET /healthcheck").await, "503 close");
        assert_eq!(send_request_on(&mut open, &request("view", "u2", 0, "")).await, "200 close 1");
        assert_eq!(send_request(second.http, &request("view", "u3", 0, "")).await, "200 2");
        assert_eq!(
            send_request(second.http, &request("view", "u4", 1, "")).await,
            "503 retry-after",
            "out over the upgrade"
        );
        first.end.send(()).expect("it runs");
        first.run.await.expect("it ends").expect("in order");
        assert_eq!(send_request(second.http, &request("view", "u5", 0, "")).await, "200 3");
        assert_eq!(call(&second, "PUT /targets/s-1/ready").await, "200 close");
        assert_eq!(send_request(second.http, &request("view", "u6", 1, "")).await, "200 4");

        // A second upgrade, right after the first.
        let third = process(&folder.0, &lines, Some(second.http)).await;
        healthy(&third).await;
        assert_eq!(send_request(third.http, &request("view", "u7", 0, "")).await, "200 5");
    });
}

// A target that operators call out while both processes live must be left by both.
#[test]
fn admin_commands_to_either_process_hold_in_both() {
    story(async {
        let folder = Folder::new();
        let target = peer(vec![ok("served")]).await;
        let lines = [endpoint_entry(target.addr, 0, "active"), endpoint_entry(target.addr, 1, "active")];
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let open = async || {
            let mut stream = TcpStream::connect(first.http).await.expect("connected");
            assert_eq!(send_request_on(&mut stream, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await, "200");
            stream
        };
        let (mut a, mut b) = (open().await, open().await);
        let second = process(&folder.0, &lines, None).await;
        healthy(&second).await;
        assert_eq!(call(&second, "PUT /targets/s-0/maint").await, "200 close");
        assert_eq!(call(&first, "PUT /targets/s-1/maint").await, "200 close");
        for (stream, id, shard) in [(&mut a, "b1", 0), (&mut b, "b2", 1)] {
            assert_eq!(
                send_request_on(stream, &request("view", id, shard, "")).await,
                "503 close retry-after"
            );
        }
        for (id, shard) in [("b3", 0), ("b4", 1)] {
            assert_eq!(send_request(second.http, &request("view", id, shard, "")).await, "503 retry-after");
        }
    });
}

// What a successor says is not to be trusted to come whole: whatever it does before it has taken over, the
// process that serves goes on with all that it owns.
#[test]
fn a_successor_that_fails_leaves_the_predecessor_serving() {
    story(async {
        let folder = Folder::new();
        let target = peer((0..9).map(|i| ok(&i.to_string())).collect()).await;
        let lines = [endpoint_entry(target.addr, 0, "active")];
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let served = async |id: &str, body: &str| {
            assert_eq!(send_request(first.http, &request("view", id, 0, "")).await, format!("200 {body}"));
        };

        let mut other = HandoverPeer::connect(&folder).await;
        other.send_hello(VERSION + 1).await;
        assert_eq!(other.receive().await, Some(json!({"refuse": {"version": VERSION}})), "another version");
        assert_eq!(other.receive().await, None);
        served("x1", "0").await;

        let mut torn = HandoverPeer::connect(&folder).await;
        torn.0.write_all(b"\xff\xff\xff\xffnoise").await.expect("written");
        assert_eq!(torn.receive().await, None, "noise");
        served("x2", "1").await;

        let mut other = HandoverPeer::connect(&folder).await;
        other.send_hello(VERSION).await;
        assert_eq!(other.receive().await, Some(json!("welcome")));
        let mut second = HandoverPeer::connect(&folder).await;
        second.send_hello(VERSION).await;
        assert_eq!(second.receive().await, Some(json!("busy")), "one successor at a time");
        served("x3", "2").await;
        other.send(json!({"word": "ready"})).await;
        assert_eq!(other.receive().await, Some(json!("given")));
        assert_eq!(call(&first, "GET /healthcheck").await, "503 close", "all is on its way");
        // It dies with all of it in its hands.
        drop(other);
        healthy(&first).await;
        served("x4", "3").await;
    });
}

// The predecessor dies half way. Its listener lives on in the successor, which serves alone, from nothing.
#[test]
fn a_predecessor_that_dies_half_way_leaves_its_listener_to_the_successor() {
    story(async {
        let folder = Folder::new();
        let target = peer(vec![ok("served")]).await;
        let lines = [endpoint_entry(target.addr, 0, "active")];
        // The lock is taken by whoever serves.
        let lock = std::fs::File::create(folder.0.join("rowanglade-n1.lock")).expect("a file");
        lock.lock().expect("free");
        let handover_listener = tokio::net::UnixListener::bind(folder.socket()).expect("bound");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("bound");
        let dies = async {
            let (stream, _) = handover_listener.accept().await.expect("the successor");
            let mut other = HandoverPeer(stream);
            assert_eq!(other.receive().await, Some(json!({"hello": {"version": VERSION}})));
            let known: Value = serde_json::from_str(&lines[0]).expect("JSON");
            let list = json!({"version": 0, "full": true, "servers": [known]});
            let welcome =
                json!({"now": 1_700_000_000_000_000u64, "list": list, "share": {}, "listeners": ["http"]});
            let message =
                serde_json::from_value(json!({"word": "welcome", "welcome": welcome})).expect("one");
            let fd = std::os::fd::OwnedFd::from(listener);
            rowanglade::handover::send(&other.0, &message, &[fd]).await.expect("sent");
            other
        };
        let (other, second) = tokio::join!(dies, process(&folder.0, &lines, Some(addr)));
        // A client comes to the listener before anybody accepts it.
        let mut early = TcpStream::connect(addr).await.expect("in the backlog");
        assert_eq!(call(&second, "GET /healthcheck").await, "503 close");
        drop(other);
        drop(handover_listener);
        lock.unlock().expect("held");
        healthy(&second).await;
        assert_eq!(send_request_on(&mut early, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await, "200");
    });
}

// Where nobody is found, only what a dead process has left, the start is an ordinary one.
#[test]
fn a_stale_socket_or_a_file_in_its_place_does_not_hinder_a_start() {
    story(async {
        let folder = Folder::new();
        let target = peer(vec![]).await;
        let lines = [endpoint_entry(target.addr, 0, "active")];
        drop(tokio::net::UnixListener::bind(folder.socket()).expect("bound"));
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let folder = Folder(folder.0.join("another"));
        std::fs::create_dir_all(&folder.0).expect("a folder");
        std::fs::write(folder.socket(), "a file").expect("written");
        healthy(&process(&folder.0, &lines, None).await).await;
    });
}

// Units of a limited volume have one owner. Counted at the box, no more came than the limit lets through,
// though both processes were asked for them all the time.
#[test]
fn a_limited_volume_stays_within_its_limit_across_the_overlap() {
    const RATE: f64 = 32.0;
    const SLACK: f64 = 5.0;
    story(async {
        let folder = Folder::new();
        let mut target = peer((0..999).map(|_| ok("x")).collect()).await;
        let lines = [endpoint_entry(target.addr, 0, "active")];
        let begun = Instant::now();
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let http = first.http;
        let asking = |name: usize| async move {
            let mut stream: Option<TcpStream> = None;
            for i in 0.. {
                let mut open = match stream.take() {
                    Some(open) => open,
                    None => TcpStream::connect(http).await.expect("never turned back"),
                };
                let ask = request("view", &format!("l{name}-{i}"), 0, "").replace("full", "basic");
                let answer = send_request_on(&mut open, &ask).await;
                assert!(answer.starts_with("200") || answer.starts_with("503"), "{answer}");
                if !answer.contains("close") {
                    stream = Some(open);
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let clients: Vec<_> = (0..12).map(|name| actix_rt::spawn(asking(name))).collect();
        let mut units = 0.0;
        let mut count = async |most: Duration| {
            let until = tokio::time::Instant::now() + most;
            while let Ok(Some(_)) = tokio::time::timeout_at(until, target.seen.recv()).await {
                units += 2.0;
                let allowed = RATE * begun.elapsed().as_secs_f64() + SLACK;
                assert!(units <= allowed, "{units} units where {allowed} are allowed");
            }
            units
        };
        let before = count(Duration::from_millis(400)).await;
        let second = process(&folder.0, &lines, None).await;
        healthy(&second).await;
        let after = count(Duration::from_millis(400)).await;
        assert!(after > before + 0.5 * RATE * 0.4, "the successor goes on where the predecessor was");
        clients.iter().for_each(|c| c.abort());
    });
}

// Clients that began to write before an object was placed name another shard. The successor sent them where
// they said, and they were turned away there: it knew of nothing that the predecessor had placed.
#[test]
fn a_successor_asks_for_objects_where_either_process_saw_them() {
    story(async {
        let folder = Folder::new();
        let script = |name: &str| (0..999).map(|_| ok(name)).collect();
        let (zero, one) = (peer(script("0")).await, peer(script("1")).await);
        let lines = [endpoint_entry(zero.addr, 0, "active"), endpoint_entry(one.addr, 1, "active")];
        let first = process(&folder.0, &lines, None).await;
        healthy(&first).await;
        let object = |text: String, piece: &str| text.replace("7f3a9c21e0b4d655", piece);
        // The one that has it answers with its shard; a read names the other.
        let other = |answer: &str| {
            1 - answer.trim().chars().last().and_then(|c| c.to_digit(2)).expect("0 or 1") as i32
        };
        let mut open = TcpStream::connect(first.http).await.expect("connected");
        let before = send_request_on(&mut open, &request("deposit", "p1", -1, "x")).await;

        let second = process(&folder.0, &lines, None).await;
        healthy(&second).await;
        let read = request("view", "p2", other(&before), "");
        assert_eq!(send_request(second.http, &read).await, before, "handed over");

        // The predecessor finishes what it holds, and places another.
        let piece = "00000000000000aa";
        let during = send_request_on(&mut open, &object(request("deposit", "p3", -1, "x"), piece)).await;
        assert!(during.starts_with("200 close "), "{during}");
        let placed = during.replace("close ", "");
        // The news is on its way; until it is there a read goes where its client says. The story has a limit.
        for asked in 0.. {
            let read = object(request("view", &format!("p4-{asked}"), other(&placed), ""), piece);
            if send_request(second.http, &read).await == placed {
                break;
            }
        }
    });
}
