//! The log of a daemon, read as it comes.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, mpsc};

/// Lines that are kept.
const MAX_LINES: usize = 200;

/// Where a daemon says that it listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    pub http: Option<SocketAddr>,
    pub iscsi: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
}

/// The last lines of a daemon's log.
#[derive(Clone, Debug, Default)]
pub struct DaemonLog(Arc<Mutex<VecDeque<String>>>);

impl DaemonLog {
    /// Reads a log to its end on a thread of its own. What the receiver gets is where the daemon listens.
    pub fn follow(&self, source: impl Read + Send + 'static) -> mpsc::Receiver<ListenAddresses> {
        let (sender, addresses) = mpsc::channel();
        let log = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(source).lines().map_while(Result::ok) {
                if line.contains("serving") {
                    // Nobody waits for it any more where the start took too long.
                    let _ = sender.send(listen_addresses(&line));
                }
                log.push(line);
            }
        });
        addresses
    }

    fn push(&self, line: String) {
        // A thread that panicked while it held the lock left whole lines.
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The last lines.
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

fn listen_addresses(line: &str) -> ListenAddresses {
    let addr = |key| logged_value(line, key).and_then(|value| value.parse().ok());
    ListenAddresses { http: addr("listen="), iscsi: addr("iscsi="), admin: addr("admin=") }
}

/// The value of `key=` in a line of the log.
fn logged_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let from = line.find(key)? + key.len();
    line[from..].split(' ').next().map(|value| value.trim_matches('"'))
}
