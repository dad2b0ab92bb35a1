//! The actor that owns the handover's machine, the lock and the links.

use crate::core::{AdminCommand, HandoverRequest, HandoverState};
use crate::net::accept::{AcceptFailures, pause as pause_accept};
use crate::net::http::EndpointPage;
use crate::net::{DescriptorBudget, Phase};
use crate::upgrade::Meeting;
use crate::upgrade::wire::{self, Message, Reader, Share, Welcome};
use rowanglade_handover::{Action, Event, Link, Machine, Word};
use rowanglade_object_locations::{ObjectKey, Observation};
use std::collections::{HashMap, VecDeque};
use std::fs::{File, TryLockError};
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Messages that may wait for a link, and what links have to tell.
const MAILBOX: usize = 64;
/// A predecessor that passes all on may open so many descriptors more for what it still holds.
const LAST: usize = 8;
/// Descriptors that a successor needs until everything is given. Its predecessor makes room for them.
const FIRST: usize = 40;
/// How often a predecessor tells what it still has.
const TELL_SHARE: Duration = Duration::from_millis(100);

/// What is accepted on, by name.
#[derive(Debug, Default)]
pub struct Listeners(pub Vec<(String, OwnedFd)>);

impl Listeners {
    pub fn take(&mut self, name: &str) -> Option<OwnedFd> {
        let at = self.0.iter().position(|(n, _)| n == name)?;
        Some(self.0.swap_remove(at).1)
    }
}

/// How a process begins.
#[derive(Debug)]
pub enum Begun {
    /// Nobody serves: it is an ordinary start.
    Alone,
    /// One serves, and hands over once this one is ready.
    Welcomed(Box<Welcome>, Listeners),
    /// One serves, and speaks another version.
    Refused { version: u32 },
}

/// What a handover turns.
#[derive(Debug)]
pub struct Controls {
    pub core: mpsc::Sender<HandoverRequest>,
    /// Whether there is a list that requests can be served by.
    pub ready: watch::Receiver<bool>,
    pub phase: Rc<watch::Sender<Phase>>,
    pub budget: DescriptorBudget,
    pub listeners: Listeners,
}

/// What a link's task tells.
#[derive(Debug)]
enum Input {
    Heard(Link, Box<Message>, Vec<OwnedFd>),
    Lost(Link),
}

type Outgoing = (Message, Vec<OwnedFd>);

/// What the core tells for the other process.
#[derive(Debug)]
pub struct Told {
    /// Operators' calls that it has taken.
    pub calls: mpsc::Receiver<AdminCommand>,
    /// Where it saw objects.
    pub seen: mpsc::Receiver<(ObjectKey, Observation)>,
}

/// The actor.
#[derive(Debug)]
pub struct Keeper {
    meeting: Meeting,
    machine: Machine,
    lock: File,
    listener: Option<UnixListener>,
    links: HashMap<Link, mpsc::Sender<Outgoing>>,
    next: u64,
    tell: mpsc::Sender<Input>,
    told: mpsc::Receiver<Input>,
    wait: Option<Instant>,
    /// What is to be done before anything else is heard.
    todo: VecDeque<Action>,
    /// What came with a predecessor's words.
    welcome: Option<(Box<Welcome>, Listeners)>,
    given: Option<Box<HandoverState>>,
    /// All that is owned here, on its way to the successor.
    frozen: Option<Box<HandoverState>>,
    /// What the core is told of the other process's calls and objects.
    news: VecDeque<HandoverRequest>,
    /// Absent until this process has all that it needs to serve.
    controls: Option<Controls>,
    accept_failures: AcceptFailures,
}

