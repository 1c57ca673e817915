//! Connections to leafs. An address may be another's by now, so a new connection
//! begins with the question who is there, and work follows only if the response fits.
//! A connection ends with the process behind it: what was found holds as long as it
//! does. Nothing that may have left this machine is ever sent again.

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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its identity.
    pub leaf: String,
}

/// An unused connection.
struct IdleConnection {
    connection: Connection,
    /// It is not used any more from then on.
    expires: Instant,
}

/// Unused connections, by address and by who was found there.
///
/// Invariant: each of them was greeted by just that identity.
pub struct LeafPool {
    idle: RefCell<HashMap<LeafAddress, Vec<IdleConnection>>>,
    /// Unused connections that are kept to each leaf; further ones are closed.
    idle_max: usize,
}

/// What came of work that a greeting goes before.
pub enum Exchange {
    /// The leaf's response to it.
    Answered(Response<Bytes>),
    /// What a new connection's greeting brought; the work was not sent.
    Declined(Response<Bytes>),
}

/// How a request that names its leaf itself is sent.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions {
    /// Bytes of the response's body that are read at most.
    pub reply_limit: usize,
    /// Whether the request may run once only: it goes out on a new connection.
    pub once: bool,
    /// Whether the connection is kept for later requests.
    pub keep: bool,
}

impl LeafPool {
    /// A pool that keeps up to `idle_max` unused connections to each leaf.
    #[allow(clippy::new_ret_no_self)] // The tasks of all attempts share it.
    pub fn new(idle_max: usize) -> Rc<LeafPool> {
        Rc::new(LeafPool { idle: RefCell::default(), idle_max })
    }

    /// Sends work to a leaf. On a new connection `greeting` goes first, and only if
    /// `is_expected` its response does the work follow.
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
                    // An unused connection had ended; not a byte of the work has left.
                    Some(unsent) if !is_new => work = unsent,
                    _ => return Err(interrupted(e.into_error())),
                },
            }
        }
    }

    /// Sends work that names its leaf itself, so that whoever else answers there
    /// rejects it: a new connection needs no greeting. `is_expected` tells whether a response
    /// belongs to this work; a connection that brought another one is not used again.
    pub async fn forward(
        &self,
        leaf: LeafAddress,
        mut work: Request<Full<Bytes>>,
        options: ForwardOptions,
        is_expected: impl Fn(&Response<Bytes>) -> bool,
    ) -> Result<Response<Bytes>, HttpError> {
        loop {
            // A kept connection may end just as it is used: what may run once only does
            // not go out on one.
            let kept = if options.once { None } else { self.take_idle(&leaf).await };
            let (mut connection, is_new) = match kept {
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
                    // An unused connection had ended; not a byte of the work has left.
                    Some(unsent) if !is_new => work = unsent,
                    Some(_) => return Err(HttpError::Unreachable(e.into_error().into())),
                    None => return Err(interrupted(e.into_error())),
                },
            }
        }
    }

    /// A connection that is still open, if there is one.
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
            // A new leaf: forget those whose connections have all ended.
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

/// Until when a connection may be used again, by what its leaf says of it.
fn reusable_until(response: &Response<Incoming>) -> Option<Instant> {
    let headers = response.headers();
    let says = |name: HeaderName, word: &str| {
        let values = headers.get_all(name).iter();
        values.filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(word))
    };
    // Without a length its end can't be told from a connection that broke.
    let framed =
        response.body().size_hint().exact().is_some() || says(TRANSFER_ENCODING, "chunked");
    if !framed || says(CONNECTION, "close") {
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

/// Opens a connection. Its task ends with the connection, which ends when the sending
/// half is dropped.
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

/// Reads a whole response whose length is known.
async fn read_framed_response(
    response: Response<Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, HttpError> {
    let ends_with_connection = response.headers().get(TRANSFER_ENCODING).is_none()
        && response.body().size_hint().exact().is_none();
    if ends_with_connection {
        // A part of it would look like all of it.
        return Err(HttpError::Unframed);
    }
    read_response(response, limit).await
}

fn interrupted(error: hyper::Error) -> HttpError {
    HttpError::Interrupted(error.into())
}
