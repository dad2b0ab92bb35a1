//! Tests of the identifiers of sessions to iSCSI-style targets.

use crate::harness::{RunningInitiator, run_test, start_initiator};
use crate::iscsi_client::{Client, LUN};
use bytes::Bytes;
use rowanglade_iscsi::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The state of a target that reinstates sessions as RFC 7143, section 6.3.5, says: a login ends the session with the
/// same identifier.
#[derive(Default)]
struct ReinstatingTarget {
    /// Ends the session of each identifier.
    sessions: RefCell<HashMap<[u8; 6], Rc<Notify>>>,
    commands: Cell<usize>,
    command_received: Notify,
}

impl ReinstatingTarget {
    /// Starts a target that answers each command once it has received `commands` of them.
    async fn start(commands: usize) -> (SocketAddr, Rc<ReinstatingTarget>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let addr = listener.local_addr().expect("bound");
        let target = Rc::new(ReinstatingTarget::default());
        let accepting = Rc::clone(&target);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = Rc::clone(&accepting);
                actix_rt::spawn(async move { target.serve(stream, commands).await });
            }
        });
        (addr, target)
    }

    async fn serve(&self, stream: TcpStream, commands: usize) {
        let (from, mut out) = stream.into_split();
        let mut reader = PduReader::new(from);
        let Ok(Pdu::LoginRequest(login)) = reader.next().await else { return };
        let ended = Rc::new(Notify::new());
        if let Some(previous) = self.sessions.borrow_mut().insert(login.isid, Rc::clone(&ended)) {
            previous.notify_one();
        }
        let seq = Sequence { stat_sn: 0, exp_cmd_sn: login.cmd_sn, max_cmd_sn: login.cmd_sn + 8 };
        let data = Bytes::from_static(b"ImmediateData=Yes\0");
        let response = Pdu::LoginResponse { login: Login { data, ..login }, seq, status: 0 };
        out.write_all(&response.encode()).await.expect("written");
        let answer_commands = async {
            while let Ok(pdu) = reader.next().await {
                let Pdu::ScsiCommand { itt, cmd_sn, .. } = pdu else { continue };
                self.commands.set(self.commands.get() + 1);
                self.command_received.notify_waiters();
                self.wait_for_commands(commands).await;
                let seq = Sequence { stat_sn: 1, exp_cmd_sn: cmd_sn + 1, max_cmd_sn: cmd_sn + 9 };
                let (residual, data) = (Residual::None, Bytes::new());
                let good =
                    Pdu::ScsiResponse { response: 0, status: 0, qualifier: 0, itt, seq, residual, data };
                if out.write_all(&good.encode()).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = answer_commands => {}
            () = ended.notified() => {}
        }
    }

    /// Waits until the target has received this many commands.
    async fn wait_for_commands(&self, count: usize) {
        loop {
            let received = self.command_received.notified();
            if self.commands.get() >= count {
                return;
            }
            received.await;
        }
    }
}

async fn start_initiator_before(target: SocketAddr) -> RunningInitiator {
    let operator = format!(
        "[iscsi]\nlisten = \"127.0.0.1:0\"\nname = \"iqn.test:front\"\n\
         [[iscsi.volume]]\nlun = \"{LUN:x}\"\nplan = \"full\"\nshard = 0\nhosts = 1\n\
         [[iscsi.target]]\nname = \"iqn.test:box\"\naddr = \"{target}\"\nshard = 0\n"
    );
    start_initiator(&[], None, Some(&operator)).await
}

// Guards against running a write twice: all processes named their sessions alike, so the login of a second
// initiator, or of a successor, ended the first one's session at the target. The write in flight was sent again, and
// such targets know no idempotency keys.
#[test]
fn a_login_of_one_initiator_does_not_end_the_session_of_another() {
    run_test(async {
        let (addr, target) = ReinstatingTarget::start(2).await;
        let (first, second) = (start_initiator_before(addr).await, start_initiator_before(addr).await);
        let mut first_client = Client::log_in(&first).await;
        let mut second_client = Client::log_in(&second).await;
        first_client.command(1, true, 1).await;
        let first_response = first_client.receive();
        let second_response = async {
            // The second initiator logs in while the first one's write is in flight.
            target.wait_for_commands(1).await;
            second_client.command(1, true, 1).await;
            second_client.receive().await
        };
        let responses = tokio::join!(first_response, second_response);
        assert_eq!(responses, ("1 GOOD None".to_string(), "1 GOOD None".to_string()));
        assert_eq!(target.commands.get(), 2, "commands received");
    });
}
