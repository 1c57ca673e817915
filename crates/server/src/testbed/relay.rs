//! A relay that stands before an address and can be cut: what is under way
//! ends, and new connections are taken but lead nowhere, as across a dead net.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A relay; it ends when it is dropped.
pub struct Relay {
    pub addr: SocketAddr,
    cut: Rc<watch::Sender<bool>>,
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
        let (tx, rx) = watch::channel(false);
        let task = tokio::task::spawn_local(serve(listener, to, rx)).abort_handle();
        Ok(Relay { addr, cut: Rc::new(tx), task })
    }

    /// Cuts the relay, or lets it pass again.
    pub fn cut(&self, on: bool) {
        let _ = self.cut.send(on);
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, cut: watch::Receiver<bool>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        tokio::task::spawn_local(pass(near, to, cut.clone()));
    }
}

async fn pass(near: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    let mut near = near;
    let through = async {
        if let Ok(mut far) = TcpStream::connect(to).await {
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
        }
    };
    // Nothing more passes once it is cut, nor at all if it is cut already.
    tokio::select! {
        biased;
        _ = cut.wait_for(|c| *c) => {}
        _ = through => return,
    }
    // Held open and silent until the net is whole again.
    let _ = cut.wait_for(|c| !*c).await;
}
