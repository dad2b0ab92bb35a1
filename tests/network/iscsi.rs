//! Tests of the iSCSI-style protocol: a test client logs in to the front, and a scripted target misbehaves.

use crate::harness::{
    RunningInitiator, endpoint_entry, ok, read_message, request, run_test, scripted_server, send_request,
    start_initiator, start_initiator_with,
};
use crate::iscsi_client::{Client, LUN};
use crate::late_connections::{
    FullBacklog, allow_late_connections, next_received, received_until_quiet, request_with_long_deadline,
    write_text,
};
use bytes::Bytes;
use insta::assert_snapshot;
use rowanglade_iscsi::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

/// What the scripted target does with its next command, once it has received it completely.
#[derive(Clone, Debug)]
enum Step {
    Good(&'static str),
    /// Requests the rest of a write with an R2T, then answers.
    ReadyToTransfer,
    Status(u8),
    /// Resets the connection before it requests the rest of a write.
    Reset,
    Silence,
    /// Answers, then requests a logout.
    Drain(&'static str),
    Garbage,
    /// Sends the first 20 bytes of a response and closes the connection.
    Truncated,
}

struct Target {
    addr: SocketAddr,
    received: mpsc::UnboundedReceiver<String>,
}

impl Target {
    async fn receive_lines(&mut self, count: usize) -> String {
        let mut lines = Vec::new();
        for _ in 0..count {
            lines.push(self.received.recv().await.expect("the server runs"));
        }
        lines.join("\n")
    }
}

async fn scripted_target(script: Vec<Step>) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let (sender, received) = mpsc::unbounded_channel();
    let script = Rc::new(RefCell::new(script.into_iter()));
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(run_script(stream, Rc::clone(&script), sender.clone()));
        }
    });
    Target { addr, received }
}

fn status(itt: u32, status: u8, exp_cmd_sn: u32) -> Pdu {
    let seq = Sequence { stat_sn: 1, exp_cmd_sn, max_cmd_sn: exp_cmd_sn + 8 };
    let (residual, data) = (Residual::None, Bytes::new());
    Pdu::ScsiResponse { response: 0, status, qualifier: 0, itt, seq, residual, data }
}

