//! The table of client connections: which connection is evicted for a new one, what counts as idle, and how a
//! connection is closed.

use rowanglade::net::close::LINGER;
use rowanglade::net::http::ConnectionTable;
use rowanglade::net::http::clients::{
    ActiveRequest, BODY_READ_BYTES, ClientStream, EVICTION_MIN_AGE, HEAD_TIMEOUT, IDLE_TIMEOUT,
    MAX_HEAD_BYTES, MAX_PIPELINED_BYTES, MAX_PIPELINED_HEADS, MAX_UNREGISTERED, SURPLUS_IDLE_TIMEOUT,
    UNCROWDED_DIVISOR, UNCROWDED_IDLE_TIMEOUT, WRITE_TIMEOUT,
};
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Runs a test. If time is paused, it passes only where the test advances it, or when no task can run.
fn run_test(paused: bool, future: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(paused).build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future);
}

async fn accepted(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let addr = listener.local_addr().expect("bound");
    let client = TcpStream::connect(addr).await.expect("connected");
    (client, listener.accept().await.expect("accepted").0)
}

/// A client's stream, and the connection that the table has for it.
async fn registered(table: &ConnectionTable, listener: &TcpListener) -> (TcpStream, ClientStream) {
    let (peer, stream) = accepted(listener).await;
    (peer, table.register(stream).expect("capacity left"))
}

// Clients that sent nothing, or stayed open after one request, held all descriptors, and accept failed for
// all others.
#[test]
fn silent_and_idle_connections_are_evicted_and_busy_ones_are_not() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(2, 1);
        let mut peers = Vec::new();
        let mut register = async || {
            let (peer, stream) = accepted(&listener).await;
            peers.push(peer);
            table.register(stream)
        };
        let busy = register().await.expect("capacity left");
        let open = busy.connection().begin_request();
        let mut silent = register().await.expect("capacity left");
        assert!(register().await.is_none(), "a new connection is not evicted, its request may be in transit");
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let mut late = register().await.expect("the silent connection is evicted");
        assert_eq!(silent.read(&mut [0; 1]).await.expect("closed"), 0);
        tokio::time::advance(HEAD_TIMEOUT).await;
        table.end_overdue();
        assert_eq!(late.read(&mut [0; 1]).await.expect("closed"), 0);
        drop((silent, late));
        assert_eq!(
            table.open_connections(),
            2,
            "the overdue connection stays in the table while it is being closed"
        );
        tokio::time::sleep(LINGER + Duration::from_millis(10)).await;
        assert_eq!((table.open_connections(), busy.connection().is_ended()), (1, false));
        drop(open);
        tokio::time::advance(IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(busy.connection().is_ended());
    });
}

// An idle connection was closed although a request had just arrived on it.
#[test]
fn request_that_arrived_before_an_idle_connection_was_ended_is_read() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        drop(stream.connection().begin_request());
        peer.write_all(b"GET").await.expect("written");
        stream.tcp().readable().await.expect("the bytes arrive");
        stream.connection().end();
        assert_eq!(stream.read(&mut [0; 9]).await.expect("read"), 3);
        assert!(!stream.connection().is_ended(), "the connection resumes for the request");
        drop(stream.connection().begin_request());
        stream.connection().end();
        assert_eq!(stream.read(&mut [0; 9]).await.expect("closed"), 0);
    });
}

// A request arrived just as its connection was closed for being idle, although no other client needed the
// capacity.
#[test]
fn idle_connections_stay_open_for_longer_while_the_table_is_not_crowded() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(2 * UNCROWDED_DIVISOR, 2 * UNCROWDED_DIVISOR);
        let mut streams = Vec::new();
        for open in 1..=3 {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("capacity left");
            drop(stream.connection().begin_request());
            streams.push((peer, stream));
            tokio::time::advance(IDLE_TIMEOUT).await;
            table.end_overdue();
            let ended = streams.iter().any(|(_, stream)| stream.connection().is_ended());
            assert_eq!(ended, open > 2, "{open} connections, capacity {}", 2 * UNCROWDED_DIVISOR);
        }
        streams.truncate(1);
        let table = ConnectionTable::new(2 * UNCROWDED_DIVISOR, 2 * UNCROWDED_DIVISOR);
        let (_peer, stream) = accepted(&listener).await;
        let stream = table.register(stream).expect("capacity left");
        drop(stream.connection().begin_request());
        tokio::time::advance(UNCROWDED_IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(stream.connection().is_ended(), "an idle connection does not stay open forever");
    });
}

