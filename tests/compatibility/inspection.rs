//! The output of `capture inspect --json` for a recorded trace. Guards against changed keys, which other
//! tools read.

use std::process::Command;

const TRACE: &str = include_str!("../../crates/capture/tests/samples/trace.hex");
const SAMPLE: &str = include_str!("samples/inspection.json");

#[test]
fn an_inspection_matches_the_sample() {
    let digits: String = TRACE.split_whitespace().collect();
    let byte = |i| u8::from_str_radix(&digits[i..i + 2], 16).expect("hex");
    let trace: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("t.trace");
    std::fs::write(&path, trace).expect("written");
    let program = env!("CARGO_BIN_EXE_rowanglade");
    let output = Command::new(program).args(["capture", "inspect", "--json"]).arg(&path).output();
    let output = output.expect("the program runs");
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert_eq!(String::from_utf8_lossy(&output.stdout), SAMPLE);
}
