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
