//! Tests of the iSCSI-style protocol: clients written here come in, and a stub target misbehaves on
//! command.

use crate::harness::{
    Running, endpoint_entry, ok, peer, read_message, request, send_request, start, start_with, story,
};
use crate::late_connections::{Full, next_seen, patient, patient_request, seen_after, sent};
use bytes::Bytes;
use insta::assert_snapshot;
use rowanglade_iscsi::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

const LUN: u64 = 0x3b4d60021;

/// What the stub does with its next command, once it has it whole.
#[derive(Clone, Debug)]
enum Step {
    Good(&'static str),
    /// Asks for the rest of a write first, then answers.
    Gather,
    Status(u8),
    /// Resets the connection before it has asked for the rest of a write.
    Reset,
    Silence,
    /// Answers, and asks for a logout.
    Drain(&'static str),
    Garbage,
    /// Ends inside a PDU.
    Truncated,
}

struct Target {
    addr: SocketAddr,
    seen: mpsc::UnboundedReceiver<String>,
}

impl Target {
    async fn saw(&mut self, count: usize) -> String {
        let mut lines = Vec::new();
        for _ in 0..count {
            lines.push(self.seen.recv().await.expect("the target lives"));
        }
        lines.join("\n")
    }
}

async fn target(script: Vec<Step>) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let (tell, seen) = mpsc::unbounded_channel();
    let script = Rc::new(RefCell::new(script.into_iter()));
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(follow(stream, Rc::clone(&script), tell.clone()));
        }
    });
    Target { addr, seen }
}

fn status(itt: u32, status: u8, exp_cmd_sn: u32) -> Pdu {
    let seq = Sequence { stat_sn: 1, exp_cmd_sn, max_cmd_sn: exp_cmd_sn + 8 };
    let (residual, data) = (Residual::None, Bytes::new());
    Pdu::ScsiResponse { response: 0, status, qualifier: 0, itt, seq, residual, data }
}

async fn follow(
    stream: TcpStream,
    script: Rc<RefCell<std::vec::IntoIter<Step>>>,
    tell: mpsc::UnboundedSender<String>,
) {
    let (from, mut out) = stream.into_split();
    let mut reader = PduReader::new(from);
    let tell = |text: String| drop(tell.send(text));
    loop {
        let (step, itt, length, cmd_sn, got) = match reader.next().await {
            Ok(Pdu::LoginRequest(login)) => {
                tell("login".into());
                let seq = Sequence { stat_sn: 0, exp_cmd_sn: login.cmd_sn, max_cmd_sn: login.cmd_sn + 8 };
                let data = Bytes::from_static(b"MaxRecvDataSegmentLength=512\0ImmediateData=Yes\0");
                let login = Login { data, ..login };
                out.write_all(&Pdu::LoginResponse { login, seq, status: 0 }.encode()).await.expect("written");
                continue;
            }
            Ok(Pdu::ScsiCommand { itt, lun, length, write, cdb, data, cmd_sn, .. }) => {
                let what = if write { "write" } else { "read" };
                tell(format!("{what} lun {lun:x} address {:x?} group {} {length} B", &cdb[2..10], cdb[14]));
                (script.borrow_mut().next().unwrap_or(Step::Silence), itt, length, cmd_sn, data.len() as u32)
            }
            Ok(Pdu::TaskRequest { function, .. }) => {
                tell(format!("task management {function}"));
                continue;
            }
            Ok(Pdu::LogoutRequest { .. }) => {
                tell("logout".into());
                return;
            }
            Ok(_) => continue,
            Err(_) => return,
        };
        let mut answers: Vec<Bytes> = Vec::new();
        match step {
            Step::Good("") => answers.push(status(itt, 0, cmd_sn + 1).encode()),
            Step::Good(body) | Step::Drain(body) => {
                // Two Data-In PDUs, the second with the status.
                let (half, seq) =
                    (body.len() / 2, Sequence { stat_sn: 1, exp_cmd_sn: cmd_sn + 1, max_cmd_sn: cmd_sn + 9 });
                for (i, part) in [&body[..half], &body[half..]].into_iter().enumerate() {
                    let residual = Residual::Under(length - body.len() as u32);
                    let status = (i == 1).then_some((0, residual));
                    let (offset, data) = ((i * half) as u32, Bytes::from_static(part.as_bytes()));
                    answers.push(
                        Pdu::DataIn { last: i == 1, status, itt, seq, data_sn: i as u32, offset, data }
                            .encode(),
                    );
                }
                if matches!(step, Step::Drain(_)) {
                    answers.push(Pdu::Async { event: 1, seq, parameters: [0, 0, 1] }.encode());
                }
            }
            Step::Gather => {
                let seq = Sequence { stat_sn: 1, exp_cmd_sn: cmd_sn + 1, max_cmd_sn: cmd_sn + 9 };
                let r2t = Pdu::R2t { lun: 0, itt, ttt: 7, seq, r2t_sn: 0, offset: got, length: length - got };
                out.write_all(&r2t.encode()).await.expect("written");
                let mut whole = got;
                while whole < length {
                    let Ok(Pdu::DataOut { data, offset, .. }) = reader.next().await else { return };
                    assert_eq!(offset, whole);
                    whole += data.len() as u32;
                }
                tell(format!("{got} B with the command, {whole} B in all"));
                answers.push(status(itt, 0, cmd_sn + 1).encode());
            }
            Step::Status(code) => answers.push(status(itt, code, cmd_sn + 1).encode()),
            Step::Reset => {
                let stream = reader.into_inner().reunite(out).expect("one stream");
                return stream.set_zero_linger().expect("set");
            }
            Step::Silence => {}
            Step::Garbage => answers.push(Bytes::from_static(&[0x2a; 96])),
            Step::Truncated => {
                answers.push(status(itt, 0, cmd_sn + 1).encode().slice(..20));
                out.write_all(&answers.concat()).await.expect("written");
                return;
            }
        }
        out.write_all(&answers.concat()).await.expect("written");
    }
}