impl Keeper {
    /// Finds out whether somebody serves. It returns once that is known, and what is needed has come.
    pub async fn begin(meeting: Meeting) -> io::Result<(Keeper, Begun)> {
        let lock = File::options().create(true).truncate(false).write(true).open(meeting.lock())?;
        let (machine, actions) = Machine::start();
        let (tell, told) = mpsc::channel(MAILBOX);
        let mut keeper = Keeper {
            meeting,
            machine,
            lock,
            listener: None,
            links: HashMap::new(),
            next: 0,
            tell,
            told,
            wait: None,
            todo: actions.into(),
            welcome: None,
            given: None,
            frozen: None,
            news: VecDeque::new(),
            controls: None,
            accept_failures: AcceptFailures::default(),
        };
        loop {
            while let Some(action) = keeper.todo.pop_front() {
                match action {
                    Action::Serve { .. } => {
                        keeper.todo.push_front(action);
                        return Ok((keeper, Begun::Alone));
                    }
                    Action::Prepare => {
                        if let Some((welcome, listeners)) = keeper.welcome.take() {
                            return Ok((keeper, Begun::Welcomed(welcome, listeners)));
                        }
                    }
                    Action::Fail { version } => return Ok((keeper, Begun::Refused { version })),
                    other => keeper.act(other).await?,
                }
            }
            keeper.listen().await;
        }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self, controls: Controls, mut told: Told) {
        let mut ready = controls.ready.clone();
        self.controls = Some(controls);
        let mut prepared = false;
        let mut share = tokio::time::interval(TELL_SHARE);
        loop {
            while let Some(action) = self.todo.pop_front() {
                if let Err(error) = self.act(action).await {
                    tracing::warn!(%error, ?action, "a handover went wrong");
                }
            }
            while let Some(news) = self.news.pop_front() {
                self.ask(|_: oneshot::Sender<()>| news).await;
            }
            tokio::select! {
                Some(seen) = told.seen.recv() => self.to_all(&Message { seen: Some(seen), ..Message::default() }),
                Some(call) = told.calls.recv() => self.to_all(&Message { call: Some(call), ..Message::default() }),
                Ok(_) = ready.wait_for(|ready| *ready), if !prepared => {
                    prepared = true;
                    self.todo.extend(self.machine.handle(Event::Prepared));
                }
                _ = share.tick(), if self.machine.passed() => self.tell_share(),
                () = self.listen() => {}
            }
        }
    }

    /// Waits for the next thing to happen, and has the machine say what follows. It may be dropped half way.
    async fn listen(&mut self) {
        let wait = self.wait;
        let pause = async {
            match wait {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let listener = self.listener.as_ref();
        let met = async {
            match listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            Some(input) = self.told.recv() => self.heard(input),
            met = met => match met {
                Ok((stream, _)) if self.meeting.trusts(&stream) => Some(Event::Met(self.link(stream))),
                Ok(_) => None,
                Err(error) => {
                    // Without a wait, one that goes on failing would take the whole thread.
                    let next = self.accept_failures.failed(&error, "a successor");
                    pause_accept(next).await;
                    None
                }
            },
            () = pause => {
                self.wait = None;
                Some(Event::Waited)
            }
        };
        if let Some(event) = event {
            self.todo.extend(self.machine.handle(event));
        }
    }

    fn heard(&mut self, input: Input) -> Option<Event> {
        let (link, message, fds) = match input {
            Input::Heard(link, message, fds) => (link, message, fds),
            Input::Lost(link) => return self.lost(link),
        };
        let Message { word, welcome, given, call, seen, share } = *message;
        self.news.extend(call.map(HandoverRequest::AdminCommand));
        self.news.extend(seen.map(|(object, seen)| HandoverRequest::ObjectSeen(object, seen)));
        if let (Some(share), Some(controls)) = (share, &self.controls) {
            controls.budget.share(share.descriptors);
        }
        match word? {
            // A word without what belongs to it is torn.
            Word::Welcome => match welcome.filter(|w| w.listeners.len() == fds.len()) {
                Some(welcome) => {
                    let listeners = welcome.listeners.iter().cloned().zip(fds).collect();
                    self.welcome = Some((welcome, Listeners(listeners)));
                }
                None => return self.lost(link),
            },
            Word::Given => match given {
                Some(given) => self.given = Some(given),
                None => return self.lost(link),
            },
            _ => {}
        }
        word.map(|word| Event::Heard(link, word))
    }

    fn lost(&mut self, link: Link) -> Option<Event> {
        self.links.remove(&link);
        if let (true, Some(controls)) = (self.machine.owns(), &self.controls) {
            controls.budget.share(0);
        }
        Some(Event::Lost(link))
    }

    async fn act(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::Lock => {
                let event = match self.lock.try_lock() {
                    Ok(()) => Event::Locked,
                    Err(TryLockError::WouldBlock) => Event::Taken,
                    Err(TryLockError::Error(error)) => return Err(error),
                };
                self.todo.extend(self.machine.handle(event));
            }
            Action::Unlock => self.lock.unlock()?,
            Action::Connect => {
                let stream = self.meeting.connect().await.ok().filter(|s| self.meeting.trusts(s));
                let link = stream.map(|stream| self.link(stream));
                self.todo.extend(self.machine.handle(Event::Linked(link)));
            }
            Action::Say(link, word) => self.say(link, word).await?,
            Action::Close(link) => {
                self.links.remove(&link);
            }
            Action::Wait(span) => self.wait = Some(Instant::now() + span),
            Action::Prepare => {}
            Action::Serve { given } => {
                if let Some(given) = self.given.take().filter(|_| given) {
                    self.ask(|done| HandoverRequest::TakeOver(given, done)).await;
                }
                self.open(Phase::Serving)?;
            }
            Action::Freeze => {
                self.turn(Phase::Preparing);
                self.frozen = self.ask(HandoverRequest::Freeze).await;
            }
            Action::Resume => {
                self.ask(HandoverRequest::Resume).await;
                self.turn(Phase::Serving);
                if let Some(controls) = &self.controls {
                    controls.budget.share(0);
                }
            }
            Action::Pass => {
                (self.listener, self.frozen) = (None, None);
                self.turn(Phase::Leaving);
                if let Some(controls) = &self.controls {
                    controls.budget.keep_in_use(LAST);
                }
                self.tell_share();
                tracing::info!("all is handed over");
            }
            Action::Restart => {
                tracing::warn!("the successor is gone; serving again");
                self.ask(HandoverRequest::Restart).await;
                self.open(Phase::Serving)?;
                if let Some(controls) = &self.controls {
                    controls.budget.share(0);
                }
            }
            Action::Fail { version } => tracing::error!(version, "it speaks another version"),
        }
        Ok(())
    }

    fn turn(&self, phase: Phase) {
        if let Some(controls) = &self.controls {
            controls.phase.send_replace(phase);
        }
    }

    /// From now on it serves, and the next successor finds it.
    fn open(&mut self, phase: Phase) -> io::Result<()> {
        self.turn(phase);
        self.listener = Some(self.meeting.bind()?);
        Ok(())
    }

    /// Asks the core. None: it has ended.
    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> HandoverRequest) -> Option<T> {
        let core = &self.controls.as_ref()?.core;
        let (answer, answered) = oneshot::channel();
        core.send(question(answer)).await.ok()?;
        answered.await.ok()
    }

