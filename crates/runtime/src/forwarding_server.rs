//! The door for calls that are handed over: HTTP/1.1 by library, any host and
//! any path, heads and bodies as they come, within the limits that the
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

/// What a caller may send, and how long it may take or idle.
#[derive(Clone, Copy)]
pub struct Limits {
    pub head_max: usize,
    pub body_max: usize,
    pub head_wait: Duration,
    pub idle: Duration,
}

/// The limits while no configuration sets others.
pub fn limits() -> Limits {
    Limits {
        head_max: consts::HEAD_LIMIT,
        body_max: consts::BODY_LIMIT,
        head_wait: crate::clock::duration(consts::HEAD_WAIT),
        idle: crate::clock::duration(consts::WIRE_IDLE),
    }
}

/// What a door's connections share.
pub struct Door {
    pub limits: Cell<Limits>,
    /// Answers ask the caller to close the connection: this node is leaving.
    pub leaving: Cell<bool>,
    connections: Cell<usize>,
    end: tokio::sync::watch::Sender<bool>,
}

/// A door that is open.
pub fn door() -> Rc<Door> {
    Rc::new(Door {
        limits: Cell::new(limits()),
        leaving: Cell::new(false),
        connections: Cell::new(0),
        end: tokio::sync::watch::channel(false).0,
    })
}

/// Ends every connection as soon as its answer is out; idle ones at once.
pub fn close(door: &Door) {
    door.leaving.set(true);
    let _ = door.end.send(true);
}

/// Wires that are open.
pub fn connections(door: &Door) -> usize {
    door.connections.get()
}

/// Takes connections for ever and answers every call on them by `answer`.
pub async fn serve<F, A>(listener: std::net::TcpListener, door: Rc<Door>, answer: F)
where
    F: Fn(Parts, Vec<u8>) -> A + Clone + 'static,
    A: Future<Output = Response<Bytes>> + 'static,
{
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(l) => l,
        Err(e) => return tracing::error!("the callers' door: {e}"),
    };
    loop {
        if door.connections.get() >= consts::DOOR_WIRES {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        door.connections.set(door.connections.get() + 1);
        let (door, answer) = (door.clone(), answer.clone());
        tokio::task::spawn_local(async move {
            connection(stream, &door, answer).await;
            door.connections.set(door.connections.get() - 1);
        });
    }
}

async fn connection<F, A>(stream: tokio::net::TcpStream, door: &Rc<Door>, answer: F)
where
    F: Fn(Parts, Vec<u8>) -> A + Clone + 'static,
    A: Future<Output = Response<Bytes>> + 'static,
{
    let own = door.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let (own, answer) = (own.clone(), answer.clone());
        async move { Ok::<_, Infallible>(one(&own, answer, req).await) }
    });
    let l = door.limits.get();
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // One clock runs for the idle time and for the head that follows.
        .header_read_timeout(l.idle + l.head_wait)
        .max_buf_size(l.head_max.max(consts::HEAD_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let mut end = door.end.subscribe();
    let ended = async {
        if end.wait_for(|e| *e).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        _ = &mut conn => return,
        _ = ended => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

async fn one<F, A>(door: &Rc<Door>, answer: F, req: Request<Incoming>) -> Response<Full<Bytes>>
where
    F: Fn(Parts, Vec<u8>) -> A,
    A: Future<Output = Response<Bytes>>,
{
    let l = door.limits.get();
    let (head, body) = req.into_parts();
    let read = Limited::new(body, l.body_max).collect();
    let mut resp = match tokio::time::timeout(l.idle, read).await {
        Ok(Ok(body)) => answer(head, body.to_bytes().to_vec()).await.map(Full::new),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            refused(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than is allowed")
        }
        Ok(Err(_)) => refused(StatusCode::BAD_REQUEST, "the body can't be read"),
        Err(_) => refused(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
    };
    if door.leaving.get() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    resp
}

fn refused(code: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *resp.status_mut() = code;
    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    resp
}
