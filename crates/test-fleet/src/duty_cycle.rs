//! Gives processes a small share of a core: they are stopped for most of every period.
//!
//! No special rights are needed, and the machine's other processes are left alone. A process that is stopped
//! hears and says nothing, as one that waits for its turn on a busy machine does.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Stops and continues processes until it is dropped, which continues all of them.
#[derive(Debug)]
pub struct DutyCycle {
    processes: Arc<Mutex<BTreeSet<u32>>>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DutyCycle {
    /// Lets processes run for `share` of every `period`.
    pub fn start(share: f64, period: Duration) -> DutyCycle {
        let processes: Arc<Mutex<BTreeSet<u32>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let (held, end) = (Arc::clone(&processes), Arc::clone(&ended));
        let running = period.mul_f64(share.clamp(0.0, 1.0));
        let thread = std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                signal_all(&held, Signal::SIGCONT);
                std::thread::sleep(running);
                signal_all(&held, Signal::SIGSTOP);
                std::thread::sleep(period - running);
            }
            signal_all(&held, Signal::SIGCONT);
        });
        DutyCycle { processes, ended, thread: Some(thread) }
    }

    /// From now on the process has its share only.
    pub fn add(&self, process: u32) {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner).insert(process);
    }

    /// The process is left alone, and goes on if it was stopped. To be called before the process is waited
    /// for.
    pub fn remove(&self, process: u32) {
        let mut processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
        if processes.remove(&process) {
            signal(process, Signal::SIGCONT);
        }
    }
}

impl Drop for DutyCycle {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It does not panic; if it had, there would be nothing left to end.
            let _ = thread.join();
        }
    }
}

fn signal_all(processes: &Mutex<BTreeSet<u32>>, kind: Signal) {
    let processes = processes.lock().unwrap_or_else(PoisonError::into_inner);
    processes.iter().for_each(|process| signal(*process, kind));
}

/// One that has ended needs no signal.
fn signal(process: u32, kind: Signal) {
    if let Ok(process) = i32::try_from(process) {
        let _ = kill(Pid::from_raw(process), kind);
    }
}
