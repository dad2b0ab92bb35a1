//! Discovery: the list of boxes, whole or as a watch on its changes, late, away or in trouble on command.

use crate::boxes::DiskBox;
use crate::http::{Answer, Connection, Request};
use crate::recorder::Recorder;
use rowanglade_checker::{Micros, ProcessId, TargetState};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// A connection that is closed this soon after an answer broke while the answer was read.
const BROKEN_WITHIN: Duration = Duration::from_millis(100);

/// What the list says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Active,
    Leaving,
    /// Only among changes.
    Left,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub shard: u32,
    pub state: State,
    pub started_ms: u64,
    /// Its zone, where it is not the service's own.
    pub zone: Option<String>,
}

impl Entry {
    pub fn of(each: &DiskBox, state: State) -> Entry {
        Entry {
            id: each.name().to_string(),
            addr: each.addr(),
            shard: each.shard(),
            state,
            started_ms: each.started_ms(),
            zone: None,
        }
    }

    /// The line as the platform words it, for a service in `zone`.
    pub fn json(&self, zone: &str) -> serde_json::Value {
        let state = match self.state {
            State::Active => "active",
            State::Leaving => "leaving",
            State::Left => "left",
        };
        json!({
            "id": self.id, "addr": self.addr.to_string(), "zone": self.zone.as_deref().unwrap_or(zone), "kind": "std-box",
            "cell": self.shard, "state": state, "weight": 1.0, "started_ms": self.started_ms,
        })
    }
}

/// What keeps the service from answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing does.
    None,
    /// Every call is refused at once, and so are those that wait.
    Refusing,
    /// Every connection is reset.
    Resetting,
    /// Every call hangs for so long and is refused then.
    Hanging(Duration),
    /// No call is answered, also not after the trouble.
    Silent,
}

/// The service. Versions begin at 1 and grow with every change.
pub struct Discovery {
    addr: SocketAddr,
    zone: String,
    /// Each target's line by its name, with the version that changed it last and its text.
    lines: RefCell<BTreeMap<String, Line>>,
    version: watch::Sender<u64>,
    trouble: watch::Sender<Trouble>,
    /// Calls that do not wait for news are served one after another, in this time each.
    work: Cell<Duration>,
    queue: tokio::sync::Mutex<()>,
    lag: Cell<Duration>,
    calls: Cell<u64>,
    bytes: Cell<u64>,
    /// Where changes, outages and what is written to which process are recorded.
    recorder: Option<Rc<Recorder>>,
    /// Since when no call is answered.
    out_since: Cell<Option<Micros>>,
}

/// A line of the list as it is kept.
struct Line {
    version: u64,
    entry: Entry,
    text: String,
}

impl Discovery {
    /// # Errors
    /// No socket can be bound.
    pub async fn start(zone: &str) -> io::Result<Rc<Discovery>> {
        Discovery::start_recorded(zone, None).await
    }

