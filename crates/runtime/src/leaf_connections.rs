//! Connections to leafs. An address may have been reassigned to another leaf, so a new connection
//! starts with a greeting that asks for the leaf's identity, and work is sent only if the response
//! matches. A connection doesn't outlive the peer process, so the check holds for the connection's
//! lifetime. A request of which any byte may have been sent is never sent again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use grebepath_core::consts;
use grebepath_core::time::SECOND;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderName, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::clock::duration;
use crate::http::client::{HttpError, read_response};

type Connection = SendRequest<Full<Bytes>>;

/// A leaf at an address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeafAddress {
    /// The leaf's listen address.
    pub address: SocketAddr,
    /// The leaf's identity.
    pub leaf: String,
}

/// A connection without a request.
struct IdleConnection {
    connection: Connection,
    /// Instant after which the connection is not reused.
    expires: Instant,
}

/// Idle connections, by the address and the identity of the leaf.
///
/// Invariant: each connection was verified for exactly that identity.
pub struct LeafPool {
    idle: RefCell<HashMap<LeafAddress, Vec<IdleConnection>>>,
    /// Maximum number of idle connections per leaf; further ones are closed.
    idle_max: usize,
}

/// The result of an exchange that may start with a greeting.
pub enum Exchange {
    /// The leaf's response to the work.
    Answered(Response<Bytes>),
    /// The unexpected response to the greeting of a new connection; the work was not sent.
    Declined(Response<Bytes>),
}

/// Options of a request that names its leaf itself.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions {
    /// Maximum size of the response's body in bytes.
    pub reply_limit: usize,
    /// Whether the request may run at most once. Such a request is sent on a new connection.
    pub once: bool,
    /// Whether the connection may be reused for later requests.
    pub keep: bool,
}

impl LeafPool {
    /// Creates a pool that keeps up to `idle_max` idle connections per leaf.
    #[allow(clippy::new_ret_no_self)] // The tasks of all attempts share it.
    pub fn new(idle_max: usize) -> Rc<LeafPool> {
        Rc::new(LeafPool { idle: RefCell::default(), idle_max })
    }

    /// Sends work to a leaf. On a new connection, sends `greeting` first, and the work only if
    /// `is_expected` accepts the response to the greeting.
    pub async fn exchange(
        &self,
        leaf: LeafAddress,
        greeting: impl Fn() -> Request<Full<Bytes>>,
        is_expected: impl Fn(&Response<Bytes>) -> bool,
        mut work: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Exchange, HttpError> {
        loop {
            let (mut connection, is_new) = match self.take_idle(&leaf).await {
                Some(connection) => (connection, false),
                None => (dial(leaf.address).await?, true),
            };
            if is_new {
                let response = connection.send_request(greeting()).await.map_err(interrupted)?;
                let response = read_framed_response(response, limit).await?;
                if !is_expected(&response) {
                    return Ok(Exchange::Declined(response));
                }
                connection.ready().await.map_err(interrupted)?;
            }
            match connection.try_send_request(work).await {
                Ok(response) => {
                    let response = read_framed_response(response, limit).await?;
                    let expires = Instant::now() + duration(consts::NATIVE_LEAF_IDLE_TIMEOUT);
                    self.keep(leaf, IdleConnection { connection, expires });
                    return Ok(Exchange::Answered(response));
                }
                Err(mut e) => match e.take_message() {
                    // The pooled connection was closed, and no byte of the work was sent.
                    Some(unsent) if !is_new => work = unsent,
                    _ => return Err(interrupted(e.into_error())),
                },
            }
        }
    }

    /// Sends work that names its leaf itself. Any other leaf at the address rejects it, so a new
    /// connection needs no greeting. `is_expected` says whether a response belongs to this work; a
    /// connection that returned any other response is not reused.
    pub async fn forward(
        &self,
        leaf: LeafAddress,
        mut work: Request<Full<Bytes>>,
        options: ForwardOptions,
        is_expected: impl Fn(&Response<Bytes>) -> bool,
    ) -> Result<Response<Bytes>, HttpError> {
        loop {
            // A pooled connection may close just as it is reused, so a request that may run at most
            // once needs a new connection.
            let pooled = if options.once { None } else { self.take_idle(&leaf).await };
            let (mut connection, is_new) = match pooled {
                Some(connection) => (connection, false),
                None => (dial_in_time(leaf.address).await?, true),
            };
            match connection.try_send_request(work).await {
                Ok(response) => {
                    let expires = reusable_until(&response);
                    let response = read_framed_response(response, options.reply_limit).await?;
                    if let Some(expires) = expires
                        && options.keep
                        && is_expected(&response)
                    {
                        self.keep(leaf, IdleConnection { connection, expires });
                    }
                    return Ok(response);
                }
                Err(mut e) => match e.take_message() {
                    // The pooled connection was closed, and no byte of the work was sent.
                    Some(unsent) if !is_new => work = unsent,
                    Some(_) => return Err(HttpError::Unreachable(e.into_error().into())),
                    None => return Err(interrupted(e.into_error())),
                },
            }
        }
    }

    /// Takes an idle connection that is still open from the pool.
    async fn take_idle(&self, leaf: &LeafAddress) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(leaf)?.pop()?;
            let IdleConnection { mut connection, expires } = idle;
            if Instant::now() < expires
                && !connection.is_closed()
                && connection.ready().await.is_ok()
            {
                return Some(connection);
            }
        }
    }

    fn keep(&self, leaf: LeafAddress, idle_connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        if !idle.contains_key(&leaf) {
            // Remove the leafs whose connections have all ended whenever a leaf is added.
            idle.retain(|_, list| {
                list.retain(|idle_connection| !idle_connection.connection.is_closed());
                !list.is_empty()
            });
        }
        let list = idle.entry(leaf).or_default();
        if list.len() < self.idle_max && !idle_connection.connection.is_closed() {
            list.push(idle_connection);
        }
    }
}

