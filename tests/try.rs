//! Test of the `try` command, which newcomers run first.

use std::process::Command;

#[test]
fn try_runs_without_configuration_and_reports_every_request_of_the_sample() {
    let json = std::env::temp_dir().join(format!("rowanglade-try-{}.json", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_rowanglade"));
    let output = command.arg("try").arg("--json").arg(&json).env_clear().output().expect("started");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report = std::fs::read_to_string(&json).expect("a report");
    std::fs::remove_file(&json).expect("removed");
    let report = rowanglade_replay::Report::parse(&report).expect("a report");
    let total = report.total();
    let final_responses = total.served + total.refused + total.failed + total.lost + total.unsent;
    assert_eq!((total.due, final_responses), (649, 649), "{report}");
    assert!(total.served > 0 && report.classes.len() == 3, "{report}");
}
