//! Connections of the HTTP client that polls discovery.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::{Client, Connector};
use futures_util::future::LocalBoxFuture;
use rowanglade_http_exchange::stream;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Creates a client of one peer. It follows no redirects, has no timeout but that of connecting and no limit
/// that queues requests, and resolves no names. A connection that was idle for `idle_timeout` is not reused.
pub fn client(addr: SocketAddr, connect_timeout: Duration, idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .connector(FixedAddress(addr))
        .timeout(connect_timeout)
        .conn_keep_alive(idle_timeout)
        .limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Connects to one address, whatever host a request names.
#[derive(Clone)]
struct FixedAddress(SocketAddr);

impl Service<ConnectInfo<actix_http::Uri>> for FixedAddress {
    type Response = Connection<actix_http::Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<actix_http::Uri>) -> Self::Future {
        let addr = self.0;
        Box::pin(async move {
            let stream = TcpStream::connect(addr).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(info.request().clone(), StrictStream(stream)))
        })
    }
}

/// A stream whose end is an error. The client library takes the end of the stream inside a body for the end
/// of the body, and would return a truncated response as complete.
#[derive(Debug)]
struct StrictStream(TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(stream::poll_read(&self.0, cx, buf))?;
        if buf.filled().len() == filled_before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        stream::poll_write(&self.0, cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
