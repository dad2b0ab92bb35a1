//! Starts the real daemon as a child process, with a generated configuration and ports that the kernel
//! assigns.

use crate::daemon_log::{DaemonLog, ListenAddresses};
use crate::daemon_plan::DaemonPlan;
use crate::usage::ProcessUsage;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// How long a daemon may take until it logs that it serves.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variables that the daemon reads; those of this process must not reach it.
const DAEMON_VARIABLES: [&str; 5] = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LOG"];

/// A running daemon. When dropped, the process is killed and its working folder removed.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// The address of the HTTP front.
    pub http: SocketAddr,
    /// The address of the iSCSI front, if it is enabled.
    pub iscsi: Option<SocketAddr>,
    /// The address of the admin interface, if it is enabled.
    pub admin: Option<SocketAddr>,
    folder: tempfile::TempDir,
    log: DaemonLog,
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    ///
    /// # Errors
    /// The process cannot be started, or ends or times out before it listens; in the latter case the error
    /// contains its log.
    pub fn start(plan: &DaemonPlan) -> io::Result<Daemon> {
        Daemon::start_with(plan, |_| {})
    }

    /// Like [`Daemon::start`], with changes to the configuration that [`DaemonPlan`] does not cover.
    ///
    /// # Errors
    /// The process cannot be started, or ends or times out before it listens; in the latter case the error
    /// contains its log.
    pub fn start_with(plan: &DaemonPlan, change: impl FnOnce(&mut Value)) -> io::Result<Daemon> {
        let folder = tempfile::Builder::new().prefix("rowanglade-").tempdir()?;
        let mut configuration = configuration(plan);
        change(&mut configuration);
        let mut child = command(plan, folder.path(), &configuration)?.spawn()?;
        let log = DaemonLog::default();
        let addresses = child.stderr.take().map(|stderr| log.follow(stderr));
        match addresses.and_then(|addresses| addresses.recv_timeout(START_TIMEOUT).ok()) {
            Some(ListenAddresses { http: Some(http), iscsi, admin }) => {
                Ok(Daemon { child, http, iscsi, admin, folder, log })
            }
            _ => {
                let _ = child.kill();
                let _ = child.wait();
                let lines = log.lines().join("\n");
                Err(io::Error::other(format!(
                    "daemon did not start serving within {START_TIMEOUT:?}, or ended before; its log:\n{lines}"
                )))
            }
        }
    }

    /// The working folder of the process.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The last lines of the daemon's log.
    pub fn log(&self) -> Vec<String> {
        self.log.lines()
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The memory, processor time and descriptors that the process has used so far.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of(&self.pid().to_string())
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.pid()).map_err(io::Error::other)?;
        kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configuration(plan: &DaemonPlan) -> Value {
    let listen = plan.handover.as_ref().and_then(|handover| handover.listen);
    let mut configuration = json!({
        "name": plan.name,
        "listen": listen.map_or("127.0.0.1:0".to_string(), |addr| addr.to_string()),
        "discovery": plan.discovery.to_string(),
        "seed": format!("{:016x}", seed_of_name(&plan.name)),
        "limits": {"memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "settings": plan.settings,
    });
    if plan.handover.is_some() {
        configuration["admin"] = "127.0.0.1:0".into();
    }
    configuration
}

/// The seed of a daemon's random numbers, derived from its name as on the platform: the same name always has
/// the same seed, and different names have different seeds.
fn seed_of_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Writes the daemon's files to its working folder, and returns the command that starts the daemon there.
fn command(plan: &DaemonPlan, folder: &Path, configuration: &Value) -> io::Result<Command> {
    let configuration_path = folder.join("config.json");
    std::fs::write(&configuration_path, configuration.to_string())?;
    let mut command = Command::new(&plan.program);
    command.args(&plan.args).arg("serve");
    if let Some(operator) = &plan.operator {
        let operator_path = folder.join("operator.toml");
        std::fs::write(&operator_path, operator)?;
        command.arg("--operator").arg(operator_path);
    }
    DAEMON_VARIABLES.iter().for_each(|name| {
        command.env_remove(name);
    });
    if let Some(handover) = &plan.handover {
        command.env("TMPDIR", &handover.folder);
    }
    command.env("LB_CONFIG", configuration_path).current_dir(folder);
    command.envs(plan.env.iter().map(|(name, value)| (name, value)));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    Ok(command)
}