async fn node(target: &Target) -> Running {
    let operator = format!(
        r#"[iscsi]
listen = "127.0.0.1:0"
name = "iqn.test:front"
silence_ms = 60
[[iscsi.volume]]
lun = "{LUN:x}"
plan = "full"
shard = 0
hosts = 1
[[iscsi.target]]
name = "iqn.test:box"
addr = "{}"
shard = 0
"#,
        target.addr
    );
    start(&[], None, Some(&operator)).await
}

/// A client's session.
struct Client {
    reader: PduReader<OwnedReadHalf>,
    out: OwnedWriteHalf,
    cmd_sn: u32,
}

impl Client {
    async fn log_in(node: &Running) -> Client {
        let stream = TcpStream::connect(node.iscsi.expect("the front is on")).await.expect("connected");
        let (from, mut out) = stream.into_split();
        let mut reader = PduReader::new(from);
        let data = Bytes::from_static(b"InitiatorName=iqn.test:client\0TargetName=iqn.test:front\0");
        let login = Login { transit: true, current: 1, next: 3, cmd_sn: 1, data, ..Login::default() };
        out.write_all(&Pdu::LoginRequest(login).encode()).await.expect("written");
        let answer = reader.next().await;
        assert!(matches!(answer, Ok(Pdu::LoginResponse { status: 0, .. })), "{answer:?}");
        Client { reader, out, cmd_sn: 1 }
    }

    async fn send(&mut self, pdu: Pdu) {
        self.out.write_all(&pdu.encode()).await.expect("written");
    }

    /// READ(16) or WRITE(16) of these blocks; a write's data waits for its R2T.
    async fn command(&mut self, itt: u32, write: bool, blocks: u8) {
        self.command_to(LUN, itt, write, blocks).await;
    }

    async fn command_to(&mut self, lun: u64, itt: u32, write: bool, blocks: u8) {
        let mut cdb = [0; 16];
        (cdb[0], cdb[9], cdb[13], cdb[14]) = (if write { 0x8a } else { 0x88 }, 5, blocks, u8::from(write));
        let cmd_sn = self.cmd_sn;
        self.cmd_sn += 1;
        let (length, data) = (u32::from(blocks) * 512, Bytes::new());
        let (immediate, last, read) = (false, true, !write);
        self.send(Pdu::ScsiCommand {
            immediate,
            last,
            read,
            write,
            lun,
            itt,
            length,
            cmd_sn,
            exp_stat_sn: 0,
            cdb,
            data,
        })
        .await;
    }

