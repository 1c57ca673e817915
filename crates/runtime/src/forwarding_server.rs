//! The listener for calls that are forwarded unchanged: HTTP/1.1 by library, any host
//! and any path, heads and bodies as they come, within the limits that the
//! configuration sets.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use grebepath_core::consts;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

/// Wait until room for a further connection is looked for again.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Wait after a failed `accept`: out of file handles, most likely.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a caller may send, and how long it may take or idle.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Bytes of a request's head.
    pub head_max: usize,
    /// Bytes of a request's body.
    pub body_max: usize,
    /// Time for a request's head, once it has begun.
    pub head_timeout: Duration,
    /// Time that a connection may stay unused, and that a body may take.
    pub idle: Duration,
}

impl Default for ListenerLimits {
    /// The limits while no configuration sets others.
    fn default() -> ListenerLimits {
        ListenerLimits {
            head_max: consts::DEFAULT_MAX_HEAD_BYTES,
            body_max: consts::DEFAULT_MAX_BODY_BYTES,
            head_timeout: crate::clock::duration(consts::DEFAULT_HEAD_TIMEOUT),
            idle: crate::clock::duration(consts::DEFAULT_IDLE_TIMEOUT),
        }
    }
}

/// A listener and what its connections share.
pub struct ForwardingServer {
    /// Hold for connections and requests that begin from now on.
    pub limits: Cell<ListenerLimits>,
    /// Responses ask the caller to close the connection: this node is leaving.
    pub leaving: Cell<bool>,
    connections: Cell<usize>,
    /// Holds one value, whether the connections should end; it never fills up.
    end: tokio::sync::watch::Sender<bool>,
}

impl ForwardingServer {
    /// A server that takes connections once [`ForwardingServer::serve`] runs.
    #[allow(clippy::new_ret_no_self)] // Its connections share it.
    pub fn new() -> Rc<ForwardingServer> {
        Rc::new(ForwardingServer {
            limits: Cell::new(ListenerLimits::default()),
            leaving: Cell::new(false),
            connections: Cell::new(0),
            end: tokio::sync::watch::channel(false).0,
        })
    }

    /// Ends every connection as soon as its response is out; idle ones at once.
    pub fn close(&self) {
        self.leaving.set(true);
        let _ = self.end.send(true);
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.connections.get()
    }

    /// Takes connections for ever and answers every call on them by `answer`.
    pub async fn serve<F, A>(self: Rc<Self>, listener: std::net::TcpListener, answer: F)
    where
        F: Fn(Parts, Vec<u8>) -> A + Clone + 'static,
        A: Future<Output = Response<Bytes>> + 'static,
    {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return tracing::error!("the callers' door: {e}"),
        };
        loop {
            if self.connections.get() >= consts::MAX_CALLER_CONNECTIONS {
                tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
                continue;
            }
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            self.connections.set(self.connections.get() + 1);
            let (server, answer) = (self.clone(), answer.clone());
            tokio::task::spawn_local(async move {
                server.serve_connection(stream, answer).await;
                server.connections.set(server.connections.get() - 1);
            });
        }
    }

    async fn serve_connection<F, A>(self: &Rc<Self>, stream: TcpStream, answer: F)
    where
        F: Fn(Parts, Vec<u8>) -> A + Clone + 'static,
        A: Future<Output = Response<Bytes>> + 'static,
    {
        let server = self.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (server, answer) = (server.clone(), answer.clone());
            async move { Ok::<_, Infallible>(server.respond(answer, request).await) }
        });
        let limits = self.limits.get();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // One clock runs for the idle time and for the head that follows.
            .header_read_timeout(limits.idle + limits.head_timeout)
            .max_buf_size(limits.head_max.max(consts::MIN_HEAD_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut end = self.end.subscribe();
        let ended = async {
            if end.wait_for(|end| *end).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = &mut connection => return,
            _ = ended => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn respond<F, A>(&self, answer: F, request: Request<Incoming>) -> Response<Full<Bytes>>
    where
        F: Fn(Parts, Vec<u8>) -> A,
        A: Future<Output = Response<Bytes>>,
    {
        let limits = self.limits.get();
        let (head, body) = request.into_parts();
        let read = Limited::new(body, limits.body_max).collect();
        let mut response = match tokio::time::timeout(limits.idle, read).await {
            Ok(Ok(body)) => answer(head, body.to_bytes().to_vec()).await.map(Full::new),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                rejection(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than is allowed")
            }
            Ok(Err(_)) => rejection(StatusCode::BAD_REQUEST, "the body can't be read"),
            Err(_) => rejection(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        if self.leaving.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn rejection(code: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = code;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
