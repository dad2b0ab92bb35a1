//! Reads the log of a running daemon.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, mpsc};

/// The maximum number of lines kept; older ones are dropped.
const MAX_LINES: usize = 200;

/// The addresses that a daemon logs when it starts to serve; `None` for a disabled listener.
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
    /// Reads the log on a separate thread until the stream ends. The receiver gets the daemon's addresses
    /// once it logs that it serves.
    pub fn follow(&self, source: impl Read + Send + 'static) -> mpsc::Receiver<ListenAddresses> {
        let (sender, addresses) = mpsc::channel();
        let log = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(source).lines().map_while(Result::ok) {
                if line.contains("serving") {
                    // The receiver is gone if the start has timed out.
                    let _ = sender.send(listen_addresses(&line));
                }
                log.push(line);
            }
        });
        addresses
    }

    fn push(&self, line: String) {
        // A poisoned lock is safe to use: lines are pushed as a whole.
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The last lines of the log, oldest first.
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

fn listen_addresses(line: &str) -> ListenAddresses {
    let addr = |key| logged_value(line, key).and_then(|value| value.parse().ok());
    ListenAddresses { http: addr("listen="), iscsi: addr("iscsi="), admin: addr("admin=") }
}

/// The value of `key` (with its `=`) in a log line. `None` if the line does not contain the key.
fn logged_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let from = line.find(key)? + key.len();
    line[from..].split(' ').next().map(|value| value.trim_matches('"'))
}