    /// The same, with a record of what it tells whom.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start_recorded(zone: &str, recorder: Option<Rc<Recorder>>) -> io::Result<Rc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let made = Rc::new(Discovery {
            addr: listener.local_addr()?,
            zone: zone.to_string(),
            lines: RefCell::default(),
            version: watch::Sender::new(1),
            trouble: watch::Sender::new(Trouble::None),
            work: Cell::new(Duration::ZERO),
            queue: tokio::sync::Mutex::new(()),
            lag: Cell::new(Duration::ZERO),
            calls: Cell::new(0),
            bytes: Cell::new(0),
            recorder,
            out_since: Cell::new(None),
        });
        tokio::task::spawn_local(Rc::clone(&made).accept(listener, None));
        Ok(made)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, process: Option<ProcessId>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).converse(Connection::new(stream), process));
                }
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn converse(self: Rc<Self>, mut connection: Connection, process: Option<ProcessId>) {
        let mut next = connection.head().await;
        while let Ok(Some((request, body))) = next {
            if connection.skip(body).await.is_err() {
                return;
            }
            let Some((answer, version)) = self.handle(&request).await else {
                // Without this the connection would be closed in order. One that is gone needs no reset.
                let _ = connection.stream.set_zero_linger();
                return;
            };
            if connection.answer(answer).await.is_err() {
                return;
            }
            let written = self.recorder.as_ref().map(|recorder| recorder.now());
            let soon = tokio::time::timeout(BROKEN_WITHIN, connection.head()).await;
            // Who drops its connection on an answer has not got it whole: that call has failed.
            let broken = matches!(soon, Ok(Ok(None) | Err(_)));
            if let (Some(recorder), Some(at), Some(process), Some(version)) =
                (&self.recorder, written, process, version.filter(|_| !broken))
            {
                recorder.delivery(process, version, at);
            }
            next = match soon {
                Ok(next) => next,
                Err(_) => connection.head().await,
            };
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// An address for one process: what is written there is recorded as told to it.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn addr_for(self: &Rc<Self>, process: ProcessId) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        tokio::task::spawn_local(Rc::clone(self).accept(listener, Some(process)));
        Ok(addr)
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Bytes of the lists and news in these answers.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Whether calls are refused.
    pub fn away(&self, away: bool) {
        self.trouble(if away { Trouble::Refusing } else { Trouble::None });
    }

    /// Begins or ends trouble; calls that wait meet it at once.
    pub fn trouble(&self, trouble: Trouble) {
        if let Some(recorder) = &self.recorder {
            match (self.out_since.get(), trouble) {
                (None, Trouble::None) | (Some(_), Trouble::Refusing | Trouble::Resetting) => {}
                (Some(_), Trouble::Hanging(_) | Trouble::Silent) => {}
                (None, _) => self.out_since.set(Some(recorder.now())),
                (Some(since), Trouble::None) => {
                    recorder.outage(since, recorder.now());
                    self.out_since.set(None);
                }
            }
        }
        self.trouble.send_replace(trouble);
    }

    /// How long the service works on a call that does not wait for news. It works on one at a time.
    pub fn work(&self, work: Duration) {
        self.work.set(work);
    }

    /// How late answers come.
    pub fn lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    /// Adds a target, or changes what is said of it.
    pub fn put(&self, entry: Entry) {
        self.put_all([entry]);
    }

    /// Adds targets, or changes what is said of them, in one version.
    pub fn put_all(&self, entries: impl IntoIterator<Item = Entry>) {
        let version = *self.version.borrow() + 1;
        let mut lines = self.lines.borrow_mut();
        for entry in entries {
            if let Some(recorder) = &self.recorder {
                recorder.change(version, &entry.id, target_state(&entry, recorder));
            }
            let text = entry.json(&self.zone).to_string();
            lines.insert(entry.id.clone(), Line { version, entry, text });
        }
        drop(lines);
        self.version.send_replace(version);
    }

    /// Takes a target out.
    pub fn remove(&self, id: &str) {
        let entry = self.lines.borrow().get(id).map(|line| line.entry.clone());
        if let Some(entry) = entry {
            self.put(Entry { state: State::Left, ..entry });
        }
    }

    /// The whole list, as a process remembers it.
    pub fn page(&self) -> serde_json::Value {
        let lines = self.lines.borrow();
        let listed = lines.values().filter(|line| line.entry.state != State::Left);
        let servers: Vec<_> = listed.map(|line| line.entry.json(&self.zone)).collect();
        json!({"version": *self.version.borrow(), "full": true, "servers": servers})
    }

    /// The answer to a call with the version it tells; none: its connection is reset.
    async fn handle(&self, request: &Request) -> Option<(Answer, Option<u64>)> {
        let mut trouble = self.trouble.subscribe();
        tokio::select! {
            biased;
            trouble = async { trouble.wait_for(|now| *now != Trouble::None).await.map(|now| *now) } => {
                // The sender lives as long as the service.
                match trouble.unwrap_or(Trouble::None) {
                    Trouble::None | Trouble::Refusing => Some((Answer::new(503), None)),
                    Trouble::Resetting => None,
                    Trouble::Hanging(span) => {
                        sleep(span).await;
                        Some((Answer::new(503), None))
                    }
                    Trouble::Silent => std::future::pending().await,
                }
            }
            answer = self.serve(request) => Some(answer),
        }
    }

    async fn serve(&self, request: &Request) -> (Answer, Option<u64>) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if path != "/discovery/hosts" {
            return (Answer::new(404), None);
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let (from, hold_ms) = (number("from"), number("hold_ms").unwrap_or(0).min(60_000));
        if hold_ms <= 1 {
            let _turn = self.queue.lock().await;
            sleep(self.work.get()).await;
        }
        if let Some(from) = from {
            let until = Instant::now() + Duration::from_millis(hold_ms);
            let mut version = self.version.subscribe();
            // The hold ending without news is an answer too.
            let _ = tokio::time::timeout_at(until, version.wait_for(|v| *v > from)).await;
        }
        sleep(self.lag.get()).await;
        self.calls.set(self.calls.get() + 1);
        let version = *self.version.borrow();
        let mut answer = Answer::new(200);
        answer.headers.push(("Content-Type", "application/json".into()));
        answer.body = self.list(version, from).into_bytes();
        self.bytes.set(self.bytes.get() + answer.body.len() as u64);
        (answer, Some(version))
    }

    /// The text of the whole list, or of what has changed since a version.
    fn list(&self, version: u64, from: Option<u64>) -> String {
        let lines = self.lines.borrow();
        let wanted = lines.values().filter(|line| match from {
            Some(from) => line.version > from,
            None => line.entry.state != State::Left,
        });
        let servers: Vec<&str> = wanted.map(|line| line.text.as_str()).collect();
        let full = from.is_none();
        format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
    }
}

/// What the checker is told of a line. A start is told in Unix time; it counts from when it is listed.
fn target_state(entry: &Entry, recorder: &Recorder) -> TargetState {
    match entry.state {
        State::Active => TargetState::InUse {
            started: (entry.started_ms > 0).then(|| recorder.at_unix_ms(entry.started_ms)),
        },
        State::Leaving => TargetState::Leaving,
        State::Left => TargetState::Left,
    }
}
