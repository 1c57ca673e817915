//! A small world that speaks another manner than ours: leafs and their list,
//! for tests of the daemons with a dialect. Leafs misbehave on order.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How a leaf answers.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Good,
    /// Half of an answer, then the end of the connection.
    Cut,
    /// Before each answer but a connection's first, the one before it again.
    Surplus,
    /// Answers with the id of another call.
    OtherId,
    NoStamp,
    /// A body in an encoding that nobody asked for.
    Encoded,
    /// Its own failure, after the work.
    Failure,
    /// Turned away unrun.
    Unrun,
    /// Answers when it is let go.
    Hold,
    /// Works, and answers after a second.
    Late,
    /// Works, and never answers.
    Mute,
    /// Resets the connection without having worked.
    ResetBefore,
    /// Works, and resets the connection in place of an answer.
    ResetAfter,
    /// Works, and answers twice at once.
    Twice,
    /// Works, and refuses as if it had not, but does not say so.
    RefusedAfterWork,
    /// One of all the others for each request, by the world's draw.
    Drawn,
}

/// What a leaf that draws its conduct may do, the good answer most often.
const DRAWN: [Mode; 16] = [
    Mode::Good,
    Mode::Good,
    Mode::Good,
    Mode::Good,
    Mode::Cut,
    Mode::Surplus,
    Mode::OtherId,
    Mode::NoStamp,
    Mode::Failure,
    Mode::Unrun,
    Mode::Late,
    Mode::Mute,
    Mode::ResetBefore,
    Mode::ResetAfter,
    Mode::Twice,
    Mode::RefusedAfterWork,
];

/// One call that a leaf ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub leaf: String,
    pub service: String,
    pub zone: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub heads: Vec<(String, String)>,
}

struct Leaf {
    id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    state: &'static str,
}

/// All leafs, how they behave, and what they ran.
#[derive(Default)]
pub struct World {
    leafs: Vec<Leaf>,
    pub mode: Vec<(String, Mode)>,
    pub runs: Vec<Run>,
    /// Requests that a mute leaf worked on when their connection was closed, by id.
    pub closed: Vec<String>,
    go: Rc<Notify>,
    /// Seeds the draws of leafs that draw their conduct, and counts them.
    pub draws: u64,
}

/// What a leaf does with this request.
fn conduct(world: &Shared, leaf: &str) -> Mode {
    let mut w = world.borrow_mut();
    let mode = w.mode.iter().find(|m| m.0 == leaf).map_or(Mode::Good, |m| m.1);
    if mode != Mode::Drawn {
        return mode;
    }
    w.draws += 1;
    DRAWN[(grebepath_core::random::mix(w.draws) % DRAWN.len() as u64) as usize]
}

/// Ends a connection by a reset.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO))
}

pub type Shared = Rc<RefCell<World>>;

/// Starts a list and the leafs `(id, service, zone)`; gives the list's address.
pub async fn begin(leafs: &[(&str, &str, &str)]) -> std::io::Result<(Shared, SocketAddr)> {
    let world: Shared = Rc::default();
    for (id, service, zone) in leafs {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        world.borrow_mut().leafs.push(Leaf {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            addr: listener.local_addr()?,
            state: "ready",
        });
        let (world, at) = (world.clone(), world.borrow().leafs.len() - 1);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let world = world.clone();
                tokio::task::spawn_local(async move {
                    let _ = leaf(stream, &world, at).await;
                });
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let shared = world.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let world = shared.clone();
            tokio::task::spawn_local(async move {
                let _ = list(stream, &world).await;
            });
        }
    });
    Ok((world, addr))
}

/// How the leaf behaves from now on.
pub fn order(world: &Shared, leaf: &str, mode: Mode) {
    let mut w = world.borrow_mut();
    w.mode.retain(|m| m.0 != leaf);
    w.mode.push((leaf.to_string(), mode));
}

/// Lets all go that are held.
pub fn let_go(world: &Shared) {
    world.borrow().go.notify_waiters();
}

/// The list names the leaf as one that leaves.
pub fn leave(world: &Shared, id: &str) {
    for leaf in world.borrow_mut().leafs.iter_mut().filter(|l| l.id == id) {
        leaf.state = "draining";
    }
}

/// The three records that a leaf of a service answers.
pub fn records(service: &str) -> Vec<[u8; 16]> {
    let tag = service.bytes().last().unwrap_or(0);
    (0..3)
        .map(|i| [[i * 80, tag].as_slice(), &[7; 14]].concat().try_into().unwrap_or([0; 16]))
        .collect()
}

/// The stamp that a leaf puts on its answer to a call.
pub fn stamp(id: &str, leaf: &str) -> String {
    format!("{id}.{leaf}")
}

