//! Plays a planned restart with a real process.

use super::client::{Client, ClientResult};
use super::plan::{EARLIEST_KILL, RestartPlan};
use super::tally::Tally;
use crate::failure::Failure;
use crate::initiators::{ZONE, start_daemons};
use crate::traces::standard_header;
use rowanglade_test_fleet::{Daemon, StubSite, TargetFault, TargetPlan};
use std::fmt;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Clients run for this long before SIGTERM.
const BEFORE_TERMINATION: Duration = Duration::from_millis(1_000);
/// How often the end of the process is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct RestartResult {
    /// What became of the requests.
    pub tally: Tally,
    /// What may not be.
    pub breaches: Vec<String>,
    /// How long after SIGTERM the process ended; of several runs, the longest time.
    pub ended_after: Duration,
}

impl RestartResult {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Both results together.
    pub fn merge(mut self, other: RestartResult) -> RestartResult {
        self.breaches.extend(other.breaches);
        RestartResult {
            tally: self.tally.merge(other.tally),
            breaches: self.breaches,
            ended_after: self.ended_after.max(other.ended_after),
        }
    }
}

impl fmt::Display for RestartResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}; {} connections refused; ended after {:.3} s; {} breaches",
            self.tally,
            self.tally.refused_connections,
            self.ended_after.as_secs_f64(),
            self.breaches.len()
        )
    }
}

/// Plays a plan.
///
/// # Errors
/// The process or its targets cannot be started, or the process has ended before SIGTERM.
pub async fn play(plan: &RestartPlan) -> Result<RestartResult, Failure> {
    let target =
        TargetPlan { slots: 16, default_service_time: plan.targets.service_time, ..TargetPlan::default() };
    let site = StubSite::start(&vec![target; plan.targets.count], ZONE, plan.seed).await?;
    let mut daemons = start_daemons(&site, &standard_header(), 1, |_| None)?;
    let mut daemon = daemons.remove(0);
    wait_until_ready(daemon.http).await?;
    let crowd = open_crowd(daemon.http, plan.crowd).await;
    let terminated_at = Instant::now() + BEFORE_TERMINATION;
    let clients = start_clients(plan, daemon.http, terminated_at);
    let mut breaches = Vec::new();
    let ended_after = terminate(plan, &site, &mut daemon, terminated_at, &mut breaches).await?;
    drop(crowd);
    let mut tally = Tally::default();
    for client in clients {
        // The stubs run on this thread: their connections are served while the clients end.
        while !client.is_finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let result = client.join().map_err(|_| Failure::Unexpected("a client panicked"))?;
        tally = tally.merge(result.tally);
        breaches.extend(result.breaches);
    }
    Ok(RestartResult { tally, breaches, ended_after })
}

async fn wait_until_ready(address: SocketAddr) -> Result<(), Failure> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    for _ in 0..2_000 {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        if response.starts_with(b"HTTP/1.1 200") {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(Failure::Unexpected("the daemon did not become ready"))
}

/// Opens idle connections.
async fn open_crowd(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for _ in 0..count {
        crowd.extend(TcpStream::connect(address).await);
    }
    crowd
}

fn start_clients(
    plan: &RestartPlan,
    address: SocketAddr,
    terminated_at: Instant,
) -> Vec<JoinHandle<ClientResult>> {
    let clients = plan.clients.iter().enumerate().map(|(number, behaviour)| Client {
        number,
        behaviour: *behaviour,
        seed: plan.seed.wrapping_mul(1_000).wrapping_add(number as u64),
        address,
        shards: plan.targets.count,
        terminated_at,
        until: terminated_at + EARLIEST_KILL,
    });
    clients.map(|client| std::thread::spawn(move || client.run())).collect()
}

/// Sends the signals, and SIGKILL as early as the pages have it. Returns how long after SIGTERM the process ended.
async fn terminate(
    plan: &RestartPlan,
    site: &StubSite,
    daemon: &mut Daemon,
    terminated_at: Instant,
    breaches: &mut Vec<String>,
) -> Result<Duration, Failure> {
    let mut signals = plan.signals.iter().peekable();
    tokio::time::sleep_until(terminated_at.into()).await;
    for target in site.targets.iter().take(plan.targets.hanging) {
        target.inject(TargetFault { silent: true, ..TargetFault::default() });
    }
    loop {
        let after = terminated_at.elapsed();
        if daemon.has_ended() {
            let status = daemon.exit_status();
            if !status.is_some_and(|status| status.success()) {
                breaches.push(format!("the process ended with {status:?}: {:?}", daemon.log()));
            }
            return Ok(after);
        }
        if after >= EARLIEST_KILL {
            breaches.push("the process had not ended when SIGKILL came".to_string());
            daemon.signal(rowanglade_test_fleet::Signal::SIGKILL)?;
            return Ok(after);
        }
        while let Some((_, signal)) = signals.next_if(|(at, _)| *at <= after) {
            // The process may have ended in this moment.
            let _ = daemon.signal(*signal);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
