//! Tests of request ids that come again after their client has left: a request does not run twice.

use crate::handover::{Folder, start_in_folder, wait_until_healthy};
use crate::harness::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends a request whose target does not respond yet, and leaves once the target has it.
async fn send_and_leave(addr: std::net::SocketAddr, text: &str, target: &mut ScriptedServer) {
    let mut client = TcpStream::connect(addr).await.expect("connected");
    client.write_all(text.as_bytes()).await.expect("written");
    target.received.recv().await.expect("the target has the request");
    drop(client);
}

async fn assert_rejected(addr: std::net::SocketAddr, text: &str) {
    let answer = send_request(addr, text).await;
    assert!(answer.starts_with("400"), "{answer}: {text}");
}

fn served_on_resume() -> Step {
    Step::RespondOnResume("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
}

// Guards against a write that runs twice: an id was free again as soon as the attempt that its client had left behind
// ended, and the request that came again with it was sent like a new one.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_is_not_run_twice() {
    run_test(async {
        let mut target = scripted_server(vec![served_on_resume(), ok("second"), ok("new")]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let text = request("deposit", "again", 0, "x");
        send_and_leave(initiator.http, &text, &mut target).await;
        assert_rejected(initiator.http, &text).await;
        target.resume.notify_one();
        // Until the attempt has ended.
        for _ in 0..50 {
            assert_rejected(initiator.http, &text).await;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        assert_eq!(send_request(initiator.http, &request("deposit", "other", 0, "x")).await, "200 second");
        assert!(target.received.recv().await.expect("received").contains("other"));
    });
}

// An id whose request never ran may come again: its client cannot know why it was not answered.
#[test]
fn an_id_whose_request_never_ran_may_come_again() {
    run_test(async {
        let unprocessed = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        let script = vec![Step::Respond(unprocessed.into()); 3].into_iter().chain([ok("served")]);
        let target = scripted_server(script.collect()).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let text = request("deposit", "again", 0, "x");
        let mut answer = send_request(initiator.http, &text).await;
        while answer.starts_with("503") {
            answer = send_request(initiator.http, &text).await;
        }
        assert_eq!(answer, "200 served");
    });
}

// Guards against a write that runs at both processes of an upgrade: the successor knew nothing of the ids that its
// predecessor had used, or went on using on its open connections.
#[test]
fn an_id_used_at_one_process_of_an_upgrade_is_not_run_at_the_other() {
    run_test(async {
        let folder = Folder::new();
        let script = vec![served_on_resume(), ok(""), ok(""), ok("new"), ok("new")];
        let mut target = scripted_server(script).await;
        let endpoints = [endpoint_entry(target.addr, 0, "active")];
        let first = start_in_folder(&folder.0, &endpoints, None).await;
        wait_until_healthy(&first).await;
        let mut open = TcpStream::connect(first.http).await.expect("connected");
        send_and_leave(first.http, &request("deposit", "before", 0, "x"), &mut target).await;
        let second = start_in_folder(&folder.0, &endpoints, Some(first.http)).await;
        wait_until_healthy(&second).await;
        assert_rejected(second.http, &request("deposit", "before", 0, "x")).await;
        target.resume.notify_one();
        // The predecessor serves one more request on each open connection.
        assert_eq!(send_request_on(&mut open, &request("deposit", "after", 0, "x")).await, "200 close");
        for id in ["before", "after"] {
            assert_rejected(second.http, &request("deposit", id, 0, "x")).await;
        }
        assert_eq!(send_request(second.http, &request("deposit", "other", 0, "x")).await, "200");
    });
}
