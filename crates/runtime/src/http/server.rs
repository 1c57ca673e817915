//! Listeners, and servers with a limit on open connections.

use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::Router;
use axum::extract::connect_info::Connected;
use axum::serve::IncomingStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length of the system's queue of connections that are not accepted yet.
const BACKLOG: i32 = 1024;

/// Opens `count` listeners on the same address, one for each thread.
pub fn listen(address: SocketAddr, count: u32) -> std::io::Result<Vec<TcpListener>> {
    if count == 1 {
        return Ok(vec![bind(address, PortSharing::Exclusive)?]);
    }
    // Binding a shared port succeeds even if another process uses it, so check for that first.
    drop(bind(address, PortSharing::Exclusive)?);
    let first = bind(address, PortSharing::Shared)?;
    let address = first.local_addr()?;
    let mut listeners = vec![first];
    for _ in 1..count {
        listeners.push(bind(address, PortSharing::Shared)?);
    }
    Ok(listeners)
}

/// Whether several listeners may share a port.
#[derive(PartialEq)]
enum PortSharing {
    Exclusive,
    Shared,
}

fn bind(address: SocketAddr, sharing: PortSharing) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(sharing == PortSharing::Shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves a router until `stop` resolves, then finishes the open requests. At most `connections`
/// connections are open at a time; further ones wait in the system's queue.
pub async fn serve(
    listener: TcpListener,
    connections: usize,
    router: Router,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let inner = tokio::net::TcpListener::from_std(listener)?;
    let listener = BoundedListener { inner, permits: Arc::new(Semaphore::new(connections)) };
    let service = router.into_make_service_with_connect_info::<PeerAddress>();
    axum::serve(listener, service).with_graceful_shutdown(stop).await
}

/// The addresses of an accepted connection. Handlers get it as `ConnectInfo`.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress {
    /// The address of the peer.
    pub remote: SocketAddr,
    /// The local address that the peer connected to.
    pub local: SocketAddr,
}

impl Connected<IncomingStream<'_, BoundedListener>> for PeerAddress {
    fn connect_info(stream: IncomingStream<'_, BoundedListener>) -> PeerAddress {
        let remote = *stream.remote_addr();
        PeerAddress { remote, local: stream.io().stream.local_addr().unwrap_or(remote) }
    }
}

/// A listener with a limit on open connections.
struct BoundedListener {
    inner: tokio::net::TcpListener,
    permits: Arc<Semaphore>,
}

/// A connection with its permit, which is released when the connection is dropped.
struct PermittedStream {
    stream: TcpStream,
    _permit: Option<OwnedSemaphorePermit>,
}

impl axum::serve::Listener for BoundedListener {
    type Io = PermittedStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (PermittedStream, SocketAddr) {
        let permit = self.permits.clone().acquire_owned().await.ok();
        let (stream, address) = axum::serve::Listener::accept(&mut self.inner).await;
        let _ = stream.set_nodelay(true);
        (PermittedStream { stream, _permit: permit }, address)
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

impl AsyncRead for PermittedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PermittedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
