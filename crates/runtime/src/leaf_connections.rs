//! Wires to leafs. An address may be another's by now, so a new connection begins
//! with the question who is there, and work follows only if the answer fits. A
//! connection ends with the process behind it: what was found holds as long as it
//! does. Nothing that may have left this machine is ever sent again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::clock::duration;
use crate::http::{HttpTrouble, source_text};
use grebepath_core::consts;
use grebepath_core::time::SECOND;
use hyper::body::Body;
use std::time::Instant;

type Wire = SendRequest<Full<Bytes>>;
type Key = (SocketAddr, String);

/// Unused connections, by address and by who was found there.
///
/// Invariant: each of them was greeted by just that identity.
pub struct Pool {
    idle: RefCell<HashMap<Key, Vec<(Wire, Instant)>>>,
    most: usize,
}

/// What came of work.
pub enum Got {
    /// The leaf's answer to it.
    Answer(Response<Bytes>),
    /// What a new connection's greeting brought; the work was not sent.
    Unfit(Response<Bytes>),
}

/// A pool that keeps up to `most` unused connections to each leaf.
pub fn pool(most: usize) -> Rc<Pool> {
    Rc::new(Pool { idle: RefCell::default(), most })
}

/// Sends work to the identity `leaf` at `addr`. On a new connection `greeting` goes
/// first, and only if `fits` its answer does the work follow.
pub async fn exchange(
    pool: &Pool,
    (addr, leaf): (SocketAddr, &str),
    greeting: impl Fn() -> Request<Full<Bytes>>,
    fits: impl Fn(&Response<Bytes>) -> bool,
    mut work: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Got, HttpTrouble> {
    let key = (addr, leaf.to_string());
    loop {
        let (mut connection, fresh) = match idle(pool, &key).await {
            Some(connection) => (connection, false),
            None => (dial(addr).await?, true),
        };
        if fresh {
            let said = connection.send_request(greeting()).await.map_err(|e| cut(&e))?;
            let said = whole(said, limit).await?;
            if !fits(&said) {
                return Ok(Got::Unfit(said));
            }
            connection.ready().await.map_err(|e| cut(&e))?;
        }
        match connection.try_send_request(work).await {
            Ok(resp) => {
                let resp = whole(resp, limit).await?;
                keep(pool, key, connection, Instant::now() + duration(consts::LEAF_WIRE_IDLE));
                return Ok(Got::Answer(resp));
            }
            Err(mut e) => match e.take_message() {
                // An unused connection had ended; not a byte of the work has left.
                Some(back) if !fresh => work = back,
                _ => return Err(cut(e.error())),
            },
        }
    }
}

/// Sends work that names its leaf itself, so that whoever else answers there
/// turns it away: a new connection needs no greeting. `fits` tells whether an answer
/// belongs to this work; a connection that brought another one is not used again.
pub async fn hand(
    pool: &Pool,
    (addr, leaf): (SocketAddr, &str),
    mut work: Request<Full<Bytes>>,
    (limit, once, stay): (usize, bool, bool),
    fits: impl Fn(&Response<Bytes>) -> bool,
) -> Result<Response<Bytes>, HttpTrouble> {
    let key = (addr, leaf.to_string());
    loop {
        // A kept connection may end just as it is used: what may run once only does
        // not go out on one.
        let kept = if once { None } else { idle(pool, &key).await };
        let (mut connection, fresh) = match kept {
            Some(connection) => (connection, false),
            None => {
                let dialled = tokio::time::timeout(duration(consts::LEAF_CONNECT), dial(addr));
                match dialled.await {
                    Ok(connection) => (connection?, true),
                    Err(_) => return Err(HttpTrouble::Unreachable("no wire in time".into())),
                }
            }
        };
        match connection.try_send_request(work).await {
            Ok(resp) => {
                let until = trusted(&resp);
                let resp = whole(resp, limit).await?;
                if let Some(until) = until
                    && stay
                    && fits(&resp)
                {
                    keep(pool, key, connection, until);
                }
                return Ok(resp);
            }
            Err(mut e) => match e.take_message() {
                // An unused connection had ended; not a byte of the work has left.
                Some(back) if !fresh => work = back,
                Some(_) => return Err(HttpTrouble::Unreachable(source_text(e.error()))),
                None => return Err(cut(e.error())),
            },
        }
    }
}

/// Until when a connection may be used again, by what its leaf says of it.
fn trusted(resp: &Response<hyper::body::Incoming>) -> Option<Instant> {
    let heads = resp.headers();
    let says = |name, word: &str| {
        let vals = heads.get_all::<hyper::header::HeaderName>(name).iter();
        vals.filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(word))
    };
    // Without a length its end can't be told from a connection that broke.
    let framed = resp.body().size_hint().exact().is_some()
        || says(hyper::header::TRANSFER_ENCODING, "chunked");
    if !framed || says(hyper::header::CONNECTION, "close") {
        return None;
    }
    let told = heads.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        let part = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    let idle = match told {
        Some(secs) => duration(secs * SECOND).saturating_sub(duration(consts::LEAF_IDLE_KEEP)),
        None => duration(consts::LEAF_IDLE_UNTOLD),
    };
    Some(Instant::now() + idle)
}

/// A connection that is still open, if there is one.
async fn idle(pool: &Pool, key: &Key) -> Option<Wire> {
    loop {
        let (mut connection, until) = pool.idle.borrow_mut().get_mut(key)?.pop()?;
        if Instant::now() < until && !connection.is_closed() && connection.ready().await.is_ok() {
            return Some(connection);
        }
    }
}

fn keep(pool: &Pool, key: Key, connection: Wire, until: Instant) {
    let mut idle = pool.idle.borrow_mut();
    if !idle.contains_key(&key) {
        // A new leaf: forget those whose connections have all ended.
        idle.retain(|_, list| {
            list.retain(|(w, _)| !w.is_closed());
            !list.is_empty()
        });
    }
    let list = idle.entry(key).or_default();
    if list.len() < pool.most && !connection.is_closed() {
        list.push((connection, until));
    }
}

async fn dial(addr: SocketAddr) -> Result<Wire, HttpTrouble> {
    let far = |e: &dyn std::error::Error| HttpTrouble::Unreachable(source_text(e));
    let stream = TcpStream::connect(addr).await.map_err(|e| far(&e))?;
    let _ = stream.set_nodelay(true);
    let (connection, work) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| far(&e))?;
    tokio::task::spawn_local(async move {
        let _ = work.await;
    });
    Ok(connection)
}

async fn whole(
    resp: Response<hyper::body::Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, HttpTrouble> {
    let close = resp.headers().get(hyper::header::TRANSFER_ENCODING).is_none()
        && resp.body().size_hint().exact().is_none();
    if close {
        // It ends with its connection: a part of it would look like all of it.
        return Err(HttpTrouble::Cut("an answer without a length".into()));
    }
    let (head, body) = resp.into_parts();
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(HttpTrouble::TooLarge),
        Err(e) => Err(HttpTrouble::Cut(e.to_string())),
    }
}

fn cut(e: &hyper::Error) -> HttpTrouble {
    HttpTrouble::Cut(source_text(e))
}
