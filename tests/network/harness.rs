//! An initiator on loopback, with scripted servers as its targets and discovery.

use rowanglade::config::Config;
use rowanglade::initiator::{Initiator, Reloads};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};

/// Runs a story on the runtime that the program has; a story that hangs fails.
pub fn story(future: impl Future<Output = ()>) {
    let limit = std::time::Duration::from_secs(20);
    actix_rt::System::new().block_on(async { tokio::time::timeout(limit, future).await }).expect("it ends");
}

/// The configuration that an operator starts from.
const EXAMPLE: &str = include_str!("../../deploy/example.json");

/// An entry of an endpoint list, as the platform words it.
pub fn endpoint_entry(addr: SocketAddr, shard: u32, state: &str) -> String {
    format!(
        r#"{{"id":"s-{shard}","addr":"{addr}","zone":"kingston","cell":{shard},"state":"{state}","started_ms":0}}"#
    )
}

/// Starts an initiator that has these targets cached; it ends when [`Running::end`] is used or dropped.
pub async fn start(lines: &[String], discovery: Option<SocketAddr>, iscsi: Option<&str>) -> Running {
    start_with(lines, discovery, iscsi, |_| {}).await
}

/// The same, with a configuration that was changed. A `folder` in it is where processes meet.
pub async fn start_with(
    lines: &[String],
    discovery: Option<SocketAddr>,
    iscsi: Option<&str>,
    change: impl FnOnce(&mut serde_json::Value),
) -> Running {
    let known = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, lines.join(","));
    let mut json: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    json["listen"] = "127.0.0.1:0".into();
    json["discovery"] = discovery.map(|a| a.to_string()).into();
    if !lines.is_empty() {
        json["known"] = serde_json::from_str(&known).expect("JSON");
    } else if let Some(fields) = json.as_object_mut() {
        fields.remove("known");
    }
    change(&mut json);
    let dir = std::env::temp_dir().join(format!(
        "rowanglade-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&dir).expect("a folder");
    let (config, operator) = (dir.join("config.json"), dir.join("operator.toml"));
    std::fs::write(&config, json.to_string()).expect("written");
    std::fs::write(&operator, iscsi.unwrap_or_default()).expect("written");
    let env = |name: &str| match name {
        "LB_CONFIG" => Some(config.display().to_string()),
        "TMPDIR" => json["folder"].as_str().map(str::to_string),
        _ => None,
    };
    let config = Config::load(env, &[operator]).expect("usable");
    std::fs::remove_dir_all(&dir).expect("removed");
    let node = Initiator::start(config).await.expect("it starts");
    let (http, iscsi) = (node.http_addr().expect("bound"), node.iscsi_addr().map(|a| a.expect("bound")));
    let admin = node.admin_addr();
    let (reloads, (end, told)) = (node.reloads(), oneshot::channel());
    let open: Box<dyn Fn() -> usize> = Box::new(node.open_requests());
    let run = actix_rt::spawn(node.run(async { drop(told.await) }));
    Running { http, iscsi, admin, reloads, open, end, run }
}

/// An initiator that runs in the process of the test.
pub struct Running {
    pub http: SocketAddr,
    pub iscsi: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub reloads: Reloads,
    /// Counts the requests that have no final answer yet and whose client is there.
    pub open: Box<dyn Fn() -> usize>,
    pub end: oneshot::Sender<()>,
    pub run: actix_rt::task::JoinHandle<std::io::Result<()>>,
}

/// What a peer does once it has read a request whole.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes this and goes on.
    Answer(String),
    /// Writes this once it is told to go on.
    Wait(String),
    /// Writes this and closes.
    Last(String),
    /// Closes once it is told to go on.
    Close,
    /// Writes this, and resets the connection: after so long.
    Reset(String, std::time::Duration),
    /// Says nothing until the other side closes.
    Silence,
}