// The last bytes of a long response waited for a slow client, the connection counted as idle, and the
// response was cut off.
#[test]
fn connection_whose_client_is_slow_to_read_a_response_is_not_idle() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 9);
        let (peer, stream) = accepted(&listener).await;
        let mut slow = table.register(stream).expect("capacity left");
        drop(slow.connection().begin_request());
        let mut filled = 0;
        while let Ok(Ok(written)) =
            tokio::time::timeout(Duration::from_millis(1), AsyncWriteExt::write(&mut slow, &[0; 1 << 16]))
                .await
        {
            filled += written;
        }
        tokio::time::advance(IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(
            !slow.connection().is_ended(),
            "{filled} bytes were written, and the client has not read them yet"
        );
        assert!(
            table.register(accepted(&listener).await.1).is_none(),
            "a connection with an unread response is not evicted"
        );
        tokio::time::advance(WRITE_TIMEOUT).await;
        table.end_overdue();
        assert!(slow.connection().is_ended(), "a client that reads nothing exceeds the write timeout");
        drop(peer);
    });
}

// Many clients that stayed open after one request held all connections that clients may have.
#[test]
fn surplus_idle_connections_are_ended_oldest_first() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 2);
        let mut streams = Vec::new();
        for _ in 0..4 {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("capacity left");
            drop(stream.connection().begin_request());
            tokio::time::advance(Duration::from_millis(1)).await;
            streams.push((peer, stream));
        }
        let ended = || {
            table.end_overdue();
            streams.iter().map(|(_, stream)| stream.connection().is_ended()).collect::<Vec<_>>()
        };
        assert_eq!(ended(), [false; 4], "their clients may be about to send a request");
        tokio::time::advance(SURPLUS_IDLE_TIMEOUT).await;
        assert_eq!(ended(), [true, true, false, false]);
        table.keep_idle();
        tokio::time::advance(IDLE_TIMEOUT).await;
        assert_eq!(
            ended(),
            [true, true, false, false],
            "idle connections are kept when no new ones replace them"
        );
    });
}

/// A connection whose handler has a complete request, with the client's stream.
async fn accept_with_request(
    table: &ConnectionTable,
    listener: &TcpListener,
) -> (TcpStream, ClientStream, ActiveRequest) {
    let (peer, stream) = registered(table, listener).await;
    let busy = stream.connection().begin_request();
    stream.connection().complete_request();
    (peer, stream, busy)
}

// Closing a socket over unread bytes resets the connection, and the client lost the last response.
#[test]
fn connection_closed_over_unread_bytes_still_delivers_its_response() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream, busy) = accept_with_request(&table, &listener).await;
        stream.write_all(b"the last answer").await.expect("written");
        // One request arrives before the close, and another one after writing was shut down.
        peer.write_all(&[b'x'; 9_000]).await.expect("written");
        stream.tcp().readable().await.expect("the bytes arrive");
        drop((busy, stream));
        tokio::task::yield_now().await;
        peer.write_all(&[b'y'; 9_000]).await.expect("the connection is not reset");
        let mut read = String::new();
        peer.read_to_string(&mut read).await.expect("the stream ends without a reset");
        assert_eq!(read, "the last answer");
        drop(peer);
        while table.open_connections() > 0 {
            tokio::task::yield_now().await;
        }
    });
}

// A client that neither closes nor stops sending would keep its connection in the table forever.
#[test]
fn closing_connection_can_be_evicted_and_is_closed_after_a_bounded_time() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 1);
        let (_first, stream, busy) = accept_with_request(&table, &listener).await;
        drop((busy, stream));
        assert_eq!(table.open_connections(), 1, "the connection waits for its client to close");
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let (_second, stream) = accepted(&listener).await;
        let stream = table.register(stream).expect("the closing connection is evicted");
        assert_eq!(table.open_connections(), 1);
        drop(stream);
        tokio::time::sleep(LINGER + Duration::from_millis(10)).await;
        assert_eq!(table.open_connections(), 0, "the connection does not stay in the table forever");
    });
}

