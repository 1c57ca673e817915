//! A TCP relay in front of an address that can simulate a network partition: open connections
//! forward nothing more, and new connections are accepted but not forwarded.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running relay. Dropping it closes the listener.
pub struct Relay {
    pub addr: SocketAddr,
    partitioned: Rc<watch::Sender<bool>>,
    task: tokio::task::AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Opens a relay to an address.
    pub async fn open(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (partition_sender, partition_receiver) = watch::channel(false);
        let task = tokio::task::spawn_local(serve(listener, to, partition_receiver)).abort_handle();
        Ok(Relay { addr, partitioned: Rc::new(partition_sender), task })
    }

    /// Starts or ends the network partition.
    pub fn set_partitioned(&self, on: bool) {
        let _ = self.partitioned.send(on);
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, partitioned: watch::Receiver<bool>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        tokio::task::spawn_local(forward_connection(client, to, partitioned.clone()));
    }
}

async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    mut partitioned: watch::Receiver<bool>,
) {
    let mut client = client;
    let forwarding = async {
        if let Ok(mut server) = TcpStream::connect(to).await {
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
        }
    };
    // Forwards nothing once the partition begins, and nothing at all if it has begun already.
    tokio::select! {
        biased;
        _ = partitioned.wait_for(|c| *c) => {}
        _ = forwarding => return,
    }
    // Keeps the connection open without traffic until the partition ends.
    let _ = partitioned.wait_for(|c| !*c).await;
}
