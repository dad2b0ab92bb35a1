//! Injected faults are counted without delay to the process under test, which never waits for the counts
//! file.

use rowanglade_fault_shim::{COUNTS_VARIABLE, FAULTS_VARIABLE};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

/// Set in the environment of the child process, to the time at which the parent started it (Unix time, in
/// ms).
const CHILD_VARIABLE: &str = "ROWANGLADE_SHIM_UNDER_TEST";
const CHILD_TIMEOUT: Duration = Duration::from_secs(10);

/// The path of the shim's library, which is built into the folder of this test executable.
fn library() -> PathBuf {
    let program = std::env::current_exe().expect("path of the test executable unknown");
    let path = program.with_file_name("librowanglade_fault_shim.so");
    assert!(path.exists(), "the shim's library {} is not built", path.display());
    path
}

// Runs in the child process only: the shim steps the wall clock by an hour in every read of it, and counts
// each as a fault.
#[test]
fn child_process_reads_the_stepped_wall_clock() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    let hour = Duration::from_secs(3_600);
    let before = SystemTime::UNIX_EPOCH + Duration::from_millis(parent_time_ms());
    for _ in 0..100 {
        let ahead = SystemTime::now().duration_since(before).expect("the wall clock is behind the parent's");
        assert!(ahead >= hour, "the wall clock is {ahead:?} ahead, expected at least 1 h");
    }
}

/// The time at which the parent started this process, by the parent's clock.
fn parent_time_ms() -> u64 {
    std::env::var(CHILD_VARIABLE)
        .ok()
        .and_then(|ms| ms.parse().ok())
        .expect("the parent has set no start time in ms")
}

// Guards against writing the counts within the call that got the fault. Next to a large file copy, such a
// write took up to 0.8 s, and the process stated too much time left to its targets. Here the counts file is a
// named pipe without a reader, so opening it blocks forever.
#[test]
fn a_blocking_counts_file_delays_no_call() {
    let folder = tempfile::tempdir().expect("cannot create a temporary folder");
    let counts = folder.path().join("counts");
    let now =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("the wall clock is before 1970");
    let script = r#"mkfifo "$COUNTS_BASE.$$" && LD_PRELOAD="$SHIM" exec "$0" "$@""#;
    let mut child = Command::new("sh")
        .args(["-c", script])
        .arg(std::env::current_exe().expect("path of the test executable unknown"))
        .args(["--exact", "child_process_reads_the_stepped_wall_clock"])
        .env("SHIM", library())
        .env("COUNTS_BASE", &counts)
        .env(COUNTS_VARIABLE, &counts)
        .env(FAULTS_VARIABLE, "clock:step=3600000:1")
        .env(CHILD_VARIABLE, now.as_millis().to_string())
        .stdout(Stdio::null())
        .spawn()
        .expect("cannot start the child process");
    let started_at = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().expect("cannot wait for the child process") {
            break status;
        }
        if started_at.elapsed() > CHILD_TIMEOUT {
            child.kill().expect("cannot kill the child process");
            child.wait().expect("cannot wait for the child process");
            panic!("the process did not exit within {CHILD_TIMEOUT:?}: it waits for its counts file");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(status.success(), "child process failed: {status}");
}
