//! What members say to each other directly: how old their word from the
//! controllers is, and how far they are.

use crate::identifiers::CONFIG;
use crate::membership::lease::RENEWAL_OVERDUE;
use crate::membership::node_agent::{Command, NodeAgent};
use crate::membership::peer::{PEER_TIMEOUT, Peer};
use crate::protocol::membership::Attestation;
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{MILLI, SECOND, Span, Tick, ms, since};

/// How often members speak with each other when the controllers are not heard:
/// between `attestation::ATTEST_AFTER` and the end of a lease lie six rounds. Members'
/// last renewals lie up to one renewal (two rounds) apart, which leaves four for proofs
/// to go from neighbour to neighbour.
pub(super) const GOSSIP_INTERVAL: Span = ms(250);

/// How often they do while the controllers are heard: nothing rests on it then, and this
/// only finds connections that have died before they are needed.
const HEALTHY_GOSSIP_INTERVAL: Span = 2 * SECOND;

/// A member is forgotten after this many times the silence in which it counts.
const PEER_RETENTION_TIMEOUTS: u64 = 4;

/// A gossip message of a member, without its question.
pub(super) struct Gossip {
    pub(super) core_age_ms: u64,
    pub(super) ready: bool,
    pub(super) positions: Vec<FeedPosition>,
    /// When the sender asked, by its clock.
    pub(super) asked: Option<Tick>,
    /// When we asked what this answers, by our clock.
    pub(super) echo: Option<Tick>,
    pub(super) attestation: Option<Attestation>,
}

impl NodeAgent {
    /// Members that answered us lately.
    pub(super) fn responsive_peers(&self, now: Tick) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| since(peer.request_sent_at, now) < PEER_TIMEOUT)
    }

    /// Until when most of our neighbourhood, ourselves counted, hears us.
    pub(super) fn neighbour_majority_until(&self) -> Tick {
        let neighbours = &self.ring.neighbours;
        // The fewest others with whom we are more than half.
        let needed = neighbours.len().div_ceil(2);
        if needed == 0 {
            return Tick::MAX;
        }
        let mut request_sent_at: Vec<Tick> = neighbours
            .iter()
            .filter_map(|name| self.peers.get(name).map(|peer| peer.request_sent_at))
            .collect();
        request_sent_at.sort_unstable_by(|a, b| b.cmp(a));
        request_sent_at.get(needed - 1).map_or(0, |at| at + PEER_TIMEOUT)
    }

    /// Asks the neighbours: seldom while the controllers are heard, since only who
    /// lacks their word needs company.
    pub(super) fn gossip(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let calm = self.lease.granted && !self.must_attest(now);
        let period = if calm { HEALTHY_GOSSIP_INTERVAL } else { GOSSIP_INTERVAL };
        if now < self.last_gossip_at + period {
            return;
        }
        self.last_gossip_at = now;
        let asked = if calm { &self.ring.neighbours } else { &self.ring.proof_peers };
        for name in asked {
            self.send_to_member(name, self.gossip_request(now), commands);
        }
        self.peers.retain(|_, peer| {
            since(peer.request_sent_at, now) < PEER_TIMEOUT * PEER_RETENTION_TIMEOUTS
        });
    }

    /// A question to another member. How far we are is said in answers alone: who
    /// asks learns it, and asks for itself.
    fn gossip_request(&self, now: Tick) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            core_age_ms: self.time_since_renewal(now) / MILLI,
            ready: self.ready,
            positions: Vec::new(),
            asked: Some(now),
            echo: None,
            attestation: None,
        }
    }

    /// The answer to a question that was asked at `echo`, by the asker's clock.
    fn gossip_response(&self, now: Tick, echo: Tick, attestation: Option<Attestation>) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            core_age_ms: self.time_since_renewal(now) / MILLI,
            ready: self.ready,
            positions: self.positions(),
            asked: None,
            echo: Some(echo),
            attestation,
        }
    }

    /// Another member asks us, or answers our question.
    pub(super) fn on_gossip(
        &mut self,
        now: Tick,
        name: &str,
        gossip: Gossip,
        commands: &mut Vec<Command>,
    ) {
        let Gossip { core_age_ms, ready, positions, asked, echo, attestation } = gossip;
        let is_behind = positions.iter().any(|theirs| {
            self.partitions.get(&theirs.partition).is_some_and(|p| p.revision < theirs.revision)
        });
        let mut is_ahead = is_behind;
        let configuration =
            positions.iter().find(|p| p.partition == CONFIG).map_or(0, |p| p.revision);
        self.record_known_revision(configuration);
        if let (Some(echo), Some(attestation)) = (echo, &attestation) {
            is_ahead |= self.on_attestation(echo, attestation, is_behind);
        }
        if let Some(echo) = echo {
            let time_since_renewal = ms(core_age_ms);
            self.on_gossip_response(
                name,
                Peer { request_sent_at: echo, time_since_renewal, positions, ready },
            );
        }
        if let Some(asked) = asked {
            let attestation = self.attest(now);
            if attestation.is_some() {
                // Who begins to serve by our word must not use leafs that we know to leave.
                self.pass_on_urgent_reports(name, commands);
            }
            let answer = self.gossip_response(now, asked, attestation);
            self.send_to_member(name, answer, commands);
        }
        // Ask a member only for what the controllers did not bring us in time.
        let overdue = self.time_since_renewal(now) >= RENEWAL_OVERDUE;
        if is_ahead && configuration > 0 && overdue {
            let message =
                Message::Subscribe { positions: self.positions(), stamp: self.voter_set_stamp };
            self.send_to_member(name, message, commands);
        }
    }

    /// Takes in what a member answered, unless it answered a later question before.
    fn on_gossip_response(&mut self, name: &str, peer: Peer) {
        if self.peers.get(name).is_none_or(|known| known.request_sent_at <= peer.request_sent_at) {
            self.peers.insert(name.to_string(), peer);
        }
    }
}
