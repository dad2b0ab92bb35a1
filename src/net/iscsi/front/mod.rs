//! The front for sessions of clients, in which this process is the iSCSI target.

mod commands;
mod responses;
mod send_buffer;
mod session;
mod session_id;
mod tasks;

use crate::core::CoreHandle;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, pause};
use crate::net::budget::MemoryBudget;
use crate::net::close::{LINGER, close, close_between_requests};
use rowanglade_iscsi::PduReader;
use rowanglade_iscsi::login;
use session::{Session, SessionEnd};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Commands of one session that may be open at once, so that one session cannot fill the core's queues.
const COMMAND_WINDOW: u32 = 32;
/// How long a login may take; it consists of a few small PDUs.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A volume that sessions reach as a LUN.
#[derive(Clone, Debug, PartialEq)]
pub struct Lun {
    /// The name of the volume's QoS plan; `None`: the volume has no plan.
    pub plan: Option<String>,
    /// The shard of the volume's objects; `None`: writes to the volume create new objects.
    pub shard: Option<u32>,
    /// How many initiators share the volume; 0: unknown.
    pub initiators: u32,
}

/// What all sessions share.
#[derive(Debug)]
pub struct Front {
    /// The core that requests are submitted to.
    pub core: CoreHandle,
    /// The target's iSCSI name, which a login must specify.
    pub name: String,
    /// Volumes by LUN.
    pub luns: HashMap<u64, Lun>,
    /// Names and deadlines of the request classes, indexed by group number.
    pub classes: Vec<(String, Duration)>,
    /// Number of logical blocks in one unit.
    pub blocks_per_unit: u32,
    /// Turns true when sessions are to end: clients are then asked to log out.
    pub ending: watch::Receiver<bool>,
    /// Turns true when sessions end once their commands have responses, because the process is about to exit.
    pub finishing: watch::Receiver<bool>,
    /// The serving phase of this process: sessions are accepted while it serves.
    pub phase: watch::Receiver<Phase>,
    /// The memory for the data of writes.
    pub bodies: MemoryBudget,
    /// Sessions that may be open at once; further connections are closed.
    pub max_sessions: Rc<Cell<usize>>,
    /// Number of open sessions.
    pub open_sessions: Rc<Cell<usize>>,
}

/// Accepts sessions until dropped. Sessions run on tasks of their own, and continue after that.
pub async fn serve(listener: TcpListener, front: Rc<Front>) {
    let mut failures = AcceptFailures::default();
    let mut phase = front.phase.clone();
    loop {
        // A connection that is not accepted here waits in the queue for the process that serves.
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting => accepted,
            Ok(()) = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _))
                if front.open_sessions.get() < front.max_sessions.get() && front.bodies.admits_more() =>
            {
                failures.record_success();
                start_session(&front, stream);
            }
            Ok(_) => {
                tracing::warn!(
                    open = front.open_sessions.get(),
                    "session rejected, too many are open, or no memory is left"
                );
            }
            Err(error) => pause(failures.record_failure(&error, "iscsi")).await,
        }
    }
}

/// Serves a session on a task of its own.
fn start_session(front: &Rc<Front>, stream: TcpStream) {
    let front = Rc::clone(front);
    front.open_sessions.set(front.open_sessions.get() + 1);
    actix_rt::spawn(async move {
        if let Err(error) = serve_session(&front, stream).await {
            tracing::debug!(%error, "session broken");
        }
        front.open_sessions.set(front.open_sessions.get() - 1);
    });
}

async fn serve_session(front: &Front, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let client = stream.peer_addr().ok();
    let (read_half, mut writer) = stream.into_split();
    let mut reader = PduReader::new(read_half);
    let ended = log_in_and_run(front, &mut reader, &mut writer, client).await;
    // The open requests have been cancelled with the session. A reset would discard the last response,
    // whatever the client still sends.
    let closed = async {
        match ended {
            Ok(SessionEnd::BetweenCommands) => close_between_requests(writer.as_ref()).await,
            Ok(SessionEnd::ByClient) | Err(_) => close(writer.as_ref()).await,
        }
    };
    let _ = tokio::time::timeout(LINGER, closed).await;
    ended.map(drop)
}

async fn log_in_and_run(
    front: &Front,
    reader: &mut PduReader<OwnedReadHalf>,
    writer: &mut OwnedWriteHalf,
    client: Option<SocketAddr>,
) -> io::Result<SessionEnd> {
    let login = login::accept(reader, writer, &front.name, COMMAND_WINDOW);
    let parameters = tokio::time::timeout(LOGIN_TIMEOUT, login).await??;
    Session::new(front, client, parameters, writer).run(reader).await
}
