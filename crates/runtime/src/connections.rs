//! Ways to the core: one connection to each controller that the table of the seats
//! names, and to the seeds while nothing better is known.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepath_core::identifiers::VoterSlot;
use grebepath_core::protocol::message::{Message, PeerIdentity};
use grebepath_core::voter_set::{SlotHolder, VoterSet};
use tokio::sync::mpsc::UnboundedSender;

use crate::peer_connection::{Out, WireEvent, dial, send};

/// How long a seed may take to say who it is before addresses of the table are
/// dialled beside it: a seed's own address may be only a way to the holder's.
const SEED_PATIENCE: Duration = Duration::from_millis(800);
/// Without a word from anyone for this long the seeds are tried again: all whom
/// we know may have been replaced meanwhile.
const SEEDS_AGAIN: Duration = Duration::from_secs(4);

/// The connections that a process keeps to controllers.
///
/// Invariant: `holder` of a connection is what its other end last said of itself;
/// zero before that.
pub struct Ways<T> {
    /// Our own address, if we are a controller: never dialled.
    own: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    who: PeerIdentity,
    fleet: u64,
    tag: fn(SocketAddr) -> T,
    events: UnboundedSender<WireEvent<T>>,
    connections: HashMap<SocketAddr, Way>,
    began: Instant,
    heard: Instant,
}

struct Way {
    out: Out,
    holder: u64,
}

/// Ways that begin with the seeds.
pub fn ways<T: Clone + 'static>(
    own: Option<SocketAddr>,
    seeds: &[SocketAddr],
    (who, fleet): (PeerIdentity, u64),
    tag: fn(SocketAddr) -> T,
    events: UnboundedSender<WireEvent<T>>,
) -> Ways<T> {
    let now = Instant::now();
    let seeds = seeds.iter().copied().filter(|a| Some(*a) != own).collect();
    let connections = HashMap::new();
    Ways { own, seeds, who, fleet, tag, events, connections, began: now, heard: now }
}

/// Opens the connections that the table asks for and drops the others.
pub fn arrange<T: Clone + 'static>(w: &mut Ways<T>, who: PeerIdentity, table: &VoterSet) {
    if who != w.who {
        // Each connection begins with who we are.
        w.connections.clear();
        w.who = who;
    }
    let held: Vec<&SlotHolder> = table.slots.iter().filter(|h| h.holder != 0).collect();
    let lost = w.heard.elapsed() >= SEEDS_AGAIN;
    let mut want: Vec<SocketAddr> = Vec::new();
    let early = w.began.elapsed() < SEED_PATIENCE && !matches!(w.who, PeerIdentity::Voter { .. });
    let silent = |a: &SocketAddr| w.connections.get(a).is_none_or(|w| w.holder == 0);
    if held.is_empty() || lost {
        want.extend(&w.seeds);
    } else if early {
        want.extend(w.seeds.iter().filter(|a| silent(a)));
    }
    let waits = early && !want.is_empty();
    for h in held {
        let known = w.connections.iter().find(|(_, way)| way.holder == h.holder).map(|(a, _)| *a);
        let addr = known.or_else(|| h.addr.parse().ok().filter(|_| !waits));
        want.extend(addr.filter(|a| Some(*a) != w.own));
    }
    w.connections.retain(|a, _| want.contains(a));
    for addr in want {
        if !w.connections.contains_key(&addr) {
            let out = dial(addr, (w.who.clone(), w.fleet), (w.tag)(addr), w.events.clone());
            w.connections.insert(addr, Way { out, holder: 0 });
        }
    }
}

/// Something came on the connection that we keep to an address. Gives the holder
/// that it said it is, or zero.
pub fn heard<T>(w: &mut Ways<T>, addr: SocketAddr, message: &Message) -> u64 {
    let Some(way) = w.connections.get_mut(&addr) else { return 0 };
    w.heard = Instant::now();
    if let Message::VoterSetUpdate { me, .. } = message {
        way.holder = *me;
    }
    way.holder
}

/// A seat spoke to us on a connection of its own: we are not lost.
pub fn spoken<T>(w: &mut Ways<T>) {
    w.heard = Instant::now();
}

/// Sends to the holder of a seat.
pub fn to_seat<T>(w: &Ways<T>, table: &VoterSet, seat: VoterSlot, message: &Message) {
    let Some(h) = table.slots.get(usize::from(seat)).filter(|h| h.holder != 0) else { return };
    let known = w.connections.values().find(|way| way.holder == h.holder);
    let by_addr = || {
        let way = w.connections.get(&h.addr.parse().ok()?)?;
        (way.holder == 0).then_some(way)
    };
    if let Some(way) = known.or_else(by_addr) {
        send(&way.out, message);
    }
}

/// Sends on every connection.
pub fn to_all<T>(w: &Ways<T>, message: &Message) {
    for way in w.connections.values() {
        send(&way.out, message);
    }
}
