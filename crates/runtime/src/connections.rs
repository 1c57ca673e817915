//! Connections to the controllers: one to each holder that the voter set names, and
//! to the seeds while nothing better is known.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepath_core::identifiers::VoterSlot;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_core::voter_set::{SlotHolder, VoterSet};
use tokio::sync::mpsc::UnboundedSender;

use crate::peer_connection::{ConnectionEvent, Greeting, MessageSender, dial};

/// How long a seed may take to say who it is before addresses of the voter set are
/// dialled beside it: a seed's own address may be only a way to the holder's.
const SEED_PATIENCE: Duration = Duration::from_millis(800);
/// Without a message from anyone for this long the seeds are tried again: all whom
/// we know may have been replaced meanwhile.
const SEEDS_AGAIN: Duration = Duration::from_secs(4);

/// The connections that a process keeps to controllers. Dropping one ends its task.
///
/// Invariant: `holder` of a connection is what its other end last said of itself;
/// zero before that.
pub struct Connections<T> {
    /// Our own address, if we are a controller: never dialled.
    own: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    greeting: Greeting,
    /// The tag under which messages of an address reach the owner.
    tag: fn(SocketAddr) -> T,
    events: UnboundedSender<ConnectionEvent<T>>,
    by_address: HashMap<SocketAddr, Connection>,
    began: Instant,
    last_message: Instant,
}

struct Connection {
    sender: MessageSender,
    holder: u64,
}

impl<T: Clone + 'static> Connections<T> {
    /// No connections yet; [`Connections::arrange`] begins with the seeds.
    ///
    /// `events` has no bound: a peer's messages come no faster than its connection
    /// carries them, and the owner handles each at once.
    pub fn new(
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
        greeting: Greeting,
        tag: fn(SocketAddr) -> T,
        events: UnboundedSender<ConnectionEvent<T>>,
    ) -> Connections<T> {
        let now = Instant::now();
        let mut connections = Connections {
            own,
            seeds: Vec::new(),
            greeting,
            tag,
            events,
            by_address: HashMap::new(),
            began: now,
            last_message: now,
        };
        connections.set_seeds(seeds);
        connections
    }

    /// Takes up other seeds: those that we began with may all be gone by now. They are dialled
    /// at the next [`Connections::arrange`] that needs any.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| Some(*seed) != self.own).collect();
    }

    /// Opens the connections that the voter set asks for and drops the others.
    pub fn arrange(&mut self, identity: PeerIdentity, voters: &VoterSet) {
        if identity != self.greeting.identity {
            // Each connection begins with who we are.
            self.by_address.clear();
            self.greeting.identity = identity;
        }
        let wanted = self.wanted(voters);
        self.by_address.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if !self.by_address.contains_key(&address) {
                let tag = (self.tag)(address);
                let sender = dial(address, self.greeting.clone(), tag, self.events.clone());
                self.by_address.insert(address, Connection { sender, holder: 0 });
            }
        }
    }

    /// The addresses to which there should be a connection.
    fn wanted(&self, voters: &VoterSet) -> Vec<SocketAddr> {
        let held: Vec<&SlotHolder> =
            voters.slots.iter().filter(|slot| slot.replica_id != 0).collect();
        let lost = self.last_message.elapsed() >= SEEDS_AGAIN;
        let is_voter = matches!(self.greeting.identity, PeerIdentity::Voter { .. });
        let early = self.began.elapsed() < SEED_PATIENCE && !is_voter;
        let mut wanted: Vec<SocketAddr> = Vec::new();
        if held.is_empty() || lost {
            wanted.extend(&self.seeds);
        } else if early {
            wanted.extend(self.seeds.iter().filter(|seed| self.is_silent(seed)));
        }
        let seeds_first = early && !wanted.is_empty();
        for slot in held {
            let known = self.address_of(slot.replica_id);
            let address = known.or_else(|| slot.addr.parse().ok().filter(|_| !seeds_first));
            wanted.extend(address.filter(|address| Some(*address) != self.own));
        }
        wanted
    }

    /// Whether nobody has said yet who is at an address.
    fn is_silent(&self, address: &SocketAddr) -> bool {
        self.by_address.get(address).is_none_or(|connection| connection.holder == 0)
    }

    /// The address at which a holder has said that it is there.
    fn address_of(&self, holder: u64) -> Option<SocketAddr> {
        let mut all = self.by_address.iter();
        all.find(|(_, connection)| connection.holder == holder).map(|(address, _)| *address)
    }
}

impl<T> Connections<T> {
    /// Notes a message that came on the connection that we keep to an address. Gives
    /// the holder that it said it is, or zero.
    pub fn note_message(&mut self, address: SocketAddr, message: &Message) -> u64 {
        let Some(connection) = self.by_address.get_mut(&address) else { return 0 };
        self.last_message = Instant::now();
        if let Message::VoterSetUpdate { replica_id: me, .. } = message {
            connection.holder = *me;
        }
        connection.holder
    }

    /// Notes that a voter spoke to us on a connection that it opened: we are not lost.
    pub fn note_contact(&mut self) {
        self.last_message = Instant::now();
    }

    /// Sends to the holder of a voter slot; drops the message when there is no
    /// connection to it.
    pub fn send_to_voter(&self, voters: &VoterSet, slot: VoterSlot, message: &Message) {
        let Some(slot) = voters.slots.get(usize::from(slot)).filter(|slot| slot.replica_id != 0)
        else {
            return;
        };
        let known =
            self.by_address.values().find(|connection| connection.holder == slot.replica_id);
        let by_address = || {
            let connection = self.by_address.get(&slot.addr.parse().ok()?)?;
            (connection.holder == 0).then_some(connection)
        };
        if let Some(connection) = known.or_else(by_address) {
            connection.sender.send(message);
        }
    }

    /// Sends on every connection.
    pub fn broadcast(&self, message: &Message) {
        for connection in self.by_address.values() {
            connection.sender.send(message);
        }
    }
}
