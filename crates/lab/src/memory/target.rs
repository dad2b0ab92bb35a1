//! A target for long bodies: reads and discards what it receives, and answers reads of odd shards at length.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Length of a long response.
const LONG_RESPONSE_BYTES: usize = 32 << 20;
/// Bytes of one write of a long response.
const PIECE_BYTES: usize = 64 << 10;
/// How long a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Path of a shallow probe.
const PROBE_PATH: &str = "/alive";

/// Starts a target. Returns its address.
///
/// # Errors
/// The socket cannot be bound.
pub async fn start(long_responses: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                // A broken connection ends its task.
                let _ = serve(stream, long_responses).await;
            });
        }
    });
    Ok(addr)
}

async fn serve(stream: TcpStream, long_responses: bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::with_capacity(PIECE_BYTES, stream);
    while let Some(head) = read_head(&mut stream).await? {
        skip_body(&mut stream, &head).await?;
        let is_probe = head.starts_with(&format!("GET {PROBE_PATH} "));
        let length = match head.starts_with("GET") && long_responses && !is_probe {
            true => LONG_RESPONSE_BYTES,
            false => 100,
        };
        tokio::time::sleep(SERVICE_TIME).await;
        let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(response_head.as_bytes()).await?;
        let piece = [b'.'; PIECE_BYTES];
        let mut left = length;
        while left > 0 {
            let bytes = left.min(PIECE_BYTES);
            stream.write_all(&piece[..bytes]).await?;
            left -= bytes;
        }
    }
    Ok(())
}

/// Reads a request's head; `None`: the connection has ended.
async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let head = RefCell::new(Vec::new());
    while !head.borrow().ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.borrow_mut().push(byte),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head.into_inner()).to_ascii_lowercase().replacen("get", "GET", 1)))
}

/// Reads and discards a body with a declared length.
async fn skip_body(stream: &mut BufReader<TcpStream>, head: &str) -> io::Result<()> {
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let mut left: u64 = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let mut scratch = vec![0; PIECE_BYTES];
    while left > 0 {
        let bytes = scratch.len().min(left as usize);
        let read = stream.read(&mut scratch[..bytes]).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        left -= read as u64;
    }
    Ok(())
}
