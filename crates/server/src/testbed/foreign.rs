//! Mock leafs and a leaf list that speak a platform's dialect, for tests of the daemons with
//! that dialect. Tests choose how each leaf misbehaves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How a leaf answers requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Good,
    /// Sends an incomplete answer and closes the connection.
    Truncated,
    /// Sends the previous answer again before each answer but the connection's first.
    RepeatPrevious,
    /// Answers with another call's id.
    OtherId,
    NoPostmark,
    /// Answers with a content encoding that the request did not accept.
    Encoded,
    /// Answers with status 500 after the work.
    Failure,
    /// Rejects the request without running it.
    Rejected,
    /// Answers once [`release_held`] is called.
    Hold,
    /// Runs the request and answers after one second.
    Late,
    /// Runs the request and never answers.
    NeverAnswer,
    /// Resets the connection without running the request.
    ResetBefore,
    /// Runs the request and resets the connection instead of answering.
    ResetAfter,
    /// Runs the request and sends the answer twice.
    Twice,
    /// Runs the request and answers with 429, without the header that says that it did not run.
    RefusedAfterWork,
    /// Chooses one of `RANDOM_MODES` for each request.
    Random,
}

/// The modes that [`Mode::Random`] chooses from; a good answer has the highest weight.
const RANDOM_MODES: [Mode; 16] = [
    Mode::Good,
    Mode::Good,
    Mode::Good,
    Mode::Good,
    Mode::Truncated,
    Mode::RepeatPrevious,
    Mode::OtherId,
    Mode::NoPostmark,
    Mode::Failure,
    Mode::Rejected,
    Mode::Late,
    Mode::NeverAnswer,
    Mode::ResetBefore,
    Mode::ResetAfter,
    Mode::Twice,
    Mode::RefusedAfterWork,
];

/// A request that a leaf ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub leaf: String,
    pub service: String,
    pub zone: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
}

struct Leaf {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    state: &'static str,
}

/// All mock leafs with their modes, and what they ran.
#[derive(Default)]
pub struct PlatformBackends {
    leafs: Vec<Leaf>,
    pub mode: Vec<(String, Mode)>,
    pub runs: Vec<Run>,
    /// Ids of requests whose connection was closed while a leaf in mode `NeverAnswer` ran them.
    pub closed: Vec<String>,
    release: Rc<Notify>,
    /// State of the random choices of [`Mode::Random`]: the seed, plus one for each choice.
    pub random_draws: u64,
}

/// Returns the mode in which a leaf answers the next request.
fn mode_for_request(backends: &SharedBackends, leaf: &str) -> Mode {
    let mut b = backends.borrow_mut();
    let mode = b.mode.iter().find(|m| m.0 == leaf).map_or(Mode::Good, |m| m.1);
    if mode != Mode::Random {
        return mode;
    }
    b.random_draws += 1;
    RANDOM_MODES[(grebepath_core::random::mix(b.random_draws) % RANDOM_MODES.len() as u64) as usize]
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO))
}

pub type SharedBackends = Rc<RefCell<PlatformBackends>>;

/// Starts a list and the leafs `(id, service, zone)`. Returns the list's address.
pub async fn start(leafs: &[(&str, &str, &str)]) -> std::io::Result<(SharedBackends, SocketAddr)> {
    let backends: SharedBackends = Rc::default();
    for (id, service, zone) in leafs {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        backends.borrow_mut().leafs.push(Leaf {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            addr: listener.local_addr()?,
            state: "ready",
        });
        let (backends, at) = (backends.clone(), backends.borrow().leafs.len() - 1);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backends = backends.clone();
                tokio::task::spawn_local(async move {
                    let _ = serve_leaf(stream, &backends, at).await;
                });
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let shared = backends.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let backends = shared.clone();
            tokio::task::spawn_local(async move {
                let _ = serve_list(stream, &backends).await;
            });
        }
    });
    Ok((backends, addr))
}

/// Sets the mode of a leaf.
pub fn set_mode(backends: &SharedBackends, leaf: &str, mode: Mode) {
    let mut b = backends.borrow_mut();
    b.mode.retain(|m| m.0 != leaf);
    b.mode.push((leaf.to_string(), mode));
}

/// Releases all requests that are held by leafs in mode [`Mode::Hold`].
pub fn release_held(backends: &SharedBackends) {
    backends.borrow().release.notify_waiters();
}

/// Marks a leaf as draining in the list.
pub fn mark_draining(backends: &SharedBackends, id: &str) {
    for leaf in backends.borrow_mut().leafs.iter_mut().filter(|l| l.id == id) {
        leaf.state = "draining";
    }
}

/// Returns the three records with which a leaf of a service answers.
pub fn records(service: &str) -> Vec<[u8; 16]> {
    let tag = service.bytes().last().unwrap_or(0);
    (0..3)
        .map(|i| [[i * 80, tag].as_slice(), &[7; 14]].concat().try_into().unwrap_or([0; 16]))
        .collect()
}

/// Returns the postmark that a leaf adds to its answer to a call.
pub fn postmark(id: &str, leaf: &str) -> String {
    format!("{id}.{leaf}")
}

/// Reads a request: request line, headers and body. Returns `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut chunk = [0u8; 8192];
    loop {
        if let Some(at) = buffer.windows(4).position(|b| b == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).to_string();
            let mut lines = head.lines();
            let request_line = lines.next().unwrap_or_default().to_string();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
                .collect();
            let len = header(&headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buffer.len() >= at + 4 + len {
                let body = buffer[at + 4..at + 4 + len].to_vec();
                buffer.drain(..at + 4 + len);
                return Ok(Some((request_line, headers, body)));
            }
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            n => buffer.extend(&chunk[..n]),
        }
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
}

