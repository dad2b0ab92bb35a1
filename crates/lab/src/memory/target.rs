//! A target for long bodies: reads and discards what it receives, and may answer reads at length. The stub targets of
//! `rowanglade_test_fleet` hold whole bodies in memory.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Length of a long response.
const LONG_RESPONSE_BYTES: usize = 32 << 20;
/// Length of every other response.
const SHORT_RESPONSE_BYTES: usize = 100;
/// Bytes of one read.
const PIECE_BYTES: usize = 64 << 10;
/// How long a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Path of a shallow probe.
const PROBE_PATH: &str = "/alive";

/// Targets on a thread of their own, until this is dropped: the clients keep theirs busy, and initiators would take that
/// for slow targets.
pub struct Targets {
    /// The addresses of the targets, of which every other one answers reads at length.
    pub addresses: Vec<SocketAddr>,
    #[expect(dead_code, reason = "held for its drop, which ends the thread")]
    stop: oneshot::Sender<()>,
}

impl Targets {
    /// Starts this many targets.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(count: usize) -> io::Result<Targets> {
        let (started, addresses) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::spawn(move || {
            crate::runtime::block_on(async move {
                let starts = (0..count).map(|number| start(number % 2 == 1));
                let _ = started.send(futures_util::future::try_join_all(starts).await);
                let _ = stopped.await;
            });
        });
        let addresses = addresses.await.map_err(io::Error::other)??;
        Ok(Targets { addresses, stop })
    }
}

/// Starts a target. Returns its address.
async fn start(long_responses: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                // A broken connection ends its task.
                let _ = serve(stream, long_responses).await;
            });
        }
    });
    Ok(addr)
}

async fn serve(stream: TcpStream, long_responses: bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::with_capacity(PIECE_BYTES, stream);
    while let Some(head) = read_head(&mut stream).await? {
        skip(&mut stream, head.body_bytes).await?;
        tokio::time::sleep(SERVICE_TIME).await;
        let is_long = long_responses && head.is_read;
        respond(&mut stream, if is_long { LONG_RESPONSE_BYTES } else { SHORT_RESPONSE_BYTES }).await?;
    }
    Ok(())
}

/// What the target uses of a request's head.
#[derive(Default)]
struct Head {
    /// Whether it is a read and not a probe.
    is_read: bool,
    body_bytes: u64,
}

/// Reads a request's head; `None`: the connection has ended.
async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    head.is_read = line.starts_with("GET ") && !line.contains(PROBE_PATH);
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        match line.split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                head.body_bytes = value.trim().parse().map_err(io::Error::other)?;
            }
            Some(_) => {}
            None => return Ok(Some(head)),
        }
    }
}

/// Reads and discards this many bytes.
async fn skip(stream: &mut BufReader<TcpStream>, bytes: u64) -> io::Result<()> {
    let skipped = tokio::io::copy(&mut stream.take(bytes), &mut tokio::io::sink()).await?;
    if skipped == bytes { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

async fn respond(stream: &mut BufReader<TcpStream>, length: usize) -> io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut body = tokio::io::repeat(b'.').take(length as u64);
    tokio::io::copy(&mut body, stream).await?;
    Ok(())
}
