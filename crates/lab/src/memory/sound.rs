//! Clients that send sound short requests, each on a new connection, and count what becomes of them.
//!
//! They run on a thread of their own: the crowd keeps its thread busy, and that would count as the initiator's delay.

use super::clients::read_head;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{interval, timeout};

/// The pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// How long a client waits: the time left that it tells, and what the answer may take beyond.
const PATIENCE: Duration = Duration::from_millis(1_550);

/// What became of a sound request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    Served,
    Status(String),
    ClosedWithoutAnswer,
    NoAnswerInTime,
}

/// How many of the sound requests had which end.
#[derive(Clone, Debug, Default)]
pub struct SoundRequests(BTreeMap<Fate, usize>);

impl SoundRequests {
    /// The share of them that was served; 1 if there were none.
    pub fn served_share(&self) -> f64 {
        let all: usize = self.0.values().sum();
        let served = self.0.get(&Fate::Served).copied().unwrap_or_default();
        if all == 0 { 1.0 } else { served as f64 / all as f64 }
    }
}

impl fmt::Display for SoundRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<String> = self.0.iter().map(|(fate, count)| format!("{fate:?} {count}")).collect();
        f.write_str(&counts.join(", "))
    }
}

/// Clients that send a sound request at each interval.
pub struct SoundClients {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<SoundRequests>,
}

impl SoundClients {
    /// Starts to send requests. Those before the first that is served are not counted: the process may still wait for its
    /// endpoint list.
    pub fn start(address: SocketAddr, shards: u64) -> SoundClients {
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            crate::runtime::block_on(async move { send_until(address, shards, stopped).await })
        });
        SoundClients { stop, thread }
    }

    /// Stops. Requests that are under way are not counted.
    pub fn stop(self) -> SoundRequests {
        let _ = self.stop.send(());
        self.thread.join().unwrap_or_default()
    }
}

async fn send_until(address: SocketAddr, shards: u64, mut stopped: oneshot::Receiver<()>) -> SoundRequests {
    let requests: Rc<RefCell<SoundRequests>> = Rc::default();
    let mut ticks = interval(REQUEST_INTERVAL);
    wait_until_ready(address, &mut stopped).await;
    for number in 0u64.. {
        tokio::select! {
            biased;
            _ = &mut stopped => break,
            _ = ticks.tick() => {}
        }
        let requests = Rc::clone(&requests);
        tokio::task::spawn_local(async move {
            let fate = timeout(PATIENCE, send(address, number, shards)).await.unwrap_or(Fate::NoAnswerInTime);
            *requests.borrow_mut().0.entry(fate).or_default() += 1;
        });
    }
    requests.take()
}

/// Asks the process whether it is ready until it says so.
async fn wait_until_ready(address: SocketAddr, stopped: &mut oneshot::Receiver<()>) {
    const REQUEST: &str = "GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
    while stopped.try_recv() == Err(oneshot::error::TryRecvError::Empty) {
        let answer = timeout(PATIENCE, exchange(address, REQUEST)).await;
        if answer.is_ok_and(|fate| fate == Fate::Served) {
            return;
        }
        tokio::time::sleep(REQUEST_INTERVAL / 5).await;
    }
}

async fn send(address: SocketAddr, number: u64, shards: u64) -> Fate {
    // The targets of odd shards answer at length.
    exchange(address, &read_head(&format!("sound-{number}"), number * 2 % shards)).await
}

async fn exchange(address: SocketAddr, request: &str) -> Fate {
    let answer = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = [0; 512];
        let read = stream.read(&mut answer).await?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer[..read]).into_owned())
    };
    match answer.await {
        Ok(text) if text.starts_with("HTTP/1.1 200") => Fate::Served,
        Ok(text) if !text.is_empty() => Fate::Status(status_and_advice(&text)),
        Ok(_) | Err(_) => Fate::ClosedWithoutAnswer,
    }
}

/// The status of an answer, and when it advises to come again: both tell who gave it.
fn status_and_advice(answer: &str) -> String {
    let status = answer.split(' ').nth(1).unwrap_or_default();
    let advice = answer
        .lines()
        .find_map(|line| line.split_once(':').filter(|(name, _)| name.eq_ignore_ascii_case("retry-after")));
    advice.map_or(status.to_string(), |(_, seconds)| format!("{status}, again in{seconds} s"))
}
