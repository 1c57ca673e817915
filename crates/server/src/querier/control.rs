//! The control thread: news, lease, membership and duties.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebepath_core::consts;
use grebepath_core::http_api::list;
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent, watch};
use grebepath_core::membership::step::{WAKE, step};
use grebepath_core::protocol::message::{LeafReport, Member, Message, PeerIdentity};
use grebepath_core::query::{engine, event};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::voter_set::seat_of;
use grebepath_runtime::clock::{Clock, duration};
use grebepath_runtime::connections::Connections;
use grebepath_runtime::http::client::HttpClient;
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, MessageSender, accept, dial};
use grebepath_runtime::platform_api::PlatformApi;
use grebepath_runtime::reload::SettingsWatch;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch as signal};
use tracing::{debug, warn};

use crate::params::Params;
use crate::traffic::Work;

/// What reaches the control thread.
pub enum Input {
    Word {
        service: String,
        word: LeafReport,
    },
    /// A poll has ended, after so many pages.
    List(Result<Vec<LeafInfo>, String>, u64),
    Counts(oneshot::Sender<crate::metrics::Control>),
    /// A traffic thread has nothing in hand any more.
    Drained,
}

/// The door for checks of readiness, if it is one of its own.
pub type Checks = Option<(std::net::TcpListener, signal::Receiver<bool>, crate::door::All)>;
/// Wakes between two looks at the ways to the core: a second.
const LOOK_WAKES: u32 = 20;

/// Which connection a message came on.
#[derive(Clone)]
enum Tag {
    Controller(SocketAddr),
    Member(String),
}

struct Io {
    me: String,
    fleet: u64,
    ways: Connections<Tag>,
    /// Wakes since the ways were last seen to.
    looked: u32,
    members: HashMap<String, (SocketAddr, MessageSender)>,
    desks: Vec<UnboundedSender<Work>>,
    ready: signal::Sender<bool>,
    view: signal::Sender<Arc<ClusterView>>,
    connections: UnboundedSender<ConnectionEvent<Tag>>,
    input: UnboundedSender<Input>,
    http: HttpClient,
    list: SocketAddr,
    dialect: Option<&'static PlatformApi>,
    probes: bool,
    polling: bool,
    /// When the list was last polled, and the pages it then had.
    polled: std::time::Instant,
    list_pages: u64,
    /// Calls a second that the platform takes from all nodes.
    list_rate: u64,
    /// Alarms told so far: each text once, then only counted.
    told: HashMap<String, u64>,
    shut: bool,
}