    /// What comes, in words; Data-Out is given to an R2T.
    async fn hear(&mut self) -> String {
        loop {
            return match self.reader.next().await {
                Ok(Pdu::R2t { lun, itt, ttt, offset, length, .. }) => {
                    let data = Bytes::from(vec![7; length as usize]);
                    self.send(Pdu::DataOut {
                        last: true,
                        lun,
                        itt,
                        ttt,
                        exp_stat_sn: 0,
                        data_sn: 0,
                        offset,
                        data,
                    })
                    .await;
                    continue;
                }
                Ok(Pdu::DataIn { data, .. }) => format!("data {}", String::from_utf8_lossy(&data)),
                Ok(Pdu::ScsiResponse { status: 0, itt, residual, .. }) => format!("{itt} GOOD {residual:?}"),
                Ok(Pdu::ScsiResponse { status: 8, itt, qualifier, .. }) => {
                    // How long depends on what was learned; that there is advice does not.
                    assert!((1..=5).contains(&qualifier), "{qualifier}");
                    format!("{itt} BUSY")
                }
                Ok(Pdu::ScsiResponse { status: 2, itt, data, .. }) => {
                    format!("{itt} CHECK CONDITION {:x}/{:x}/{:x}", data[4], data[14], data[15])
                }
                Ok(Pdu::TaskResponse { response, itt, .. }) => format!("{itt} task response {response}"),
                Ok(Pdu::NopIn { itt, .. }) => format!("{itt} nop"),
                Ok(Pdu::Reject { reason, .. }) => format!("reject {reason}"),
                Ok(Pdu::Async { event, .. }) => format!("async {event}"),
                Ok(Pdu::LogoutResponse { response, .. }) => format!("logged out {response}"),
                Ok(other) => format!("{other:?}"),
                Err(_) => "end".to_string(),
            };
        }
    }
}

