//! Clients that take up an initiator's memory.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Declared length of a long body.
const LONG_BODY_BYTES: usize = 32 << 20;
/// After this many bytes an upload stops.
const STOPPED_AFTER_BYTES: usize = 400_000;
/// Rate of a slow client, a little above the slowest that the pages allow, and how often it sends or reads.
const SLOW_BYTES_PER_TICK: usize = 8 << 10;
const SLOW_TICK: Duration = Duration::from_millis(100);
/// Length of a long head, below the HTTP library's limit.
const LONG_HEAD_BYTES: usize = 100_000;
/// Requests that a flood sends at once.
const FLOOD_REQUESTS: usize = 64;
/// Fields of a head with many short ones, below the HTTP library's limit of 96.
const SHORT_FIELDS: usize = 85;
/// Bounds of the declared length of a body behind such a head.
const SHORT_UPLOAD_BYTES: std::ops::Range<usize> = 70_000..400_000;
/// Length of a piece of such a body.
const UPLOAD_PIECE_BYTES: usize = 16 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits for what an initiator owes it.
const PATIENCE: Duration = Duration::from_secs(6);

/// What a client does with each of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends nothing.
    Idle,
    /// Stops in the middle of a short head.
    HalfHead,
    /// Stops in the middle of a long head.
    LongHead,
    /// Stops in the middle of a long body.
    StoppedUpload,
    /// Sends a long body slowly.
    SlowUpload,
    /// Reads a long response slowly.
    SlowReader,
    /// Reads nothing of a long response.
    StoppedReader,
    /// Sends many requests at once, and reads no response.
    Flood,
    /// Opens a connection for each request.
    NewConnections,
    /// Stops in the middle of a head of many short fields.
    ManyFields,
    /// Sends a head of many short fields, and stops in the middle of the body.
    ManyFieldsStoppedUpload,
    /// Sends a head of many short fields, and the body in pieces.
    ManyFieldsSlowUpload,
}

impl Behaviour {
    /// The behaviours of which a client has one, for crowds of one kind.
    pub const SINGLE: [Behaviour; 9] = [
        Behaviour::Idle,
        Behaviour::HalfHead,
        Behaviour::LongHead,
        Behaviour::StoppedUpload,
        Behaviour::SlowUpload,
        Behaviour::SlowReader,
        Behaviour::StoppedReader,
        Behaviour::Flood,
        Behaviour::NewConnections,
    ];

    /// The behaviours that hold memory of several kinds at once or at length, for mixed crowds.
    pub const HOLDING: [Behaviour; 9] = [
        Behaviour::ManyFields,
        Behaviour::ManyFieldsStoppedUpload,
        Behaviour::ManyFieldsSlowUpload,
        Behaviour::LongHead,
        Behaviour::StoppedUpload,
        Behaviour::SlowUpload,
        Behaviour::SlowReader,
        Behaviour::StoppedReader,
        Behaviour::Flood,
    ];
}

/// An address to which clients connect; it changes when the process is restarted. `None`: no process serves.
pub type Address = Rc<Cell<Option<SocketAddr>>>;

/// The clients of a crowd.
pub struct Crowd {
    pub address: Address,
    /// Number of shards, of which the odd ones answer reads at length.
    pub shards: u64,
    pub name: String,
    /// The pause before a client connects again.
    pub reconnect_pause: Duration,
    /// All clients close their connections together this often; `None`: they never do.
    pub wave_period: Option<Duration>,
    /// When the clients began.
    pub started_at: Instant,
}

impl Crowd {
    /// Runs one client until its task is dropped.
    pub async fn run_client(self: Rc<Self>, behaviour: Behaviour, number: u64) {
        for attempt in 0u64.. {
            if let Some(address) = self.address.get()
                && let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
            {
                let id = format!("{}-{behaviour:?}-{number}-{attempt}", self.name);
                // A connection that the initiator closes or that breaks is replaced.
                let _ = timeout(self.rest_of_wave(), self.behave(stream, behaviour, number, &id)).await;
            }
            sleep(self.reconnect_pause).await;
        }
    }

    /// How long the connections of this wave stay open.
    fn rest_of_wave(&self) -> Duration {
        let Some(period) = self.wave_period else { return Duration::MAX };
        let elapsed = self.started_at.elapsed();
        let waves = elapsed.as_millis() / period.as_millis().max(1);
        period * (waves as u32 + 1) - elapsed
    }