/// Serves until asked to stop and drained.
pub async fn serve(
    p: Params,
    clock: Clock,
    (inner, checks): (std::net::TcpListener, Checks),
    desks: Vec<UnboundedSender<Work>>,
    (ready, view): (signal::Sender<bool>, signal::Sender<Arc<ClusterView>>),
    tx: UnboundedSender<Input>,
    mut rx: UnboundedReceiver<Input>,
) -> Result<(), std::io::Error> {
    inner.set_nonblocking(true)?;
    let addr = inner.local_addr()?;
    let inner = tokio::net::TcpListener::from_std(inner)?;
    let (wire_tx, mut wire_rx) = tokio::sync::mpsc::unbounded_channel();
    let fleet = p.fleet;
    tokio::task::spawn_local(accept(inner, fleet, wire_tx.clone()));
    let me = Member {
        name: p.name.clone(),
        addr: p.advertise.unwrap_or(addr).to_string(),
        zone: p.zone.clone(),
        threads: p.threads,
        joined: 0,
        incarnation: grebepath_runtime::clock::nonce(),
    };
    let mut w = watch(me, clock.now());
    let mut patience = consts::DRAIN_MAX;
    if let Some(grace) = p.grace {
        w.drain_notice = grace * consts::NOTICE_PCT / 100;
        patience = grace.saturating_sub(consts::GRACE_KEEP);
    }
    if let (Some((listener, ready, all)), Some(dialect)) = (checks, p.dialect) {
        let own = (all, desks[0].clone());
        tokio::task::spawn_local(crate::door::check(listener, dialect.readiness_path, ready, own));
    }
    let greeting = Greeting { identity: PeerIdentity::Member(p.name.clone()), fleet };
    let ways = Connections::new(None, &p.seeds, greeting, Tag::Controller, wire_tx.clone());
    let mut io = Io {
        me: p.name.clone(),
        fleet,
        ways,
        looked: 0,
        members: HashMap::new(),
        desks,
        ready,
        view,
        connections: wire_tx,
        input: tx,
        http: HttpClient::new(2),
        list: p.list,
        dialect: p.dialect,
        probes: p.probes,
        polling: false,
        polled: std::time::Instant::now(),
        list_pages: 0,
        list_rate: p.list_rate,
        told: HashMap::new(),
        shut: false,
    };
    let mut files = SettingsWatch::new(p.file.as_deref());
    see_to(&mut io, &w);
    let mut wake = tokio::time::interval(duration(WAKE));
    wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stop = grebepath_runtime::stop::requested();
    tokio::pin!(stop);
    let mut stopping = false;
    let mut left = io.desks.len();
    let mut asked = false;
    let mut until = tokio::time::Instant::now();
    loop {
        let event = tokio::select! {
            biased;
            _ = &mut stop, if !stopping => {
                stopping = true;
                until = tokio::time::Instant::now() + duration(patience);
                for desk in &io.desks {
                    let _ = desk.send(Work::Leaving);
                }
                Some(Event::Stop)
            }
            _ = files.changed() => {
                reread(&io);
                None
            }
            _ = wake.tick() => {
                io.looked += 1;
                if io.looked.is_multiple_of(LOOK_WAKES) {
                    see_to(&mut io, &w);
                }
                Some(Event::Wake)
            }
            Some(input) = rx.recv() => match input {
                Input::Word { service, word } => Some(Event::LeafReport { service, report: word }),
                Input::List(got, pages) => {
                    io.polling = false;
                    io.list_pages = pages.max(io.list_pages / 2);
                    Some(Event::LeafList(got))
                }
                Input::Counts(tell) => {
                    let _ = tell.send(crate::metrics::control(&w));
                    None
                }
                Input::Drained => {
                    left -= 1;
                    None
                }
            },
            Some(event) = wire_rx.recv() => heard(&mut io, &w, event),
        };
        if let Some(event) = event {
            let todo = step(&mut w, clock.now(), event);
            carry_out(&mut io, &w, todo);
        }
        if io.shut && !asked {
            asked = true;
            for desk in &io.desks {
                let _ = desk.send(Work::Drain);
            }
        }
        if stopping && (left == 0 || tokio::time::Instant::now() >= until) {
            break;
        }
    }
    // Gives the lease back, so that our share is free at once.
    let todo = step(&mut w, clock.now(), Event::Drained);
    carry_out(&mut io, &w, todo);
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Takes up what of the params may change under a running process. Wrong ones
/// change nothing.
fn reread(io: &Io) {
    match crate::params::again() {
        Ok(p) => {
            for desk in &io.desks {
                let _ = desk.send(Work::Event(event::Event::RetryRate(p.rate)));
            }
        }
        Err(all) => {
            for f in all {
                warn!(me = io.me, "changed params are not taken up: {f}");
            }
        }
    }
}

/// Opens and drops connections to the core as the table of the seats asks.
fn see_to(io: &mut Io, w: &NodeAgent) {
    let who = PeerIdentity::Member(io.me.clone());
    io.ways.arrange(who, &w.voter_set);
}

fn heard(io: &mut Io, w: &NodeAgent, event: ConnectionEvent<Tag>) -> Option<Event> {
    match event {
        ConnectionEvent::Received { tag: Tag::Controller(addr), message } => {
            let holder = io.ways.note_message(addr, &message);
            match message {
                Message::VoterSetUpdate { table, .. } => Some(Event::VoterSet(table)),
                // Who has no seat has no say.
                message => seat_of(&w.voter_set, holder)
                    .map(|seat| Event::FromVoter { slot: seat, message }),
            }
        }
        ConnectionEvent::Received { tag: Tag::Member(name), message }
        | ConnectionEvent::ReceivedFromAccepted {
            identity: PeerIdentity::Member(name),
            message,
            ..
        } => Some(Event::FromMember { name, message }),
        ConnectionEvent::Accepted { connection, identity: who, .. } => {
            debug!(connection, ?who, "wire opened");
            None
        }
        ConnectionEvent::ReceivedFromAccepted { .. } | ConnectionEvent::Closed { .. } => None,
        ConnectionEvent::Failed { error } => {
            alarm(io, &error.to_string());
            None
        }
    }
}

fn carry_out(io: &mut Io, w: &NodeAgent, todo: Vec<Command>) {
    for command in todo {
        match command {
            Command::ToVoter { slot: seat, message } => {
                io.ways.send_to_voter(&w.voter_set, seat, &message);
            }
            Command::Broadcast { message } => io.ways.broadcast(&message),
            Command::VoterSetChanged => see_to(io, w),
            Command::ToMember { name, addr, message } => to_member(io, name, &addr, &message),
            Command::ClusterView(view) => {
                io.members.retain(|n, _| w.membership.members.iter().any(|m| m.name == *n));
                for desk in &io.desks {
                    let _ = desk.send(Work::Event(event::Event::ClusterView(view.clone())));
                }
                let _ = io.view.send(view);
            }
            Command::QuotaMembers(list) => {
                for (i, desk) in io.desks.iter().enumerate() {
                    let share =
                        grebepath_core::query::quota::QuotaShare::new(&list, &io.me, i as u32);
                    let _ = desk.send(Work::Event(event::Event::QuotaShare(share)));
                }
            }
            Command::LeafClients(list) => {
                let peers = grebepath_core::query::quota::peers(&list);
                for desk in &io.desks {
                    let _ = desk.send(Work::Event(event::Event::Peers(peers.clone())));
                }
            }
            Command::Admission(door) => {
                io.shut |= door == engine::ServingState::ShuttingDown;
                for desk in &io.desks {
                    let _ = desk.send(Work::Event(event::Event::ServingState(door)));
                }
            }
            Command::ServingUntil(until) => {
                for desk in &io.desks {
                    let _ = desk.send(Work::Event(event::Event::LeaseValidUntil(until)));
                }
            }
            Command::Ready(ready) => {
                let _ = io.ready.send(ready);
            }
            Command::PollLeafList => poll(io),
            Command::ProbeLeafs(list) if io.probes => probe(io, list),
            Command::ProbeLeafs(_) => {}
            Command::Alarm(text) => alarm(io, &text),
        }
    }
}

/// Tells an alarm once; the same again goes to the ring, with its count.
fn alarm(io: &mut Io, text: &str) {
    if io.told.len() > consts::ALARMS_KEPT {
        io.told.clear();
    }
    let n = io.told.entry(text.to_string()).or_default();
    *n += 1;
    if *n == 1 {
        warn!(me = io.me, "{text}");
    } else {
        debug!(n, "{text}");
    }
}

fn to_member(io: &mut Io, name: String, addr: &str, message: &Message) {
    let Ok(addr) = addr.parse::<SocketAddr>() else { return };
    let known = io.members.get(&name).is_some_and(|(a, _)| *a == addr);
    if !known {
        let identity = PeerIdentity::Member(io.me.clone());
        let greeting = Greeting { identity, fleet: io.fleet };
        let out = dial(addr, greeting, Tag::Member(name.clone()), io.connections.clone());
        io.members.insert(name.clone(), (addr, out));
    }
    if let Some((_, out)) = io.members.get(&name) {
        out.send(message);
    }
}

/// Probes leafs, all at once: each is a small request.
fn probe(io: &Io, list: Vec<Arc<LeafInfo>>) {
    for info in list {
        let (http, input) = (io.http.clone(), io.input.clone());
        tokio::task::spawn_local(async move {
            if let Some(word) = crate::leafs::probe(&http, &info).await {
                let _ = input.send(Input::Word { service: info.service.clone(), word });
            }
        });
    }
}

/// Polls the platform's list, one poll at a time.
fn poll(io: &mut Io) {
    // A quarter of what the platform allows, pages counted: others poll too.
    let pause = io.list_pages * 4_000 / io.list_rate.max(1);
    if io.polling || io.polled.elapsed() < Duration::from_millis(pause) {
        return;
    }
    io.polling = true;
    io.polled = std::time::Instant::now();
    let (http, addr, input) = (io.http.clone(), io.list, io.input.clone());
    let dialect = io.dialect;
    tokio::task::spawn_local(async move {
        let got = match dialect {
            Some(dialect) => pages(&http, addr, dialect).await,
            None => fetch(&http, addr).await.map(|list| (list, 1)),
        };
        let (got, pages) = match got {
            Ok((list, pages)) => (Ok(list), pages),
            Err(why) => (Err(why), 0),
        };
        let _ = input.send(Input::List(got, pages));
    });
}

/// Reads a list in another manner, page by page. Only a whole list is one.
async fn pages(
    http: &HttpClient,
    addr: SocketAddr,
    d: &PlatformApi,
) -> Result<(Vec<LeafInfo>, u64), String> {
    let mut out: Vec<LeafInfo> = Vec::new();
    let mut next: Option<String> = None;
    for n in 1..=consts::LIST_PAGES {
        let path = (d.list_path)(next.as_deref());
        let mut body = get(http, addr, &path).await;
        for _ in 0..consts::LIST_AGAIN {
            if body.as_ref().err().is_none_or(|why| why != TOO_MANY) {
                break;
            }
            tokio::time::sleep(duration(consts::LIST_HURRY)).await;
            body = get(http, addr, &path).await;
        }
        let body = body?;
        let page = (d.read_list_page)(&body).map_err(|f| f.to_string())?;
        for f in page.diagnostics {
            debug!("the platform's list: {f}");
        }
        // A leaf may move from page to page while they are read.
        for leaf in page.leafs {
            if !out.iter().any(|l| l.leaf == leaf.leaf) {
                out.push(leaf);
            }
        }
        match page.next_page {
            None => return Ok((out, n as u64)),
            next_page => next = next_page,
        }
    }
    Err("the list has no end".into())
}

/// The list was asked too often.
const TOO_MANY: &str = "asked too often";

async fn get(http: &HttpClient, addr: SocketAddr, path: &str) -> Result<bytes::Bytes, String> {
    let req = Request::get(format!("http://{addr}{path}"))
        .body(Full::default())
        .map_err(|e| e.to_string())?;
    let wait = duration(consts::LIST_PATIENCE);
    let resp = http.call_within(req, consts::LIST_LIMIT, wait).await.map_err(|e| e.to_string())?;
    match resp.status().as_u16() {
        200 => Ok(resp.into_body()),
        429 => Err(TOO_MANY.into()),
        code => Err(format!("status {code}")),
    }
}

async fn fetch(http: &HttpClient, addr: SocketAddr) -> Result<Vec<LeafInfo>, String> {
    let body = get(http, addr, list::PATH).await?;
    let (leafs, all) = list::read(&body).map_err(|f| f.to_string())?;
    for f in all {
        warn!("the platform's list: {f}");
    }
    Ok(leafs)
}