// Bytes after a request hid that its client had disconnected, and made the handler spin once a buffer was
// full.
#[test]
fn disconnect_is_detected_after_any_number_of_pipelined_bytes() {
    run_test(false, async {
        for sent in [1, MAX_PIPELINED_BYTES - 1, 4 * MAX_PIPELINED_BYTES] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let table = ConnectionTable::new(9, 9);
            let (mut peer, mut stream, busy) = accept_with_request(&table, &listener).await;
            let connection = std::rc::Rc::clone(stream.connection());
            let reading = tokio::task::spawn_local(async move {
                let (mut bytes_read, mut buf) = (0, vec![0; 1 << 16]);
                while let Ok(read @ 1..) = stream.read(&mut buf).await {
                    bytes_read += read;
                }
                (bytes_read, stream)
            });
            peer.write_all(&vec![b'x'; sent]).await.expect("written");
            drop(peer);
            tokio::time::timeout(Duration::from_millis(300), connection.client_closed())
                .await
                .expect("the disconnect is detected");
            let (bytes_read, stream) = reading.await.expect("the end of the stream is read");
            assert!(
                bytes_read <= 2 * MAX_PIPELINED_BYTES,
                "{bytes_read} of {sent} bytes were passed on, more than twice the limit"
            );
            assert_eq!(
                connection.closes_after_response(),
                sent > 2 * MAX_PIPELINED_BYTES,
                "the connection closes after the response only if bytes were discarded: {sent} sent"
            );
            drop((busy, stream));
        }
    });
}

// While bytes were unread, the end of their connection was not detected.
#[test]
fn disconnect_is_detected_while_received_bytes_are_unread() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        for reset in [false, true] {
            let (mut peer, stream, busy) = accept_with_request(&table, &listener).await;
            peer.write_all(&[b'x'; 100]).await.expect("written");
            let waited =
                tokio::time::timeout(Duration::from_millis(120), stream.connection().client_closed()).await;
            assert!(waited.is_err(), "the client is still connected");
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
            }
            drop(peer);
            tokio::time::timeout(Duration::from_millis(300), stream.connection().client_closed())
                .await
                .expect("the disconnect is detected");
            drop((busy, stream));
        }
    });
}

// While bytes were unread, the disconnect was polled for every 50 ms. Paused time advances here only while a
// task waits for a timer, so any delay of the detection shows.
#[test]
fn disconnect_is_detected_by_an_event_without_delay() {
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        for (unread, reset) in [(0, false), (0, true), (100, false), (100, true), (9_000, false)] {
            let (mut peer, stream, busy) = accept_with_request(&table, &listener).await;
            peer.write_all(&vec![b'x'; unread]).await.expect("written");
            let connection = std::rc::Rc::clone(stream.connection());
            let detection = tokio::task::spawn_local(async move {
                connection.client_closed().await;
                tokio::time::Instant::now()
            });
            // Not a multiple of a likely polling interval.
            tokio::time::sleep(Duration::from_millis(123)).await;
            assert!(!detection.is_finished(), "the client is still connected");
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
            }
            let closed_at = tokio::time::Instant::now();
            drop(peer);
            let detected_at = detection.await.expect("the disconnect is detected");
            assert_eq!(detected_at - closed_at, Duration::ZERO, "{unread} bytes unread, reset {reset}");
            drop((busy, stream));
        }
    });
}

