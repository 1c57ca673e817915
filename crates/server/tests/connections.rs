//! Connections over real sockets: peers of other clusters are rejected, and a call is sent to its
//! leaf at most once.

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

fn voter(n: u8) -> PeerIdentity {
    PeerIdentity::Voter { slot: n, replica_id: 7 }
}

fn subscribe(revision: u64) -> Message {
    Message::Subscribe { positions: vec![FeedPosition { partition: CONFIG, revision }], stamp: 0 }
}

#[googletest::test]
fn a_connection_from_another_cluster_is_closed_and_a_failed_one_is_redialled() {
    run_local(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (event_sender, mut events) =
            tokio::sync::mpsc::unbounded_channel::<ConnectionEvent<u8>>();
        let accept_task = tokio::task::spawn_local(accept(listener, 7, event_sender));
        let (dial_sender, _dial_events) = tokio::sync::mpsc::unbounded_channel();
        let other_cluster =
            dial(addr, Greeting { identity: voter(1), cluster_hash: 8 }, 1u8, dial_sender.clone());
        other_cluster.send(&subscribe(1));
        let Some(ConnectionEvent::Failed { error }) = events.recv().await else {
            panic!("the connection of another cluster was accepted")
        };
        expect_that!(error.to_string(), contains_substring("another cluster"));
        drop(other_cluster);
        let own_cluster =
            dial(addr, Greeting { identity: voter(2), cluster_hash: 7 }, 2u8, dial_sender.clone());
        let mut connections = Vec::new();
        // The peer of the other cluster may have redialled before it was dropped.
        while connections.len() < 2 {
            match events.recv().await.unwrap() {
                ConnectionEvent::Accepted { connection, identity: peer, .. } => {
                    expect_that!(peer, eq(&voter(2)));
                    connections.push(connection);
                    own_cluster.send(&subscribe(connections.len() as u64));
                }
                ConnectionEvent::ReceivedFromAccepted { identity: peer, message, connection } => {
                    expect_that!((peer, connection), eq(&(voter(2), connections[0])));
                    expect_that!(message, eq(&subscribe(1)));
                    // Invalid bytes on a separate connection close only that connection.
                    let mut raw = tokio::net::TcpStream::connect(addr).await.unwrap();
                    let bytes = frame::split(&frame::encode(&subscribe(3)));
                    tokio::io::AsyncWriteExt::write_all(&mut raw, &bytes[0][3..]).await.unwrap();
                    connections.push(0);
                }
                _ => {}
            }
        }
        accept_task.abort();
    });
}

/// The requests that a test leaf received: the number of identity checks, and the calls by id.
#[derive(Default)]
struct ReceivedRequests {
    identity_checks: u32,
    calls: Vec<String>,
}

/// Serves as a leaf that closes each connection at a random point: before it reads a call, after
/// it has read it, or after it has answered.
async fn serve_unreliably(
    listener: tokio::net::TcpListener,
    name: &str,
    received: &RefCell<ReceivedRequests>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut random = grebepath_core::random::Random::new(11);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let last_request = random.below(4);
        let drop_unanswered = random.below(2);
        let (mut raw, mut served) = (Vec::new(), 0);
        loop {
            let mut chunk = [0u8; 4096];
            let request = loop {
                let text = String::from_utf8_lossy(&raw).to_string();
                if let Some(end_of_headers) = text.find("\r\n\r\n") {
                    break Some((text[..end_of_headers].to_string(), end_of_headers + 4));
                }
                match stream.read(&mut chunk).await {
                    Ok(n) if n > 0 => raw.extend(&chunk[..n]),
                    _ => break None,
                }
            };
            let Some((headers, header_bytes)) = request else { break };
            raw.drain(..header_bytes);
            let is_intended = headers.contains(&format!("expect-leaf: {name}"));
            if headers.starts_with("GET /self") {
                received.borrow_mut().identity_checks += 1;
            } else {
                let id = headers.lines().find_map(|l| l.strip_prefix("query-id: ")).unwrap();
                received.borrow_mut().calls.push(id.to_string());
                served += 1;
                if served > last_request && drop_unanswered == 0 {
                    break;
                }
            }
            let code = if is_intended { "200 OK" } else { "421 Misdirected Request" };
            let text = format!("HTTP/1.1 {code}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).await.unwrap();
            if served > last_request {
                break;
            }
        }
    }
}

async fn send_call(pool: &LeafPool, addr: SocketAddr, n: usize) -> Option<u16> {
    use http_body_util::Full;
    use hyper::Request;
    let identity_request =
        || Request::get("/self").header("expect-leaf", "s.1").body(Full::default());
    let call = Request::post("/query")
        .header("expect-leaf", "s.1")
        .header("query-id", format!("q.{n}"))
        .body(Full::default())
        .unwrap();
    let is_intended = |r: &hyper::Response<bytes::Bytes>| r.status() == 200;
    let greeting = || identity_request().unwrap();
    let leaf = LeafAddress { address: addr, leaf: "s.1".into() };
    let outcome = pool.exchange(leaf, greeting, is_intended, call, 1024);
    match outcome.await {
        Ok(Exchange::Answered(r)) => Some(r.status().as_u16()),
        Ok(Exchange::Declined(r)) => Some(r.status().as_u16()),
        Err(_) => None,
    }
}

#[googletest::test]
fn a_request_is_sent_once_and_only_to_its_intended_leaf() {
    run_local(async {
        // Not an ephemeral port of the system, because it is bound a second time below.
        let port = local_cluster::free_ports(1).unwrap()[0];
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", port)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Rc::new(RefCell::new(ReceivedRequests::default()));
        let received_by_task = received.clone();
        let leaf_task = tokio::task::spawn_local(async move {
            serve_unreliably(listener, "s.1", &received_by_task).await
        });
        let pool = LeafPool::new(4);
        let mut answered = 0;
        for n in 0..200 {
            answered += u32::from(send_call(&pool, addr, n).await == Some(200));
        }
        {
            let counts = received.borrow();
            let distinct_calls: std::collections::BTreeSet<_> = counts.calls.iter().collect();
            expect_that!(distinct_calls.len(), eq(counts.calls.len()), "a call arrived twice");
            // Connections were reused, and some were closed.
            expect_that!(counts.identity_checks, all!(gt(20), lt(180)));
            expect_that!(answered, gt(100));
        }
        // Another leaf takes over the address; the old connections close with the first leaf.
        leaf_task.abort();
        let _ = leaf_task.await;
        // Other tests of this process start child processes, which inherit the open sockets until
        // they execute their program, so the bind may fail at first.
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let listener = loop {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            match socket.bind(addr).and_then(|()| socket.listen(16)) {
                Ok(listener) => break listener,
                Err(e) => assert!(Instant::now() < deadline, "{e}"),
            }
            tokio::task::yield_now().await;
        };
        let other_leaf = Rc::new(RefCell::new(ReceivedRequests::default()));
        let received_by_task = other_leaf.clone();
        tokio::task::spawn_local(async move {
            serve_unreliably(listener, "t.1", &received_by_task).await
        });
        let mut misdirected = 0;
        for n in 200..220 {
            misdirected += u32::from(send_call(&pool, addr, n).await == Some(421));
        }
        expect_that!(misdirected, ge(19));
        expect_that!(other_leaf.borrow().calls, is_empty());
    });
}
