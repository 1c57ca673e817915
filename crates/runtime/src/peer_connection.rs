//! Connections between our processes: framed TCP, dialled anew when lost.
//!
//! Each connection has one task. A dialled connection's task ends when its
//! [`MessageSender`] is dropped, an accepted one's when its stream ends; all end with
//! the `LocalSet` of their thread.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, channel};

use grebepath_core::consts::{
    MAX_QUEUED_PEER_MESSAGES, PEER_CONNECT_TIMEOUT, PEER_WRITE_TIMEOUT, RECONNECT_BACKOFF_MAX,
    RECONNECT_BACKOFF_MIN, TCP_USER_TIMEOUT,
};
use grebepath_core::protocol::frame;
use grebepath_core::protocol::frame::{FrameError, FrameHeader, HEADER_BYTES, Lane, Reassembler};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::peer::PeerIdentity;

use crate::clock::duration;

/// Wait after a failed `accept`: out of file handles, most likely, so some time to
/// recover.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What each connection that we open begins with.
#[derive(Clone, Debug)]
pub struct Greeting {
    /// Who we are.
    pub identity: PeerIdentity,
    /// The fleet we belong to; peers of another one are not listened to.
    pub cluster_hash: u64,
}

/// Why a connection was given up.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// What came is not a message of ours.
    #[error("wire to {address}: {source}")]
    Unreadable {
        /// Where it came from.
        address: SocketAddr,
        /// What was expected.
        source: FrameError,
    },
    /// The peer belongs to another fleet.
    #[error("wire from {address}: it belongs to another fleet")]
    OtherCluster {
        /// Where it is.
        address: SocketAddr,
    },
}

/// What connections tell their owner.
pub enum ConnectionEvent<T> {
    /// A connection that we dial brought a message.
    Received {
        /// The tag under which it was dialled.
        tag: T,
        /// The message.
        message: Message,
    },
    /// A peer opened a connection towards us and said who it is.
    Accepted {
        /// Our number for it.
        connection: u64,
        /// Who it is.
        identity: PeerIdentity,
        /// Its sending end.
        sender: MessageSender,
    },
    /// A connection that a peer opened brought a message.
    ReceivedFromAccepted {
        /// Our number for it.
        connection: u64,
        /// Who sent it.
        identity: PeerIdentity,
        /// The message.
        message: Message,
    },
    /// A connection that a peer opened has ended.
    Closed {
        /// Our number for it.
        connection: u64,
    },
    /// A peer speaks something we can't read.
    Failed {
        /// What, and from where.
        error: ConnectionError,
    },
}

/// The sending end of a connection. It holds up to [`MAX_QUEUED_PEER_MESSAGES`] messages; further
/// ones are dropped.
#[derive(Clone, Debug)]
pub struct MessageSender {
    queue: Sender<Vec<u8>>,
}

impl MessageSender {
    /// Sends a message, or drops it when the connection's queue is full: every
    /// message of ours may be lost, and its owner sends it again. Says whether it
    /// was queued.
    pub fn send(&self, message: &Message) -> bool {
        self.queue.try_send(frame::encode(message)).is_ok()
    }
}

/// Keeps a connection to `address`: dials it, again and again, says who we are, and
/// passes on what comes. Ends when the last clone of the sender is dropped.
pub fn dial<T: Clone + 'static>(
    address: SocketAddr,
    greeting: Greeting,
    tag: T,
    events: UnboundedSender<ConnectionEvent<T>>,
) -> MessageSender {
    let (queue, queued) = channel(MAX_QUEUED_PEER_MESSAGES);
    tokio::task::spawn_local(maintain_connection(address, greeting, tag, events, queued));
    MessageSender { queue }
}

async fn maintain_connection<T: Clone + 'static>(
    address: SocketAddr,
    greeting: Greeting,
    tag: T,
    events: UnboundedSender<ConnectionEvent<T>>,
    mut queued: Receiver<Vec<u8>>,
) {
    let mut backoff = RECONNECT_BACKOFF_MIN;
    while !events.is_closed() {
        let dialled =
            tokio::time::timeout(duration(PEER_CONNECT_TIMEOUT), TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = dialled {
            backoff = RECONNECT_BACKOFF_MIN;
            set_socket_options(&stream);
            let (read, write) = stream.into_split();
            // What waited for a dead connection is out of date.
            while queued.try_recv().is_ok() {}
            let (owner, tag) = (events.clone(), tag.clone());
            let reading = read_messages(read, move |message| {
                owner.send(ConnectionEvent::Received { tag: tag.clone(), message }).is_ok()
            });
            let Greeting { identity, cluster_hash } = greeting.clone();
            let hello = frame::encode(&Message::Hello { who: identity, cluster_hash });
            tokio::select! {
                end = reading => report_unreadable(&events, address, end),
                _ = write_messages(write, &mut queued, Some(hello)) => {}
            }
        }
        if queued.is_closed() {
            return;
        }
        tokio::time::sleep(duration(backoff)).await;
        backoff = (2 * backoff).min(RECONNECT_BACKOFF_MAX);
    }
}

/// No waiting for more to send, and an end to a connection whose other machine is
/// gone without a word. A system that knows neither option works without.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(duration(TCP_USER_TIMEOUT)));
}