async fn run_script(
    stream: TcpStream,
    script: Rc<RefCell<std::vec::IntoIter<Step>>>,
    sender: mpsc::UnboundedSender<String>,
) {
    let (from, mut out) = stream.into_split();
    let mut reader = PduReader::new(from);
    let report = |text: String| drop(sender.send(text));
    loop {
        let (step, itt, length, cmd_sn, immediate) = match reader.next().await {
            Ok(Pdu::LoginRequest(login)) => {
                report("login".into());
                let seq = Sequence { stat_sn: 0, exp_cmd_sn: login.cmd_sn, max_cmd_sn: login.cmd_sn + 8 };
                let data = Bytes::from_static(b"MaxRecvDataSegmentLength=512\0ImmediateData=Yes\0");
                let login = Login { data, ..login };
                out.write_all(&Pdu::LoginResponse { login, seq, status: 0 }.encode()).await.expect("written");
                continue;
            }
            Ok(Pdu::ScsiCommand { itt, lun, length, write, cdb, data, cmd_sn, .. }) => {
                let direction = if write { "write" } else { "read" };
                report(format!(
                    "{direction} lun {lun:x} address {:x?} group {} {length} B",
                    &cdb[2..10],
                    cdb[14]
                ));
                (script.borrow_mut().next().unwrap_or(Step::Silence), itt, length, cmd_sn, data.len() as u32)
            }
            Ok(Pdu::TaskRequest { function, .. }) => {
                report(format!("task management {function}"));
                continue;
            }
            Ok(Pdu::LogoutRequest { .. }) => {
                report("logout".into());
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
            Step::ReadyToTransfer => {
                let seq = Sequence { stat_sn: 1, exp_cmd_sn: cmd_sn + 1, max_cmd_sn: cmd_sn + 9 };
                let r2t = Pdu::R2t {
                    lun: 0,
                    itt,
                    ttt: 7,
                    seq,
                    r2t_sn: 0,
                    offset: immediate,
                    length: length - immediate,
                };
                out.write_all(&r2t.encode()).await.expect("written");
                let mut received = immediate;
                while received < length {
                    let Ok(Pdu::DataOut { data, offset, .. }) = reader.next().await else { return };
                    assert_eq!(offset, received);
                    received += data.len() as u32;
                }
                report(format!("{immediate} B with the command, {received} B in all"));
                answers.push(status(itt, 0, cmd_sn + 1).encode());
            }
            Step::Status(code) => answers.push(status(itt, code, cmd_sn + 1).encode()),
            Step::Reset => {
                let stream = reader.into_inner().reunite(out).expect("one stream");
                return stream.set_zero_linger().expect("the option is set");
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

async fn start_initiator_before(target: &Target) -> RunningInitiator {
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
    start_initiator(&[], None, Some(&operator)).await
}

#[test]
fn a_read_is_forwarded_between_sessions_and_both_fronts_share_the_scheduler() {
    run_test(async {
        let mut target = scripted_target(vec![Step::Good("four"), Step::Good("more")]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, false, 1).await;
        let mut observed = vec![client.receive().await, client.receive().await];
        observed.push(send_request(initiator.http, &request("view", "i1", 0, "")).await);
        observed.push(target.receive_lines(3).await);
        assert_snapshot!(observed.join("\n"), @r"
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
fn the_data_of_a_write_is_requested_by_r2t_on_both_sides() {
    run_test(async {
        let mut target = scripted_target(vec![Step::ReadyToTransfer]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, true, 4).await;
        assert_snapshot!(format!("{}\n{}", client.receive().await, target.receive_lines(3).await), @r"
        1 GOOD None
        login
        write lun 3b4d60021 address [0, 0, 0, 0, 0, 0, 0, 5] group 1 2048 B
        512 B with the command, 2048 B in all
        ");
    });
}

// Guards against failing a deposit that can be retried: the connection is reset in the middle of a write, so
// the target did not receive all of the data and did not execute it.
#[test]
fn a_deposit_whose_connection_is_reset_midway_is_retried_and_answered_once() {
    run_test(async {
        let mut target = scripted_target(vec![Step::Reset, Step::Garbage, Step::ReadyToTransfer]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, true, 4).await;
        assert_snapshot!(format!("{}\n{}", client.receive().await, target.receive_lines(7).await), @r"
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

// Guards against holding requests until their deadlines: a target accepts logins and commands but does not
// answer.
#[test]
fn a_command_to_a_target_that_is_silent_after_login_is_rejected() {
    run_test(async {
        let mut target = scripted_target(vec![Step::Silence, Step::Silence, Step::Silence]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, false, 1).await;
        assert_snapshot!(format!("{}\n{}", client.receive().await, target.receive_lines(6).await), @r"
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

// A target that requests a logout gets no new commands until it accepts a login again. Meanwhile clients are
// rejected with retry advice rather than queued.
#[test]
fn a_draining_target_gets_no_commands_until_it_accepts_a_login() {
    run_test(async {
        let mut target = scripted_target(vec![Step::Drain("last"), Step::Good("back")]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, false, 1).await;
        let mut observed =
            vec![client.receive().await, client.receive().await, target.receive_lines(3).await];
        for itt in 2.. {
            client.command(itt, false, 1).await;
            let answer = client.receive().await;
            if !answer.ends_with("BUSY") {
                observed.extend([answer, target.receive_lines(2).await]);
                break;
            }
        }
        assert_snapshot!(observed.join("\n"), @r"
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
fn rejections_return_busy_and_errors_check_condition() {
    run_test(async {
        let task_set_full = vec![Step::Status(0x28); 3];
        let errors = vec![Step::Status(0x02), Step::Truncated, Step::Status(0x02)];
        let mut observed = Vec::new();
        for (script, write) in [(task_set_full, false), (errors, true)] {
            let target = scripted_target(script).await;
            let initiator = start_initiator_before(&target).await;
            let mut client = Client::log_in(&initiator).await;
            client.command(1, write, 1).await;
            observed.push(client.receive().await);
        }
        assert_snapshot!(observed.join("\n"), @r"
        1 BUSY
        1 CHECK CONDITION b/8/1
        ");
    });
}

#[test]
fn aborted_tasks_and_disconnected_clients_leave_nothing_in_flight() {
    run_test(async {
        let mut target = scripted_target(vec![Step::Silence, Step::Silence]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(1, false, 1).await;
        let mut observed = vec![target.receive_lines(2).await];
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
            observed.push(client.receive().await);
        }
        observed.push(target.receive_lines(1).await);
        client.command(4, false, 1).await;
        observed.push(target.receive_lines(1).await);
        drop(client);
        observed.push(target.receive_lines(1).await);
        assert_snapshot!(observed.join("\n"), @r"
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

// Guards against a process that ends on malformed input: the front rejects it and goes on serving.
#[test]
fn malformed_pdus_are_rejected_and_later_sessions_served() {
    run_test(async {
        let target = scripted_target(vec![Step::Good("fine")]).await;
        let initiator = start_initiator_before(&target).await;
        let mut observed = Vec::new();
        let mut client = Client::log_in(&initiator).await;
        let mut text = [0; 48];
        text[0] = 0x04;
        client.out.write_all(&text).await.expect("written");
        observed.push(client.receive().await);
        client.command(1, false, 0).await;
        observed.push(client.receive().await);
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
        observed.push(client.receive().await);
        let mut long = [0xff; 48];
        long[4] = 0;
        client.out.write_all(&long).await.expect("written");
        observed.extend([client.receive().await, client.receive().await]);

        let mut client = Client::log_in(&initiator).await;
        client.out.write_all(&text[..20]).await.expect("written");
        client.out.shutdown().await.expect("shut");
        observed.push(client.receive().await);
        let mut stranger =
            TcpStream::connect(initiator.iscsi.expect("the iSCSI front is on")).await.expect("connected");
        stranger.write_all(&[0x41; 48]).await.expect("written");
        let mut reader = PduReader::new(stranger);
        observed.push(match reader.next().await {
            Ok(Pdu::LoginResponse { status, .. }) => format!("login refused {status:x}"),
            other => format!("{other:?}"),
        });

        let mut client = Client::log_in(&initiator).await;
        client.command(1, false, 1).await;
        observed.push(client.receive().await);
        assert_snapshot!(observed.join("\n"), @r"
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
fn on_shutdown_sessions_get_a_logout_request() {
    run_test(async {
        let target = scripted_target(vec![]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        let logout_request = client.receive().await;
        let cmd_sn = client.cmd_sn;
        client
            .send(Pdu::LogoutRequest { immediate: true, reason: 0, itt: 1, cid: 0, cmd_sn, exp_stat_sn: 0 })
            .await;
        assert_snapshot!(format!("{logout_request}\n{}\n{}", client.receive().await, client.receive().await), @r"
        async 1
        logged out 0
        end
        ");
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against a lost last PDU: closing a socket with unread bytes resets the connection, which discards
// what the client has not received yet.
#[test]
fn the_last_pdu_of_a_session_arrives_while_its_client_keeps_sending() {
    run_test(async {
        let target = scripted_target(vec![]).await;
        let initiator = start_initiator_before(&target).await;
        let mut observed = Vec::new();
        for login_refused in [false, true] {
            let mut client = match login_refused {
                false => Client::log_in(&initiator).await,
                true => {
                    let stream = TcpStream::connect(initiator.iscsi.expect("the iSCSI front is on"))
                        .await
                        .expect("connected");
                    let (from, out) = stream.into_split();
                    Client { reader: PduReader::new(from), out, cmd_sn: 1 }
                }
            };
            let cmd_sn = client.cmd_sn;
            let last = match login_refused {
                false => {
                    Pdu::LogoutRequest { immediate: true, reason: 0, itt: 1, cid: 0, cmd_sn, exp_stat_sn: 0 }
                }
                true => Pdu::LoginRequest(Login::default()),
            };
            // Far more bytes than one read returns follow the PDU that ends the session.
            client.out.write_all(&[&last.encode()[..], &[0; 256 * 1024]].concat()).await.expect("written");
            observed.push(match client.reader.next().await {
                Ok(Pdu::LoginResponse { status, .. }) => format!("login refused {status:x}"),
                Ok(Pdu::LogoutResponse { .. }) => "logged out".to_string(),
                other => format!("{other:?}"),
            });
            observed.push(match client.reader.next().await {
                Err(ReadError::End) => "end".to_string(),
                other => format!("{other:?}"),
            });
            let write = client.out.write_all(&[0; 512]).await;
            observed
                .push(write.map_or_else(|e| format!("reset: {:?}", e.kind()), |()| "no reset".to_string()));
        }
        assert_snapshot!(observed.join("\n"), @r"
        logged out
        end
        no reset
        login refused 200
        end
        no reset
        ");
    });
}

/// A target that answers a login only once it is notified, and reports the commands that follow.
async fn target_with_late_login() -> (Target, Rc<Notify>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let (sender, received) = mpsc::unbounded_channel();
    let resume = Rc::new(Notify::new());
    let resumed = Rc::clone(&resume);
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepted");
        let (from, mut out) = stream.into_split();
        let mut reader = PduReader::new(from);
        let Ok(Pdu::LoginRequest(login)) = reader.next().await else { return };
        let _ = sender.send("login".to_string());
        resumed.notified().await;
        let seq = Sequence { stat_sn: 0, exp_cmd_sn: login.cmd_sn, max_cmd_sn: login.cmd_sn + 8 };
        let login = Login { data: Bytes::new(), ..login };
        // The initiator may have closed the connection.
        let _ = out.write_all(&Pdu::LoginResponse { login, seq, status: 0 }.encode()).await;
        while let Ok(pdu) = reader.next().await {
            let _ = sender.send(format!("{pdu:?}").split(' ').next().unwrap_or_default().to_string());
        }
    });
    (Target { addr, received }, resume)
}

/// The operator's file for one such target, with a login timeout of 5 s.
fn operator_file_with_long_login_timeout(target: &Target) -> String {
    format!(
        "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\nlogin_timeout_ms = 5000\n\
         [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n\
         [[iscsi.target]]\nname = \"iqn.test:box\"\naddr = \"{}\"\nshard = 0\n",
        target.addr
    )
}

// Guards against sending an attempt whose client disconnected during a slow login, over either front.
#[test]
fn an_attempt_that_waits_for_a_login_is_not_sent_for_a_disconnected_client() {
    for over_http in [true, false] {
        run_test(async move {
            let (mut target, resume) = target_with_late_login().await;
            let initiator = start_initiator_with(
                &[],
                None,
                Some(&operator_file_with_long_login_timeout(&target)),
                allow_late_connections,
            )
            .await;
            if over_http {
                let mut client = TcpStream::connect(initiator.http).await.expect("connected");
                write_text(&mut client, &request_with_long_deadline("view", "g1")).await;
                assert_eq!(target.receive_lines(1).await, "login");
                drop(client);
            } else {
                let mut client = Client::log_in(&initiator).await;
                client.command(1, false, 1).await;
                assert_eq!(target.receive_lines(1).await, "login");
                drop(client);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            resume.notify_one();
            let line = tokio::time::timeout(Duration::from_millis(300), target.received.recv()).await;
            assert!(line.is_err(), "{over_http}: {line:?}");
        });
    }
}

// Guards against a cancellation that is delayed until the login succeeds or fails: a cancelled request stayed
// with a target that was in maintenance.
#[test]
fn an_attempt_that_waits_for_a_login_is_cancelled_when_its_target_enters_maintenance() {
    run_test(async {
        let (mut target, resume) = target_with_late_login().await;
        let mut other = scripted_server(vec![ok("other")]).await;
        let change = |json: &mut serde_json::Value| {
            allow_late_connections(json);
            json["admin"] = "127.0.0.1:0".into();
        };
        let endpoints = [endpoint_entry(other.addr, 0, "active")];
        let initiator = start_initiator_with(
            &endpoints,
            None,
            Some(&operator_file_with_long_login_timeout(&target)),
            change,
        )
        .await;
        let admin = initiator.admin.expect("the admin port is on");
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        write_text(&mut client, &request_with_long_deadline("view", "g2")).await;
        assert_eq!(target.receive_lines(1).await, "login");
        let sent_at = Instant::now();
        let command = "PUT /targets/iqn.test:box/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(send_request(admin, command).await, "200 close");
        assert!(next_received(&mut other).await.contains("g2"));
        assert_eq!(read_message(&mut client).await.expect("answered").1, b"other");
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        resume.notify_one();
        let line = tokio::time::timeout(Duration::from_millis(300), target.received.recv()).await;
        assert!(!matches!(&line, Ok(Some(text)) if text.contains("Command")), "{line:?}");
        assert!(
            received_until_quiet(&mut other, Duration::from_millis(20)).await.is_empty(),
            "the request was sent twice"
        );
    });
}

/// How a session's client cancels its command.
#[derive(Clone, Copy, Debug)]
enum Cancellation {
    Abort,
    Logout,
    Fin,
    Reset,
}

impl Cancellation {
    async fn cancel(self, client: &mut Client, referenced: u32) {
        let cmd_sn = client.cmd_sn;
        let (immediate, itt, exp_stat_sn) = (true, 999, 0);
        match self {
            Cancellation::Abort => {
                let (function, lun) = (1, LUN);
                let abort =
                    Pdu::TaskRequest { immediate, function, lun, itt, referenced, cmd_sn, exp_stat_sn };
                client.send(abort).await;
            }
            Cancellation::Logout => {
                client
                    .send(Pdu::LogoutRequest { immediate, reason: 0, itt, cid: 0, cmd_sn, exp_stat_sn })
                    .await;
            }
            Cancellation::Fin => client.out.shutdown().await.expect("shut down"),
            Cancellation::Reset => socket2::SockRef::from(client.out.as_ref())
                .set_linger(Some(Duration::ZERO))
                .and_then(|()| socket2::SockRef::from(client.out.as_ref()).shutdown(std::net::Shutdown::Both))
                .expect("reset"),
        }
    }
}

// Guards against a blocked session: while a client read nothing, its aborts and its disconnect were handled
// up to 5 s late.
#[test]
fn cancellations_are_handled_while_the_client_reads_nothing() {
    const QUEUED_ITT: u32 = 1;
    const BLOCKS: u8 = 127;
    for cancellation in [Cancellation::Abort, Cancellation::Logout, Cancellation::Fin, Cancellation::Reset] {
        run_test(async move {
            let mut target = scripted_server(vec![ok(&"z".repeat(usize::from(BLOCKS) * 512)); 256]).await;
            // Connections to the second target are not established as long as this exists.
            let backlog = FullBacklog::new();
            let operator = format!(
                "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\nblocks_per_unit = 128\n\
                 [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n\
                 [[iscsi.volume]]\nlun = \"{:x}\"\nplan = \"full\"\nshard = 1\nhosts = 1\n",
                LUN + 1
            );
            let endpoints =
                [endpoint_entry(target.addr, 0, "active"), endpoint_entry(backlog.addr, 1, "active")];
            let initiator =
                start_initiator_with(&endpoints, None, Some(&operator), allow_late_connections).await;
            let mut client = Client::log_in(&initiator).await;
            client.command_to(LUN + 1, QUEUED_ITT, false, BLOCKS).await;
            // Sends commands until the unread responses have filled all buffers between the front and the
            // client.
            let quiet = Duration::from_millis(200);
            let mut answered = 0;
            for itt in QUEUED_ITT + 1.. {
                client.command(itt, false, BLOCKS).await;
                if tokio::time::timeout(quiet, target.received.recv()).await.is_err() {
                    break;
                }
                answered += 1;
            }
            assert!(answered > 16, "only {answered} responses are unread");
            assert_eq!((initiator.open_requests)(), 1, "one request waits for its connection");
            cancellation.cancel(&mut client, QUEUED_ITT).await;
            for _ in 0..10 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!((initiator.open_requests)(), 0, "{cancellation:?}");
        });
    }
}
