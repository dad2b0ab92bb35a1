//! Tests of handovers between two initiators, or between an initiator and a peer that breaks the protocol.

use crate::harness::*;
use rowanglade_handover::{MessageKind, VERSION};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UnixStream};

/// A test's own folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let unique = format!("rowanglade-up-{}-{:?}", std::process::id(), std::thread::current().id());
        let path = std::env::temp_dir().join(unique.replace(['(', ')'], ""));
        std::fs::create_dir_all(&path).expect("the folder is created");
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

/// An initiator that takes over from the one that serves in this folder, if any. `listen` is the address
/// where it listens if there is no predecessor.
pub async fn start_in_folder(
    folder: &Path,
    endpoints: &[String],
    listen: Option<SocketAddr>,
) -> RunningInitiator {
    start_initiator_with(endpoints, None, None, |json| {
        json["admin"] = "127.0.0.1:0".into();
        json["folder"] = folder.display().to_string().into();
        if let Some(listen) = listen {
            json["listen"] = listen.to_string().into();
        }
    })
    .await
}

async fn send_admin_command(initiator: &RunningInitiator, command: &str) -> String {
    let admin = initiator.admin.expect("the admin port is on");
    send_request(admin, &format!("{command} HTTP/1.1\r\nHost: x\r\n\r\n")).await
}

