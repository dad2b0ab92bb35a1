//! Limits processes to a small share of a core, by stopping them for most of every period.
//!
//! Needs no special privileges, and leaves other processes of the machine alone. A stopped process neither
//! receives nor sends, like a process that waits to be scheduled on a busy machine.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Stops and continues processes in turns. When dropped, it continues all of them.
#[derive(Debug)]
pub struct DutyCycle {
    processes: Arc<Mutex<BTreeSet<u32>>>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DutyCycle {
    /// Lets processes run for the fraction `share` of every `period`.
    pub fn start(share: f64, period: Duration) -> DutyCycle {
        let processes: Arc<Mutex<BTreeSet<u32>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (Arc::clone(&processes), Arc::clone(&ended));
        let running = period.mul_f64(share.clamp(0.0, 1.0));
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                signal_all(&shared, Signal::SIGCONT);
                std::thread::sleep(running);
                signal_all(&shared, Signal::SIGSTOP);
                std::thread::sleep(period - running);
            }
            signal_all(&shared, Signal::SIGCONT);
        });
        DutyCycle { processes, ended, thread: Some(thread) }
    }

    /// Limits a process to the share from now on.
    pub fn add(&self, process: u32) {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner).insert(process);
    }

    /// Ends the limit for a process, and continues it if it was stopped. Must be called before the process is
    /// reaped, since its id may be reused after that.
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
            // An error would mean that the thread panicked, and then there is nothing left to end.
            let _ = thread.join();
        }
    }
}

fn signal_all(processes: &Mutex<BTreeSet<u32>>, kind: Signal) {
    let processes = processes.lock().unwrap_or_else(PoisonError::into_inner);
    processes.iter().for_each(|process| signal(*process, kind));
}

/// Sends a signal; a process that has ended is ignored.
fn signal(process: u32, kind: Signal) {
    if let Ok(process) = i32::try_from(process) {
        let _ = kill(Pid::from_raw(process), kind);
    }
}
