//! Makes system calls of a process under test fail, as Linux documents that they may.
//!
//! A test rig loads this library into the process (`LD_PRELOAD`) and names the faults in [`FAULTS_VARIABLE`];
//! without that variable every call goes through unchanged. It is never part of the product. It stands before
//! the C library's functions, through which the standard library, `mio` and `socket2` make their calls;
//! `rustix` makes system calls by itself and is not reached. Spurious EAGAIN is not offered: with
//! edge-triggered readiness no event would follow, which Linux does not do.

mod counts_file;
mod plan;

pub use plan::{COUNTS_VARIABLE, Call, FAULTS_VARIABLE, Fault, ParsePlanError, Plan, Rule};

use counts_file::CountsFile;
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError, TryLockError};
use std::time::Duration;

/// How often the counts are written to their file.
const WRITE_EVERY: u64 = 20;
/// From one late call to the next at least: the rules allow for one hold-up on a request's way, not for
/// several.
const BETWEEN_HOLD_UPS: Duration = Duration::from_millis(500);

/// What the process under test is to suffer, and what it has.
struct Injector {
    plan: Plan,
    state: Mutex<State>,
    begun: Duration,
}

struct State {
    random: Pcg64Mcg,
    /// By call and fault.
    counts: BTreeMap<String, u64>,
    injected: u64,
    /// Where the counts are written; opened with the first fault.
    counts_file: Option<CountsFile>,
    /// Descriptors that `accept4` gave. Their connections are clients', which are not to break: a request is
    /// lost where the process itself ends its connection.
    accepted: HashSet<c_int>,
    /// When a call was last late.
    late_at: Option<Duration>,
}

/// The monotonic clock, by the system call itself.
fn monotonic() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a timespec of this frame.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

fn injector() -> Option<&'static Injector> {
    static INJECTOR: OnceLock<Option<Injector>> = OnceLock::new();
    let made = INJECTOR.get_or_init(|| {
        let text = std::env::var(FAULTS_VARIABLE).ok()?;
        let plan: Plan = match text.parse() {
            Ok(plan) => plan,
            Err(error) => {
                eprintln!("{error}");
                std::process::abort();
            }
        };
        let random = Pcg64Mcg::seed_from_u64(plan.seed);
        let state = State {
            random,
            counts: BTreeMap::new(),
            injected: 0,
            counts_file: None,
            accepted: HashSet::new(),
            late_at: None,
        };
        Some(Injector { plan, state: Mutex::new(state), begun: monotonic() })
    });
    made.as_ref()
}

impl Injector {
    /// The state, unless it is in use. A signal's handler may call in the middle of another call of its
    /// thread, and must not wait for what that holds.
    fn state(&self) -> Option<MutexGuard<'_, State>> {
        match self.state.try_lock() {
            Ok(state) => Some(state),
            Err(TryLockError::Poisoned(state)) => Some(state.into_inner()),
            Err(TryLockError::WouldBlock) => None,
        }
    }

    /// The fault that befalls a call now, of those that may, if any.
    fn draw(&self, call: Call, may: impl Fn(Fault) -> bool) -> Option<Fault> {
        let at = monotonic().saturating_sub(self.begun);
        let mut state = self.state()?;
        let held_up_lately = state.late_at.is_some_and(|late| at < late + BETWEEN_HOLD_UPS);
        let may = |fault| may(fault) && !(held_up_lately && matches!(fault, Fault::Late(_)));
        let in_time = |rule: &&Rule| rule.call == call && rule.from <= at && at < rule.to && may(rule.fault);
        let drawn = self.plan.rules.iter().filter(in_time).find(|rule| {
            // A rate of one needs no chance.
            rule.rate >= 1.0 || state.random.random_bool(rule.rate)
        })?;
        *state.counts.entry(format!("{}:{:?}", call.name(), drawn.fault)).or_default() += 1;
        state.injected += 1;
        if matches!(drawn.fault, Fault::Late(_)) {
            state.late_at = Some(at);
        }
        if state.injected % WRITE_EVERY == 1 {
            let State { counts, counts_file, .. } = &mut *state;
            counts_file.get_or_insert_with(CountsFile::start).write(counts);
        }
        Some(drawn.fault)
    }
}

/// Notes whether a new descriptor is a client's connection.
fn opened(descriptor: c_int, by_accept: bool) -> c_int {
    if let Some(injector) = injector().filter(|_| descriptor >= 0) {
        // Signals' handlers open nothing, so whoever has it lets go of it.
        let mut state = injector.state.lock().unwrap_or_else(PoisonError::into_inner);
        match by_accept {
            true => state.accepted.insert(descriptor),
            false => state.accepted.remove(&descriptor),
        };
    }
    descriptor
}