fn report_unreadable<T>(
    events: &UnboundedSender<ConnectionEvent<T>>,
    address: SocketAddr,
    end: Result<(), FrameError>,
) {
    if let Err(source) = end {
        let error = ConnectionError::Unreadable { address, source };
        let _ = events.send(ConnectionEvent::Failed { error });
    }
}

/// Takes connections that others open, until the owner is gone.
pub async fn accept<T: 'static>(
    listener: TcpListener,
    cluster_hash: u64,
    events: UnboundedSender<ConnectionEvent<T>>,
) {
    let mut connection = 0u64;
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if events.is_closed() {
            return;
        }
        connection += 1;
        set_socket_options(&stream);
        tokio::task::spawn_local(serve_accepted(
            stream,
            address,
            connection,
            cluster_hash,
            events.clone(),
        ));
    }
}

async fn serve_accepted<T: 'static>(
    stream: TcpStream,
    address: SocketAddr,
    connection: u64,
    cluster_hash: u64,
    events: UnboundedSender<ConnectionEvent<T>>,
) {
    let (read, write) = stream.into_split();
    let (queue, mut queued) = channel(MAX_QUEUED_PEER_MESSAGES);
    let mut peer: Option<PeerIdentity> = None;
    let owner = events.clone();
    let reading = read_messages(read, move |message| {
        let event = match (&peer, message) {
            (None, Message::Hello { cluster_hash: other, .. }) if other != cluster_hash => {
                let error = ConnectionError::OtherCluster { address };
                let _ = owner.send(ConnectionEvent::Failed { error });
                return false;
            }
            (None, Message::Hello { who: identity, .. }) => {
                peer = Some(identity.clone());
                let sender = MessageSender { queue: queue.clone() };
                ConnectionEvent::Accepted { connection, identity, sender }
            }
            // Nothing counts before the greeting.
            (None, _) => return false,
            (Some(identity), message) => ConnectionEvent::ReceivedFromAccepted {
                connection,
                identity: identity.clone(),
                message,
            },
        };
        owner.send(event).is_ok()
    });
    tokio::select! {
        end = reading => report_unreadable(&events, address, end),
        _ = write_messages(write, &mut queued, None) => {}
    }
    let _ = events.send(ConnectionEvent::Closed { connection });
}

/// Reads messages until the connection ends or `take` wants no more. An error says
/// what could not be read.
async fn read_messages(
    mut read: OwnedReadHalf,
    mut take: impl FnMut(Message) -> bool,
) -> Result<(), FrameError> {
    let mut reassembler = Reassembler::default();
    let mut raw = [0u8; HEADER_BYTES];
    loop {
        if read.read_exact(&mut raw).await.is_err() {
            return Ok(());
        }
        let header = FrameHeader::parse(&raw)?;
        let mut body = vec![0u8; header.length];
        if read.read_exact(&mut body).await.is_err() {
            return Ok(());
        }
        if let Some(message) = reassembler.push(&header, &body)?
            && !take(message)
        {
            return Ok(());
        }
    }
}

/// Writes messages in pieces, the small ones first, until the connection fails or
/// nobody can send any more.
async fn write_messages(
    mut write: OwnedWriteHalf,
    queued: &mut Receiver<Vec<u8>>,
    first: Option<Vec<u8>>,
) {
    let mut small: VecDeque<Vec<u8>> = VecDeque::new();
    let mut large: VecDeque<Vec<u8>> = VecDeque::new();
    let enqueue = |small: &mut VecDeque<_>, large: &mut VecDeque<_>, bytes: Vec<u8>| {
        let lane = if Lane::for_length(bytes.len()) == Lane::Small { small } else { large };
        lane.extend(frame::split(&bytes));
    };
    if let Some(bytes) = first {
        enqueue(&mut small, &mut large, bytes);
    }
    loop {
        while let Ok(bytes) = queued.try_recv() {
            enqueue(&mut small, &mut large, bytes);
        }
        let Some(piece) = small.pop_front().or_else(|| large.pop_front()) else {
            match queued.recv().await {
                Some(bytes) => enqueue(&mut small, &mut large, bytes),
                None => return,
            }
            continue;
        };
        let written =
            tokio::time::timeout(duration(PEER_WRITE_TIMEOUT), write.write_all(&piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
