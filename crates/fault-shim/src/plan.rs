//! The fault plan: which system calls fail, in which way, how often and when. Parsed from an environment
//! variable.
//!
//! A plan is a list of parts separated by `;`: `seed=N`, and one rule per part as
//! `CALL:FAULT:RATE[:FROM_MS-TO_MS]`. Example:
//! `seed=7;accept4:ECONNABORTED:0.1;epoll_wait:late=150:0.01:2000-5000;clock:step=3600000:1:3000-9000`. Times
//! are measured from the first call that the shim intercepts.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The environment variable that contains the plan.
pub const FAULTS_VARIABLE: &str = "ROWANGLADE_FAULTS";
/// The environment variable with the path of the file for the counts of injected faults. The shim appends `.`
/// and the process id to the path.
pub const COUNTS_VARIABLE: &str = "ROWANGLADE_FAULT_COUNTS";

/// A system call into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// `accept4`, by which a server accepts connections.
    Accept,
    /// `socket`, which creates a socket.
    Socket,
    /// `connect`, which opens a connection.
    Connect,
    /// `recv`, except when it only peeks.
    Receive,
    /// `send`, on any socket.
    Send,
    /// `epoll_wait`, which waits for readiness events.
    EpollWait,
    /// `clock_gettime` of the wall clock.
    Clock,
    /// `write` to regular files.
    Write,
    /// `fsync`, on any file.
    Fsync,
}

impl Call {
    /// All calls with their names in the text of a plan.
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

    /// Returns the call's name in the text of a plan.
    pub fn name(self) -> &'static str {
        Call::ALL.iter().find(|(call, _)| *call == self).map_or("?", |(_, name)| name)
    }
}

/// How an intercepted call deviates from normal operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Errno(i32),
    /// The call transfers at most one byte.
    Short,
    /// The call is executed after this delay.
    Late(Duration),
    /// The wall clock is ahead by this many milliseconds, behind if negative. Only whole seconds take effect.
    Step(i64),
}

/// One fault of one call, with its rate and the time span in which it is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The call into which the fault is injected.
    pub call: Call,
    /// The fault to inject.
    pub fault: Fault,
    /// Probability with which a call gets the fault, from 0 to 1.
    pub rate: f64,
    /// Start of the time span, measured from the first call that the shim intercepts.
    pub from: Duration,
    /// End of the time span, exclusive, measured from the same call.
    pub to: Duration,
}

/// All faults to inject into one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Seed of the random numbers that decide which calls fail.
    pub seed: u64,
    /// The faults to inject. They are tried in order, and a call gets the first that is drawn.
    pub rules: Vec<Rule>,
}

/// A part of a plan that is not valid, with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsePlanError(pub String);

impl fmt::Display for ParsePlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{FAULTS_VARIABLE}: invalid part {:?}: expected seed=N or CALL:FAULT:RATE[:FROM_MS-TO_MS]",
            self.0
        )
    }
}

impl std::error::Error for ParsePlanError {}

/// Names of errors in the text of a plan, with their errno.
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
                None => plan.rules.push(parse_rule(part).ok_or_else(|| ParsePlanError(part.to_string()))?),
            }
        }
        Ok(plan)
    }
}

fn parse_rule(text: &str) -> Option<Rule> {
    let mut fields = text.split(':');
    let (call, fault, rate) = (fields.next()?, fields.next()?, fields.next()?);
    let (call, _) = Call::ALL.into_iter().find(|(_, name)| *name == call)?;
    let rate = rate.parse::<f64>().ok().filter(|rate| (0.0..=1.0).contains(rate))?;
    let (from, to) = match fields.next() {
        None => (Duration::ZERO, Duration::MAX),
        Some(span) => {
            let (from, to) = span.split_once('-')?;
            (Duration::from_millis(from.parse().ok()?), Duration::from_millis(to.parse().ok()?))
        }
    };
    fields.next().is_none().then_some(Rule { call, fault: parse_fault(fault)?, rate, from, to })
}

fn parse_fault(text: &str) -> Option<Fault> {
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