/// One request off a connection: first line, heads, body. Nothing at its end.
async fn request(
    stream: &mut TcpStream,
    raw: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut part = [0u8; 8192];
    loop {
        if let Some(at) = raw.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&raw[..at]).to_string();
            let mut lines = head.lines();
            let first = lines.next().unwrap_or_default().to_string();
            let heads: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
                .collect();
            let len = one(&heads, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if raw.len() >= at + 4 + len {
                let body = raw[at + 4..at + 4 + len].to_vec();
                raw.drain(..at + 4 + len);
                return Ok(Some((first, heads, body)));
            }
        }
        match stream.read(&mut part).await? {
            0 => return Ok(None),
            n => raw.extend(&part[..n]),
        }
    }
}

fn one<'a>(heads: &'a [(String, String)], name: &str) -> Option<&'a str> {
    heads.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
}

async fn list(mut stream: TcpStream, world: &Shared) -> std::io::Result<()> {
    let mut raw = Vec::new();
    while let Some((first, _, _)) = request(&mut stream, &mut raw).await? {
        // Pages of two, so that there are several.
        let from: usize = first
            .split_once("page=p-")
            .and_then(|(_, t)| t.split(' ').next()?.parse().ok())
            .unwrap_or(0);
        let body = {
            let w = world.borrow();
            let some: Vec<Value> = w
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
            let next = (from + 2 < w.leafs.len()).then(|| format!("p-{}", from + 2));
            json!({ "leaves": some, "next_page": next }).to_string()
        };
        stream.write_all(&answer(200, &[], body.as_bytes())).await?;
    }
    Ok(())
}

fn answer(status: u16, heads: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, val) in heads {
        out.push_str(&format!("{name}: {val}\r\n"));
    }
    out.push_str("\r\n");
    [out.as_bytes(), body].concat()
}

async fn leaf(mut stream: TcpStream, world: &Shared, at: usize) -> std::io::Result<()> {
    let (name, service, zone) = {
        let w = world.borrow();
        let l = &w.leafs[at];
        (l.id.clone(), l.service.clone(), l.zone.clone())
    };
    let (mut raw, mut last) = (Vec::new(), Vec::new());
    while let Some((first, heads, body)) = request(&mut stream, &mut raw).await? {
        let id = one(&heads, "request-id").unwrap_or_default().to_string();
        if one(&heads, "expect-leaf").is_some_and(|l| l != name) {
            let heads = [("request-id", id.as_str()), ("not-run", "1")];
            stream.write_all(&answer(421, &heads, b"")).await?;
            continue;
        }
        let mode = conduct(world, &name);
        if mode == Mode::ResetBefore {
            return reset(&stream);
        }
        if mode == Mode::Unrun {
            let heads = [("request-id", id.as_str()), ("not-run", "1")];
            stream.write_all(&answer(503, &heads, b"")).await?;
            continue;
        }
        let mut words = first.split(' ').map(str::to_string);
        let (method, target) = (words.next(), words.next());
        let go = {
            let mut w = world.borrow_mut();
            w.runs.push(Run {
                leaf: name.clone(),
                service: service.clone(),
                zone: zone.clone(),
                id: id.clone(),
                method: method.unwrap_or_default(),
                target: target.clone().unwrap_or_default(),
                body,
                heads,
            });
            w.go.clone()
        };
        match mode {
            Mode::Hold => go.notified().await,
            Mode::Late => tokio::time::sleep(std::time::Duration::from_secs(1)).await,
            Mode::Mute => {
                // Nothing more comes on the connection but its end.
                let _ = stream.read(&mut [0u8; 1]).await;
                world.borrow_mut().closed.push(id);
                return Ok(());
            }
            Mode::ResetAfter => return reset(&stream),
            _ => {}
        }
        // What is joined has records, all else says whose it is.
        let text = match target {
            Some(t) if t.starts_with("/join/") => records(&service).concat(),
            _ => format!("body of {id}").into_bytes(),
        };
        let stamp = stamp(&id, &name);
        let mut heads = vec![("request-id", id.as_str()), ("postmark", stamp.as_str())];
        let mut status = 200;
        match mode {
            Mode::OtherId => heads[0].1 = "another",
            Mode::NoStamp => heads.truncate(1),
            Mode::Encoded => heads.push(("content-encoding", "gzip")),
            Mode::Failure => status = 500,
            Mode::RefusedAfterWork => (status, heads) = (429, vec![heads[0]]),
            _ => {}
        }
        let whole = answer(status, &heads, &text);
        match mode {
            Mode::Cut => {
                stream.write_all(&whole[..whole.len() - 3]).await?;
                return Ok(());
            }
            Mode::Twice => stream.write_all(&[whole.as_slice(), &whole].concat()).await?,
            Mode::Surplus => stream.write_all(&[last.as_slice(), &whole].concat()).await?,
            _ => stream.write_all(&whole).await?,
        }
        last = whole;
    }
    Ok(())
}

/// Fills the gaps of a template, `{{a.b}}` and `{{a|json}}`, from fields.
pub fn filled(text: &str, fields: &Value) -> String {
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