/// Returns how long a connection may be reused according to the leaf's response headers, or `None`
/// if it can't be reused.
fn reusable_until(response: &Response<Incoming>) -> Option<Instant> {
    let headers = response.headers();
    let header_contains = |name: HeaderName, value: &str| {
        let values = headers.get_all(name).iter();
        values.filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(value))
    };
    // Without a length, the end of the response can't be told from a lost connection.
    let framed = response.body().size_hint().exact().is_some()
        || header_contains(TRANSFER_ENCODING, "chunked");
    if !framed || header_contains(CONNECTION, "close") {
        return None;
    }
    let timeout_s = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|value| {
        let timeout = value.split(',').find_map(|v| v.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    let idle = match timeout_s {
        Some(secs) => duration(secs * SECOND).saturating_sub(duration(consts::LEAF_IDLE_MARGIN)),
        None => duration(consts::DEFAULT_LEAF_IDLE_TIMEOUT),
    };
    Some(Instant::now() + idle)
}

async fn dial_in_time(address: SocketAddr) -> Result<Connection, HttpError> {
    match tokio::time::timeout(duration(consts::LEAF_CONNECT_TIMEOUT), dial(address)).await {
        Ok(connection) => connection,
        Err(_) => Err(HttpError::ConnectTimedOut),
    }
}

/// Opens a connection and spawns its task. Dropping the sending half closes the connection and ends
/// the task.
async fn dial(address: SocketAddr) -> Result<Connection, HttpError> {
    let stream = TcpStream::connect(address).await.map_err(|e| HttpError::Unreachable(e.into()))?;
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (connection, io) = handshake.map_err(|e| HttpError::Unreachable(e.into()))?;
    tokio::task::spawn_local(async move {
        let _ = io.await;
    });
    Ok(connection)
}

/// Reads a complete response. Fails if its length is unknown.
async fn read_framed_response(
    response: Response<Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, HttpError> {
    let ends_with_connection = response.headers().get(TRANSFER_ENCODING).is_none()
        && response.body().size_hint().exact().is_none();
    if ends_with_connection {
        // A truncated response would look complete.
        return Err(HttpError::Unframed);
    }
    read_response(response, limit).await
}

fn interrupted(error: hyper::Error) -> HttpError {
    HttpError::Interrupted(error.into())
}
