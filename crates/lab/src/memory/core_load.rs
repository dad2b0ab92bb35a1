//! Threads that take their share of the core that a process runs on.

use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Busy threads beside the process.
const THREADS: usize = 2;
/// The core that is shared.
const CORE: usize = 1;

/// A core that a process shares with busy threads until this is dropped.
pub struct SharedCore {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SharedCore {
    /// Lets a process run on one core only, and starts the busy threads there. Where the system refuses, they share
    /// all cores.
    pub fn with(process: u32) -> SharedCore {
        let mut core = CpuSet::new();
        core.set(CORE);
        let _ = sched_setaffinity(Pid::from_raw(process as i32), &core);
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..THREADS).map(|_| start_busy_thread(core, Arc::clone(&stop))).collect();
        SharedCore { stop, threads }
    }
}

fn start_busy_thread(core: CpuSet, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let _ = sched_setaffinity(None, &core);
        while !stop.load(Ordering::Relaxed) {
            std::hint::spin_loop();
        }
    })
}

impl Drop for SharedCore {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