    async fn say(&mut self, link: Link, word: Word) -> io::Result<()> {
        let mut message = Message { word: Some(word), ..Message::default() };
        let mut fds = Vec::new();
        match word {
            Word::Welcome => {
                let described = self.ask(HandoverRequest::Describe).await;
                let (Some((now, list)), Some(controls)) = (described, &self.controls) else { return Ok(()) };
                controls.budget.share(FIRST);
                let share = Share { descriptors: controls.budget.total().saturating_sub(FIRST) };
                let listeners = controls.listeners.0.iter().map(|(name, _)| name.clone()).collect();
                for (_, fd) in &controls.listeners.0 {
                    fds.push(fd.try_clone()?);
                }
                message.welcome =
                    Some(Box::new(Welcome { now, list: EndpointPage::snapshot(list), share, listeners }));
            }
            Word::Given => message.given = self.frozen.clone(),
            _ => {}
        }
        if let Some(to) = self.links.get(&link) {
            // A link that does not take it breaks, which its task tells.
            let _ = to.send((message, fds)).await;
        }
        Ok(())
    }

    /// Tells the successor what this process still has of what both count together.
    fn tell_share(&self) {
        let Some(controls) = &self.controls else { return };
        let share = Some(Share { descriptors: controls.budget.open_descriptors() + LAST });
        self.to_all(&Message { share, ..Message::default() });
    }

    fn to_all(&self, message: &Message) {
        for link in self.links.values() {
            // What a link with a full mailbox misses is told again soon, or of no use to it.
            let _ = link.try_send((message.clone(), Vec::new()));
        }
    }

    /// Starts a link's task. It ends when its sender is dropped or its stream breaks.
    fn link(&mut self, stream: UnixStream) -> Link {
        let link = Link(self.next);
        self.next += 1;
        let (to, mut outgoing) = mpsc::channel::<Outgoing>(MAILBOX);
        let tell = self.tell.clone();
        self.links.insert(link, to);
        actix_rt::spawn(async move {
            let mut reader = Reader::default();
            let error = loop {
                tokio::select! {
                    next = outgoing.recv() => match next {
                        Some((message, fds)) => match wire::send(&stream, &message, &fds).await {
                            Ok(()) => {}
                            Err(error) => break Some(error),
                        },
                        None => break None,
                    },
                    heard = reader.next(&stream) => match heard {
                        Ok((message, fds)) => {
                            let _ = tell.send(Input::Heard(link, Box::new(message), fds)).await;
                        }
                        Err(error) => break Some(error),
                    },
                }
            };
            if let Some(error) = error {
                tracing::info!(%error, "a link between processes ended");
            }
            let _ = tell.send(Input::Lost(link)).await;
        });
        link
    }
}
