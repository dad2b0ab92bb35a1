//! The counts of injected faults are written beside the process under test, which never waits for their file.

use rowanglade_fault_shim::{COUNTS_VARIABLE, FAULTS_VARIABLE};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

/// Set in the process under test.
const UNDER_TEST: &str = "ROWANGLADE_SHIM_UNDER_TEST";
const PATIENCE: Duration = Duration::from_secs(10);

/// The shim's library, which lies beside this test's program.
fn library() -> PathBuf {
    let program = std::env::current_exe().expect("a program");
    let path = program.with_file_name("librowanglade_fault_shim.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

// The process under test: each look at the wall clock is a fault that is counted.
#[test]
fn the_process_under_test_reads_the_wall_clock() {
    if std::env::var_os(UNDER_TEST).is_none() {
        return;
    }
    let hour = Duration::from_secs(3_600);
    let before = SystemTime::UNIX_EPOCH + Duration::from_millis(parent_time());
    for _ in 0..100 {
        let ahead = SystemTime::now().duration_since(before).expect("the clock is ahead");
        assert!(ahead >= hour, "{ahead:?}: the clock is not stepped");
    }
}

/// The time at which the process under test was started, as its parent's clock has it.
fn parent_time() -> u64 {
    std::env::var(UNDER_TEST).ok().and_then(|ms| ms.parse().ok()).expect("set by the parent")
}

// Fleets ran beside a large copy of files. The shim wrote its counts in the middle of the call that it had just
// failed, the disk took up to 0.8 s for that, and the process told its targets too much time. Here the file is a
// pipe that nobody reads, so whoever opens it waits for ever.
#[test]
fn a_counts_file_that_blocks_holds_up_no_call() {
    let folder = tempfile::tempdir().expect("a folder");
    let counts = folder.path().join("counts");
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
    let script = r#"mkfifo "$COUNTS_BASE.$$" && LD_PRELOAD="$SHIM" exec "$0" "$@""#;
    let mut child = Command::new("sh")
        .args(["-c", script])
        .arg(std::env::current_exe().expect("a program"))
        .args(["--exact", "the_process_under_test_reads_the_wall_clock"])
        .env("SHIM", library())
        .env("COUNTS_BASE", &counts)
        .env(COUNTS_VARIABLE, &counts)
        .env(FAULTS_VARIABLE, "clock:step=3600000:1")
        .env(UNDER_TEST, now.as_millis().to_string())
        .stdout(Stdio::null())
        .spawn()
        .expect("started");
    let begun = Instant::now();
    let ended = loop {
        if let Some(status) = child.try_wait().expect("it is a child") {
            break status;
        }
        if begun.elapsed() > PATIENCE {
            child.kill().expect("it runs");
            child.wait().expect("it is a child");
            panic!("the process waits for its counts file");
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(ended.success(), "{ended}");
}
