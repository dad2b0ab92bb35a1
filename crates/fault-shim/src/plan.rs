//! Which calls fail, how, how often and when: read from an environment variable.
//!
//! The text is a list of parts divided by `;`: `seed=N`, and faults as `CALL:FAULT:RATE[:FROM_MS-TO_MS]`, for example
//! `seed=7;accept4:ECONNABORTED:0.1;epoll_wait:late=150:0.01:2000-5000;clock:step=3600000:1:3000-9000`. Times count from
//! the first call that the shim sees.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The variable that holds the plan.
pub const FAULTS_VARIABLE: &str = "ROWANGLADE_FAULTS";
/// The variable with the path of the file that counts of injected faults go to; the process's number is added
/// to it.
pub const COUNTS_VARIABLE: &str = "ROWANGLADE_FAULT_COUNTS";

/// A call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `recv`.
    Receive,
    /// `send`.
    Send,
    /// `epoll_wait`.
    EpollWait,
    /// The wall clock.
    Clock,
    /// `write`, to files only.
    Write,
    /// `fsync`.
    Fsync,
}

impl Call {
    /// All calls with their names in plans.
    pub const ALL: [(Call, &'static str); 9] = [
        (Call::Accept, "accept4"),
        (Call::Socket, "socket"),
        (Call::Connect, "connect"),
        (Call::Receive, "recv"),
        (Call::Send, "send"),
        (Call::EpollWait, "epoll_wait"),
        (Call::Clock, "clock"),
        (Call::Write, "write"),
        (Call::Fsync, "fsync"),
    ];

    /// Its name in plans.
    pub fn name(self) -> &'static str {
        Call::ALL.iter().find(|(call, _)| *call == self).map_or("?", |(_, name)| name)
    }
}

/// What a call does instead of, or beside, its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this number.
    Errno(i32),
    /// It moves one byte at most.
    Short,
    /// It returns this much later.
    Late(Duration),
    /// The wall clock is off by so many milliseconds.
    Step(i64),
}

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The call that it befalls.
    pub call: Call,
    /// What happens.
    pub fault: Fault,
    /// The part of calls that it befalls.
    pub rate: f64,
    /// When it begins, from the first call that the shim sees.
    pub from: Duration,
    /// When it ends, from the same.
    pub to: Duration,
}

/// All faults of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// What its random numbers follow from.
    pub seed: u64,
    /// The kinds of faults; the first that is drawn befalls a call.
    pub rules: Vec<Rule>,
}

/// A part of a plan that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsePlanError(pub String);

impl fmt::Display for ParsePlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{FAULTS_VARIABLE}: {:?} is no fault", self.0)
    }
}

impl std::error::Error for ParsePlanError {}

/// The errors that plans name.
const ERRNOS: [(&str, i32); 16] = [
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ECONNRESET", libc::ECONNRESET),
    ("EPIPE", libc::EPIPE),
    ("EINTR", libc::EINTR),
    ("ENOSPC", libc::ENOSPC),
    ("EIO", libc::EIO),
    ("EPERM", libc::EPERM),
];

impl FromStr for Plan {
    type Err = ParsePlanError;

    fn from_str(text: &str) -> Result<Plan, ParsePlanError> {
        let mut plan = Plan::default();
        for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            match part.strip_prefix("seed=") {
                Some(seed) => plan.seed = seed.parse().map_err(|_| ParsePlanError(part.to_string()))?,
                None => plan.rules.push(rule(part).ok_or_else(|| ParsePlanError(part.to_string()))?),
            }
        }
        Ok(plan)
    }
}

fn rule(text: &str) -> Option<Rule> {
    let mut words = text.split(':');
    let (call, fault, rate) = (words.next()?, words.next()?, words.next()?);
    let (call, _) = Call::ALL.into_iter().find(|(_, name)| *name == call)?;
    let rate = rate.parse::<f64>().ok().filter(|rate| (0.0..=1.0).contains(rate))?;
    let (from, to) = match words.next() {
        None => (Duration::ZERO, Duration::MAX),
        Some(span) => {
            let (from, to) = span.split_once('-')?;
            (Duration::from_millis(from.parse().ok()?), Duration::from_millis(to.parse().ok()?))
        }
    };
    words.next().is_none().then_some(Rule { call, fault: fault_of(fault)?, rate, from, to })
}

fn fault_of(text: &str) -> Option<Fault> {
    if text == "short" {
        return Some(Fault::Short);
    }
    if let Some(ms) = text.strip_prefix("late=") {
        return Some(Fault::Late(Duration::from_millis(ms.parse().ok()?)));
    }
    if let Some(ms) = text.strip_prefix("step=") {
        return Some(Fault::Step(ms.parse().ok()?));
    }
    ERRNOS.iter().find(|(name, _)| *name == text).map(|(_, errno)| Fault::Errno(*errno))
}