// The HTTP service writes all that it has before it drops a handler. A response that the client did not read
// kept the next request alive after the client had closed its side.
#[test]
fn unread_response_does_not_delay_the_cancellation_of_the_next_request() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream, busy) = accept_with_request(&table, &listener).await;
        let waiting = stream.connection().await_response();
        let full = Duration::from_millis(20);
        while tokio::time::timeout(full, AsyncWriteExt::write(&mut stream, &[0; 1 << 16])).await.is_ok() {}
        peer.shutdown().await.expect("the client closes its side");
        assert_eq!(stream.read(&mut [0; 9]).await.expect("the end of the stream is read"), 0);
        let written = tokio::time::timeout(full, stream.write_all(b"more")).await;
        let error = written.expect("the write does not wait").expect_err("the client has disconnected");
        assert_eq!(error.kind(), std::io::ErrorKind::BrokenPipe);
        drop(waiting);
        let written = tokio::time::timeout(full, stream.write_all(b"more")).await;
        assert!(written.is_err(), "without a pending request, the client may still read earlier responses");
        drop((busy, peer));
    });
}

// A new connection beyond the capacity was closed without a response, which its client had to take for a
// failure.
#[test]
fn connection_beyond_the_capacity_receives_a_503_with_retry_after() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 1);
        let (_first, stream, busy) = accept_with_request(&table, &listener).await;
        let (mut peer, rejected) = accepted(&listener).await;
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("written");
        assert!(table.register(rejected).is_none());
        let mut response = String::new();
        peer.read_to_string(&mut response).await.expect("the stream ends without a reset");
        assert!(response.starts_with("HTTP/1.1 503") && response.contains("Retry-After"), "{response}");
        drop((busy, stream));
    });
}

// A burst of new connections evicted as many idle ones, all of which stayed open until their tasks ran.
// Together they used twice the descriptors of clients, including those that discovery needs.
#[test]
fn burst_opens_only_a_few_connections_beyond_the_capacity() {
    const CAPACITY: usize = 20;
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(CAPACITY, CAPACITY);
        let mut peers = Vec::new();
        let mut idle = Vec::new();
        for _ in 0..CAPACITY {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("capacity left");
            drop(stream.connection().begin_request());
            peers.push(peer);
            idle.push(stream);
        }
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let mut burst = Vec::new();
        while table.may_accept() {
            let (peer, stream) = accepted(&listener).await;
            burst.extend(table.register(stream));
            peers.push(peer);
        }
        assert_eq!((burst.len(), table.open_connections()), (MAX_UNREGISTERED, CAPACITY));
        // Evicted connections are closed once their tasks have run.
        idle.retain(|stream| !stream.connection().is_ended());
        while !table.may_accept() {
            table.connection_closed().await;
        }
        assert_eq!(idle.len(), CAPACITY - MAX_UNREGISTERED);
    });
}

// Clients that sent many requests at once, and read no response, took a process over its memory limit: the HTTP library
// decodes all heads that it can read, into many times their size.
#[test]
fn requests_sent_at_once_are_passed_on_a_few_at_a_time() {
    const REQUESTS: usize = 64;
    const HEAD: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        peer.write_all(&HEAD.repeat(REQUESTS)).await.expect("written");
        stream.tcp().readable().await.expect("the bytes arrive");
        let mut heads_read = 0;
        while heads_read < REQUESTS {
            let mut buf = vec![0; 1 << 16];
            assert_eq!(
                stream.read(&mut buf).await.expect("read"),
                HEAD.len(),
                "one head without another request"
            );
            heads_read += 1;
            let busy = stream.connection().begin_request();
            stream.connection().complete_request();
            let mut pipelined = 0;
            while let Ok(read) = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut buf)).await {
                assert_eq!(read.expect("read"), HEAD.len());
                pipelined += 1;
            }
            assert!(pipelined <= MAX_PIPELINED_HEADS, "{pipelined} requests beside the one being processed");
            heads_read += pipelined;
            drop(busy);
        }
        assert_eq!(heads_read, REQUESTS, "every request is passed on");
        assert!(!stream.connection().closes_after_response());
    });
}

