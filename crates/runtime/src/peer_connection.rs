//! Connections between the processes of a cluster: framed messages over TCP. A lost connection is
//! dialled again.
//!
//! Each connection has one task. The task of a dialled connection ends when its [`MessageSender`]
//! is dropped, and the task of an accepted one when its stream ends. All end with the `LocalSet` of
//! their thread.

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

/// Delay after a failed `accept`; the usual cause is a lack of file handles, which needs time to
/// recover.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The first message on each dialled connection.
#[derive(Clone, Debug)]
pub struct Greeting {
    /// The identity of this process.
    pub identity: PeerIdentity,
    /// Hash of the name of this process's cluster. Connections of other clusters are rejected.
    pub cluster_hash: u64,
}

/// Why a connection was closed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The received bytes are not a valid message.
    #[error("connection with {address}: {source}")]
    Unreadable {
        /// The address of the peer.
        address: SocketAddr,
        /// Why the frame or the message is invalid.
        source: FrameError,
    },
    /// The peer belongs to another cluster.
    #[error("connection from {address}: the peer belongs to another cluster")]
    OtherCluster {
        /// The address of the peer.
        address: SocketAddr,
    },
}

/// An event of a connection.
pub enum ConnectionEvent<T> {
    /// A message arrived on a dialled connection.
    Received {
        /// The tag of the connection, as passed to [`dial`].
        tag: T,
        /// The message.
        message: Message,
    },
    /// A peer opened a connection and identified itself.
    Accepted {
        /// Local number of the connection.
        connection: u64,
        /// The identity of the peer.
        identity: PeerIdentity,
        /// The sending half of the connection.
        sender: MessageSender,
    },
    /// A message arrived on an accepted connection.
    ReceivedFromAccepted {
        /// Local number of the connection.
        connection: u64,
        /// The identity of the peer.
        identity: PeerIdentity,
        /// The message.
        message: Message,
    },
    /// An accepted connection has ended.
    Closed {
        /// Local number of the connection.
        connection: u64,
    },
    /// A connection was closed because of its peer's messages.
    Failed {
        /// The reason, and the peer's address.
        error: ConnectionError,
    },
}

/// The sending half of a connection. It queues up to [`MAX_QUEUED_PEER_MESSAGES`] messages; further
/// ones are dropped.
#[derive(Clone, Debug)]
pub struct MessageSender {
    queue: Sender<Vec<u8>>,
}

impl MessageSender {
    /// Queues a message, or drops it if the queue is full. The protocol tolerates the loss of any
    /// message, since its sender sends it again. Returns whether the message was queued.
    pub fn send(&self, message: &Message) -> bool {
        self.queue.try_send(frame::encode(message)).is_ok()
    }
}

/// Keeps a connection to `address`: dials it whenever it is not connected, sends the greeting, and
/// passes received messages on as events. Ends when the last clone of the sender is dropped.
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
            // Messages queued for the previous connection are outdated.
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

/// Disables Nagle's algorithm, and sets a timeout for connections whose peer machine has silently
/// disappeared. Systems that don't support these options work without them.
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

/// Accepts connections until the receiver of the events is dropped.
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
            // Messages before the greeting are invalid.
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

/// Reads messages until the connection ends or `take` returns false. Fails if a frame or a message
/// is invalid.
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

/// Writes messages in pieces, those of small messages first, until the connection fails or all
/// senders are dropped.
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
