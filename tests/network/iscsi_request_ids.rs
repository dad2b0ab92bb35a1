//! Tests of the ids and idempotency keys that the iSCSI-style front gives to clients' commands. Targets drop a
//! write whose key they have executed within the last seconds, so no two commands may have the same key, whichever
//! processes received them.

use crate::harness::run_test;
use crate::iscsi_client::{Client, LUN};
use crate::processes::{start_daemon, start_stub_site};
use rowanglade_test_fleet::{Daemon, DaemonPlan, HandoverPaths, Signal, StubSite, TargetPlan};
use std::path::Path;
use std::time::Duration;

const CLIENT_NAME: &str = "iqn.test:client";
/// The pause before a rejected write is sent again.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Starts a process whose iSCSI-style front is enabled. `folder`: where it meets the process that it replaces.
fn start_front(site: &StubSite, name: &str, folder: Option<(&Path, Option<&Daemon>)>) -> Daemon {
    start_daemon(site, |plan: &mut DaemonPlan| {
        plan.name = name.to_string();
        plan.operator = Some(format!(
            "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
             [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n"
        ));
        plan.handover = folder.map(|(folder, predecessor)| HandoverPaths {
            folder: folder.to_path_buf(),
            listen: predecessor.map(|daemon| daemon.http),
        });
    })
}

async fn log_in(daemon: &Daemon, name: &str) -> Client {
    Client::log_in_as(name, daemon.iscsi.expect("the iSCSI front is on")).await
}

/// Writes until the front acknowledges it: a process that has just started rejects commands at first.
async fn write(client: &mut Client) {
    for itt in client.cmd_sn.. {
        client.command(itt, true, 1).await;
        let response = client.receive().await;
        if response.contains("GOOD") {
            return;
        }
        assert!(response.ends_with("BUSY"), "{response}");
        tokio::time::sleep(WRITE_RETRY_PAUSE).await;
    }
}

async fn start_site() -> StubSite {
    start_stub_site(&[TargetPlan::default()]).await
}

/// Asserts that the target executed this many writes, and dropped none as a repeat of another.
fn assert_all_executed(site: &StubSite, writes: u64) {
    let counters = site.targets[0].counters();
    assert_eq!((counters.writes_executed, counters.writes_suppressed), (writes, 0), "{counters:?}");
}

// Guards against losing an acknowledged write: an initiator that was restarted or killed gave the keys of its
// previous process again, and targets dropped its first writes as repeats.
#[test]
fn writes_before_and_after_a_restart_are_all_executed() {
    for signal in [Signal::SIGTERM, Signal::SIGKILL] {
        run_test(async move {
            let site = start_site().await;
            for _ in 0..2 {
                let mut daemon = start_front(&site, "n1", None);
                let mut client = log_in(&daemon, CLIENT_NAME).await;
                write(&mut client).await;
                write(&mut client).await;
                drop(client);
                daemon.signal(signal).expect("the process runs");
                while !daemon.has_ended() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            assert_all_executed(&site, 4);
        });
    }
}

// Guards against losing an acknowledged write: two initiators gave the same keys to the commands of a client
// that has a session with each.
#[test]
fn writes_of_one_client_through_two_initiators_are_all_executed() {
    run_test(async {
        let site = start_site().await;
        let daemons = ["n1", "n2"].map(|name| start_front(&site, name, None));
        for daemon in &daemons {
            write(&mut log_in(daemon, CLIENT_NAME).await).await;
        }
        assert_all_executed(&site, 2);
    });
}

// Guards against losing an acknowledged write: in a handover the successor gave the keys of the commands that
// its predecessor had received.
#[test]
fn writes_through_both_processes_of_a_handover_are_all_executed() {
    run_test(async {
        let site = start_site().await;
        let folder = tempfile::tempdir().expect("the folder is created");
        let first = start_front(&site, "n1", Some((folder.path(), None)));
        let mut before = log_in(&first, CLIENT_NAME).await;
        write(&mut before).await;
        let second = start_front(&site, "n1", Some((folder.path(), Some(&first))));
        // The predecessor asks its clients to log out once the successor serves.
        assert_eq!(before.receive().await, "async 1");
        write(&mut before).await;
        let mut after = log_in(&second, CLIENT_NAME).await;
        write(&mut after).await;
        write(&mut after).await;
        assert_all_executed(&site, 4);
    });
}

// Guards against sending writes without a key: text of the client's name was part of the key, and a name with
// characters that no HTTP header may contain left the request without an id and a key.
#[test]
fn writes_of_a_client_whose_name_has_control_characters_have_a_key() {
    run_test(async {
        let site = start_site().await;
        let daemon = start_front(&site, "n1", None);
        write(&mut log_in(&daemon, "iqn.test:cli\nent").await).await;
        assert_all_executed(&site, 1);
    });
}
