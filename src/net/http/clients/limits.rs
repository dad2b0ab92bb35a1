//! Timeouts and sizes of clients' connections.

use std::time::Duration;

/// How long a connection may send nothing after it was accepted, or take until a request's head is complete.
/// The platform's clients may take 2 s.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);

/// How long a connection may stay idle between requests while the table is crowded.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may stay idle while the table is not crowded. Closing one would free nothing that
/// is needed, while a request may be in transit on it.
pub const UNCROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The table is crowded once more than its capacity divided by this is in use.
pub const UNCROWDED_DIVISOR: usize = 4;

/// How long a client may read nothing of what is written to it. A slow client empties one of the system's
/// buffers at a time, so its progress shows only at intervals.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long an idle connection beyond the permitted number stays open, since its client may send a request
/// soon.
pub const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a connection must have been in its phase before it can be evicted. Before that, a request or a
/// response may be in transit.
pub const EVICTION_MIN_AGE: Duration = Duration::from_millis(50);

/// While the table is full and a connection before its first request is younger than this, no more are accepted: the tasks
/// of those that have just been accepted run first, and most are soon over.
pub(super) const YOUNG_CONNECTION_AGE: Duration = Duration::from_millis(25);

/// How long the client of an upload must have sent nothing before the upload gives way to others.
pub const MIN_SHED_STALL: Duration = Duration::from_secs(1);

/// Uploads that have not arrived whole may hold one part in this many of the connections for which there is memory.
pub(super) const UPLOAD_CONNECTIONS_DIVISOR: usize = 2;

/// One part in this many of the connections for which there is memory is held neither by such uploads nor by streamed
/// responses, but serves requests that are soon over.
pub(super) const SHORT_REQUESTS_DIVISOR: usize = 3;

/// How many requests are read ahead of the one that a handler is processing. Clients send one request at a time, and
/// the HTTP library takes several KiB for a decoded head of a few hundred bytes.
pub const MAX_PIPELINED_HEADS: usize = 4;

/// How many bytes are kept that arrive after the request that a handler is processing. Further bytes are discarded,
/// and the connection closes after the responses to the requests before them.
pub const MAX_PIPELINED_BYTES: usize = 32 * 1024;

/// How many bytes of a body are read at a time, each time that the handler waits for more. Without this limit the
/// HTTP library reads 128 KiB ahead.
pub const BODY_READ_BYTES: usize = 16 * 1024;

/// Most bytes of a request's head. The connection of a client that sends a longer one is closed.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Most bytes of one read of a head. What follows the head in them waits in this process.
pub(super) const HEAD_READ_BYTES: usize = 8 * 1024;

/// Bytes of a head that are part of the memory of its connection. Longer heads need memory of the budget for heads.
pub(super) const FREE_HEAD_BYTES: usize = 8 * 1024;

/// Connections beyond the table's capacity that receive a 503 at the same time. Others are closed without a
/// response, since each occupies a descriptor.
pub(super) const MAX_REJECTING: usize = 8;

/// Connections that are open and not in the table: rejected, or evicted for others. At that number no more
/// are accepted until one is closed, so that a burst of new ones does not take the descriptors that are
/// reserved for discovery and targets.
pub const MAX_UNREGISTERED: usize = MAX_REJECTING + 2;

/// How long a rejected connection is read before it is closed. New connections wait in the accept queue
/// meanwhile while the time limits of their requests run. The wait is less than 0.15 s, the permitted error
/// of the time left that a target receives.
pub(super) const REJECT_LINGER: Duration = Duration::from_millis(50);

/// Response on a rejected connection, whatever its client requests.
pub(super) const REJECT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
