//! Tests of the errors for wrong arguments.

use super::*;

fn dispatch_error(words: &[&str]) -> String {
    match dispatch(words.iter().map(OsString::from)) {
        Ok(()) => "done".into(),
        Err(Failure::Usage(error)) => error,
        Err(Failure::Running(error)) => format!("running: {error}"),
    }
}

#[test]
fn errors_name_the_wrong_or_missing_argument() {
    assert!(dispatch_error(&["load"]).contains("FILE"));
    assert!(dispatch_error(&["load", "a", "b"]).contains('b'));
    assert!(dispatch_error(&["load", "/nowhere/x.log"]).starts_with("/nowhere/x.log: "));
    assert!(dispatch_error(&["sevre"]).contains("sevre"));
    assert!(dispatch_error(&["serve", "now"]).contains("now"));
    assert!(dispatch_error(&["check", "--operater", "x"]).contains("operater"));
    assert!(dispatch_error(&["replay", "a.trace"]).contains("--to"));
    assert!(dispatch_error(&["replay", "a.trace", "--to", "here"]).contains("here"));
    assert!(
        dispatch_error(&["replay", "/nowhere/a.trace", "--to", "127.0.0.1:1"])
            .starts_with("/nowhere/a.trace: ")
    );
    assert!(dispatch_error(&["replay", "compare", "a.json"]).contains("AFTER"));
    assert!(dispatch_error(&["routes", "explain", "--volume", "xyz"]).contains("xyz"));
    assert!(dispatch_error(&["routes", "diff", "a"]).contains("NEW"));
    assert!(dispatch_error(&["capture"]).contains("import"));
    assert!(dispatch_error(&["capture", "imprt"]).contains("imprt"));
    assert!(dispatch_error(&["capture", "import", "a.log"]).contains("--out"));
    assert!(dispatch_error(&["capture", "cut", "a", "--out", "b", "--share", "two"]).contains("two"));
}
