//! A stub target in a separate process that responds immediately to every request.

use crate::failure::Failure;
use crate::runtime::block_on;
use rowanglade_test_fleet::{DeduplicationScope, StubTarget, TargetPlan};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

/// Handle of the child process, which is killed on drop.
pub struct Sink {
    child: Child,
    /// Address that the target listens on.
    pub addr: SocketAddr,
}

impl Sink {
    /// Starts the process and waits until it has printed its listen address.
    ///
    /// # Errors
    /// The process cannot be started, or its output is not an address.
    pub fn start() -> Result<Sink, Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        let mut child = command.arg("box").stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        match line.trim().parse() {
            Ok(addr) => Ok(Sink { child, addr }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Failure::SinkStart(error))
            }
        }
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Main function of a [`Sink`]'s process, which exits when its standard input is closed.
pub fn run_sink() -> ExitCode {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    block_on(async {
        let plan = TargetPlan {
            slots: 100_000,
            queue_capacity: 100_000,
            service_times: HashMap::new(),
            default_service_time: Duration::ZERO,
            ..TargetPlan::default()
        };
        let scope = DeduplicationScope::new(Duration::from_secs(3));
        match StubTarget::start("sink".into(), 0, plan, scope, 1).await {
            Ok(target) => println!("{}", target.addr()),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
        std::future::pending::<ExitCode>().await
    })
}