async fn serve_list(mut stream: TcpStream, backends: &SharedBackends) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some((request_line, _, _)) = read_request(&mut stream, &mut buffer).await? {
        // Two leafs a page, so that the list has several pages.
        let from: usize = request_line
            .split_once("page=p-")
            .and_then(|(_, t)| t.split(' ').next()?.parse().ok())
            .unwrap_or(0);
        let body = {
            let b = backends.borrow();
            let some: Vec<Value> = b
                .leafs
                .iter()
                .skip(from)
                .take(2)
                .map(|l| {
                    json!({ "id": l.id, "carrier": l.service, "address": l.addr.to_string(),
                        "zone": l.zone, "edition": "v1", "slots": 8, "state": l.state,
                        "warmup_left_ms": 0 })
                })
                .collect();
            let next = (from + 2 < b.leafs.len()).then(|| format!("p-{}", from + 2));
            json!({ "leaves": some, "next_page": next }).to_string()
        };
        stream.write_all(&response(200, &[], body.as_bytes())).await?;
    }
    Ok(())
}

fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, val) in headers {
        out.push_str(&format!("{name}: {val}\r\n"));
    }
    out.push_str("\r\n");
    [out.as_bytes(), body].concat()
}

async fn serve_leaf(
    mut stream: TcpStream,
    backends: &SharedBackends,
    at: usize,
) -> std::io::Result<()> {
    let (name, service, zone) = {
        let b = backends.borrow();
        let l = &b.leafs[at];
        (l.id.clone(), l.service.clone(), l.zone.clone())
    };
    let (mut buffer, mut previous_reply) = (Vec::new(), Vec::new());
    while let Some((request_line, headers, body)) = read_request(&mut stream, &mut buffer).await? {
        let id = header(&headers, "request-id").unwrap_or_default().to_string();
        if header(&headers, "expect-leaf").is_some_and(|l| l != name) {
            let headers = [("request-id", id.as_str()), ("not-run", "1")];
            stream.write_all(&response(421, &headers, b"")).await?;
            continue;
        }
        let mode = mode_for_request(backends, &name);
        if mode == Mode::ResetBefore {
            return reset_on_close(&stream);
        }
        if mode == Mode::Rejected {
            let headers = [("request-id", id.as_str()), ("not-run", "1")];
            stream.write_all(&response(503, &headers, b"")).await?;
            continue;
        }
        let mut request_parts = request_line.split(' ').map(str::to_string);
        let (method, target) = (request_parts.next(), request_parts.next());
        let release = {
            let mut b = backends.borrow_mut();
            b.runs.push(Run {
                leaf: name.clone(),
                service: service.clone(),
                zone: zone.clone(),
                id: id.clone(),
                method: method.unwrap_or_default(),
                target: target.clone().unwrap_or_default(),
                body,
                headers,
            });
            b.release.clone()
        };
        match mode {
            Mode::Hold => release.notified().await,
            Mode::Late => tokio::time::sleep(std::time::Duration::from_secs(1)).await,
            Mode::NeverAnswer => {
                // Waits for the end of the connection: the querier sends nothing more on it.
                let _ = stream.read(&mut [0u8; 1]).await;
                backends.borrow_mut().closed.push(id);
                return Ok(());
            }
            Mode::ResetAfter => return reset_on_close(&stream),
            _ => {}
        }
        // Joined requests are answered with records, all others with a text that names the id.
        let text = match target {
            Some(t) if t.starts_with("/join/") => records(&service).concat(),
            _ => format!("body of {id}").into_bytes(),
        };
        let postmark = postmark(&id, &name);
        let mut headers = vec![("request-id", id.as_str()), ("postmark", postmark.as_str())];
        let mut status = 200;
        match mode {
            Mode::OtherId => headers[0].1 = "another",
            Mode::NoPostmark => headers.truncate(1),
            Mode::Encoded => headers.push(("content-encoding", "gzip")),
            Mode::Failure => status = 500,
            Mode::RefusedAfterWork => (status, headers) = (429, vec![headers[0]]),
            _ => {}
        }
        let reply = response(status, &headers, &text);
        match mode {
            Mode::Truncated => {
                stream.write_all(&reply[..reply.len() - 3]).await?;
                return Ok(());
            }
            Mode::Twice => stream.write_all(&[reply.as_slice(), &reply].concat()).await?,
            Mode::RepeatPrevious => {
                stream.write_all(&[previous_reply.as_slice(), &reply].concat()).await?
            }
            _ => stream.write_all(&reply).await?,
        }
        previous_reply = reply;
    }
    Ok(())
}

/// Replaces the placeholders `{{a.b}}` and `{{a|json}}` of a template by the values of `fields`.
pub fn fill_template(text: &str, fields: &Value) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, (gap, after))) =
        rest.split_once("{{").and_then(|(b, more)| Some((b, more.split_once("}}")?)))
    {
        out.push_str(before);
        let (name, form) = gap.split_once('|').unwrap_or((gap, ""));
        let val = name.split('.').try_fold(fields, |at, key| match at {
            Value::Array(list) => list.get(key.parse::<usize>().ok()?),
            at => at.get(key),
        });
        match (form, val) {
            ("json", val) => out.push_str(&val.unwrap_or(&Value::Null).to_string()),
            (_, None | Some(Value::Null)) => {}
            (_, Some(Value::String(s))) => out.push_str(s),
            (_, Some(val)) => out.push_str(&val.to_string()),
        }
        rest = after;
    }
    out + rest
}
