//! Injects faults into the system calls of a process under test: errors, short reads and writes, delays and
//! clock steps that Linux documents as possible.
//!
//! A test rig loads this library into the process with `LD_PRELOAD` and configures the faults in
//! [`FAULTS_VARIABLE`]. Without that variable, every call passes through unchanged. The library is never part
//! of the product.
//!
//! The library interposes functions of the C library, through which the standard library, `mio` and `socket2`
//! make their calls. `rustix` makes system calls directly and is not affected. Spurious EAGAIN is not
//! offered: with edge-triggered readiness, no event would follow, which does not happen on Linux.

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

/// Number of injected faults between two writes of the counts file.
const FAULTS_PER_COUNTS_WRITE: u64 = 20;
/// Minimum time between two delayed calls: the rules allow for one delay while a request passes through the
/// process, not for several.
const MIN_DELAY_INTERVAL: Duration = Duration::from_millis(500);

/// The fault plan of this process and the state of its injection.
struct Injector {
    plan: Plan,
    state: Mutex<State>,
    started_at: Duration,
}

struct State {
    rng: Pcg64Mcg,
    /// Number of injected faults by call and fault.
    counts: BTreeMap<String, u64>,
    injected_count: u64,
    /// Writer of the counts file; created with the first injected fault.
    counts_file: Option<CountsFile>,
    /// Descriptors returned by `accept4`, which are the connections of clients. No errno is injected on them:
    /// the process would close the connection, and the client's request would be lost.
    accepted: HashSet<c_int>,
    /// When a call was last delayed, measured from the start of the injection.
    last_delay_at: Option<Duration>,
}

/// Reads the monotonic clock by a direct system call, which bypasses the interposed `clock_gettime`.
fn monotonic_now() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a local timespec.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

fn injector() -> Option<&'static Injector> {
    static INJECTOR: OnceLock<Option<Injector>> = OnceLock::new();
    let injector = INJECTOR.get_or_init(|| {
        let text = std::env::var(FAULTS_VARIABLE).ok()?;
        let plan: Plan = match text.parse() {
            Ok(plan) => plan,
            Err(error) => {
                eprintln!("{error}");
                std::process::abort();
            }
        };
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let state = State {
            rng,
            counts: BTreeMap::new(),
            injected_count: 0,
            counts_file: None,
            accepted: HashSet::new(),
            last_delay_at: None,
        };
        Some(Injector { plan, state: Mutex::new(state), started_at: monotonic_now() })
    });
    injector.as_ref()
}

impl Injector {
    /// Locks the state, or returns `None` if it is locked already. A signal handler may interrupt an
    /// interposed call of its own thread while that call holds the lock, so waiting for the lock could
    /// deadlock.
    fn try_lock_state(&self) -> Option<MutexGuard<'_, State>> {
        match self.state.try_lock() {
            Ok(state) => Some(state),
            Err(TryLockError::Poisoned(state)) => Some(state.into_inner()),
            Err(TryLockError::WouldBlock) => None,
        }
    }

    /// Decides whether to inject a fault into a call now, among the eligible faults of the plan. Counts the
    /// fault that it returns.
    fn draw_fault(&self, call: Call, is_eligible: impl Fn(Fault) -> bool) -> Option<Fault> {
        let at = monotonic_now().saturating_sub(self.started_at);
        let mut state = self.try_lock_state()?;
        let delayed_recently = state.last_delay_at.is_some_and(|late| at < late + MIN_DELAY_INTERVAL);
        let is_eligible =
            |fault| is_eligible(fault) && !(delayed_recently && matches!(fault, Fault::Late(_)));
        let applies =
            |rule: &&Rule| rule.call == call && rule.from <= at && at < rule.to && is_eligible(rule.fault);
        let rule = self.plan.rules.iter().filter(applies).find(|rule| {
            // A rate of 1 draws no random number.
            rule.rate >= 1.0 || state.rng.random_bool(rule.rate)
        })?;
        *state.counts.entry(format!("{}:{:?}", call.name(), rule.fault)).or_default() += 1;
        state.injected_count += 1;
        if matches!(rule.fault, Fault::Late(_)) {
            state.last_delay_at = Some(at);
        }
        if state.injected_count % FAULTS_PER_COUNTS_WRITE == 1 {
            let State { counts, counts_file, .. } = &mut *state;
            counts_file.get_or_insert_with(CountsFile::start).write(counts);
        }
        Some(rule.fault)
    }
}

/// Records whether a newly opened descriptor is a client's connection, and returns the descriptor.
fn record_descriptor(descriptor: c_int, from_accept: bool) -> c_int {
    if let Some(injector) = injector().filter(|_| descriptor >= 0) {
        // Cannot deadlock: signal handlers open no descriptors, so the lock is never held by an interrupted
        // call of the same thread.
        let mut state = injector.state.lock().unwrap_or_else(PoisonError::into_inner);
        match from_accept {
            true => state.accepted.insert(descriptor),
            false => state.accepted.remove(&descriptor),
        };
    }
    descriptor
}

/// Decides whether to inject a fault into a read or write on a connection. Connections of clients get no
/// errno.
fn draw_connection_fault(call: Call, socket: c_int) -> Option<Fault> {
    let injector = injector()?;
    let accepted = injector.try_lock_state()?.accepted.contains(&socket);
    injector.draw_fault(call, |fault| !accepted || !matches!(fault, Fault::Errno(_)))
}

fn draw_fault(call: Call) -> Option<Fault> {
    injector()?.draw_fault(call, |_| true)
}

