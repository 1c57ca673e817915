//! The listener for calls that are forwarded unchanged. It accepts HTTP/1.1 requests for any host
//! and path, within the limits that the configuration sets.

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

/// Interval at which a full server checks for capacity for another connection.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay after a failed `accept`; the usual cause is a lack of file handles.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on the size and the duration of callers' requests.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_max: usize,
    /// Maximum size of a request's body in bytes.
    pub body_max: usize,
    /// Maximum time from the first to the last byte of a request's head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle, and that a request's body may take.
    pub idle: Duration,
}

impl Default for ListenerLimits {
    /// Returns the limits that apply unless the configuration sets others.
    fn default() -> ListenerLimits {
        ListenerLimits {
            head_max: consts::DEFAULT_MAX_HEAD_BYTES,
            body_max: consts::DEFAULT_MAX_BODY_BYTES,
            head_timeout: crate::clock::duration(consts::DEFAULT_HEAD_TIMEOUT),
            idle: crate::clock::duration(consts::DEFAULT_IDLE_TIMEOUT),
        }
    }
}

/// The shared state of a listener and its connections.
pub struct ForwardingServer {
    /// The limits for new connections and requests.
    pub limits: Cell<ListenerLimits>,
    /// Whether responses ask the caller to close the connection, because this node is leaving.
    pub leaving: Cell<bool>,
    connections: Cell<usize>,
    /// Whether the connections should end. A watch channel holds one value, so it is bounded.
    shutdown: tokio::sync::watch::Sender<bool>,
}

impl ForwardingServer {
    /// Creates a server, which accepts connections once [`ForwardingServer::serve`] runs.
    #[allow(clippy::new_ret_no_self)] // Its connections share it.
    pub fn new() -> Rc<ForwardingServer> {
        Rc::new(ForwardingServer {
            limits: Cell::new(ListenerLimits::default()),
            leaving: Cell::new(false),
            connections: Cell::new(0),
            shutdown: tokio::sync::watch::channel(false).0,
        })
    }

    /// Closes idle connections immediately, and all others after their current response.
    pub fn close(&self) {
        self.leaving.set(true);
        let _ = self.shutdown.send(true);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.get()
    }

    /// Accepts connections without end, and responds to each call with the result of `answer`.
    pub async fn serve<F, A>(self: Rc<Self>, listener: std::net::TcpListener, answer: F)
    where
        F: Fn(Parts, Vec<u8>) -> A + Clone + 'static,
        A: Future<Output = Response<Bytes>> + 'static,
    {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return tracing::error!("the callers' listener failed: {e}"),
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
            // One timeout covers the idle time and the head of the next request.
            .header_read_timeout(limits.idle + limits.head_timeout)
            .max_buf_size(limits.head_max.max(consts::MIN_HEAD_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut shutdown = self.shutdown.subscribe();
        let shutdown_requested = async {
            if shutdown.wait_for(|shutdown| *shutdown).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = &mut connection => return,
            _ = shutdown_requested => connection.as_mut().graceful_shutdown(),
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
