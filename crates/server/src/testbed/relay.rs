//! A relay that stands before an address and can be cut: what is under way
//! ends, and new connections are taken but lead nowhere, as across a dead net.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A relay; it ends when it is dropped.
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

    /// Cuts the relay, or lets it pass again.
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
    // Nothing more passes once it is cut, nor at all if it is cut already.
    tokio::select! {
        biased;
        _ = partitioned.wait_for(|c| *c) => {}
        _ = forwarding => return,
    }
    // Held open and silent until the net is whole again.
    let _ = partitioned.wait_for(|c| !*c).await;
}