fn set_errno(errno: i32) {
    // SAFETY: errno is local to the thread, so no other thread writes to it.
    unsafe { *libc::__errno_location() = errno };
}

fn sleep(duration: Duration) {
    let request =
        libc::timespec { tv_sec: duration.as_secs() as i64, tv_nsec: i64::from(duration.subsec_nanos()) };
    // SAFETY: the pointer is to a local timespec.
    unsafe { libc::syscall(libc::SYS_nanosleep, &raw const request, std::ptr::null_mut::<libc::timespec>()) };
}

/// The next definition of a function in the library search order, which is the C library's own. Looked up
/// once for each use.
macro_rules! next_symbol {
    ($name:literal as $signature:ty) => {{
        static SYMBOL_ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = SYMBOL_ADDRESS.get_or_init(|| {
            // SAFETY: the name is a C string, and the C library defines a function of that name.
            let address = unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) };
            if address.is_null() {
                std::process::abort();
            }
            address as usize
        });
        // SAFETY: the function of that name has this signature.
        unsafe { std::mem::transmute::<usize, $signature>(*address) }
    }};
}

/// Injects a fault into the calling function: returns -1 with errno set, or sleeps and continues.
macro_rules! inject_fault {
    ($call:expr) => {
        match draw_fault($call) {
            Some(Fault::Errno(errno)) => {
                set_errno(errno);
                return -1;
            }
            Some(Fault::Late(duration)) => sleep(duration),
            Some(Fault::Short | Fault::Step(_)) | None => {}
        }
    };
}

/// # Safety
/// The same requirements as for the C library's `accept4`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    inject_fault!(Call::Accept);
    let real =
        next_symbol!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    // SAFETY: the caller meets the requirements of the C function.
    record_descriptor(unsafe { real(socket, address, length, flags) }, true)
}

/// # Safety
/// The same requirements as for the C library's `socket`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    inject_fault!(Call::Socket);
    let real = next_symbol!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller meets the requirements of the C function.
    record_descriptor(unsafe { real(domain, kind, protocol) }, false)
}

/// # Safety
/// The same requirements as for the C library's `connect`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    inject_fault!(Call::Connect);
    let real = next_symbol!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    // SAFETY: the caller meets the requirements of the C function.
    unsafe { real(socket, address, length) }
}

/// Returns how many bytes a read or write on a connection may transfer. `None` if the call is to fail; errno
/// is set then.
fn permitted_length(call: Call, socket: c_int, length: size_t) -> Option<size_t> {
    match draw_connection_fault(call, socket) {
        Some(Fault::Errno(errno)) => {
            set_errno(errno);
            return None;
        }
        Some(Fault::Short) => return Some(length.min(1)),
        Some(Fault::Late(duration)) => sleep(duration),
        Some(Fault::Step(_)) | None => {}
    }
    Some(length)
}

/// # Safety
/// The same requirements as for the C library's `recv`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // Peeking consumes no data, so no fault is injected.
    let peeks = flags & libc::MSG_PEEK != 0;
    let permitted_length = if peeks { Some(length) } else { permitted_length(Call::Receive, socket, length) };
    let Some(length) = permitted_length else { return -1 };
    let real = next_symbol!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller meets the requirements of the C function; `length` is at most the length of the
    // caller's buffer.
    unsafe { real(socket, buffer, length, flags) }
}

/// # Safety
/// The same requirements as for the C library's `send`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let Some(length) = permitted_length(Call::Send, socket, length) else { return -1 };
    let real = next_symbol!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller meets the requirements of the C function; `length` is at most the length of the
    // caller's buffer.
    unsafe { real(socket, buffer, length, flags) }
}

/// # Safety
/// The same requirements as for the C library's `epoll_wait`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    inject_fault!(Call::EpollWait);
    let real = next_symbol!(
        "epoll_wait" as unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    // SAFETY: the caller meets the requirements of the C function.
    unsafe { real(epoll, events, max_events, timeout) }
}

/// # Safety
/// The same requirements as for the C library's `clock_gettime`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let real =
        next_symbol!("clock_gettime" as unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int);
    // SAFETY: the caller meets the requirements of the C function.
    let result = unsafe { real(clock, time) };
    if clock == libc::CLOCK_REALTIME
        && result == 0
        && let Some(Fault::Step(ms)) = draw_fault(Call::Clock)
    {
        // SAFETY: `time` is valid, since the call above succeeded and has written to it.
        unsafe { (*time).tv_sec += ms / 1_000 };
    }
    result
}

/// # Safety
/// The same requirements as for the C library's `write`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    // Faults are limited to regular files: writes to the standard streams and to the descriptors that wake
    // the runtime are not under test.
    if is_regular_file(file) {
        inject_fault!(Call::Write);
    }
    let real = next_symbol!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the caller meets the requirements of the C function.
    unsafe { real(file, buffer, length) }
}

/// # Safety
/// The same requirements as for the C library's `fsync`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    inject_fault!(Call::Fsync);
    let real = next_symbol!("fsync" as unsafe extern "C" fn(c_int) -> c_int);
    // SAFETY: the caller meets the requirements of the C function.
    unsafe { real(file) }
}

fn is_regular_file(file: c_int) -> bool {
    if file <= libc::STDERR_FILENO || injector().is_none() {
        return false;
    }
    let mut file_status = std::mem::MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the pointer is to a local stat, which is read only if the call has filled it in.
    unsafe {
        libc::fstat(file, file_status.as_mut_ptr()) == 0
            && (file_status.assume_init().st_mode & libc::S_IFMT) == libc::S_IFREG
    }
}
