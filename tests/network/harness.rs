//! Test harness: an initiator on loopback, with scripted servers as its targets and as discovery.

use rowanglade::config::Config;
use rowanglade::initiator::{Initiator, Reloads};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};

/// Runs a test on the runtime that the program uses. A test that takes longer than 20 s fails.
pub fn run_test(future: impl Future<Output = ()>) {
    let limit = std::time::Duration::from_secs(20);
    actix_rt::System::new()
        .block_on(async { tokio::time::timeout(limit, future).await })
        .expect("the test ends within its time limit");
}

/// The example configuration that is shipped for operators.
const EXAMPLE: &str = include_str!("../../deploy/example.json");

/// An entry of an endpoint list, in the format of discovery.
pub fn endpoint_entry(addr: SocketAddr, shard: u32, state: &str) -> String {
    format!(
        r#"{{"id":"s-{shard}","addr":"{addr}","zone":"kingston","cell":{shard},"state":"{state}","started_ms":0}}"#
    )
}

/// Starts an initiator whose cached endpoint list holds `endpoints`, with `operator_text` as the text of the
/// operator's file. It stops when [`RunningInitiator::shutdown`] is used or dropped.
pub async fn start_initiator(
    endpoints: &[String],
    discovery: Option<SocketAddr>,
    operator_text: Option<&str>,
) -> RunningInitiator {
    start_initiator_with(endpoints, discovery, operator_text, |_| {}).await
}

/// Like [`start_initiator`], with a change to its configuration. A `folder` that the change adds is used as
/// `TMPDIR`, which is where the processes of a handover meet.
pub async fn start_initiator_with(
    endpoints: &[String],
    discovery: Option<SocketAddr>,
    operator_text: Option<&str>,
    change: impl FnOnce(&mut serde_json::Value),
) -> RunningInitiator {
    let cached_list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, endpoints.join(","));
    let mut json: serde_json::Value = serde_json::from_str(EXAMPLE).expect("JSON");
    json["listen"] = "127.0.0.1:0".into();
    json["discovery"] = discovery.map(|a| a.to_string()).into();
    if !endpoints.is_empty() {
        json["known"] = serde_json::from_str(&cached_list).expect("JSON");
    } else if let Some(fields) = json.as_object_mut() {
        fields.remove("known");
    }
    change(&mut json);
    let dir = std::env::temp_dir().join(format!(
        "rowanglade-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&dir).expect("the folder is created");
    let (config, operator) = (dir.join("config.json"), dir.join("operator.toml"));
    std::fs::write(&config, json.to_string()).expect("written");
    std::fs::write(&operator, operator_text.unwrap_or_default()).expect("written");
    let env = |name: &str| match name {
        "LB_CONFIG" => Some(config.display().to_string()),
        "TMPDIR" => json["folder"].as_str().map(str::to_string),
        _ => None,
    };
    let config = Config::load(env, &[operator]).expect("the configuration is valid");
    std::fs::remove_dir_all(&dir).expect("removed");
    let initiator = Initiator::start(config).await.expect("the initiator starts");
    let (http, iscsi) =
        (initiator.http_addr().expect("bound"), initiator.iscsi_addr().map(|a| a.expect("bound")));
    let admin = initiator.admin_addr();
    let (reloads, (shutdown, shutdown_requested)) = (initiator.reloads(), oneshot::channel());
    let open_requests: Box<dyn Fn() -> usize> = Box::new(initiator.open_requests());
    let task = actix_rt::spawn(initiator.run(async { drop(shutdown_requested.await) }));
    RunningInitiator { http, iscsi, admin, reloads, open_requests, shutdown, task }
}

/// An initiator that runs in the test's own process.
pub struct RunningInitiator {
    pub http: SocketAddr,
    pub iscsi: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub reloads: Reloads,
    /// Counts the requests that have no final response yet and whose client is connected.
    pub open_requests: Box<dyn Fn() -> usize>,
    pub shutdown: oneshot::Sender<()>,
    pub task: actix_rt::task::JoinHandle<std::io::Result<()>>,
}

/// What a scripted server does after it has received a complete request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes this response and reads the next request.
    Respond(String),
    /// Writes this response once [`ScriptedServer::resume`] is notified.
    RespondOnResume(String),
    /// Writes this response and closes the connection.
    RespondAndClose(String),
    /// Closes the connection once [`ScriptedServer::resume`] is notified.
    CloseOnResume,
    /// Writes this text, then resets the connection after the delay.
    RespondAndReset(String, std::time::Duration),
    /// Sends nothing until the other side closes the connection.
    Silence,
}

