//! HTTP by library: doors that listen, and a client for small requests.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

quick_error! {
    /// Why a request brought no answer.
    #[derive(Debug)]
    pub enum HttpTrouble {
        Unreachable(why: String) { display("unreachable: {why}") }
        Cut(why: String) { display("cut short: {why}") }
        TooLarge { display("the answer is too large") }
        Late { display("no answer in time") }
    }
}

/// A client that keeps connections open.
pub type Http = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps up to `idle` unused connections to each address.
pub fn client(idle: usize) -> Http {
    let mut conn = HttpConnector::new();
    conn.set_nodelay(true);
    conn.set_connect_timeout(Some(Duration::from_secs(5)));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(Duration::from_secs(30))
        .build(conn)
}

/// Sends a request and reads the whole answer, up to `limit` bytes.
pub async fn call(
    http: &Http,
    req: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Response<Bytes>, HttpTrouble> {
    let resp = http.request(req).await.map_err(|e| {
        let text = source_text(&e);
        if e.is_connect() { HttpTrouble::Unreachable(text) } else { HttpTrouble::Cut(text) }
    })?;
    let (head, body) = resp.into_parts();
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(HttpTrouble::TooLarge),
        Err(e) => Err(HttpTrouble::Cut(e.to_string())),
    }
}

/// `call`, given up after `wait`.
pub async fn call_within(
    http: &Http,
    req: Request<Full<Bytes>>,
    limit: usize,
    wait: Duration,
) -> Result<Response<Bytes>, HttpTrouble> {
    match tokio::time::timeout(wait, call(http, req, limit)).await {
        Ok(got) => got,
        Err(_) => Err(HttpTrouble::Late),
    }
}

/// An error with all that caused it.
pub fn source_text(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut at = e.source();
    while let Some(e) = at {
        text = format!("{text}: {e}");
        at = e.source();
    }
    text
}

/// Opens `n` listeners on one address, one for each thread.
pub fn listen(addr: SocketAddr, n: u32) -> std::io::Result<Vec<std::net::TcpListener>> {
    if n == 1 {
        return Ok(vec![one(addr, false)?]);
    }
    // A shared port would hide that another process has it: look first.
    drop(one(addr, false)?);
    let first = one(addr, true)?;
    let addr = first.local_addr()?;
    let mut out = vec![first];
    for _ in 1..n {
        out.push(one(addr, true)?);
    }
    Ok(out)
}

fn one(addr: SocketAddr, share: bool) -> std::io::Result<std::net::TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let sock = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    sock.set_reuse_address(true)?;
    sock.set_reuse_port(share)?;
    sock.set_nonblocking(true)?;
    sock.bind(&addr.into())?;
    sock.listen(1024)?;
    Ok(sock.into())
}

/// Serves a router until `stop` resolves; open requests are finished. At most
/// `connections` connections are open at once; more wait in the system's buffer.
pub async fn serve(
    listener: std::net::TcpListener,
    connections: usize,
    router: Router,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let inner = tokio::net::TcpListener::from_std(listener)?;
    let few = Few { inner, room: Arc::new(Semaphore::new(connections)) };
    axum::serve(few, router).with_graceful_shutdown(stop).await
}

/// A listener that takes so many connections at once.
struct Few {
    inner: tokio::net::TcpListener,
    room: Arc<Semaphore>,
}

/// A connection with its place among them.
struct Placed {
    io: TcpStream,
    _place: Option<OwnedSemaphorePermit>,
}

impl axum::serve::Listener for Few {
    type Io = Placed;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Placed, SocketAddr) {
        let place = self.room.clone().acquire_owned().await.ok();
        let (io, addr) = axum::serve::Listener::accept(&mut self.inner).await;
        let _ = io.set_nodelay(true);
        (Placed { io, _place: place }, addr)
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

impl AsyncRead for Placed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, to)
    }
}

impl AsyncWrite for Placed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        raw: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, raw)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
