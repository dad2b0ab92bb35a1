//! Connections of the HTTP client.

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

/// A client of one peer, behind whose back nothing acts: no redirect, no time-out but the connect's, no limit
/// that queues, no name look-up.
pub fn client(addr: SocketAddr, connect_timeout: Duration, idle: Duration) -> Client {
    let connector =
        Connector::new().connector(Dial(addr)).timeout(connect_timeout).conn_keep_alive(idle).limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

#[derive(Clone)]
struct Dial(SocketAddr);

impl Service<ConnectInfo<actix_http::Uri>> for Dial {
    type Response = Connection<actix_http::Uri, Stream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<actix_http::Uri>) -> Self::Future {
        let addr = self.0;
        Box::pin(async move {
            let stream = TcpStream::connect(addr).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(info.request().clone(), Stream(stream)))
        })
    }
}

/// A stream whose end is an error. The client library takes an end inside a body for the body's end, and
/// would hand on half an answer as a whole one.
#[derive(Debug)]
struct Stream(TcpStream);

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(stream::poll_read(&self.0, cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
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

impl ActixStream for Stream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
