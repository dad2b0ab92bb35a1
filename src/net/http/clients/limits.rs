//! Timeouts and sizes of clients' connections.

use std::time::Duration;

/// How long a connection may send nothing after it was accepted, or take until a request's head is complete.
/// Clients may take 2 s.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);

/// How long a connection may stay idle between requests while the table is crowded.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may stay idle while the table is not crowded. Closing one then frees nothing that is
/// needed, and a request may just be on its way on it.
pub const UNCROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The table is crowded once more than its capacity divided by this is in use.
pub const UNCROWDED_DIVISOR: usize = 4;

/// How long a client may take nothing of what is written to it. A slow client drains one of the system's
/// buffers at a time, so progress is seen only once in a while.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long one of the idle connections beyond their number stays: its client may be about to continue.
pub const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a connection has been in its phase before it can be evicted for a new one. Before that, a request
/// or a response may just be under way.
pub const EVICTION_MIN_AGE: Duration = Duration::from_millis(50);

/// Bytes kept that arrive behind a request that is with its handler: clients send one request at a time. What
/// arrives beyond them is dropped, and the connection ends with the responses to what came before.
pub const MAX_PIPELINED_BYTES: usize = 32 * 1024;

/// Connections beyond the table's capacity that are answered 503 at the same time. More are closed unanswered:
/// each holds a descriptor.
pub(super) const MAX_REJECTING: usize = 8;

/// Connections that are open and not in the table: being rejected, or evicted for others. At that number no
/// more are accepted until one is closed: a burst of new ones may not take the descriptors that are reserved
/// for discovery and targets.
pub const MAX_UNREGISTERED: usize = MAX_REJECTING + 2;

/// How long a rejected connection is read before it is closed. New connections wait meanwhile, and the time of
/// their requests runs: less than the 0.15 s that a target's notice of the time left may be off by.
pub(super) const REJECT_LINGER: Duration = Duration::from_millis(50);

/// What a rejected connection is answered, whatever it asks.
pub(super) const REJECT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