/// A 200 response with this body.
pub fn ok(body: &str) -> Step {
    Step::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// An address that refuses connections. The port stays bound while this value exists, because a free port
/// could be assigned to the server of another test, which would then receive this test's connections.
pub struct UnusedAddress {
    #[expect(dead_code, reason = "keeps the port bound; it never listens")]
    socket: socket2::Socket,
    pub addr: SocketAddr,
}

impl UnusedAddress {
    pub fn new() -> UnusedAddress {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("the socket is created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
        let addr = socket.local_addr().ok().and_then(|addr| addr.as_socket()).expect("bound");
        UnusedAddress { socket, addr }
    }
}

/// An HTTP server that follows a script, one step per request, and reports the requests that it received. All
/// of its connections share the script.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    pub received: mpsc::UnboundedReceiver<String>,
    /// The heads of all requests, including those whose body has not arrived completely.
    pub request_heads: Rc<RefCell<Vec<String>>>,
    /// Releases a step that waits to be resumed.
    pub resume: Rc<Notify>,
}

pub async fn scripted_server(script: Vec<Step>) -> ScriptedServer {
    scripted_server_on(TcpListener::bind("127.0.0.1:0").await.expect("bound"), script)
}

pub fn scripted_server_on(listener: TcpListener, script: Vec<Step>) -> ScriptedServer {
    let addr = listener.local_addr().expect("bound");
    let (sender, received) = mpsc::unbounded_channel();
    let script = Rc::new(RefCell::new(script.into_iter()));
    let resume = Rc::new(Notify::new());
    let resumed = Rc::clone(&resume);
    let request_heads = Rc::new(RefCell::new(Vec::new()));
    let heads = Rc::clone(&request_heads);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (script, heads) = (Rc::clone(&script), Rc::clone(&heads));
            actix_rt::spawn(run_script(stream, script, sender.clone(), heads, Rc::clone(&resumed)));
        }
    });
    ScriptedServer { addr, received, request_heads, resume }
}

async fn run_script(
    mut stream: TcpStream,
    script: Rc<RefCell<std::vec::IntoIter<Step>>>,
    sender: mpsc::UnboundedSender<String>,
    heads: Rc<RefCell<Vec<String>>>,
    resume: Rc<Notify>,
) {
    while let Some(head) = read_head(&mut stream).await {
        heads.borrow_mut().push(head.clone());
        let Some(body) = read_body(&mut stream, &head).await else { return };
        let ids = ["x-correlation-id", "idempotency-key"].iter().filter_map(|n| header(&head, n));
        let ids: Vec<String> = ids.collect();
        let first = head.lines().next().unwrap_or_default();
        let _ = sender
            .send(format!("{first} {} {}", ids.join(" "), String::from_utf8_lossy(&body)).trim().to_string());
        let step = script.borrow_mut().next();
        match step {
            Some(Step::Respond(text)) => stream.write_all(text.as_bytes()).await.expect("written"),
            Some(Step::RespondOnResume(text)) => {
                resume.notified().await;
                stream.write_all(text.as_bytes()).await.expect("written");
            }
            Some(Step::RespondAndClose(text)) => {
                stream.write_all(text.as_bytes()).await.expect("written");
                return;
            }
            Some(Step::CloseOnResume) => return resume.notified().await,
            Some(Step::RespondAndReset(text, delay)) => {
                stream.write_all(text.as_bytes()).await.expect("written");
                tokio::time::sleep(delay).await;
                return stream.set_zero_linger().expect("linger is set");
            }
            Some(Step::Silence) | None => {
                let _ = stream.read(&mut [0; 1]).await;
                let _ = sender.send("closed".to_string());
                return;
            }
        }
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let found = head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.trim().to_string())
}

/// Reads the head and the body of the next message; `None` if the stream ends before they are complete.
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
    let content_length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; content_length];
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

/// Sends raw bytes on a new connection. Returns the response's status, its `Connection` header, whether it
/// has a `Retry-After`, and its body, or "no response" if the connection ends before a response is complete.
pub async fn send_request(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    send_request_on(&mut stream, request).await
}

pub async fn send_request_on(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.expect("written");
    let Some((head, body)) = read_message(stream).await else { return "no response".to_string() };
    let status = head.split(' ').nth(1).unwrap_or_default();
    let connection = header(&head, "connection").map_or(String::new(), |c| format!(" {c}"));
    let retry_after = header(&head, "retry-after").map_or(String::new(), |_| " retry-after".to_string());
    format!("{status}{connection}{retry_after} {}", String::from_utf8_lossy(&body)).trim().to_string()
}

/// A request in the platform's format; it is a `PUT` with an idempotency key if its class is `deposit`.
pub fn request(class: &str, id: &str, shard: i32, body: &str) -> String {
    let method = if class == "deposit" { "PUT" } else { "GET" };
    let idempotency_key = if class == "deposit" { "Idempotency-Key: key-1\r\n" } else { "" };
    let content_length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: api.internal\r\n\
         X-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Qos-Policy: full\r\nX-Time-Left-Ms: 1400\r\n\
         X-Placement: units=2,shard={shard},hosts=1\r\n{idempotency_key}{content_length}\r\n{body}"
    )
}
