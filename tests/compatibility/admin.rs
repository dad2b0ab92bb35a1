//! Operators' calls and the bytes of their answers. Guards against scripts of operators that find a path
//! gone, or an answer that they cannot read.

use rowanglade::core::{AdminCommand, AdminRequest};
use rowanglade::net::Phase;
use rowanglade::net::admin::{AdminService, open};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Of each call: its first line, the answer's lines behind `  `.
const SAMPLES: &str = include_str!("samples/admin.txt");
const CALLS: [&str; 7] = [
    "GET /healthcheck",
    "PUT /targets/box-1/maint",
    "PUT /targets/box%201/ready",
    "PUT /targets/box-9/maint",
    "GET /targets/box-1/ready",
    "PUT /healthcheck",
    "GET /else",
];

/// The call and its answer, without the date.
fn told(admin: SocketAddr, call: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("connected");
    stream.write_all(format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).expect("sent");
    stream.shutdown(std::net::Shutdown::Write).expect("shut down");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answered");
    let lines = answer.lines().filter(|line| !line.starts_with("date: ") && !line.is_empty());
    lines.fold(format!("{call}\n"), |text, line| format!("{text}  {line}\n"))
}

#[test]
fn answers_to_operators_are_as_recorded() {
    let (commands, mut requests) = mpsc::channel::<AdminRequest>(1);
    let ((_ready, ready), (_phase, phase)) = (watch::channel(true), watch::channel(Phase::Serving));
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let admin = open(listener, AdminService { commands, ready, phase }).expect("opened");
    let owner = std::thread::spawn(move || {
        let mut calls = Vec::new();
        while let Some(AdminRequest { command: call, reply }) = requests.blocking_recv() {
            let known = !matches!(&call, AdminCommand::Maint(id) if id == "box-9");
            calls.push(call);
            reply.send(known).expect("it waits");
        }
        calls
    });
    let answers: String = CALLS.iter().map(|call| told(admin.addr(), call)).collect();
    assert_eq!(answers, SAMPLES);
    drop(admin);
    let calls = owner.join().expect("the owner ends with the listener");
    let maint = |id: &str| AdminCommand::Maint(id.into());
    assert_eq!(calls, [maint("box-1"), AdminCommand::Ready("box 1".into()), maint("box-9")]);
}
