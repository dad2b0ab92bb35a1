//! Counts the open streams of clients, including those that are not in the table.

use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Counts open streams, and notifies of each that is closed.
#[derive(Debug, Default)]
pub(super) struct OpenStreams {
    count: Cell<usize>,
    closed: Notify,
}

impl OpenStreams {
    /// The number of open streams.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    /// Resolves once a stream has been closed, possibly before the call. Cancel safe.
    pub(super) async fn closed(&self) {
        self.closed.notified().await;
    }
}

/// A client's stream that counts as open until it is dropped.
#[derive(Debug)]
pub(super) struct CountedStream {
    tcp: TcpStream,
    open_streams: Rc<OpenStreams>,
}

impl CountedStream {
    pub(super) fn new(tcp: TcpStream, open_streams: &Rc<OpenStreams>) -> CountedStream {
        open_streams.count.set(open_streams.count.get() + 1);
        CountedStream { tcp, open_streams: Rc::clone(open_streams) }
    }
}

impl Deref for CountedStream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.tcp
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.open_streams.count.set(self.open_streams.count.get() - 1);
        self.open_streams.closed.notify_one();
    }
}
