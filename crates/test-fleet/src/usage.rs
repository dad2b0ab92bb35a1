//! What a process uses of its machine.

/// Ticks of `/proc/PID/stat` in a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Places of user and system time in `/proc/PID/stat`, counted behind the name, which may hold spaces.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// The most memory it held at once, in bytes.
    pub peak_memory_bytes: u64,
    /// Processor time, in seconds.
    pub processor_seconds: f64,
    /// Descriptors that are open.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Of a process of this machine, by its number; `self` for this one. What cannot be read counts as 0.
    pub fn of(process: &str) -> ProcessUsage {
        let read =
            |file: &str| std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let status = read("status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|line| line.trim().split(' ').next()).and_then(|n| n.parse::<u64>().ok());
        let stat = read("stat");
        let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = behind_name.split_ascii_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count());
        ProcessUsage {
            peak_memory_bytes: kib.unwrap_or(0) << 10,
            processor_seconds: (ticks(USER_TICKS) + ticks(SYSTEM_TICKS)) / TICKS_PER_SECOND,
            descriptors,
        }
    }
}
