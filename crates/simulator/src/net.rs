//! The simulated network: latency by zone, loss, and partitions
//! in each direction.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::protocol::frame::encode;
use grebepath_core::protocol::message::Message;
use grebepath_core::random::Random;
use grebepath_core::time::{Span, Tick};

/// A machine on the network.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Node {
    /// A controller's machine, by its number.
    Controller(u8),
    /// A querier's machine, by its number.
    Querier(usize),
    /// The platform's list.
    List,
}

/// A machine and its zone.
#[derive(Clone, Copy)]
pub struct Endpoint<'a> {
    /// The machine.
    pub node: Node,
    /// Its zone.
    pub zone: &'a str,
}

/// The messages of a kind, and their size.
#[derive(Clone, Copy, Default, Debug)]
pub struct MessageCount {
    /// Messages (count).
    pub messages: u64,
    /// Their encoded size (bytes).
    pub bytes: u64,
}

/// The simulated network.
///
/// Invariant: between two nodes, in one direction, messages arrive in the
/// order in which they were sent, as on one connection.
#[derive(Default)]
pub struct Net {
    /// Pairs between which no messages pass, in one direction each.
    pub blocked: BTreeSet<(Node, Node)>,
    /// Messages lost at random (per mille).
    pub loss_per_mille: u64,
    /// Added to the latency of every message.
    pub extra_latency: Span,
    /// Arrival time of the last message of each direction.
    last_arrivals: BTreeMap<(Node, Node), Tick>,
    /// Messages that were sent, including lost ones.
    pub sent: u64,
    /// Messages that were lost.
    pub lost: u64,
    /// Messages by link and kind, if they are counted.
    pub message_counts: Option<BTreeMap<String, MessageCount>>,
    /// Running hash of the bytes and times of all messages, if enabled.
    pub trace: Option<u64>,
}

impl Net {
    /// Adds a message to the hash and to the counts, if these are enabled.
    pub fn record(&mut self, link: &str, message: &Message) {
        if let Some(hash) = self.trace {
            self.trace = Some(traced(hash, &encode(message)));
        }
        if let Some(counts) = &mut self.message_counts {
            let text = format!("{message:?}");
            let kind = text.split([' ', '(', '{']).next().unwrap_or_default();
            let count = counts.entry(format!("{link} {kind}")).or_default();
            count.messages += 1;
            count.bytes += encode(message).len() as u64;
        }
    }

    /// Returns when a message that is sent now arrives; `None` if it is lost.
    pub fn send(
        &mut self,
        now: Tick,
        from: Endpoint,
        to: Endpoint,
        random: &mut Random,
    ) -> Option<Tick> {
        self.sent += 1;
        let direction = (from.node, to.node);
        if self.blocked.contains(&direction)
            || (self.loss_per_mille > 0 && random.chance(self.loss_per_mille, 1000))
        {
            self.lost += 1;
            return None;
        }
        let at = now + latency(from.zone, to.zone, random) + self.extra_latency;
        let last = self.last_arrivals.entry(direction).or_insert(0);
        *last = at.max(*last + 1);
        if let Some(hash) = self.trace {
            self.trace = Some(traced(hash, &last.to_le_bytes()));
        }
        Some(*last)
    }

    /// Delays the messages that one node sends to another from now on until after `until`.
    pub fn hold(&mut self, from: Node, to: Node, until: Tick) {
        let last = self.last_arrivals.entry((from, to)).or_insert(0);
        *last = until.max(*last);
    }

    /// Ends all network faults.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.loss_per_mille = 0;
        self.extra_latency = 0;
    }

    /// Partitions two nodes, in both directions.
    pub fn partition(&mut self, a: Node, b: Node) {
        if a != b {
            self.blocked.insert((a, b));
            self.blocked.insert((b, a));
        }
    }
}

/// Adds bytes to a running hash (FNV-1a, 64 bits).
pub fn traced(hash: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Draws the one-way latency between two zones (us).
pub fn latency(a: &str, b: &str, random: &mut Random) -> Span {
    if a == b { 80 + random.below(80) } else { 500 + random.below(1_000) }
}
