//! One client of a planned restart, on a thread of its own.

use super::exchange::{End, Exchange, Request, exchange, sleep_until, wait_for_close};
use super::plan::Behaviour;
use super::tally::{Fate, Tally};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The least rate at which a client sends a body, in bytes a second: the pages ask for 64,000.
const BODY_RATE: f64 = 66_000.0;
/// Pieces of a body of 60 kB are about as long as those of a network.
const PIECE_BYTES: usize = 1_500;
/// Pieces of a slow head.
const HEAD_PIECES: usize = 16;
/// How long a client waits before it connects again after it was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits after its request was rejected.
const REJECTED_PAUSE: Duration = Duration::from_millis(100);
/// The deadlines of the classes `view` and `deposit`.
const VIEW_TIME: Duration = Duration::from_millis(1_500);
const DEPOSIT_TIME: Duration = Duration::from_millis(3_000);

/// What a client did and saw.
#[derive(Clone, Debug, Default)]
pub struct ClientResult {
    /// What became of its requests.
    pub tally: Tally,
    /// Requests that were lost or cut off.
    pub breaches: Vec<String>,
}

/// A client.
pub struct Client {
    /// Its number in the run.
    pub number: usize,
    /// How it sends its requests.
    pub behaviour: Behaviour,
    /// Seed of its random draws.
    pub seed: u64,
    /// The initiator.
    pub address: SocketAddr,
    /// The number of shards.
    pub shards: usize,
    /// When SIGTERM comes.
    pub terminated_at: Instant,
    /// It begins no request after this time.
    pub until: Instant,
}

impl Client {
    /// Sends requests, one after another, on a connection that is kept for as long as it stays open.
    pub fn run(self) -> ClientResult {
        let mut random = Pcg64Mcg::seed_from_u64(self.seed);
        let mut result = ClientResult::default();
        let mut kept: Option<TcpStream> = None;
        for request_number in 0usize.. {
            let begin = Instant::now() + self.pause(&mut random);
            if begin >= self.until {
                break;
            }
            if kept.as_ref().is_some_and(|stream| wait_for_close(stream, begin)) {
                kept = None;
            }
            sleep_until(begin);
            let is_first = kept.is_none();
            let Some(mut stream) = kept.take().or_else(|| self.connect()) else {
                result.tally.refused_connections += 1;
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let request = self.request(request_number, &mut random);
            let exchange = exchange(&mut stream, &request);
            self.record(&request, &exchange, is_first, &mut result);
            if matches!(exchange.end, End::Answered { status: 429 | 503, .. }) {
                std::thread::sleep(REJECTED_PAUSE);
            }
            let stays_open = matches!(exchange.end, End::Answered { stays_open: true, .. });
            kept = (stays_open && self.behaviour != Behaviour::NewConnections).then_some(stream);
        }
        result
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    fn pause(&self, random: &mut Pcg64Mcg) -> Duration {
        let longest = match self.behaviour {
            Behaviour::AtOnce => return Duration::ZERO,
            Behaviour::SlowHead | Behaviour::SlowBody => 100,
            Behaviour::ShortBody | Behaviour::NewConnections => 300,
            Behaviour::Rare => 2_000,
        };
        Duration::from_millis(random.random_range(0..longest))
    }

    fn request(&self, number: usize, random: &mut Pcg64Mcg) -> Request {
        let id = format!("{}-{number}", self.number);
        let mut seconds = |range: std::ops::Range<f64>| random.random_range(range);
        match self.behaviour {
            Behaviour::SlowHead => self.slow_head(id, seconds(0.3..1.9)),
            Behaviour::NewConnections if number.is_multiple_of(5) => self.slow_head(id, seconds(0.3..1.9)),
            Behaviour::SlowBody => {
                let bytes = seconds(20_000.0..65_000.0);
                self.write(id, bytes as usize, bytes / BODY_RATE)
            }
            Behaviour::ShortBody => self.write(id, 2_000, seconds(0.02..0.2)),
            Behaviour::AtOnce | Behaviour::Rare | Behaviour::NewConnections => {
                let pieces = vec![(Duration::ZERO, self.head("view", &id, 0).into_bytes())];
                Request { id, pieces, time_left: VIEW_TIME }
            }
        }
    }

    /// A read whose head takes `seconds`.
    fn slow_head(&self, id: String, seconds: f64) -> Request {
        let head = self.head("view", &id, 0).into_bytes();
        let pieces = head.chunks(head.len().div_ceil(HEAD_PIECES));
        Request { id, pieces: spread(pieces.map(<[u8]>::to_vec).collect(), seconds), time_left: VIEW_TIME }
    }

    /// A write whose head comes at once and whose body takes `seconds`.
    fn write(&self, id: String, bytes: usize, seconds: f64) -> Request {
        let mut pieces = vec![self.head("deposit", &id, bytes).into_bytes()];
        pieces.extend(vec![b'x'; bytes].chunks(PIECE_BYTES).map(<[u8]>::to_vec));
        Request { id, pieces: spread(pieces, seconds), time_left: DEPOSIT_TIME }
    }

    fn head(&self, class: &str, id: &str, bytes: usize) -> String {
        let is_write = class == "deposit";
        let method = if is_write { "PUT" } else { "GET" };
        let (volume, shard) = (100 + self.number, self.number % self.shards);
        let time_left = if is_write { DEPOSIT_TIME } else { VIEW_TIME };
        let body = match is_write {
            true => format!("Idempotency-Key: {id}\r\nContent-Length: {bytes}\r\n"),
            false => String::new(),
        };
        format!(
            "{method} /{class}/{volume:016x}/{shard:016x}?v=1 HTTP/1.1\r\nHost: api.internal\r\n\
             X-Correlation-Id: restart-{id}\r\nX-Service-Class: {class}\r\nX-Qos-Policy: full\r\n\
             X-Time-Left-Ms: {}\r\nX-Placement: units=1,shard={shard},hosts=1\r\n{body}\r\n",
            time_left.as_millis()
        )
    }

    fn record(&self, request: &Request, exchange: &Exchange, is_first: bool, result: &mut ClientResult) {
        let fate = Fate::of(exchange, is_first);
        result.tally.record(fate);
        if fate.is_breach() {
            let after = |at: Instant| {
                at.checked_duration_since(self.terminated_at).map_or(0.0, |time| time.as_secs_f64())
            };
            result.breaches.push(format!(
                "{fate:?} {} ({:?}): begun {:.3} s, whole {:.3?} s, ended {:.3} s after SIGTERM",
                request.id,
                self.behaviour,
                after(exchange.began_at),
                exchange.whole_at.map(after),
                after(exchange.ended_at)
            ));
        }
    }
}

/// Spreads pieces evenly over some seconds, the first at once and the last at their end.
fn spread(pieces: Vec<Vec<u8>>, seconds: f64) -> Vec<(Duration, Vec<u8>)> {
    let last = (pieces.len() - 1).max(1) as f64;
    let after = |index: usize| Duration::from_secs_f64(seconds * index as f64 / last);
    pieces.into_iter().enumerate().map(|(index, bytes)| (after(index), bytes)).collect()
}
