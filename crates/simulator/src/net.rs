//! The net under the virtual clock: latency by zone, loss, cuts each way.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::protocol::message::Message;
use grebepath_core::random::Random;
use grebepath_core::time::{Span, Tick};

/// A machine on the net.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Node {
    Controller(u8),
    Querier(usize),
    /// The platform's list.
    List,
}

/// State of the net.
///
/// Invariant: between two nodes, in one direction, messages arrive in the
/// order in which they were sent, as on one connection.
#[derive(Default)]
pub struct Net {
    /// Directed pairs that nothing passes.
    pub cuts: BTreeSet<(Node, Node)>,
    /// Messages lost, in thousandths.
    pub loss: u64,
    /// Added to every message.
    pub slow: Span,
    last: BTreeMap<(Node, Node), Tick>,
    pub sent: u64,
    pub lost: u64,
    /// Messages and bytes by kind and by what carries them, if they are weighed.
    pub weights: Option<BTreeMap<String, (u64, u64)>>,
    /// A running hash of the bytes and times of all messages, if it is kept.
    pub trace: Option<u64>,
}

impl Net {
    /// Weighs a message, if messages are weighed.
    pub fn weigh(&mut self, way: &str, message: &Message) {
        if let Some(hash) = self.trace {
            self.trace = Some(traced(hash, &grebepath_core::protocol::frame::encode(message)));
        }
        if let Some(all) = &mut self.weights {
            let text = format!("{message:?}");
            let kind = text.split([' ', '(', '{']).next().unwrap_or_default();
            let cell = all.entry(format!("{way} {kind}")).or_default();
            cell.0 += 1;
            cell.1 += grebepath_core::protocol::frame::encode(message).len() as u64;
        }
    }

    /// When a message sent now arrives, if it does.
    pub fn send(
        &mut self,
        now: Tick,
        from: (Node, &str),
        to: (Node, &str),
        random: &mut Random,
    ) -> Option<Tick> {
        self.sent += 1;
        let pair = (from.0, to.0);
        if self.cuts.contains(&pair) || (self.loss > 0 && random.chance(self.loss, 1000)) {
            self.lost += 1;
            return None;
        }
        let at = now + latency(from.1, to.1, random) + self.slow;
        let last = self.last.entry(pair).or_insert(0);
        *last = at.max(*last + 1);
        if let Some(hash) = self.trace {
            self.trace = Some(traced(hash, &last.to_le_bytes()));
        }
        Some(*last)
    }

    /// Cuts two nodes off from each other, both ways.
    pub fn cut(&mut self, a: Node, b: Node) {
        if a != b {
            self.cuts.insert((a, b));
            self.cuts.insert((b, a));
        }
    }
}

/// Adds bytes to a running hash (FNV-1a, 64 bits).
pub fn traced(hash: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// One way between two zones, in microseconds.
pub fn latency(a: &str, b: &str, random: &mut Random) -> Span {
    if a == b { 80 + random.below(80) } else { 500 + random.below(1_000) }
}
