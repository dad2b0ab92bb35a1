//! Operators' commands and the bytes of their responses. Guards against operators' scripts failing because a
//! path is missing or a response has changed.

use rowanglade::core::{AdminCommand, AdminRequest};
use rowanglade::net::Phase;
use rowanglade::net::admin::{AdminService, open};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// For each command: the request line, then the lines of the response, indented by two spaces.
const SAMPLES: &str = include_str!("samples/admin.txt");
const COMMANDS: [&str; 7] = [
    "GET /healthcheck",
    "PUT /targets/box-1/maint",
    "PUT /targets/box%201/ready",
    "PUT /targets/box-9/maint",
    "GET /targets/box-1/ready",
    "PUT /healthcheck",
    "GET /else",
];

/// Sends a command, and returns it with its response, without the date header.
fn send_command(admin: SocketAddr, command: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("connected");
    stream.write_all(format!("{command} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).expect("sent");
    stream.shutdown(std::net::Shutdown::Write).expect("shut down");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("answered");
    let lines = response.lines().filter(|line| !line.starts_with("date: ") && !line.is_empty());
    lines.fold(format!("{command}\n"), |text, line| format!("{text}  {line}\n"))
}

#[test]
fn responses_to_operators_match_the_samples() {
    let (commands, mut requests) = mpsc::channel::<AdminRequest>(1);
    let ((_ready, ready), (_phase, phase)) = (watch::channel(true), watch::channel(Phase::Serving));
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let admin = open(listener, AdminService { commands, ready, phase }).expect("opened");
    let core = std::thread::spawn(move || {
        let mut commands = Vec::new();
        while let Some(AdminRequest { command, reply }) = requests.blocking_recv() {
            let known = !matches!(&command, AdminCommand::Maint(id) if id == "box-9");
            commands.push(command);
            reply.send(known).expect("the caller waits");
        }
        commands
    });
    let responses: String = COMMANDS.iter().map(|command| send_command(admin.addr(), command)).collect();
    assert_eq!(responses, SAMPLES);
    drop(admin);
    let commands = core.join().expect("the thread ends with the listener");
    let maint = |id: &str| AdminCommand::Maint(id.into());
    assert_eq!(commands, [maint("box-1"), AdminCommand::Ready("box 1".into()), maint("box-9")]);
}
