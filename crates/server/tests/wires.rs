//! Troubles of real processes: a stranger's connection, a frozen process, a cut net,
//! a full disk.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use grebepath_core::identifiers::CONFIG;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::message::{FeedPosition, Message, PeerIdentity};
use grebepath_core::storage::reader::{Found, read};
use grebepath_runtime::leaf_connections::{Exchange, LeafAddress, LeafPool};
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, accept, dial};
use hyper::Method;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::{Fleet, Layout};
use testbed::relay::Relay;

/// How long anything may take that is only waited for.
const LONG: Duration = Duration::from_secs(20);

fn layout(test: &str) -> Layout {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let bin = PathBuf::from(env!("CARGO_BIN_EXE_controller")).parent().unwrap().to_path_buf();
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    Layout { bin, dir, deploy, name: "mohalla".into(), queriers: 3 }
}

/// Runs a test's body on one thread, as the daemons do.
fn block<F: Future>(body: F) -> F::Output {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&rt, body)
}

fn seat(n: u8) -> PeerIdentity {
    PeerIdentity::Voter { slot: n, holder: 7 }
}

fn follow(revision: u64) -> Message {
    Message::Subscribe { places: vec![FeedPosition { partition: CONFIG, revision }], stamp: 0 }
}

#[googletest::test]
fn a_wire_of_another_fleet_is_closed_and_ours_is_dialled_anew() {
    block(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel::<ConnectionEvent<u8>>();
        let task = tokio::task::spawn_local(accept(listener, 7, tx));
        let (dial_tx, _dial_rx) = tokio::sync::mpsc::unbounded_channel();
        let stranger = dial(addr, Greeting { identity: seat(1), fleet: 8 }, 1u8, dial_tx.clone());
        stranger.send(&follow(1));
        let Some(ConnectionEvent::Failed { error }) = rx.recv().await else { panic!("taken") };
        expect_that!(error.to_string(), contains_substring("another fleet"));
        drop(stranger);
        let ours = dial(addr, Greeting { identity: seat(2), fleet: 7 }, 2u8, dial_tx.clone());
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
    let mut luck = grebepath_core::random::Random::new(11);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let last = luck.below(4);
        let how = luck.below(2);
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
fn work_is_sent_once_and_to_none_but_the_leaf_it_is_for() {
    block(async {
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
        let end = Instant::now() + LONG;
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

async fn all_ready(f: &Fleet) {
    for i in 0..f.queriers.len() {
        assert!(
            local_cluster::until(LONG, || local_cluster::ready(f, i)).await,
            "querier {i} is not ready"
        );
    }
}

async fn ask(f: &Fleet, i: usize) -> Option<(u16, serde_json::Value)> {
    let url = format!("http://{}/v1/search/browse", f.fronts[i]);
    let body = json!({ "question": "q", "limit": 3 }).to_string().into_bytes();
    local_cluster::request(&f.http, Method::POST, url, body, &[("budget-ms", "900")]).await.ok()
}

#[googletest::test]
fn a_frozen_querier_wakes_and_never_answers_by_the_old_configuration() {
    block(async {
        let f = local_cluster::up(layout("frozen")).await.unwrap();
        all_ready(&f).await;
        local_cluster::signal(&f.queriers[1], "STOP").unwrap();
        // Accepted without the frozen one: the two others are most.
        let val = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = local_cluster::patch(&f, &val, "later").await.unwrap();
        // The core lets the frozen one go; then its old view is out of date.
        let gone = || async {
            local_cluster::status(&f, 0)
                .await
                .is_ok_and(|s| s["cohort"]["members"].as_array().is_some_and(|m| m.len() == 2))
        };
        assert!(local_cluster::until(LONG, gone).await);
        // Calls that wait at its door when it wakes.
        let calls: Vec<_> = (0..8).map(|_| ask(&f, 1)).collect();
        let woken = async {
            tokio::task::yield_now().await;
            local_cluster::signal(&f.queriers[1], "CONT").unwrap();
        };
        let (answers, ()) = tokio::join!(at_once(calls), woken);
        for (code, val) in answers.into_iter().flatten() {
            if code == 200 {
                expect_that!(val["revision"].as_u64(), ge(Some(revision)));
            } else {
                expect_that!(val["error"].as_str(), some(eq("cut-off")));
            }
        }
        assert!(local_cluster::until(LONG, || local_cluster::ready(&f, 1)).await);
        // It serves again, by the new one.
        let serves = || async {
            ask(&f, 1).await.is_some_and(|(code, val)| {
                code == 200 && val["revision"].as_u64() >= Some(revision)
            })
        };
        assert!(local_cluster::until(LONG, serves).await);
    });
}

/// All answers, asked at once.
async fn at_once<F: Future>(list: Vec<F>) -> Vec<F::Output> {
    // Each is polled from the first await on, since all share one thread.
    let mut left: Vec<_> = list.into_iter().map(Box::pin).collect();
    let mut out = Vec::new();
    while !left.is_empty() {
        let (got, rest) = first(left).await;
        out.push(got);
        left = rest;
    }
    out
}

/// The first of several to be done, and the rest.
async fn first<F: Future + Unpin>(mut list: Vec<F>) -> (F::Output, Vec<F>) {
    let (at, got) = std::future::poll_fn(|cx| {
        for (i, f) in list.iter_mut().enumerate() {
            if let std::task::Poll::Ready(got) = std::pin::Pin::new(f).poll(cx) {
                return std::task::Poll::Ready((i, got));
            }
        }
        std::task::Poll::Pending
    })
    .await;
    drop(list.remove(at));
    (got, list)
}

#[googletest::test]
fn a_querier_cut_off_alone_steps_aside_and_comes_back() {
    block(async {
        // All that the last querier says to and hears from the others passes
        // through relays, which can be cut.
        let mut relays: Vec<Relay> = Vec::new();
        let f = local_cluster::up_with(layout("cut"), async |wanted: SocketAddr| {
            let relay = Relay::open(wanted).await?;
            let addr = relay.addr;
            relays.push(relay);
            Ok(addr)
        })
        .await
        .unwrap();
        all_ready(&f).await;
        expect_that!(ask(&f, 2).await.unwrap().0, eq(200));
        // Only the ways to core and list are cut: neighbours hand renewals over
        // and news on, and the node serves by the newest configuration.
        for relay in &relays[..4] {
            relay.cut(true);
        }
        let val = json!({ "zones": [{ "name": "early", "state": "open" }] });
        let revision = local_cluster::patch(&f, &val, "early").await.unwrap();
        let obeys = || async { local_cluster::obeyed(&f, 2).await.is_some_and(|r| r >= revision) };
        assert!(local_cluster::until(LONG, obeys).await, "no news came by the cohort");
        expect_that!(ask(&f, 2).await.unwrap().0, eq(200));
        // Now nobody reaches it.
        relays[4].cut(true);
        let begun = Instant::now();
        assert!(local_cluster::until(LONG, || async { !local_cluster::ready(&f, 2).await }).await);
        // First not ready, then bouncing; the others go on.
        let bounced = || async {
            ask(&f, 2).await.is_some_and(|(code, val)| code == 503 && val["error"] == "cut-off")
        };
        assert!(local_cluster::until(LONG, bounced).await);
        expect_that!(begun.elapsed(), lt(Duration::from_secs(6)));
        let val = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = local_cluster::patch(&f, &val, "later").await.unwrap();
        expect_that!(ask(&f, 0).await.unwrap().0, eq(200));
        for relay in &relays {
            relay.cut(false);
        }
        assert!(local_cluster::until(LONG, || local_cluster::ready(&f, 2)).await);
        expect_that!(ask(&f, 2).await.unwrap().1["revision"].as_u64(), ge(Some(revision)));
    });
}

#[googletest::test]
fn a_full_disk_makes_its_seat_step_back_and_costs_nothing_accepted() {
    block(async {
        let mut f = local_cluster::up(layout("full")).await.unwrap();
        all_ready(&f).await;
        // The owner of the configuration comes back on a disk with 64 KiB left.
        let seat = local_cluster::config_owner(&f).await.unwrap();
        local_cluster::kill(&mut f.seats[seat]);
        local_cluster::limit_files(&mut f.seats[seat], Some(128));
        local_cluster::start(&mut f.seats[seat]).unwrap();
        let role = async |f: &Fleet| {
            let s = local_cluster::status(f, seat).await.ok()?;
            Some(s["here"]["parts"][0].clone())
        };
        let whole = || async { role(&f).await.is_some_and(|p| p["role"] == "follower") };
        assert!(local_cluster::until(LONG, whole).await);
        let val = json!({ "pools": [{ "name": "wide", "service": "wide",
                                      "labels": { "note": "x".repeat(100_000) } }] });
        let revision = local_cluster::patch(&f, &val, "wide").await.unwrap();
        let sick = || async { role(&f).await.is_some_and(|p| p["role"] == "sick") };
        assert!(local_cluster::until(LONG, sick).await, "{:?}", role(&f).await);
        expect_that!(role(&f).await.unwrap()["sick"].as_str(), some(contains_substring("large")));
        // The two others go on accepting, and all queriers obey.
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = revision.max(local_cluster::patch(&f, &val, "after").await.unwrap());
        for i in 0..3 {
            let obeys =
                || async { local_cluster::obeyed(&f, i).await.is_some_and(|r| r >= revision) };
            assert!(local_cluster::until(LONG, obeys).await);
        }
        // With room again it comes back whole.
        local_cluster::kill(&mut f.seats[seat]);
        local_cluster::limit_files(&mut f.seats[seat], None);
        local_cluster::start(&mut f.seats[seat]).unwrap();
        let back = || async {
            role(&f)
                .await
                .is_some_and(|p| p["role"] == "follower" && p["shown"].as_u64() >= Some(revision))
        };
        assert!(local_cluster::until(LONG, back).await, "{:?}", role(&f).await);
    });
}

/// One number of a process's metrics.
async fn metric(f: &Fleet, addr: SocketAddr, name: &str) -> Option<u64> {
    let text = local_cluster::text(&f.http, format!("http://{addr}/metrics")).await?;
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

/// Whether a seat has a role in every part.
async fn whole(f: &Fleet, seat: usize) -> bool {
    local_cluster::status(f, seat).await.is_ok_and(|s| {
        s["here"]["parts"]
            .as_array()
            .is_some_and(|p| p.iter().all(|p| p["role"] == "follower" || p["role"] == "owner"))
    })
}

#[googletest::test]
fn a_seat_moves_to_a_new_machine_while_queriers_serve() {
    block(async {
        let mut f = local_cluster::up(layout("moved")).await.unwrap();
        all_ready(&f).await;
        let val = json!({ "zones": [{ "name": "before", "state": "open" }] });
        local_cluster::patch(&f, &val, "before").await.unwrap();
        // The machine is gone, disk and all; another takes the seat elsewhere.
        local_cluster::kill(&mut f.seats[2]);
        std::fs::remove_dir_all(f.layout.dir.join("seat-2")).unwrap();
        local_cluster::move_seat(&mut f, 2).unwrap();
        local_cluster::start(&mut f.seats[2]).unwrap();
        for seat in [0, 1] {
            local_cluster::kill(&mut f.seats[seat]);
            local_cluster::start(&mut f.seats[seat]).unwrap();
            assert!(local_cluster::until(LONG, || whole(&f, seat)).await, "seat {seat}");
            // Queriers have not heard of the new address, and serve on.
            for i in 0..f.queriers.len() {
                let serves = || async { ask(&f, i).await.is_some_and(|a| a.0 == 200) };
                assert!(local_cluster::until(LONG, serves).await, "querier {i}");
            }
        }
        assert!(local_cluster::until(LONG, || whole(&f, 2)).await, "the new seat did not relearn");
        for i in 0..f.queriers.len() {
            local_cluster::signal(&f.queriers[i], "TERM").unwrap();
            expect_that!(local_cluster::ended(&mut f.queriers[i], LONG), some(eq(0)));
            local_cluster::start(&mut f.queriers[i]).unwrap();
            assert!(
                local_cluster::until(LONG, || local_cluster::ready(&f, i)).await,
                "querier {i}"
            );
        }
        // The new seat counts: with another one down a change is accepted.
        local_cluster::kill(&mut f.seats[0]);
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = local_cluster::patch(&f, &val, "after").await.unwrap();
        for i in 0..f.queriers.len() {
            let obeys =
                || async { local_cluster::obeyed(&f, i).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(LONG, obeys).await,
                "querier {i} does not obey {revision}"
            );
        }
        let url = format!("http://{}/v1/config", f.doors[2]);
        let got =
            local_cluster::request(&f.http, Method::GET, url, Vec::new(), &[]).await.unwrap().1;
        let zones = got["config"]["zones"].to_string();
        expect_that!(zones, contains_substring("before"));
        expect_that!(zones, contains_substring("after"));
    });
}

#[googletest::test]
fn files_that_rot_under_a_running_controller_are_written_anew() {
    block(async {
        let mut f = local_cluster::up(layout("rot")).await.unwrap();
        all_ready(&f).await;
        let dir = f.layout.dir.join("seat-1/part-0");
        // Whatever lies on the disk is spoilt, as it lies there.
        for name in ["slot-0", "slot-1", "log"] {
            let path = dir.join(name);
            if let Ok(raw) = std::fs::read(&path) {
                use std::os::unix::fs::FileExt;
                let at = raw.len() / 2;
                let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
                file.write_all_at(&[raw[at] ^ 0x10], at as u64).unwrap();
            }
        }
        let door = f.doors[1];
        let found = async || metric(&f, door, "grebe_rotted_total").await > Some(0);
        assert!(local_cluster::until(2 * LONG, found).await, "nothing was found to have rotted");
        // What was found is being written: let it be whole before the kill.
        let get = |name: &str| std::fs::read(dir.join(name)).ok();
        let good = async || {
            let (zero, one, log) = (get("slot-0"), get("slot-1"), get("log"));
            let found = read(0, [zero.as_deref(), one.as_deref()], log.as_deref());
            matches!(found, Found::Good { .. })
        };
        assert!(local_cluster::until(LONG, good).await, "the files were not written anew");
        // It starts from its own files again, and sets nothing aside.
        local_cluster::kill(&mut f.seats[1]);
        local_cluster::start(&mut f.seats[1]).unwrap();
        assert!(local_cluster::until(LONG, || whole(&f, 1)).await);
        expect_that!(dir.join("damaged-0").exists(), eq(false));
    });
}

#[googletest::test]
fn a_flood_of_calls_is_bounced_at_the_door_urgent_last() {
    block(async {
        let f = local_cluster::up(layout("flood")).await.unwrap();
        all_ready(&f).await;
        let one = async |search: &str| {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let req = hyper::Request::post(format!("http://{}/v1/search/{search}", f.fronts[0]))
                .header("budget-ms", "900")
                .body(http_body_util::Full::from(r#"{"question": "q"}"#))
                .unwrap();
            let got = http.call(req, 1 << 20).await.ok()?;
            let again =
                got.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
            Some((got.status().as_u16(), again))
        };
        let ready = async || {
            let http = grebepath_runtime::http::client::HttpClient::new(1);
            let url = format!("http://{}/readyz", f.fronts[0]);
            local_cluster::text(&http, url).await.is_some()
        };
        let floods = (0..1_500).map(|_| one("browse")).collect();
        let alerts = (0..40).map(|_| one("alert")).collect();
        let (floods, alerts, ready) = tokio::join!(at_once(floods), at_once(alerts), ready());
        expect_that!(ready, eq(true));
        let full = |list: &[Option<(u16, Option<u64>)>]| {
            list.iter().flatten().filter(|c| c.0 == 200).count()
        };
        // Each call has its outcome; who is sent away is told when to come back.
        let mut told = std::collections::BTreeSet::new();
        for (code, again) in floods.iter().chain(&alerts).map(|c| c.expect("no outcome")) {
            if code != 200 {
                expect_that!(code, any!(eq(429), eq(503), eq(504)));
                expect_that!(again, some(all!(ge(1), le(30))));
                told.insert(again);
            }
        }
        expect_that!(told.len(), gt(2), "callers are told to come back together");
        expect_that!(full(&floods), all!(gt(20), lt(1_400)));
        let (f_pct, a_pct) = (full(&floods) * 100 / 1_500, full(&alerts) * 100 / 40);
        expect_that!(a_pct, gt(f_pct));
        // And then it is as if nothing had been.
        for n in 0..50 {
            expect_that!(one("browse").await.map(|c| c.0), some(eq(200)), "call {n}");
        }
    });
}

#[googletest::test]
fn whole_and_partial_changes_at_one_moment_lose_nothing() {
    block(async {
        let f = local_cluster::up(layout("race")).await.unwrap();
        all_ready(&f).await;
        let read = async || {
            let url = format!("http://{}/v1/config", f.doors[0]);
            local_cluster::request(&f.http, Method::GET, url, Vec::new(), &[]).await.unwrap().1
        };
        let mark = |name: &str| json!({ "name": name, "state": "open" });
        let (mut accepted, mut moved) = (Vec::new(), 0);
        for round in 0..4 {
            let old = read().await;
            let revision = old["revision"].as_u64().unwrap().to_string();
            let send = async |i: usize| {
                let name = format!("mark-{round}-{i}");
                let url = format!("http://{}/v1/config", f.doors[i % 3]);
                let mut heads = vec![("request-id", name.as_str())];
                let (how, body) = if i.is_multiple_of(2) {
                    let mut conf = old["config"].clone();
                    conf["zones"].as_array_mut().unwrap().push(mark(&name));
                    heads.push(("expect-revision", revision.as_str()));
                    (Method::PUT, conf)
                } else {
                    (Method::PATCH, json!({ "zones": [mark(&name)] }))
                };
                let body = body.to_string().into_bytes();
                let (code, val) =
                    local_cluster::request(&f.http, how, url, body, &heads).await.unwrap();
                (name, code, val["revision"].as_u64())
            };
            for (name, code, revision) in at_once((0..6).map(send).collect()).await {
                match code {
                    200 => accepted.push((name, revision.unwrap())),
                    // Somebody else was first: nothing was applied.
                    412 => moved += 1,
                    code => panic!("{name}: {code}"),
                }
            }
        }
        expect_that!(moved, gt(0), "no two changes met");
        let conf = read().await["config"].to_string();
        for (name, _) in &accepted {
            expect_that!(conf, contains_substring(format!("\"{name}\"")));
        }
        let revs: std::collections::BTreeSet<_> = accepted.iter().map(|a| a.1).collect();
        expect_that!(revs.len(), eq(accepted.len()), "two changes got one revision");
        let last = accepted.iter().map(|a| a.1).max().unwrap();
        for i in 0..f.queriers.len() {
            let obeys = || async { local_cluster::obeyed(&f, i).await.is_some_and(|r| r >= last) };
            assert!(local_cluster::until(LONG, obeys).await, "querier {i} does not obey {last}");
        }
    });
}
