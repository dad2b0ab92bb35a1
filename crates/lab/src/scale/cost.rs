//! Measures the cost of a piece of work. A probe runs in a separate process, so that its peak of memory is
//! its own.

use crate::failure::Failure;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::process::Command;
use std::time::Duration;

/// Memory limit of the process in bytes, half of a machine with 24 GiB. Allocations beyond it fail.
const MAX_ALLOCATED_BYTES: usize = 12 << 30;

#[global_allocator]
static ALLOCATED: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, MAX_ALLOCATED_BYTES);

/// Processor time, memory and traffic of a piece of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Seconds of the thread's processor time.
    pub processor: f64,
    /// Bytes that the result keeps allocated.
    pub state: f64,
    /// Peak of allocated bytes, less those allocated before the work.
    pub peak: f64,
    /// Bytes on the wire.
    pub wire: f64,
}

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub initiators: u32,
    pub targets: usize,
}

/// The design size and three smaller sizes, each half of the next.
pub const SIZES: [Size; 4] = [
    Size { initiators: 275, targets: 437 },
    Size { initiators: 550, targets: 875 },
    Size { initiators: 1_100, targets: 1_750 },
    Size { initiators: 2_200, targets: 3_500 },
];

/// Processor time of the calling thread so far, in seconds.
pub fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Bytes that this process has currently allocated.
pub fn allocated() -> f64 {
    ALLOCATED.allocated() as f64
}

/// Runs the work several times. The processor time is the minimum of all runs, since noise only adds to it;
/// the memory is that of the first run.
pub fn measure<T>(runs: usize, mut work: impl FnMut() -> T) -> Cost {
    let mut cost = Cost { processor: f64::MAX, ..Cost::default() };
    for run in 0..runs.max(1) {
        let (memory, started_at) = (ALLOCATED.allocated(), thread_time());
        let result = work();
        cost.processor = cost.processor.min(thread_time() - started_at);
        if run == 0 {
            cost.state = ALLOCATED.allocated().saturating_sub(memory) as f64;
            cost.peak = ALLOCATED.max_allocated().saturating_sub(memory) as f64;
        }
        drop(result);
    }
    cost
}

/// Runs a probe in a separate process and reads the cost that it prints.
///
/// # Errors
/// The process cannot be started, exits with an error or does not print a cost.
pub fn probe(name: &str, size: Size) -> Result<Cost, Failure> {
    let (initiators, targets) = (size.initiators.to_string(), size.targets.to_string());
    let output =
        Command::new(std::env::current_exe()?).args(["probe", name, &initiators, &targets]).output()?;
    if !output.status.success() {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(Failure::Probe { name: name.to_string(), stderr });
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Runs a probe at all [`SIZES`].
///
/// # Errors
/// As [`probe`].
pub fn probe_all(name: &str) -> Result<Vec<(Size, Cost)>, Failure> {
    SIZES.into_iter().map(|size| Ok((size, probe(name, size)?))).collect()
}

/// Processor time of all threads of a process, from `/proc`.
///
/// # Errors
/// There is no such process, or its statistics cannot be read.
pub fn process_time(process: u32) -> Result<Duration, Failure> {
    let mut total = 0;
    for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        total += text.split(' ').next().map_or(Ok(0), str::parse::<u64>)?;
    }
    Ok(Duration::from_nanos(total))
}
