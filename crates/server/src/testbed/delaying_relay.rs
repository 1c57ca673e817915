//! A TCP relay that delays what clients send, like a network partition that heals: the bytes
//! arrive late, and the end of the connection even later. Responses are not delayed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of buffered bytes; further bytes wait in the client's socket.
const MAX_BUFFERED_BYTES: usize = 1 << 16;

/// The delays that a relay applies to each connection.
#[derive(Clone, Copy, Debug)]
pub struct RelayDelays {
    /// Delay of each chunk of bytes that a client sends.
    pub bytes: Duration,
    /// Delay between the last bytes and the end of the client's connection.
    pub close_delay: Duration,
    /// Whether the relay connects to the server before it releases the first bytes.
    pub connect_early: bool,
}

/// A running relay. Dropping it closes the relay and its connections.
pub struct DelayingRelay {
    /// The address at which it listens.
    pub address: SocketAddr,
    task: tokio::task::AbortHandle,
}

impl Drop for DelayingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DelayingRelay {
    /// Opens a relay to an address.
    pub async fn open(to: SocketAddr, delays: RelayDelays) -> std::io::Result<DelayingRelay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(serve(listener, to, delays)).abort_handle();
        Ok(DelayingRelay { address, task })
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, delays: RelayDelays) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        connections.spawn_local(async move {
            // Either side may fail; the connection then ends.
            let _ = forward_connection(client, to, delays).await;
        });
    }
}

async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    delays: RelayDelays,
) -> std::io::Result<()> {
    let (mut from_client, mut to_client) = client.into_split();
    let server_at_once = match delays.connect_early {
        true => Some(TcpStream::connect(to).await?),
        false => None,
    };
    let Some(first_chunk) = read_chunk(&mut from_client).await? else { return Ok(()) };
    tokio::time::sleep(delays.bytes).await;
    let server = match server_at_once {
        Some(server) => server,
        None => TcpStream::connect(to).await?,
    };
    server.set_nodelay(true)?;
    let (mut from_server, mut to_server) = server.into_split();
    let forward_replies = async move {
        // An error means that the client has disconnected. Unlike a real network, the relay
        // still forwards what the client sent before.
        let _ = copy(&mut from_server, &mut to_client).await;
    };
    let answers = tokio::task::spawn_local(forward_replies);
    to_server.write_all(&first_chunk).await?;
    while let Some(chunk) = read_chunk(&mut from_client).await? {
        tokio::time::sleep(delays.bytes).await;
        to_server.write_all(&chunk).await?;
    }
    tokio::time::sleep(delays.close_delay).await;
    to_server.shutdown().await?;
    let _ = answers.await;
    Ok(())
}

/// Reads the client's next bytes. Returns `None` at the end of the stream.
async fn read_chunk(from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = vec![0; MAX_BUFFERED_BYTES];
    let read = from.read(&mut bytes).await?;
    bytes.truncate(read);
    Ok((read > 0).then_some(bytes))
}
