//! Connections of real sockets: who is let in, and that work is sent once.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use grebepath_core::identifiers::CONFIG;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::message::{FeedPosition, Message};
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_runtime::leaf_connections::{Exchange, LeafAddress, LeafPool};
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, accept, dial};
use testbed::local_cluster;

use common::run_local;

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn seat(n: u8) -> PeerIdentity {
    PeerIdentity::Voter { slot: n, replica_id: 7 }
}

fn follow(revision: u64) -> Message {
    Message::Subscribe { positions: vec![FeedPosition { partition: CONFIG, revision }], stamp: 0 }
}

#[googletest::test]
fn a_connection_from_another_cluster_is_closed_and_a_failed_one_is_redialled() {
    run_local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel::<ConnectionEvent<u8>>();
        let task = tokio::task::spawn_local(accept(listener, 7, tx));
        let (dial_tx, _dial_rx) = tokio::sync::mpsc::unbounded_channel();
        let stranger =
            dial(addr, Greeting { identity: seat(1), cluster_hash: 8 }, 1u8, dial_tx.clone());
        stranger.send(&follow(1));
        let Some(ConnectionEvent::Failed { error }) = rx.recv().await else { panic!("taken") };
        expect_that!(error.to_string(), contains_substring("another cluster"));
        drop(stranger);
        let ours =
            dial(addr, Greeting { identity: seat(2), cluster_hash: 7 }, 2u8, dial_tx.clone());
        let mut connections = Vec::new();
        // The stranger may have dialled again before it was dropped.
        while connections.len() < 2 {
            match rx.recv().await.unwrap() {
                ConnectionEvent::Accepted { connection, identity: who, .. } => {
                    expect_that!(who, eq(&seat(2)));
                    connections.push(connection);
                    ours.send(&follow(connections.len() as u64));
                }
                ConnectionEvent::ReceivedFromAccepted { identity: who, message, connection } => {
                    expect_that!((who, connection), eq(&(seat(2), connections[0])));
                    expect_that!(message, eq(&follow(1)));
                    // Garbage on a connection of its own ends that connection alone.
                    let mut raw = tokio::net::TcpStream::connect(addr).await.unwrap();
                    let bytes = frame::split(&frame::encode(&follow(3)));
                    tokio::io::AsyncWriteExt::write_all(&mut raw, &bytes[0][3..]).await.unwrap();
                    connections.push(0);
                }
                _ => {}
            }
        }
        task.abort();
    });
}

/// What a leaf of the test got: questions who it is, and work by its id.
#[derive(Default)]
struct Heard {
    greetings: u32,
    work: Vec<String>,
}

/// A leaf at an address that ends each connection at a chance moment: before it reads
/// work, after it has read it, or after it has answered.
async fn flaky(listener: tokio::net::TcpListener, name: &str, heard: &RefCell<Heard>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut random = grebepath_core::random::Random::new(11);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let last = random.below(4);
        let how = random.below(2);
        let (mut raw, mut served) = (Vec::new(), 0);
        loop {
            let mut part = [0u8; 4096];
            let end = loop {
                let text = String::from_utf8_lossy(&raw).to_string();
                if let Some(at) = text.find("\r\n\r\n") {
                    break Some((text[..at].to_string(), at + 4));
                }
                match stream.read(&mut part).await {
                    Ok(n) if n > 0 => raw.extend(&part[..n]),
                    _ => break None,
                }
            };
            let Some((head, at)) = end else { break };
            raw.drain(..at);
            let fits = head.contains(&format!("expect-leaf: {name}"));
            if head.starts_with("GET /self") {
                heard.borrow_mut().greetings += 1;
            } else {
                let id = head.lines().find_map(|l| l.strip_prefix("query-id: ")).unwrap();
                heard.borrow_mut().work.push(id.to_string());
                served += 1;
                if served > last && how == 0 {
                    break;
                }
            }
            let code = if fits { "200 OK" } else { "421 Misdirected Request" };
            let text = format!("HTTP/1.1 {code}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            if served > last {
                break;
            }
        }
    }
}

async fn send_work(pool: &LeafPool, addr: SocketAddr, n: usize) -> Option<u16> {
    use http_body_util::Full;
    use hyper::Request;
    let get = || Request::get("/self").header("expect-leaf", "s.1").body(Full::default());
    let work = Request::post("/query")
        .header("expect-leaf", "s.1")
        .header("query-id", format!("q.{n}"))
        .body(Full::default())
        .unwrap();
    let fits = |r: &hyper::Response<bytes::Bytes>| r.status() == 200;
    let greeting = || get().unwrap();
    let leaf = LeafAddress { address: addr, leaf: "s.1".into() };
    let sent = pool.exchange(leaf, greeting, fits, work, 1024);
    match sent.await {
        Ok(Exchange::Answered(r)) => Some(r.status().as_u16()),
        Ok(Exchange::Declined(r)) => Some(r.status().as_u16()),
        Err(_) => None,
    }
}

#[googletest::test]
fn a_request_is_sent_once_and_only_to_its_intended_leaf() {
    run_local(async {
        // Not a port that the system hands out: it is bound a second time.
        let port = local_cluster::free_ports(1).unwrap()[0];
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", port)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let heard = Rc::new(RefCell::new(Heard::default()));
        let own = heard.clone();
        let leaf = tokio::task::spawn_local(async move { flaky(listener, "s.1", &own).await });
        let pool = LeafPool::new(4);
        let mut answered = 0;
        for n in 0..200 {
            answered += u32::from(send_work(&pool, addr, n).await == Some(200));
        }
        {
            let h = heard.borrow();
            let once: std::collections::BTreeSet<_> = h.work.iter().collect();
            expect_that!(once.len(), eq(h.work.len()), "work came twice");
            // Wires were used again, and did end.
            expect_that!(h.greetings, all!(gt(20), lt(180)));
            expect_that!(answered, gt(100));
        }
        // A stranger takes the address over; the old connections end with the leaf.
        leaf.abort();
        let _ = leaf.await;
        // Other tests of this process start children, which hold what we have
        // open for a moment before they are another program.
        let end = Instant::now() + WAIT_TIMEOUT;
        let listener = loop {
            let sock = tokio::net::TcpSocket::new_v4().unwrap();
            sock.set_reuseaddr(true).unwrap();
            match sock.bind(addr).and_then(|()| sock.listen(16)) {
                Ok(listener) => break listener,
                Err(e) => assert!(Instant::now() < end, "{e}"),
            }
            tokio::task::yield_now().await;
        };
        let strange = Rc::new(RefCell::new(Heard::default()));
        let own = strange.clone();
        tokio::task::spawn_local(async move { flaky(listener, "t.1", &own).await });
        let mut met = 0;
        for n in 200..220 {
            met += u32::from(send_work(&pool, addr, n).await == Some(421));
        }
        expect_that!(met, ge(19));
        expect_that!(strange.borrow().work, is_empty());
    });
}
