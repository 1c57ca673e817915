//! What members say to each other directly: how old their word from the
//! controllers is, and how far they are.

use crate::identifiers::CONFIG;
use crate::membership::lease::RENEWAL_OVERDUE;
use crate::membership::node_agent::{Command, NodeAgent};
use crate::membership::peer::{PEER_SILENCE, Peer};
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
const CALM_GOSSIP_INTERVAL: Span = 2 * SECOND;

/// A member is forgotten after this many times the silence in which it counts.
const FORGET_AFTER_SILENCES: u64 = 4;

/// A gossip message of a member, without its question.
pub(super) struct Gossip {
    pub(super) controller_contact_age_ms: u64,
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
    pub(super) fn heard_peers(&self, now: Tick) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| since(peer.asked_at, now) < PEER_SILENCE)
    }

    /// Until when most of our neighbourhood, ourselves counted, hears us.
    pub(super) fn accompanied_until(&self) -> Tick {
        let neighbours = &self.ring.neighbours;
        // The fewest others with whom we are more than half.
        let needed = neighbours.len().div_ceil(2);
        if needed == 0 {
            return Tick::MAX;
        }
        let mut asked_at: Vec<Tick> = neighbours
            .iter()
            .filter_map(|name| self.peers.get(name).map(|peer| peer.asked_at))
            .collect();
        asked_at.sort_unstable_by(|a, b| b.cmp(a));
        asked_at.get(needed - 1).map_or(0, |at| at + PEER_SILENCE)
    }

    /// Asks the neighbours: seldom while the controllers are heard, since only who
    /// lacks their word needs company.
    pub(super) fn gossip(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let calm = self.lease.granted && !self.is_restless(now);
        let period = if calm { CALM_GOSSIP_INTERVAL } else { GOSSIP_INTERVAL };
        if now < self.gossiped_at + period {
            return;
        }
        self.gossiped_at = now;
        let asked = if calm { &self.ring.neighbours } else { &self.ring.proof_peers };
        for name in asked {
            self.send_to_member(name, self.gossip_question(now), commands);
        }
        self.peers
            .retain(|_, peer| since(peer.asked_at, now) < PEER_SILENCE * FORGET_AFTER_SILENCES);
    }

    /// A question to another member. How far we are is said in answers alone: who
    /// asks learns it, and asks for itself.
    fn gossip_question(&self, now: Tick) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            controller_contact_age_ms: self.core_age(now) / MILLI,
            ready: self.ready,
            positions: Vec::new(),
            asked: Some(now),
            echo: None,
            attestation: None,
        }
    }

    /// The answer to a question that was asked at `echo`, by the asker's clock.
    fn gossip_answer(&self, now: Tick, echo: Tick, attestation: Option<Attestation>) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            controller_contact_age_ms: self.core_age(now) / MILLI,
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
        let Gossip { controller_contact_age_ms, ready, positions, asked, echo, attestation } =
            gossip;
        let is_behind = positions.iter().any(|theirs| {
            self.partitions.get(&theirs.partition).is_some_and(|p| p.revision < theirs.revision)
        });
        let mut is_ahead = is_behind;
        let configuration =
            positions.iter().find(|p| p.partition == CONFIG).map_or(0, |p| p.revision);
        self.learn_revision(configuration);
        if let (Some(echo), Some(attestation)) = (echo, &attestation) {
            is_ahead |= self.on_attestation(echo, attestation, is_behind);
        }
        if let Some(echo) = echo {
            let core_age = ms(controller_contact_age_ms);
            self.on_answer(name, Peer { asked_at: echo, core_age, positions, ready });
        }
        if let Some(asked) = asked {
            let attestation = self.attest(now);
            if attestation.is_some() {
                // Who begins to serve by our word must not use leafs that we know to leave.
                self.pass_on_urgent_reports(name, commands);
            }
            let answer = self.gossip_answer(now, asked, attestation);
            self.send_to_member(name, answer, commands);
        }
        // Ask a member only for what the controllers did not bring us in time.
        let overdue = self.core_age(now) >= RENEWAL_OVERDUE;
        if is_ahead && configuration > 0 && overdue {
            let message =
                Message::Subscribe { positions: self.positions(), stamp: self.voter_set_stamp };
            self.send_to_member(name, message, commands);
        }
    }

    /// Takes in what a member answered, unless it answered a later question before.
    fn on_answer(&mut self, name: &str, peer: Peer) {
        if self.peers.get(name).is_none_or(|known| known.asked_at <= peer.asked_at) {
            self.peers.insert(name.to_string(), peer);
        }
    }
}
