//! Tests of a shutdown while clients of the iSCSI-style front send commands.

use crate::harness::*;
use crate::iscsi_client::{Client, LUN};
use crate::shutdown::{LAST_RESPONSES, short_deadlines};
use bytes::Bytes;
use rowanglade_iscsi::Pdu;
use std::time::Duration;
use tokio::net::TcpStream;

/// Status of a command that was not started, which its client may send again.
const TASK_SET_FULL: u8 = 0x28;

/// Starts an initiator whose one volume is served by the HTTP target of `target`.
async fn start_initiator_before(target: &ScriptedServer) -> RunningInitiator {
    let operator = format!(
        "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
         [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n"
    );
    let endpoints = [endpoint_entry(target.addr, 0, "active")];
    start_initiator_with(&endpoints, None, Some(&operator), short_deadlines).await
}

async fn receive_status(client: &mut Client) -> Option<(u32, u8)> {
    loop {
        match client.reader.next().await {
            Ok(Pdu::ScsiResponse { itt, status, .. }) => return Some((itt, status)),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

// Guards against a write whose data is half received when the process ends: its client waited for a status that never
// came.
#[test]
fn a_write_whose_data_is_incomplete_at_the_end_is_rejected_and_its_session_closes() {
    run_test(async {
        let mut target = scripted_server(vec![ok("x")]).await;
        let initiator = start_initiator_before(&target).await;
        let mut client = Client::log_in(&initiator).await;
        client.command(7, true, 2).await;
        let ready = client.reader.next().await.expect("the initiator requests the data");
        let Pdu::R2t { ttt, .. } = ready else { panic!("{ready:?}") };
        let data = Bytes::from(vec![7; 512]);
        let (exp_stat_sn, data_sn, offset) = (0, 0, 0);
        let part = Pdu::DataOut { last: false, lun: LUN, itt: 7, ttt, exp_stat_sn, data_sn, offset, data };
        client.send(part).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        assert_eq!(receive_status(&mut client).await, Some((7, TASK_SET_FULL)));
        assert_eq!(receive_status(&mut client).await, None, "the session closes");
        drop(client);
        initiator.task.await.expect("no panic").expect("no error");
        assert!(target.received.try_recv().is_err(), "nothing is forwarded");
    });
}

// Guards against commands that arrive after the last responses: they were sent to their target, and the process ended
// without answering them.
#[test]
fn a_command_in_the_last_moment_of_a_shutdown_has_a_status_and_is_not_forwarded() {
    run_test(async {
        let mut target = scripted_server(vec![Step::Silence]).await;
        let initiator = start_initiator_before(&target).await;
        // Without a connected client of the platform the process would end earlier.
        let kept = TcpStream::connect(initiator.http).await.expect("connected");
        let mut client = Client::log_in(&initiator).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        tokio::time::sleep(LAST_RESPONSES - Duration::from_millis(5)).await;
        client.command(1, false, 1).await;
        client.command(2, true, 1).await;
        let mut statuses = Vec::new();
        while let Some(status) = receive_status(&mut client).await {
            statuses.push(status);
        }
        statuses.sort_unstable();
        assert!(matches!(statuses[..], [(1, 8), (2, TASK_SET_FULL)]), "{statuses:?}");
        drop((client, kept));
        initiator.task.await.expect("no panic").expect("no error");
        assert!(target.received.try_recv().is_err(), "nothing is forwarded");
    });
}
