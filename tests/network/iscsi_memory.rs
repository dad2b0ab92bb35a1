//! Tests of the memory that unfinished writes of iSCSI-style clients take.

use crate::harness::{run_test, start_initiator_with};
use crate::iscsi_client::{Client, LUN};
use rowanglade_iscsi::Pdu;
use std::time::Duration;

/// A quarter of this is available to bodies.
const MEMORY_MB: usize = 16;
/// Writes of 64 KiB that fit into that quarter.
const WRITES_IN_MEMORY: usize = 64;
/// Status of a command that finds no room.
const TASK_SET_FULL: u8 = 0x28;
const WRITES_PER_SESSION: u32 = 32;
const BLOCKS: u8 = 128;

/// Begins as many writes as a session may have. Returns how many of them may send their data, and how many were refused.
async fn begin_writes(client: &mut Client) -> (usize, usize) {
    let (mut accepted, mut refused) = (0, 0);
    for itt in 1..=WRITES_PER_SESSION {
        client.command(itt, true, BLOCKS).await;
        match client.reader.next().await {
            Ok(Pdu::R2t { .. }) => accepted += 1,
            Ok(Pdu::ScsiResponse { status: TASK_SET_FULL, .. }) => refused += 1,
            other => panic!("{other:?}"),
        }
    }
    (accepted, refused)
}

// Guards against exceeding the memory limit: the data of writes that stop before their last block was in no budget, so
// that sessions with many of them took a process over it.
#[test]
fn unfinished_writes_take_no_more_than_the_memory_for_bodies_and_give_it_back() {
    run_test(async {
        let operator = format!(
            "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
             [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n"
        );
        let small =
            |json: &mut serde_json::Value| json["limits"] = serde_json::json!({ "memory_mb": MEMORY_MB });
        let initiator = start_initiator_with(&[], None, Some(&operator), small).await;
        let mut clients = Vec::new();
        let (mut accepted, mut refused) = (0, 0);
        for _ in 0..3 {
            let mut client = Client::log_in(&initiator).await;
            let (more_accepted, more_refused) = begin_writes(&mut client).await;
            (accepted, refused) = (accepted + more_accepted, refused + more_refused);
            clients.push(client);
        }
        assert_eq!(
            (accepted, refused),
            (WRITES_IN_MEMORY, 3 * WRITES_PER_SESSION as usize - WRITES_IN_MEMORY)
        );
        drop(clients);
        // Until the sessions have ended.
        loop {
            let mut client = Client::log_in(&initiator).await;
            client.command(1, true, BLOCKS).await;
            if matches!(client.reader.next().await, Ok(Pdu::R2t { .. })) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