    async fn behave(
        &self,
        mut stream: TcpStream,
        behaviour: Behaviour,
        number: u64,
        id: &str,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (even_shard, odd_shard) = (number * 2 % self.shards, (number * 2 + 1) % self.shards);
        match behaviour {
            Behaviour::Idle => wait_for_close(&mut stream).await,
            Behaviour::HalfHead => {
                stream.write_all(b"GET /view/00000003b4d60021/7f3a").await?;
                wait_for_close(&mut stream).await
            }
            Behaviour::LongHead => {
                let head = format!("GET /view/1/2 HTTP/1.1\r\nX-Long: {}", "x".repeat(LONG_HEAD_BYTES));
                stream.write_all(head.as_bytes()).await?;
                wait_for_close(&mut stream).await
            }
            Behaviour::StoppedUpload => {
                stream.write_all(write_head(id, even_shard, LONG_BODY_BYTES).as_bytes()).await?;
                stream.write_all(&vec![b'*'; STOPPED_AFTER_BYTES]).await?;
                wait_for_close(&mut stream).await
            }
            Behaviour::SlowUpload => {
                stream.write_all(write_head(id, even_shard, LONG_BODY_BYTES).as_bytes()).await?;
                loop {
                    stream.write_all(&[b'*'; SLOW_BYTES_PER_TICK]).await?;
                    sleep(SLOW_TICK).await;
                }
            }
            Behaviour::SlowReader => {
                stream.write_all(read_head(id, odd_shard).as_bytes()).await?;
                let mut buffer = [0; SLOW_BYTES_PER_TICK];
                while stream.read(&mut buffer).await? > 0 {
                    sleep(SLOW_TICK).await;
                }
                Ok(())
            }
            Behaviour::StoppedReader => {
                stream.write_all(read_head(id, odd_shard).as_bytes()).await?;
                sleep(PATIENCE).await;
                Ok(())
            }
            Behaviour::Flood => {
                for request in 0..FLOOD_REQUESTS {
                    let head = read_head(&format!("{id}-{request}"), even_shard);
                    stream.write_all(head.as_bytes()).await?;
                }
                sleep(PATIENCE).await;
                Ok(())
            }
            Behaviour::NewConnections => {
                stream.write_all(read_head(id, even_shard).as_bytes()).await?;
                let mut response = [0; 1024];
                timeout(PATIENCE, stream.read(&mut response)).await??;
                Ok(())
            }
            Behaviour::ManyFields => {
                let head = write_head(id, even_shard, LONG_BODY_BYTES).replace("\r\n\r\n", "\r\n");
                stream.write_all((head + &short_fields()).as_bytes()).await?;
                wait_for_close(&mut stream).await
            }
            Behaviour::ManyFieldsStoppedUpload | Behaviour::ManyFieldsSlowUpload => {
                let length = short_upload_bytes(number);
                stream.write_all(head_of_many_fields(id, even_shard, length).as_bytes()).await?;
                if behaviour == Behaviour::ManyFieldsStoppedUpload {
                    stream.write_all(&vec![b'*'; length / 2]).await?;
                    return wait_for_close(&mut stream).await;
                }
                for _ in 0..length / UPLOAD_PIECE_BYTES {
                    stream.write_all(&[b'*'; UPLOAD_PIECE_BYTES]).await?;
                    sleep(SLOW_TICK).await;
                }
                wait_for_close(&mut stream).await
            }
        }
    }
}

async fn wait_for_close(stream: &mut TcpStream) -> io::Result<()> {
    let mut scratch = [0; 256];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}

fn short_fields() -> String {
    (0..SHORT_FIELDS).map(|number| format!("X-F{number}: {number}\r\n")).collect()
}

fn head_of_many_fields(id: &str, shard: u64, length: usize) -> String {
    write_head(id, shard, length).replace("\r\n\r\n", &format!("\r\n{}\r\n", short_fields()))
}

/// The length of a client's body, spread evenly over the clients.
fn short_upload_bytes(number: u64) -> usize {
    const STEP_BYTES: usize = 37_123;
    SHORT_UPLOAD_BYTES.start + number as usize * STEP_BYTES % SHORT_UPLOAD_BYTES.len()
}

pub fn read_head(id: &str, shard: u64) -> String {
    format!("{}\r\n", head("GET", "view", id, shard, 1_400))
}

fn write_head(id: &str, shard: u64, length: usize) -> String {
    let head = head("PUT", "deposit", id, shard, 2_900);
    format!("{head}Idempotency-Key: {id}\r\nContent-Length: {length}\r\n\r\n")
}

fn head(method: &str, class: &str, id: &str, shard: u64, time_left_ms: u32) -> String {
    format!(
        "{method} /{class}/00000003b4d60021/{shard:016x} HTTP/1.1\r\nHost: api.internal\r\n\
         X-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Qos-Policy: full\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\nX-Placement: units=1,shard={shard},hosts=1\r\n"
    )
}