/// A response of success with this body.
pub fn ok(body: &str) -> Step {
    Step::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// An address that refuses connections. It is nobody else's while this is held: a port that is free again may
/// be given to another test, whose peer would then hear what was meant for nobody.
pub struct UnusedAddress {
    #[expect(dead_code, reason = "bound for as long as it is held, and never listening")]
    socket: socket2::Socket,
    pub addr: SocketAddr,
}

impl UnusedAddress {
    pub fn new() -> UnusedAddress {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("bound");
        UnusedAddress { socket, addr }
    }
}

/// An HTTP server that follows a script, one step a request, and reports what it received.
pub struct Peer {
    pub addr: SocketAddr,
    pub seen: mpsc::UnboundedReceiver<String>,
    /// The heads that came, also of requests whose bodies have not come whole.
    pub begun: Rc<RefCell<Vec<String>>>,
    /// Lets a step that waits go on.
    pub go: Rc<Notify>,
}

pub async fn peer(script: Vec<Step>) -> Peer {
    peer_on(TcpListener::bind("127.0.0.1:0").await.expect("bound"), script)
}

pub fn peer_on(listener: TcpListener, script: Vec<Step>) -> Peer {
    let addr = listener.local_addr().expect("bound");
    let (tell, seen) = mpsc::unbounded_channel();
    let script = Rc::new(RefCell::new(script.into_iter()));
    let go = Rc::new(Notify::new());
    let gone = Rc::clone(&go);
    let begun = Rc::new(RefCell::new(Vec::new()));
    let heads = Rc::clone(&begun);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (script, heads) = (Rc::clone(&script), Rc::clone(&heads));
            actix_rt::spawn(follow(stream, script, tell.clone(), heads, Rc::clone(&gone)));
        }
    });
    Peer { addr, seen, begun, go }
}

async fn follow(
    mut stream: TcpStream,
    script: Rc<RefCell<std::vec::IntoIter<Step>>>,
    tell: mpsc::UnboundedSender<String>,
    heads: Rc<RefCell<Vec<String>>>,
    go: Rc<Notify>,
) {
    while let Some(head) = read_head(&mut stream).await {
        heads.borrow_mut().push(head.clone());
        let Some(body) = read_body(&mut stream, &head).await else { return };
        let told = ["x-correlation-id", "idempotency-key"].iter().filter_map(|n| header(&head, n));
        let told: Vec<String> = told.collect();
        let first = head.lines().next().unwrap_or_default();
        let _ = tell.send(
            format!("{first} {} {}", told.join(" "), String::from_utf8_lossy(&body)).trim().to_string(),
        );
        let step = script.borrow_mut().next();
        match step {
            Some(Step::Answer(text)) => stream.write_all(text.as_bytes()).await.expect("written"),
            Some(Step::Wait(text)) => {
                go.notified().await;
                stream.write_all(text.as_bytes()).await.expect("written");
            }
            Some(Step::Last(text)) => {
                stream.write_all(text.as_bytes()).await.expect("written");
                return;
            }
            Some(Step::Close) => return go.notified().await,
            Some(Step::Reset(text, after)) => {
                stream.write_all(text.as_bytes()).await.expect("written");
                tokio::time::sleep(after).await;
                return stream.set_zero_linger().expect("set");
            }
            Some(Step::Silence) | None => {
                let _ = stream.read(&mut [0; 1]).await;
                let _ = tell.send("closed".to_string());
                return;
            }
        }
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let found = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.trim().to_string())
}

/// Head and body of the next message; None where the stream ends before one.
pub async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let head = read_head(stream).await?;
    let body = read_body(stream, &head).await?;
    Some((head, body))
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("UTF-8"))
}

async fn read_body(stream: &mut TcpStream, head: &str) -> Option<Vec<u8>> {
    let length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

/// Sends raw bytes on a new connection; returns status, `Connection`, whether there is a `Retry-After`, and the body
/// of the response.
pub async fn send_request(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    send_request_on(&mut stream, request).await
}

pub async fn send_request_on(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.expect("written");
    let Some((head, body)) = read_message(stream).await else { return "nothing".to_string() };
    let status = head.split(' ').nth(1).unwrap_or_default();
    let closes = header(&head, "connection").map_or(String::new(), |c| format!(" {c}"));
    let after = header(&head, "retry-after").map_or(String::new(), |_| " retry-after".to_string());
    format!("{status}{closes}{after} {}", String::from_utf8_lossy(&body)).trim().to_string()
}

/// A request of the platform's form.
pub fn request(class: &str, id: &str, shard: i32, body: &str) -> String {
    let method = if class == "deposit" { "PUT" } else { "GET" };
    let keyed = if class == "deposit" { "Idempotency-Key: key-1\r\n" } else { "" };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: api.internal\r\n\
         X-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Qos-Policy: full\r\nX-Time-Left-Ms: 1400\r\n\
         X-Placement: units=2,shard={shard},hosts=1\r\n{keyed}{length}\r\n{body}"
    )
}
