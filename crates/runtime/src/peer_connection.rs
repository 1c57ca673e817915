//! Wires between our processes: framed TCP, dialled anew when lost.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, channel};

use grebepath_core::consts::{
    WIRE_BUFFER, WIRE_DIAL, WIRE_RETRY, WIRE_RETRY_MAX, WIRE_SILENCE, WIRE_STALL,
};
use grebepath_core::protocol::frame;
use grebepath_core::protocol::frame::{HEADER_BYTES, Lane, PieceHeader, Reassembler};
use grebepath_core::protocol::message::{Message, PeerIdentity};

use crate::clock::duration;

/// What connections tell their owner.
pub enum WireEvent<T> {
    /// A connection that we dial brought a message.
    Dialled {
        tag: T,
        message: Message,
    },
    /// A connection that was opened towards us.
    Opened {
        connection: u64,
        who: PeerIdentity,
        out: Out,
    },
    Came {
        connection: u64,
        who: PeerIdentity,
        message: Message,
    },
    Closed {
        connection: u64,
    },
    /// A peer speaks something we can't read.
    Trouble {
        text: String,
    },
}

/// The sending end of a connection.
#[derive(Clone)]
pub struct Out {
    tx: Sender<Vec<u8>>,
}

/// Sends a message, or drops it when the connection's buffer is full: every
/// message of ours may be lost, and its owner sends it again.
pub fn send(out: &Out, message: &Message) -> bool {
    out.tx.try_send(frame::encode(message)).is_ok()
}

/// Keeps a connection to `addr`: dials it, again and again, says who we are, and
/// passes on what comes. Ends when the last `Out` is dropped.
pub fn dial<T: Clone + 'static>(
    addr: SocketAddr,
    (who, fleet): (PeerIdentity, u64),
    tag: T,
    events: UnboundedSender<WireEvent<T>>,
) -> Out {
    let (tx, rx) = channel(WIRE_BUFFER);
    tokio::task::spawn_local(keep(addr, (who, fleet), tag, events, rx));
    Out { tx }
}

async fn keep<T: Clone + 'static>(
    addr: SocketAddr,
    (who, fleet): (PeerIdentity, u64),
    tag: T,
    events: UnboundedSender<WireEvent<T>>,
    mut rx: Receiver<Vec<u8>>,
) {
    let mut wait = WIRE_RETRY;
    while !events.is_closed() {
        let dialled = tokio::time::timeout(duration(WIRE_DIAL), TcpStream::connect(addr)).await;
        if let Ok(Ok(stream)) = dialled {
            wait = WIRE_RETRY;
            set(&stream);
            let (read, write) = stream.into_split();
            // What waited for a dead connection is old news.
            while rx.try_recv().is_ok() {}
            let tell = events.clone();
            let tag = tag.clone();
            let reading = reading(read, move |message| {
                tell.send(WireEvent::Dialled { tag: tag.clone(), message }).is_ok()
            });
            let hello = frame::encode(&Message::Hello { who: who.clone(), fleet });
            tokio::select! {
                end = reading => note(&events, addr, end),
                _ = writing(write, &mut rx, Some(hello)) => {}
            }
        }
        if rx.is_closed() {
            return;
        }
        tokio::time::sleep(duration(wait)).await;
        wait = (2 * wait).min(WIRE_RETRY_MAX);
    }
}

/// No waiting for more to send, and an end to a connection whose other machine is
/// gone without a word.
fn set(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(duration(WIRE_SILENCE)));
}

fn note<T>(events: &UnboundedSender<WireEvent<T>>, addr: SocketAddr, end: Option<String>) {
    if let Some(text) = end {
        let _ = events.send(WireEvent::Trouble { text: format!("wire to {addr}: {text}") });
    }
}

/// Takes connections that others open, until the owner is gone.
pub async fn accept<T: 'static>(
    listener: TcpListener,
    fleet: u64,
    events: UnboundedSender<WireEvent<T>>,
) {
    let mut next = 0u64;
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            // Out of file handles, most likely: leave some time to recover.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if events.is_closed() {
            return;
        }
        next += 1;
        set(&stream);
        tokio::task::spawn_local(opened(stream, addr, (next, fleet), events.clone()));
    }
}

async fn opened<T: 'static>(
    stream: TcpStream,
    addr: SocketAddr,
    (connection, fleet): (u64, u64),
    events: UnboundedSender<WireEvent<T>>,
) {
    let (read, write) = stream.into_split();
    let (tx, mut rx) = channel(WIRE_BUFFER);
    let mut who: Option<PeerIdentity> = None;
    let tell = events.clone();
    let reading = reading(read, move |message| {
        let event = match (&who, message) {
            (None, Message::Hello { fleet: f, .. }) if f != fleet => {
                let text = format!("wire from {addr}: it belongs to another fleet");
                let _ = tell.send(WireEvent::Trouble { text });
                return false;
            }
            (None, Message::Hello { who: w, .. }) => {
                who = Some(w.clone());
                WireEvent::Opened { connection, who: w, out: Out { tx: tx.clone() } }
            }
            // Nothing counts before the greeting.
            (None, _) => return false,
            (Some(who), message) => WireEvent::Came { connection, who: who.clone(), message },
        };
        tell.send(event).is_ok()
    });
    tokio::select! {
        end = reading => note(&events, addr, end),
        _ = writing(write, &mut rx, None) => {}
    }
    let _ = events.send(WireEvent::Closed { connection });
}

/// Reads messages until the connection ends; says what could not be read.
async fn reading(mut read: OwnedReadHalf, mut take: impl FnMut(Message) -> bool) -> Option<String> {
    let mut reassembler = Reassembler::default();
    let mut raw = [0u8; HEADER_BYTES];
    loop {
        if read.read_exact(&mut raw).await.is_err() {
            return None;
        }
        let head = match PieceHeader::parse(&raw) {
            Ok(head) => head,
            Err(e) => return Some(e.to_string()),
        };
        let mut body = vec![0u8; head.length];
        if read.read_exact(&mut body).await.is_err() {
            return None;
        }
        match reassembler.push(&head, &body) {
            Ok(Some(message)) => {
                if !take(message) {
                    return None;
                }
            }
            Ok(None) => {}
            Err(e) => return Some(e.to_string()),
        }
    }
}

/// Writes messages in pieces, the small ones first, until the connection fails or
/// nobody can send any more.
async fn writing(mut write: OwnedWriteHalf, rx: &mut Receiver<Vec<u8>>, first: Option<Vec<u8>>) {
    let mut small: VecDeque<Vec<u8>> = VecDeque::new();
    let mut large: VecDeque<Vec<u8>> = VecDeque::new();
    let sort = |small: &mut VecDeque<_>, large: &mut VecDeque<_>, bytes: Vec<u8>| {
        let to = if Lane::for_length(bytes.len()) == Lane::Small { small } else { large };
        to.extend(frame::split(&bytes));
    };
    if let Some(bytes) = first {
        sort(&mut small, &mut large, bytes);
    }
    loop {
        while let Ok(bytes) = rx.try_recv() {
            sort(&mut small, &mut large, bytes);
        }
        let Some(piece) = small.pop_front().or_else(|| large.pop_front()) else {
            match rx.recv().await {
                Some(bytes) => sort(&mut small, &mut large, bytes),
                None => return,
            }
            continue;
        };
        let done = tokio::time::timeout(duration(WIRE_STALL), write.write_all(&piece)).await;
        if !matches!(done, Ok(Ok(()))) {
            return;
        }
    }
}