// A client that stopped in the middle of a long body took far more memory than the budget for bodies counted: the HTTP
// library reads ahead of the handler.
#[test]
fn a_body_is_read_only_as_its_handler_waits_for_it() {
    const BODY_BYTES: usize = 400_000;
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        let busy = stream.connection().begin_request();
        let sending = tokio::task::spawn_local(async move {
            peer.write_all(&[b'x'; BODY_BYTES]).await.expect("written");
            peer
        });
        let mut buf = vec![0; 1 << 20];
        let wait = Duration::from_millis(1);
        let unasked = tokio::time::timeout(wait, stream.read(&mut buf)).await;
        assert!(unasked.is_err(), "the handler does not wait for the body");
        let mut total = 0;
        while total < BODY_BYTES {
            stream.connection().request_body_bytes(BODY_READ_BYTES);
            let read = stream.read(&mut buf).await.expect("read");
            assert!((1..=BODY_READ_BYTES).contains(&read), "{read} bytes at once");
            total += read;
        }
        assert_eq!(total, BODY_BYTES);
        drop((busy, sending.await.expect("sent")));
    });
}

// A head without an end was buffered up to 128 KiB, on as many connections as clients may have.
#[test]
fn connection_of_a_client_whose_head_is_too_long_reads_as_closed() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        let sending = tokio::task::spawn_local(async move {
            let head = format!("GET / HTTP/1.1\r\nX-Long: {}", "x".repeat(4 * MAX_HEAD_BYTES));
            let _ = peer.write_all(head.as_bytes()).await;
            peer
        });
        let (mut total, mut buf) = (0, vec![0; 1 << 16]);
        while let read @ 1.. = stream.read(&mut buf).await.expect("read") {
            total += read;
        }
        assert!((MAX_HEAD_BYTES..2 * MAX_HEAD_BYTES).contains(&total), "{total} bytes");
        drop((stream, sending));
    });
}

// Guards against blank lines that are read without end: each pair counted as a complete head, so that the limit on heads
// never applied, and the HTTP library looked through up to 128 KiB of them again with each pair.
#[test]
fn connection_of_a_client_that_sends_blank_lines_reads_as_closed() {
    run_test(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        let sending = tokio::task::spawn_local(async move {
            let _ = peer.write_all(&b"\r\n".repeat(2 * MAX_HEAD_BYTES)).await;
            peer
        });
        let (mut total, mut buf) = (0, vec![0; 1 << 16]);
        while let read @ 1.. = stream.read(&mut buf).await.expect("read") {
            total += read;
        }
        assert!((MAX_HEAD_BYTES..2 * MAX_HEAD_BYTES).contains(&total), "{total} bytes");
        drop((stream, sending));
    });
}

// Guards against a client that keeps the thread: what it sends at full speed behind the last request was read for as long
// as there was something to read, in one turn of its task, and other tasks did not run for seconds.
#[test]
fn reading_what_a_client_sends_at_full_speed_lets_other_tasks_run() {
    /// Bytes that may be read in one turn: a multiple of what is read at a time.
    const TURN_BYTES: usize = 128 * 1024;
    const READ_BYTES: usize = 1 << 20;
    run_test(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream) = registered(&table, &listener).await;
        peer.write_all(&b"GET / HTTP/1.1\r\nX: y\r\n\r\n".repeat(READ_BYTES / 20)).await.expect("written");
        let turns = Rc::new(Cell::new(0));
        let counted = Rc::clone(&turns);
        let other = tokio::task::spawn_local(async move {
            loop {
                counted.set(counted.get() + 1);
                tokio::task::yield_now().await;
            }
        });
        let (mut total, mut buf) = (0, vec![0; 1 << 16]);
        // Reads until twice there is nothing, as the HTTP service does while it discards what follows the last request.
        poll_fn(|cx| {
            let mut pending = 0;
            while total < READ_BYTES && pending < 2 {
                let mut part = ReadBuf::new(&mut buf);
                match Pin::new(&mut stream).poll_read(cx, &mut part) {
                    Poll::Ready(read) => {
                        read.expect("read");
                        (total, pending) = (total + part.filled().len(), 0);
                    }
                    Poll::Pending => pending += 1,
                }
            }
            if total < READ_BYTES { Poll::Pending } else { Poll::Ready(()) }
        })
        .await;
        other.abort();
        assert!(turns.get() >= total / TURN_BYTES, "{} turns of another task, {total} bytes", turns.get());
    });
}
