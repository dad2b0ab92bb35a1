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
    /// The resident memory in bytes.
    pub memory_bytes: u64,
    /// The resident anonymous memory in bytes: without mapped files.
    pub anonymous_memory_bytes: u64,
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
        let stat = read("stat");
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_ascii_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count());
        ProcessUsage {
            peak_memory_bytes: status_bytes(&status, "VmHWM:"),
            memory_bytes: status_bytes(&status, "VmRSS:"),
            anonymous_memory_bytes: status_bytes(&status, "RssAnon:"),
            processor_seconds: (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) / TICKS_PER_SECOND,
            descriptors,
        }
    }
}

/// The largest memory and number of descriptors of a process that were seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeakMemory {
    /// Resident memory in bytes, the system's own record of its peak.
    pub resident_bytes: u64,
    /// Resident anonymous memory in bytes: without mapped files.
    pub anonymous_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl PeakMemory {
    /// Looks at a process. One that has ended changes nothing.
    pub fn update(&mut self, process: u32) {
        let usage = ProcessUsage::of(&process.to_string());
        self.resident_bytes = self.resident_bytes.max(usage.peak_memory_bytes);
        self.anonymous_bytes = self.anonymous_bytes.max(usage.anonymous_memory_bytes);
        self.descriptors = self.descriptors.max(usage.descriptors);
    }
}

/// A figure of `/proc/PID/status` in bytes, of which it tells KiB; 0 if it is absent.
fn status_bytes(status: &str, key: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let kib =
        line.and_then(|line| line.trim().split(' ').next()).and_then(|number| number.parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
