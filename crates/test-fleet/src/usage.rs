//! The resources that a process uses.

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time in `/proc/PID/stat`, counted after the process name, which may contain
/// spaces.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// The peak resident memory in bytes.
    pub peak_memory_bytes: u64,
    /// User and system processor time in seconds.
    pub processor_seconds: f64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process by its id, or of this process with `self`. Values that cannot be read are
    /// 0.
    pub fn of(process: &str) -> ProcessUsage {
        let read =
            |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let status = read("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|line| line.trim().split(' ').next()).and_then(|n| n.parse::<u64>().ok());
        let stat = read("stat");
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_ascii_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count());
        ProcessUsage {
            peak_memory_bytes: kib.unwrap_or(0) << 10,
            processor_seconds: (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) / TICKS_PER_SECOND,
            descriptors,
        }
    }
}
