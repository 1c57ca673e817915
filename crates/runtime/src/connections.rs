//! Connections to the controllers: one to each holder of a voter slot, and to the seeds as long as
//! the voter set is unknown or out of reach.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use grebepath_core::identifiers::VoterSlot;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_core::voter_set::{SlotHolder, VoterSet};
use tokio::sync::mpsc::UnboundedSender;

use crate::peer_connection::{ConnectionEvent, Greeting, MessageSender, dial};

/// Time for a seed to identify itself before the addresses in the voter set are dialled as well: a
/// seed's address may lead to the same controller as an address in the voter set.
const SEED_GREETING_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without any message after which the seeds are dialled again: all known controllers may have
/// been replaced.
const SEED_FALLBACK_TIMEOUT: Duration = Duration::from_secs(4);

/// The connections that a process keeps to controllers. Dropping a connection ends its task.
///
/// Invariant: `holder` of a connection is the replica id that its peer last reported, or zero
/// before the first report.
pub struct Connections<T> {
    /// The address of this process if it is a controller. It is never dialled.
    own_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    greeting: Greeting,
    /// Maps an address to the tag of its events.
    tag: fn(SocketAddr) -> T,
    events: UnboundedSender<ConnectionEvent<T>>,
    by_address: HashMap<SocketAddr, Connection>,
    started_at: Instant,
    last_message: Instant,
}

struct Connection {
    sender: MessageSender,
    holder: u64,
}

impl<T: Clone + 'static> Connections<T> {
    /// Creates an empty set of connections. [`Connections::arrange`] dials the seeds first.
    ///
    /// `events` is unbounded: the connections' bandwidth limits the rate of the messages, and the
    /// receiver handles each of them immediately.
    pub fn new(
        own_address: Option<SocketAddr>,
        seeds: &[SocketAddr],
        greeting: Greeting,
        tag: fn(SocketAddr) -> T,
        events: UnboundedSender<ConnectionEvent<T>>,
    ) -> Connections<T> {
        let now = Instant::now();
        let mut connections = Connections {
            own_address,
            seeds: Vec::new(),
            greeting,
            tag,
            events,
            by_address: HashMap::new(),
            started_at: now,
            last_message: now,
        };
        connections.set_seeds(seeds);
        connections
    }

    /// Replaces the seeds, since all of the initial ones may have been removed. The new seeds are
    /// dialled at the next [`Connections::arrange`] that needs seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| Some(*seed) != self.own_address).collect();
    }

    /// Opens the missing connections to the holders in the voter set, and drops all others.
    pub fn arrange(&mut self, identity: PeerIdentity, voters: &VoterSet) {
        if identity != self.greeting.identity {
            // The greeting of a connection carries the identity, so all must be opened again.
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

    /// Returns the addresses that should have a connection.
    fn wanted(&self, voters: &VoterSet) -> Vec<SocketAddr> {
        let held: Vec<&SlotHolder> =
            voters.slots.iter().filter(|slot| slot.replica_id != 0).collect();
        let is_isolated = self.last_message.elapsed() >= SEED_FALLBACK_TIMEOUT;
        let is_voter = matches!(self.greeting.identity, PeerIdentity::Voter { .. });
        let is_starting = self.started_at.elapsed() < SEED_GREETING_TIMEOUT && !is_voter;
        let mut wanted: Vec<SocketAddr> = Vec::new();
        if held.is_empty() || is_isolated {
            wanted.extend(&self.seeds);
        } else if is_starting {
            wanted.extend(self.seeds.iter().filter(|seed| self.is_unidentified(seed)));
        }
        let seeds_first = is_starting && !wanted.is_empty();
        for slot in held {
            let known = self.address_of(slot.replica_id);
            let address = known.or_else(|| slot.addr.parse().ok().filter(|_| !seeds_first));
            wanted.extend(address.filter(|address| Some(*address) != self.own_address));
        }
        wanted
    }

    /// Whether the peer at an address has not identified itself yet.
    fn is_unidentified(&self, address: &SocketAddr) -> bool {
        self.by_address.get(address).is_none_or(|connection| connection.holder == 0)
    }

    /// Returns the address at which a holder has identified itself.
    fn address_of(&self, holder: u64) -> Option<SocketAddr> {
        let mut all = self.by_address.iter();
        all.find(|(_, connection)| connection.holder == holder).map(|(address, _)| *address)
    }
}

impl<T> Connections<T> {
    /// Records a message received on the connection to an address. Returns the replica id that the
    /// peer has reported, or zero.
    pub fn note_message(&mut self, address: SocketAddr, message: &Message) -> u64 {
        let Some(connection) = self.by_address.get_mut(&address) else { return 0 };
        self.last_message = Instant::now();
        if let Message::VoterSetUpdate { replica_id: me, .. } = message {
            connection.holder = *me;
        }
        connection.holder
    }

    /// Records a message from a voter on a connection that the voter opened. It shows that this
    /// process is not isolated.
    pub fn note_contact(&mut self) {
        self.last_message = Instant::now();
    }

    /// Sends a message to the holder of a voter slot. Drops it if there is no connection to the
    /// holder.
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

    /// Sends a message on every connection.
    pub fn broadcast(&self, message: &Message) {
        for connection in self.by_address.values() {
            connection.sender.send(message);
        }
    }
}