/// The fault that befalls a read or write of a connection: a client's does not break.
fn draw_for(call: Call, socket: c_int) -> Option<Fault> {
    let injector = injector()?;
    let accepted = injector.state()?.accepted.contains(&socket);
    injector.draw(call, |fault| !accepted || !matches!(fault, Fault::Errno(_)))
}

fn draw(call: Call) -> Option<Fault> {
    injector()?.draw(call, |_| true)
}

fn set_errno(errno: i32) {
    // SAFETY: the C library gives each thread its own.
    unsafe { *libc::__errno_location() = errno };
}

fn sleep(span: Duration) {
    let wait = libc::timespec { tv_sec: span.as_secs() as i64, tv_nsec: i64::from(span.subsec_nanos()) };
    // SAFETY: the pointer is to a timespec of this frame.
    unsafe { libc::syscall(libc::SYS_nanosleep, &raw const wait, std::ptr::null_mut::<libc::timespec>()) };
}

/// The C library's own function of a name, looked up once.
macro_rules! next {
    ($name:literal as $kind:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let found = NEXT.get_or_init(|| {
            // SAFETY: the name is a C string, and the C library has such a function.
            let found = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            if found.is_null() {
                std::process::abort();
            }
            found as usize
        });
        // SAFETY: the function of that name has this signature.
        unsafe { std::mem::transmute::<usize, $kind>(*found) }
    }};
}

/// Fails with the errno of a drawn fault, or is late; or goes on.
macro_rules! fail_or_go_on {
    ($call:expr) => {
        match draw($call) {
            Some(Fault::Errno(errno)) => {
                set_errno(errno);
                return -1;
            }
            Some(Fault::Late(span)) => sleep(span),
            Some(Fault::Short | Fault::Step(_)) | None => {}
        }
    };
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail_or_go_on!(Call::Accept);
    let real = next!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    opened(unsafe { real(socket, address, length, flags) }, true)
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_or_go_on!(Call::Socket);
    let real = next!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    opened(unsafe { real(domain, kind, protocol) }, false)
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_or_go_on!(Call::Connect);
    let real = next!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    unsafe { real(socket, address, length) }
}

/// How many bytes a read or write of a connection may move; none: it fails, and the errno is set.
fn allowed(call: Call, socket: c_int, length: size_t) -> Option<size_t> {
    match draw_for(call, socket) {
        Some(Fault::Errno(errno)) => {
            set_errno(errno);
            return None;
        }
        Some(Fault::Short) => return Some(length.min(1)),
        Some(Fault::Late(span)) => sleep(span),
        Some(Fault::Step(_)) | None => {}
    }
    Some(length)
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // A look at what has come is no read.
    let looks = flags & libc::MSG_PEEK != 0;
    let allowed = if looks { Some(length) } else { allowed(Call::Receive, socket, length) };
    let Some(length) = allowed else { return -1 };
    let real = next!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller keeps what the function asks; a shorter buffer is part of it.
    unsafe { real(socket, buffer, length, flags) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let Some(length) = allowed(Call::Send, socket, length) else { return -1 };
    let real = next!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller keeps what the function asks; a shorter buffer is part of it.
    unsafe { real(socket, buffer, length, flags) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    fail_or_go_on!(Call::EpollWait);
    let real =
        next!("epoll_wait" as unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    unsafe { real(epoll, events, most, timeout) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let real = next!("clock_gettime" as unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    let told = unsafe { real(clock, time) };
    if clock == libc::CLOCK_REALTIME
        && told == 0
        && let Some(Fault::Step(ms)) = draw(Call::Clock)
    {
        // SAFETY: the call above has filled it in.
        unsafe { (*time).tv_sec += ms / 1_000 };
    }
    told
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    // The standard streams and what wakes the runtime are not under test: only files are.
    if is_file(file) {
        fail_or_go_on!(Call::Write);
    }
    let real = next!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the caller keeps what the function asks.
    unsafe { real(file, buffer, length) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    fail_or_go_on!(Call::Fsync);
    let real = next!("fsync" as unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller keeps what the function asks.
    unsafe { real(file) }
}

fn is_file(file: c_int) -> bool {
    if file <= libc::STDERR_FILENO || injector().is_none() {
        return false;
    }
    let mut about = std::mem::MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the pointer is to a stat of this frame, which is read only where the call has filled it in.
    unsafe {
        libc::fstat(file, about.as_mut_ptr()) == 0
            && (about.assume_init().st_mode & libc::S_IFMT) == libc::S_IFREG
    }
}