pub async fn wait_until_healthy(initiator: &RunningInitiator) {
    while send_admin_command(initiator, "GET /healthcheck").await != "200 close" {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A peer on the handover's socket, scripted by the test.
struct HandoverPeer(UnixStream);

impl HandoverPeer {
    async fn connect(folder: &Folder) -> HandoverPeer {
        HandoverPeer(UnixStream::connect(folder.socket()).await.expect("an initiator serves"))
    }

    async fn send(&mut self, message: Value) {
        let text = message.to_string();
        self.0.write_u32(text.len() as u32).await.expect("written");
        self.0.write_all(text.as_bytes()).await.expect("written");
    }

    async fn send_hello(&mut self, version: u32) {
        self.send(json!({"word": MessageKind::Hello { version }})).await;
    }

    /// The kind of the next message that has one; `None` if the connection has ended.
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

// Guards against a successor that cannot listen on the predecessor's address. It takes over the listener and
// all owned state; the predecessor serves one more request on each open connection; admin commands apply to
// both.
#[test]
fn a_successor_takes_over_and_no_connection_is_refused() {
    run_test(async {
        let folder = Folder::new();
        let target = scripted_server((0..9).map(|i| ok(&i.to_string())).collect()).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active"), endpoint_entry(target.addr, 1, "active")];
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let mut open = TcpStream::connect(first.http).await.expect("connected");
        assert_eq!(send_request_on(&mut open, &request("view", "u1", 0, "")).await, "200 0");
        assert_eq!(send_admin_command(&first, "PUT /targets/s-1/maint").await, "200 close");

        let second = start_in_folder(&folder.0, &endpoints, Some(first.http)).await;
        wait_until_healthy(&second).await;
        assert_eq!(second.http, first.http, "both have the same listener");
        assert_eq!(send_admin_command(&first, "GET /healthcheck").await, "503 close");
        assert_eq!(send_request_on(&mut open, &request("view", "u2", 0, "")).await, "200 close 1");
        assert_eq!(send_request(second.http, &request("view", "u3", 0, "")).await, "200 2");
        assert_eq!(
            send_request(second.http, &request("view", "u4", 1, "")).await,
            "503 retry-after",
            "the target stays in maintenance across the handover"
        );
        first.shutdown.send(()).expect("the initiator runs");
        first.task.await.expect("joined").expect("no error");
        assert_eq!(send_request(second.http, &request("view", "u5", 0, "")).await, "200 3");
        assert_eq!(send_admin_command(&second, "PUT /targets/s-1/ready").await, "200 close");
        assert_eq!(send_request(second.http, &request("view", "u6", 1, "")).await, "200 4");

        // A second handover, right after the first.
        let third = start_in_folder(&folder.0, &endpoints, Some(second.http)).await;
        wait_until_healthy(&third).await;
        assert_eq!(send_request(third.http, &request("view", "u7", 0, "")).await, "200 5");
    });
}

// An admin command to either process during the overlap has to be applied by both.
#[test]
fn admin_commands_to_either_process_apply_to_both() {
    run_test(async {
        let folder = Folder::new();
        let target = scripted_server(vec![ok("served")]).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active"), endpoint_entry(target.addr, 1, "active")];
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let open = async || {
            let mut stream = TcpStream::connect(first.http).await.expect("connected");
            assert_eq!(send_request_on(&mut stream, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await, "200");
            stream
        };
        let (mut first_client, mut second_client) = (open().await, open().await);
        let second = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&second).await;
        assert_eq!(send_admin_command(&second, "PUT /targets/s-0/maint").await, "200 close");
        assert_eq!(send_admin_command(&first, "PUT /targets/s-1/maint").await, "200 close");
        for (stream, id, shard) in [(&mut first_client, "b1", 0), (&mut second_client, "b2", 1)] {
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

// Guards against a successor that fails or sends anything else than the protocol: whatever it does before it
// has taken over, the predecessor keeps serving with all of its state.
#[test]
fn a_successor_that_fails_leaves_the_predecessor_serving() {
    run_test(async {
        let folder = Folder::new();
        let target = scripted_server((0..9).map(|i| ok(&i.to_string())).collect()).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active")];
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let served = async |id: &str, body: &str| {
            assert_eq!(send_request(first.http, &request("view", id, 0, "")).await, format!("200 {body}"));
        };

        let mut successor = HandoverPeer::connect(&folder).await;
        successor.send_hello(VERSION + 1).await;
        assert_eq!(
            successor.receive().await,
            Some(json!({"refuse": {"version": VERSION}})),
            "a successor of another version is refused"
        );
        assert_eq!(successor.receive().await, None);
        served("x1", "0").await;

        let mut malformed = HandoverPeer::connect(&folder).await;
        malformed.0.write_all(b"\xff\xff\xff\xffnoise").await.expect("written");
        assert_eq!(malformed.receive().await, None, "noise ends the connection");
        served("x2", "1").await;

        let mut successor = HandoverPeer::connect(&folder).await;
        successor.send_hello(VERSION).await;
        assert_eq!(successor.receive().await, Some(json!("welcome")));
        let mut second = HandoverPeer::connect(&folder).await;
        second.send_hello(VERSION).await;
        assert_eq!(second.receive().await, Some(json!("busy")), "one successor at a time");
        served("x3", "2").await;
        successor.send(json!({"word": "ready"})).await;
        assert_eq!(successor.receive().await, Some(json!("given")));
        assert_eq!(
            send_admin_command(&first, "GET /healthcheck").await,
            "503 close",
            "the state was handed over"
        );
        // The successor dies after it has received all of the state.
        drop(successor);
        wait_until_healthy(&first).await;
        served("x4", "3").await;
    });
}

// The predecessor dies during the handover. The successor has its listener and serves alone, without its
// state.
#[test]
fn a_predecessor_that_dies_during_the_handover_leaves_its_listener_to_the_successor() {
    run_test(async {
        let folder = Folder::new();
        let target = scripted_server(vec![ok("served")]).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active")];
        // A serving initiator holds this lock.
        let lock = std::fs::File::create(folder.0.join("rowanglade-n1.lock")).expect("the file is created");
        lock.lock().expect("the lock is free");
        let handover_listener = tokio::net::UnixListener::bind(folder.socket()).expect("bound");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("bound");
        let failing_predecessor = async {
            let (stream, _) = handover_listener.accept().await.expect("the successor connects");
            let mut link = HandoverPeer(stream);
            assert_eq!(link.receive().await, Some(json!({"hello": {"version": VERSION}})));
            let known: Value = serde_json::from_str(&endpoints[0]).expect("JSON");
            let list = json!({"version": 0, "full": true, "servers": [known]});
            let welcome =
                json!({"now": 1_700_000_000_000_000u64, "list": list, "share": {}, "listeners": ["http"]});
            let message =
                serde_json::from_value(json!({"word": "welcome", "welcome": welcome})).expect("one");
            let fd = std::os::fd::OwnedFd::from(listener);
            rowanglade::handover::send(&link.0, &message, &[fd]).await.expect("sent");
            link
        };
        let (link, second) =
            tokio::join!(failing_predecessor, start_in_folder(&folder.0, &endpoints, Some(addr)));
        // A client connects before any process accepts connections.
        let mut early = TcpStream::connect(addr).await.expect("in the backlog");
        assert_eq!(send_admin_command(&second, "GET /healthcheck").await, "503 close");
        drop(link);
        drop(handover_listener);
        lock.unlock().expect("the lock is held");
        wait_until_healthy(&second).await;
        assert_eq!(send_request_on(&mut early, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await, "200");
    });
}

// Guards against a failed start because of what a dead process left behind: a stale socket, or a file in its
// place.
#[test]
fn a_stale_socket_or_a_file_in_its_place_does_not_prevent_a_start() {
    run_test(async {
        let folder = Folder::new();
        let target = scripted_server(vec![]).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active")];
        drop(tokio::net::UnixListener::bind(folder.socket()).expect("bound"));
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let folder = Folder(folder.0.join("another"));
        std::fs::create_dir_all(&folder.0).expect("the folder is created");
        std::fs::write(folder.socket(), "a file").expect("written");
        wait_until_healthy(&start_in_folder(&folder.0, &endpoints, None).await).await;
    });
}

// Guards against counting a limited volume's units twice: they have one owner at a time. The target receives
// no more than the limit admits, although both processes get requests for them throughout.
#[test]
fn a_limited_volume_stays_within_its_limit_during_the_overlap() {
    const RATE: f64 = 32.0;
    const DEBT_LIMIT: f64 = 5.0;
    run_test(async {
        let folder = Folder::new();
        let mut target = scripted_server((0..999).map(|_| ok("x")).collect()).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active")];
        let started = Instant::now();
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let http = first.http;
        let send_requests = |name: usize| async move {
            let mut stream: Option<TcpStream> = None;
            for i in 0.. {
                let mut open = match stream.take() {
                    Some(open) => open,
                    None => TcpStream::connect(http).await.expect("connections are never refused"),
                };
                let text = request("view", &format!("l{name}-{i}"), 0, "").replace("full", "basic");
                let answer = send_request_on(&mut open, &text).await;
                assert!(answer.starts_with("200") || answer.starts_with("503"), "{answer}");
                if !answer.contains("close") {
                    stream = Some(open);
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let clients: Vec<_> = (0..12).map(|name| actix_rt::spawn(send_requests(name))).collect();
        let mut units = 0.0;
        let mut count_units = async |duration: Duration| {
            let until = tokio::time::Instant::now() + duration;
            while let Ok(Some(_)) = tokio::time::timeout_at(until, target.received.recv()).await {
                units += 2.0;
                let allowed = RATE * started.elapsed().as_secs_f64() + DEBT_LIMIT;
                assert!(units <= allowed, "{units} units received, {allowed} allowed");
            }
            units
        };
        let before = count_units(Duration::from_millis(400)).await;
        let second = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&second).await;
        let after = count_units(Duration::from_millis(400)).await;
        assert!(after > before + 0.5 * RATE * 0.4, "the successor served too little of the limit");
        clients.iter().for_each(|c| c.abort());
    });
}

// Guards against a successor that does not know where its predecessor placed new objects: clients that began
// to write before an object was placed name another shard, and their requests were rejected there.
#[test]
fn a_successor_requests_objects_where_either_process_placed_them() {
    run_test(async {
        let folder = Folder::new();
        let script = |name: &str| (0..999).map(|_| ok(name)).collect();
        let (zero, one) = (scripted_server(script("0")).await, scripted_server(script("1")).await);
        let endpoints = [endpoint_entry(zero.addr, 0, "active"), endpoint_entry(one.addr, 1, "active")];
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let with_object = |text: String, object_id: &str| text.replace("7f3a9c21e0b4d655", object_id);
        // The target that stores the object answers with its shard's number; a read names the other shard.
        let other_shard = |answer: &str| {
            1 - answer.trim().chars().last().and_then(|c| c.to_digit(2)).expect("0 or 1") as i32
        };
        let mut open = TcpStream::connect(first.http).await.expect("connected");
        let before = send_request_on(&mut open, &request("deposit", "p1", -1, "x")).await;

        let second = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&second).await;
        let read = request("view", "p2", other_shard(&before), "");
        assert_eq!(
            send_request(second.http, &read).await,
            before,
            "the successor received the object's location"
        );

        // The predecessor serves its open connection once more, and places another object.
        let object_id = "00000000000000aa";
        let during =
            send_request_on(&mut open, &with_object(request("deposit", "p3", -1, "x"), object_id)).await;
        assert!(during.starts_with("200 close "), "{during}");
        let placed = during.replace("close ", "");
        // The object's new location is on its way to the successor; until it arrives, a read goes to the
        // shard that it names. The test's time limit bounds this loop.
        for attempt in 0.. {
            let read =
                with_object(request("view", &format!("p4-{attempt}"), other_shard(&placed), ""), object_id);
            if send_request(second.http, &read).await == placed {
                break;
            }
        }
    });
}
