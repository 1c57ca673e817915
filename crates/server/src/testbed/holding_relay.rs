//! A relay that holds what clients send, as a cut does that heals: the bytes arrive later, and
//! the end of the connection later still. Answers pass at once.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are held at most; more wait in the client's socket.
const MOST_HELD: usize = 1 << 16;

/// What a relay does to each connection.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// How long each piece of a client's bytes is held.
    pub bytes: Duration,
    /// How long after the last bytes the client's end passes.
    pub end_behind: Duration,
    /// Whether the server sees the connection before the bytes are let go.
    pub connects_early: bool,
}

/// A relay; it ends when it is dropped, and its connections with it.
pub struct HoldingRelay {
    /// Where it listens.
    pub address: SocketAddr,
    task: tokio::task::AbortHandle,
}

impl Drop for HoldingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HoldingRelay {
    /// Opens a relay to an address.
    pub async fn open(to: SocketAddr, hold: Hold) -> std::io::Result<HoldingRelay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::task::spawn_local(serve(listener, to, hold)).abort_handle();
        Ok(HoldingRelay { address, task })
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, hold: Hold) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        connections.spawn_local(async move {
            // Either side may fail: then the connection just ends.
            let _ = pass(client, to, hold).await;
        });
    }
}

async fn pass(client: TcpStream, to: SocketAddr, hold: Hold) -> std::io::Result<()> {
    let (mut from_client, mut to_client) = client.into_split();
    let early = match hold.connects_early {
        true => Some(TcpStream::connect(to).await?),
        false => None,
    };
    let Some(first) = read_some(&mut from_client).await? else { return Ok(()) };
    tokio::time::sleep(hold.bytes).await;
    let server = match early {
        Some(server) => server,
        None => TcpStream::connect(to).await?,
    };
    server.set_nodelay(true)?;
    let (mut from_server, mut to_server) = server.into_split();
    let back = async move {
        // A client that has gone takes no answer; the relay reads on, as a network would not.
        let _ = copy(&mut from_server, &mut to_client).await;
    };
    let answers = tokio::task::spawn_local(back);
    to_server.write_all(&first).await?;
    while let Some(more) = read_some(&mut from_client).await? {
        tokio::time::sleep(hold.bytes).await;
        to_server.write_all(&more).await?;
    }
    tokio::time::sleep(hold.end_behind).await;
    to_server.shutdown().await?;
    let _ = answers.await;
    Ok(())
}

/// What the client has sent next; `None` once it has ended.
async fn read_some(from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = vec![0; MOST_HELD];
    let read = from.read(&mut bytes).await?;
    bytes.truncate(read);
    Ok((read > 0).then_some(bytes))
}