#[test]
fn a_read_passes_from_session_to_session_and_an_http_client_shares_the_core() {
    story(async {
        let mut box0 = target(vec![Step::Good("four"), Step::Good("more")]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, false, 1).await;
        let mut told = vec![client.hear().await, client.hear().await];
        told.push(send_request(node.http, &request("view", "i1", 0, "")).await);
        told.push(box0.saw(3).await);
        assert_snapshot!(told.join("\n"), @r"
        data four
        1 GOOD Under(508)
        200 more
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        read lun 3b4d60021 address [7f, 3a, 9c, 21, e0, b4, d6, 55] group 0 8192 B
        ");
    });
}

#[test]
fn a_write_is_gathered_on_both_sides() {
    story(async {
        let mut box0 = target(vec![Step::Gather]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, true, 4).await;
        assert_snapshot!(format!("{}\n{}", client.hear().await, box0.saw(3).await), @r"
        1 GOOD None
        login
        write lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 1 2048 B
        512 B with the command, 2048 B in all
        ");
    });
}

// A connection that resets mid-write: the data was not written whole, so the deposit never ran and goes
// again.
#[test]
fn a_reset_in_the_middle_of_a_deposit_gets_one_response() {
    story(async {
        let mut box0 = target(vec![Step::Reset, Step::Garbage, Step::Gather]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, true, 4).await;
        assert_snapshot!(format!("{}\n{}", client.hear().await, box0.saw(7).await), @r"
        1 GOOD None
        login
        write lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 1 2048 B
        login
        write lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 1 2048 B
        login
        write lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 1 2048 B
        512 B with the command, 2048 B in all
        ");
    });
}

// A target that takes a login and commands and then says nothing must not hold its clients to their
// deadlines.
#[test]
fn a_target_that_logs_in_and_falls_silent_fails_its_request() {
    story(async {
        let mut box0 = target(vec![Step::Silence, Step::Silence, Step::Silence]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, false, 1).await;
        assert_snapshot!(format!("{}\n{}", client.hear().await, box0.saw(6).await), @r"
        1 BUSY
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        ");
    });
}

// Nothing new goes to a target that asks for a logout, until it takes a login again. A client is told when to
// come back meanwhile, not held.
#[test]
fn a_draining_target_gets_nothing_and_one_that_is_active_again_is_used() {
    story(async {
        let mut box0 = target(vec![Step::Drain("last"), Step::Good("back")]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, false, 1).await;
        let mut told = vec![client.hear().await, client.hear().await, box0.saw(3).await];
        for itt in 2.. {
            client.command(itt, false, 1).await;
            let answer = client.hear().await;
            if !answer.ends_with("BUSY") {
                told.extend([answer, box0.saw(2).await]);
                break;
            }
        }
        assert_snapshot!(told.join("\n"), @r"
        data last
        1 GOOD Under(508)
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        logout
        data back
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        ");
    });
}

#[test]
fn rejections_and_errors_have_their_statuses() {
    story(async {
        let full = vec![Step::Status(0x28); 3];
        let errors = vec![Step::Status(0x02), Step::Truncated, Step::Status(0x02)];
        let mut told = Vec::new();
        for (script, write) in [(full, false), (errors, true)] {
            let box0 = target(script).await;
            let node = node(&box0).await;
            let mut client = Client::log_in(&node).await;
            client.command(1, write, 1).await;
            told.push(client.hear().await);
        }
        assert_snapshot!(told.join("\n"), @r"
        1 BUSY
        1 CHECK CONDITION b/8/1
        ");
    });
}

#[test]
fn aborted_tasks_and_disconnected_clients_leave_nothing_in_flight() {
    story(async {
        let mut box0 = target(vec![Step::Silence, Step::Silence]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        client.command(1, false, 1).await;
        let mut told = vec![box0.saw(2).await];
        for (itt, referenced) in [(2, 1), (3, 9)] {
            let (cmd_sn, function, lun) = (client.cmd_sn, 1, LUN);
            client
                .send(Pdu::TaskRequest {
                    immediate: true,
                    function,
                    lun,
                    itt,
                    referenced,
                    cmd_sn,
                    exp_stat_sn: 0,
                })
                .await;
            told.push(client.hear().await);
        }
        told.push(box0.saw(1).await);
        client.command(4, false, 1).await;
        told.push(box0.saw(1).await);
        drop(client);
        told.push(box0.saw(1).await);
        assert_snapshot!(told.join("\n"), @r"
        login
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        2 task response 0
        3 task response 1
        task management 1
        read lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 0 512 B
        task management 1
        ");
    });
}

// No peer's bytes end the process, and what can be answered is.
#[test]
fn malformed_pdus_are_rejected_and_the_front_goes_on() {
    story(async {
        let box0 = target(vec![Step::Good("fine")]).await;
        let node = node(&box0).await;
        let mut told = Vec::new();
        let mut client = Client::log_in(&node).await;
        let mut text = [0; 48];
        text[0] = 0x04;
        client.out.write_all(&text).await.expect("written");
        told.push(client.hear().await);
        client.command(1, false, 0).await;
        told.push(client.hear().await);
        let (itt, ttt, cmd_sn) = (5, RESERVED_TAG, client.cmd_sn);
        client
            .send(Pdu::NopOut {
                immediate: true,
                lun: 0,
                itt,
                ttt,
                cmd_sn,
                exp_stat_sn: 0,
                data: Bytes::new(),
            })
            .await;
        told.push(client.hear().await);
        let mut long = [0xff; 48];
        long[4] = 0;
        client.out.write_all(&long).await.expect("written");
        told.extend([client.hear().await, client.hear().await]);

        let mut client = Client::log_in(&node).await;
        client.out.write_all(&text[..20]).await.expect("written");
        client.out.shutdown().await.expect("shut");
        told.push(client.hear().await);
        let mut stranger = TcpStream::connect(node.iscsi.expect("on")).await.expect("connected");
        stranger.write_all(&[0x41; 48]).await.expect("written");
        let mut reader = PduReader::new(stranger);
        told.push(match reader.next().await {
            Ok(Pdu::LoginResponse { status, .. }) => format!("login refused {status:x}"),
            other => format!("{other:?}"),
        });

        let mut client = Client::log_in(&node).await;
        client.command(1, false, 1).await;
        told.push(client.hear().await);
        assert_snapshot!(told.join("\n"), @r"
        reject 5
        1 CHECK CONDITION 5/24/0
        5 nop
        reject 9
        end
        end
        login refused 20b
        data fine
        ");
    });
}

#[test]
fn on_shutdown_sessions_are_asked_to_log_out() {
    story(async {
        let box0 = target(vec![]).await;
        let node = node(&box0).await;
        let mut client = Client::log_in(&node).await;
        node.end.send(()).expect("it runs");
        let asked = client.hear().await;
        let cmd_sn = client.cmd_sn;
        client
            .send(Pdu::LogoutRequest { immediate: true, reason: 0, itt: 1, cid: 0, cmd_sn, exp_stat_sn: 0 })
            .await;
        assert_snapshot!(format!("{asked}\n{}\n{}", client.hear().await, client.hear().await), @r"
        async 1
        logged out 0
        end
        ");
        node.run.await.expect("no panic").expect("no error");
    });
}

// A close over unread bytes reset the connection, which takes along the last word where its client has not
// got it yet.
#[test]
fn the_last_pdu_of_a_session_arrives_though_its_client_goes_on_sending() {
    story(async {
        let box0 = target(vec![]).await;
        let node = node(&box0).await;
        let mut told = Vec::new();
        for refused in [false, true] {
            let mut client = match refused {
                false => Client::log_in(&node).await,
                true => {
                    let stream = TcpStream::connect(node.iscsi.expect("on")).await.expect("connected");
                    let (from, out) = stream.into_split();
                    Client { reader: PduReader::new(from), out, cmd_sn: 1 }
                }
            };
            let cmd_sn = client.cmd_sn;
            let last = match refused {
                false => {
                    Pdu::LogoutRequest { immediate: true, reason: 0, itt: 1, cid: 0, cmd_sn, exp_stat_sn: 0 }
                }
                true => Pdu::LoginRequest(Login::default()),
            };
            // Far more than one read takes, behind what is answered with the connection's end.
            client.out.write_all(&[&last.encode()[..], &[0; 256 * 1024]].concat()).await.expect("written");
            told.push(match client.reader.next().await {
                Ok(Pdu::LoginResponse { status, .. }) => format!("login refused {status:x}"),
                Ok(Pdu::LogoutResponse { .. }) => "logged out".to_string(),
                other => format!("{other:?}"),
            });
            told.push(match client.reader.next().await {
                Err(ReadError::End) => "end".to_string(),
                other => format!("{other:?}"),
            });
            let more = client.out.write_all(&[0; 512]).await;
            told.push(more.map_or_else(|e| format!("reset: {:?}", e.kind()), |()| "no reset".to_string()));
        }
        assert_snapshot!(told.join("\n"), @r"
        logged out
        end
        no reset
        login refused 200
        end
        no reset
        ");
    });
}

/// A target that takes a login and answers it once it is told to, and tells of the commands that come then.
async fn late_login() -> (Target, Rc<Notify>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let (tell, seen) = mpsc::unbounded_channel();
    let go = Rc::new(Notify::new());
    let told = Rc::clone(&go);
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepted");
        let (from, mut out) = stream.into_split();
        let mut reader = PduReader::new(from);
        let Ok(Pdu::LoginRequest(login)) = reader.next().await else { return };
        let _ = tell.send("login".to_string());
        told.notified().await;
        let seq = Sequence { stat_sn: 0, exp_cmd_sn: login.cmd_sn, max_cmd_sn: login.cmd_sn + 8 };
        let login = Login { data: Bytes::new(), ..login };
        // The other side may have gone.
        let _ = out.write_all(&Pdu::LoginResponse { login, seq, status: 0 }.encode()).await;
        while let Ok(pdu) = reader.next().await {
            let _ = tell.send(format!("{pdu:?}").split(' ').next().unwrap_or_default().to_string());
        }
    });
    (Target { addr, seen }, go)
}

/// The operator's file for one such target, which may take its time with a login.
fn patient_with(target: &Target) -> String {
    format!(
        "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\nlogin_timeout_ms = 5000\n\
         [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n\
         [[iscsi.target]]\nname = \"iqn.test:box\"\naddr = \"{}\"\nshard = 0\n",
        target.addr
    )
}

// Both fronts' clients wait for a session that comes up late.
#[test]
fn an_attempt_that_waits_for_a_login_is_not_sent_for_a_disconnected_client() {
    for over_http in [true, false] {
        story(async move {
            let (mut target, go) = late_login().await;
            let node = start_with(&[], None, Some(&patient_with(&target)), patient).await;
            if over_http {
                let mut client = TcpStream::connect(node.http).await.expect("connected");
                sent(&mut client, &patient_request("view", "g1")).await;
                assert_eq!(target.saw(1).await, "login");
                drop(client);
            } else {
                let mut client = Client::log_in(&node).await;
                client.command(1, false, 1).await;
                assert_eq!(target.saw(1).await, "login");
                drop(client);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            go.notify_one();
            let heard = tokio::time::timeout(Duration::from_millis(300), target.seen.recv()).await;
            assert!(heard.is_err(), "{over_http}: {heard:?}");
        });
    }
}

// What waited for a session was told of nothing until the login had come or failed: a request called off
// stayed with a target that operators had left out.
#[test]
fn an_attempt_that_waits_for_a_login_is_cancelled_when_its_target_is_ejected() {
    story(async {
        let (mut target, go) = late_login().await;
        let mut other = peer(vec![ok("other")]).await;
        let change = |json: &mut serde_json::Value| {
            patient(json);
            json["admin"] = "127.0.0.1:0".into();
        };
        let lines = [endpoint_entry(other.addr, 0, "active")];
        let node = start_with(&lines, None, Some(&patient_with(&target)), change).await;
        let admin = node.admin.expect("operators can call");
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        sent(&mut client, &patient_request("view", "g2")).await;
        assert_eq!(target.saw(1).await, "login");
        let called = Instant::now();
        let call = "PUT /targets/iqn.test:box/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(send_request(admin, call).await, "200 close");
        assert!(next_seen(&mut other).await.contains("g2"));
        assert_eq!(read_message(&mut client).await.expect("answered").1, b"other");
        assert!(called.elapsed() < Duration::from_millis(500), "{:?}", called.elapsed());
        go.notify_one();
        let heard = tokio::time::timeout(Duration::from_millis(300), target.seen.recv()).await;
        assert!(!matches!(&heard, Ok(Some(word)) if word.contains("Command")), "{heard:?}");
        assert!(seen_after(&mut other, Duration::from_millis(20)).await.is_empty(), "once");
    });
}

/// How a session's client takes back what it has asked for.
#[derive(Clone, Copy, Debug)]
enum TakesBack {
    Abort,
    Logout,
    Fin,
    Reset,
}

impl TakesBack {
    async fn take_back(self, client: &mut Client, referenced: u32) {
        let cmd_sn = client.cmd_sn;
        let (immediate, itt, exp_stat_sn) = (true, 999, 0);
        match self {
            TakesBack::Abort => {
                let (function, lun) = (1, LUN);
                let abort =
                    Pdu::TaskRequest { immediate, function, lun, itt, referenced, cmd_sn, exp_stat_sn };
                client.send(abort).await;
            }
            TakesBack::Logout => {
                client
                    .send(Pdu::LogoutRequest { immediate, reason: 0, itt, cid: 0, cmd_sn, exp_stat_sn })
                    .await;
            }
            TakesBack::Fin => client.out.shutdown().await.expect("its side is closed"),
            TakesBack::Reset => socket2::SockRef::from(client.out.as_ref())
                .set_linger(Some(Duration::ZERO))
                .and_then(|()| socket2::SockRef::from(client.out.as_ref()).shutdown(std::net::Shutdown::Both))
                .expect("reset"),
        }
    }
}

// A client that was slow to read what was answered was not heard either, for up to 5 s: neither its aborts
// nor its end.
#[test]
fn a_task_abort_is_handled_though_the_client_reads_nothing() {
    const WAITS: u32 = 1;
    const BLOCKS: u8 = 127;
    for takes_back in [TakesBack::Abort, TakesBack::Logout, TakesBack::Fin, TakesBack::Reset] {
        story(async move {
            let mut box0 = peer(vec![ok(&"z".repeat(usize::from(BLOCKS) * 512)); 256]).await;
            // A connection to the other target does not come up while this lasts.
            let full = Full::new();
            let operator = format!(
                "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\nblocks_per_unit = 128\n\
                 [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n\
                 [[iscsi.volume]]\nlun = \"{:x}\"\nplan = \"full\"\nshard = 1\nhosts = 1\n",
                LUN + 1
            );
            let lines = [endpoint_entry(box0.addr, 0, "active"), endpoint_entry(full.addr, 1, "active")];
            let node = start_with(&lines, None, Some(&operator), patient).await;
            let mut client = Client::log_in(&node).await;
            client.command_to(LUN + 1, WAITS, false, BLOCKS).await;
            // It goes on until what it does not read has filled all that there is between the two.
            let stuck = Duration::from_millis(200);
            let mut answered = 0;
            for itt in WAITS + 1.. {
                client.command(itt, false, BLOCKS).await;
                if tokio::time::timeout(stuck, box0.seen.recv()).await.is_err() {
                    break;
                }
                answered += 1;
            }
            assert!(answered > 16, "only {answered} answers wait to be read");
            assert_eq!((node.open)(), 1, "it waits for its connection");
            takes_back.take_back(&mut client, WAITS).await;
            for _ in 0..10 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!((node.open)(), 0, "{takes_back:?}");
        });
    }
}
