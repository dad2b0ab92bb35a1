//! What the program does when it is told by a signal.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};

const EXAMPLE: &str = include_str!("../deploy/example.json");

fn service() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

// SIGHUP ended the program. It has the file read again: one that cannot be used is named and changes nothing,
// and the address in a good one wins over the variable, which tells what held at the start.
#[test]
fn sighup_has_the_file_read_again_and_sigterm_ends_the_program() {
    let (old, old_addr) = service();
    let (new, new_addr) = service();
    let dir = std::env::temp_dir().join(format!("rowanglade-signals-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("config.json");
    let write = |discovery: &str| {
        let mut json: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
        json["listen"] = "127.0.0.1:0".into();
        json["discovery"] = discovery.into();
        std::fs::write(&path, json.to_string()).expect("written");
    };
    write(&old_addr.to_string());
    let mut program = Command::new(env!("CARGO_BIN_EXE_rowanglade"))
        .env("LB_CONFIG", &path)
        .env("LB_DISCOVERY", old_addr.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(program.stderr.take().expect("piped")).lines();
    let tell = |signal: &str| {
        let id = program.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    };
    old.accept().expect("asked at the start");

    write("nowhere");
    tell("-HUP");
    let error = log.by_ref().map(|l| l.expect("text")).find(|l| l.contains("ERROR")).expect("an error");
    assert!(error.contains("discovery: \"nowhere\""), "{error}");

    write(&new_addr.to_string());
    tell("-HUP");
    new.accept().expect("asked after the move");

    tell("-TERM");
    assert!(program.wait().expect("it ends").success());
    std::fs::remove_dir_all(&dir).expect("removed");
}

const ROUTES: &str = "[[pool]]\nname = \"one\"\nboxes = \"s-0\"\n[[route]]\nname = \"r\"\npool = \"one\"\n";

// Routes are taken over while discovery is away; a file that breaks an expectation or is cut short leaves
// those in force; signals one upon the other, and SIGTERM among them, end in order.
#[test]
fn sighup_takes_routes_over_only_where_every_expectation_holds() {
    let dir = std::env::temp_dir().join(format!("rowanglade-signals-routes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let (path, operator) = (dir.join("config.json"), dir.join("operator.toml"));
    let mut json: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    json["listen"] = "127.0.0.1:0".into();
    // Nobody answers there.
    json["discovery"] = service().1.to_string().into();
    std::fs::write(&path, json.to_string()).expect("written");
    let write = |text: &str| {
        std::fs::write(dir.join("new"), text).expect("written");
        std::fs::rename(dir.join("new"), &operator).expect("renamed");
    };
    let expect =
        |must: &str| format!("{ROUTES}[[expect]]\nname = \"e\"\nrequests = {{ new = true }}\n{must}\n");
    write(&expect("only = { boxes = \"s-0\" }"));
    let mut program = Command::new(env!("CARGO_BIN_EXE_rowanglade"))
        .args(["serve", "--operator"])
        .arg(&operator)
        .env("LB_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(program.stderr.take().expect("piped")).lines();
    let id = program.id().to_string();
    let tell = |signal: &str| {
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    };
    let mut until =
        |words: &str| log.by_ref().map(|l| l.expect("text")).find(|l| l.contains(words)).expect(words);
    until("serving");

    write(&expect("never = { boxes = \"s-0\" }"));
    tell("-HUP");
    let broken = until("is broken");
    assert!(
        broken.contains("line 7: expect[0]: \"e\"") && broken.contains("a request could reach s-0"),
        "{broken}"
    );
    until("configuration rejected");

    write(&expect("only = { boxes = \"s-0\" }")[..60]);
    tell("-HUP");
    let unread = until("configuration not reloaded");
    assert!(unread.contains("operator.toml"), "{unread}");

    write(&expect("some = { boxes = \"s-0\" }"));
    tell("-HUP");
    assert!(until("routes loaded").contains("version=2"), "the refused ones were no version");

    tell("-USR1");
    assert!(until("status").contains("routes=[2]"), "one version, and no request under another");
    for _ in 0..5 {
        tell("-HUP");
    }
    tell("-TERM");
    assert!(program.wait().expect("it ends").success());
    std::fs::remove_dir_all(&dir).expect("removed");
}

// A start has no older routes to keep: it fails, and says why.
#[test]
fn a_file_that_breaks_an_expectation_does_not_start() {
    let dir = std::env::temp_dir().join(format!("rowanglade-signals-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let operator = dir.join("operator.toml");
    std::fs::write(&operator, format!("{ROUTES}[[expect]]\nname = \"e\"\nrefused = true\n"))
        .expect("written");
    for command in ["serve", "check"] {
        let output = Command::new(env!("CARGO_BIN_EXE_rowanglade"))
            .args([command, "--operator"])
            .arg(&operator)
            .env("LB_CONFIG", concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/example.json"))
            .env("LB_LISTEN", "127.0.0.1:0")
            .output()
            .expect("it starts");
        assert_eq!(output.status.code(), Some(2), "{command}");
        let told = [output.stdout, output.stderr].concat();
        let told = String::from_utf8_lossy(&told);
        assert!(
            told.contains("line 7: expect[0]") && told.contains("s-0 serves a request that must be rejected"),
            "{command}: {told}"
        );
    }
    std::fs::remove_dir_all(&dir).expect("removed");
}
