//! Tests of the program's reaction to signals.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};

const EXAMPLE: &str = include_str!("../deploy/example.json");

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

// SIGHUP used to end the program; it must reload the configuration file. An invalid file is reported and
// changes nothing. The discovery address in a valid file takes precedence over the environment variable,
// which gives the address at start-up.
#[test]
fn sighup_reloads_the_file_and_sigterm_exits() {
    let (old, old_addr) = bind_listener();
    let (new, new_addr) = bind_listener();
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
        .expect("the program starts");
    let mut log = BufReader::new(program.stderr.take().expect("piped")).lines();
    let send_signal = |signal: &str| {
        let id = program.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    };
    old.accept().expect("a connection after the start");

    write("nowhere");
    send_signal("-HUP");
    let error = log.by_ref().map(|l| l.expect("text")).find(|l| l.contains("ERROR")).expect("an ERROR line");
    assert!(error.contains("discovery: \"nowhere\""), "{error}");

    write(&new_addr.to_string());
    send_signal("-HUP");
    new.accept().expect("a connection after the reload");

    send_signal("-TERM");
    assert!(program.wait().expect("the program exits").success());
    std::fs::remove_dir_all(&dir).expect("removed");
}

const ROUTES: &str = "[[pool]]\nname = \"one\"\nboxes = \"s-0\"\n[[route]]\nname = \"r\"\npool = \"one\"\n";

// Routes are reloaded while discovery is unreachable. A file that breaks an expectation or is truncated
// leaves the routes in force unchanged. Several SIGHUPs in a row, followed by SIGTERM, end in an orderly
// exit.
#[test]
fn sighup_loads_routes_only_if_every_expectation_holds() {
    let dir = std::env::temp_dir().join(format!("rowanglade-signals-routes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let (path, operator) = (dir.join("config.json"), dir.join("operator.toml"));
    let mut json: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    json["listen"] = "127.0.0.1:0".into();
    // The listener is closed, so connections are refused.
    json["discovery"] = bind_listener().1.to_string().into();
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
        .expect("the program starts");
    let mut log = BufReader::new(program.stderr.take().expect("piped")).lines();
    let id = program.id().to_string();
    let send_signal = |signal: &str| {
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill runs").success());
    };
    let mut wait_for_log =
        |words: &str| log.by_ref().map(|l| l.expect("text")).find(|l| l.contains(words)).expect(words);
    wait_for_log("serving");

    write(&expect("never = { boxes = \"s-0\" }"));
    send_signal("-HUP");
    let broken = wait_for_log("is broken");
    assert!(broken.contains("line 7: expect[0]: \"e\"") && broken.contains("it could reach s-0"), "{broken}");
    wait_for_log("configuration rejected");

    write(&expect("only = { boxes = \"s-0\" }")[..60]);
    send_signal("-HUP");
    let unreadable = wait_for_log("configuration not reloaded");
    assert!(unreadable.contains("operator.toml"), "{unreadable}");

    write(&expect("some = { boxes = \"s-0\" }"));
    send_signal("-HUP");
    assert!(wait_for_log("routes loaded").contains("version=2"), "rejected routes get no version");

    send_signal("-USR1");
    assert!(wait_for_log("status").contains("routes=[2]"), "no open request uses another version");
    for _ in 0..5 {
        send_signal("-HUP");
    }
    send_signal("-TERM");
    assert!(program.wait().expect("the program exits").success());
    std::fs::remove_dir_all(&dir).expect("removed");
}

// At start-up there are no earlier routes to keep, so the program exits with an error that names the
// expectation.
#[test]
fn a_broken_expectation_prevents_the_start() {
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
            .expect("the program starts");
        assert_eq!(output.status.code(), Some(2), "{command}");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        assert!(
            printed.contains("line 7: expect[0]") && printed.contains("s-0 serves it"),
            "{command}: {printed}"
        );
    }
    std::fs::remove_dir_all(&dir).expect("removed");
}
