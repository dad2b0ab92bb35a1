//! The front for sessions of clients: this side is the iSCSI target.

mod commands;
mod responses;
mod send_buffer;
mod session;
mod tasks;

use crate::core::CoreHandle;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, pause};
use crate::net::close::{LINGER, close};
use rowanglade_iscsi::PduReader;
use rowanglade_iscsi::login;
use session::Session;
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Commands of one session that may be open at once: one session must not fill the core's queues.
const COMMAND_WINDOW: u32 = 32;
/// How long a login may take: it is a few small PDUs.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A volume that sessions reach as a LUN.
#[derive(Clone, Debug, PartialEq)]
pub struct Lun {
    /// The name of its QoS plan.
    pub plan: Option<String>,
    /// The shard that holds its objects; none: its writes are new objects.
    pub shard: Option<u32>,
    /// How many initiators share it; 0: not known.
    pub initiators: u32,
}

/// What all sessions share.
#[derive(Debug)]
pub struct Front {
    /// The core that requests are submitted to.
    pub core: CoreHandle,
    /// The target's name, which a login must give.
    pub name: String,
    /// Volumes by their LUN.
    pub luns: HashMap<u64, Lun>,
    /// Names and deadlines of the classes, in the order of their group numbers.
    pub classes: Vec<(String, Duration)>,
    /// How many logical blocks count as one unit.
    pub blocks_per_unit: u32,
    /// Turns true when the program is to end: sessions are asked to log out.
    pub ending: watch::Receiver<bool>,
    /// Sessions are accepted while this process serves.
    pub phase: watch::Receiver<Phase>,
    /// Sessions that may be open at once; further connections are closed.
    pub max_sessions: Rc<Cell<usize>>,
    /// Sessions open now.
    pub open_sessions: Rc<Cell<usize>>,
}

/// Accepts sessions until dropped. Sessions go on by themselves.
pub async fn serve(listener: TcpListener, front: Rc<Front>) {
    let mut sessions_accepted: u64 = 0;
    let mut failures = AcceptFailures::default();
    let mut phase = front.phase.clone();
    loop {
        // What is not accepted here waits for the process that serves.
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting => accepted,
            Ok(()) = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) if front.open_sessions.get() < front.max_sessions.get() => {
                sessions_accepted += 1;
                failures.record_success();
                start_session(&front, stream, sessions_accepted);
            }
            Ok(_) => {
                tracing::warn!(open = front.open_sessions.get(), "session rejected, too many are open");
            }
            Err(error) => pause(failures.record_failure(&error, "iscsi")).await,
        }
    }
}

/// Serves a session on a task of its own.
fn start_session(front: &Rc<Front>, stream: TcpStream, number: u64) {
    let front = Rc::clone(front);
    front.open_sessions.set(front.open_sessions.get() + 1);
    actix_rt::spawn(async move {
        if let Err(error) = serve_session(&front, stream, number).await {
            tracing::debug!(%error, "session broken");
        }
        front.open_sessions.set(front.open_sessions.get() - 1);
    });
}

async fn serve_session(front: &Front, stream: TcpStream, number: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let client = stream.peer_addr().ok();
    let (read_half, mut writer) = stream.into_split();
    let mut reader = PduReader::new(read_half);
    let ended = log_in_and_run(front, &mut reader, &mut writer, client, number).await;
    // Requests that were open have lost their client by now. A reset would take the last response with it,
    // whatever the client still sends.
    let _ = tokio::time::timeout(LINGER, close(writer.as_ref())).await;
    ended
}

async fn log_in_and_run(
    front: &Front,
    reader: &mut PduReader<OwnedReadHalf>,
    writer: &mut OwnedWriteHalf,
    client: Option<SocketAddr>,
    number: u64,
) -> io::Result<()> {
    let login = login::accept(reader, writer, &front.name, COMMAND_WINDOW);
    let parameters = tokio::time::timeout(LOGIN_TIMEOUT, login).await??;
    Session::new(front, client, number, parameters, writer).run(reader).await
}
