//! Gossip between members: how long ago each last renewed its lease, and its positions.

use crate::identifiers::CONFIG;
use crate::membership::lease::RENEWAL_OVERDUE;
use crate::membership::node_agent::{Command, NodeAgent};
use crate::membership::peer::{PEER_TIMEOUT, Peer};
use crate::protocol::membership::Attestation;
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{MILLI, SECOND, Span, Tick, ms, since};

/// How often members exchange gossip while the controllers are out of reach: six rounds fit
/// between `attestation::ATTEST_AFTER` and the end of a lease. The last renewals of two members
/// may be one renewal interval (two rounds) apart, which leaves four rounds for attestations to
/// spread between neighbours.
pub(super) const GOSSIP_INTERVAL: Span = ms(250);

/// How often members exchange gossip while the controllers are reachable. Nothing depends on it
/// then; it only detects dead connections before they are needed.
const HEALTHY_GOSSIP_INTERVAL: Span = 2 * SECOND;

/// A peer is dropped after this many times `PEER_TIMEOUT`.
const PEER_RETENTION_TIMEOUTS: u64 = 4;

/// A gossip message of a member, without the member's name.
pub(super) struct Gossip {
    pub(super) controller_contact_age_ms: u64,
    pub(super) ready: bool,
    pub(super) positions: Vec<FeedPosition>,
    /// For a request: when the sender sent it, by its own clock.
    pub(super) request_sent_at: Option<Tick>,
    /// For a response: when the request that it answers was sent, by this node's clock.
    pub(super) echoed_sent_at: Option<Tick>,
    pub(super) attestation: Option<Attestation>,
}

impl NodeAgent {
    /// Returns the members that answered a recent request.
    pub(super) fn responsive_peers(&self, now: Tick) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| since(peer.request_sent_at, now) < PEER_TIMEOUT)
    }

    /// Returns until when a majority of this member and its neighbours counts as connected.
    pub(super) fn neighbour_majority_until(&self) -> Tick {
        let neighbours = &self.ring.neighbours;
        // The smallest number of neighbours that make up more than half together with this
        // member.
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

    /// Sends gossip requests to the neighbours; rarely while the controllers are reachable,
    /// since only a member that has lost them needs the other members.
    pub(super) fn gossip(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let is_healthy = self.lease.granted && !self.must_attest(now);
        let period = if is_healthy { HEALTHY_GOSSIP_INTERVAL } else { GOSSIP_INTERVAL };
        if now < self.last_gossip_at + period {
            return;
        }
        self.last_gossip_at = now;
        let recipients = if is_healthy { &self.ring.neighbours } else { &self.ring.proof_peers };
        for name in recipients {
            self.send_to_member(name, self.gossip_request(now), commands);
        }
        self.peers.retain(|_, peer| {
            since(peer.request_sent_at, now) < PEER_TIMEOUT * PEER_RETENTION_TIMEOUTS
        });
    }

    /// Returns a request to another member. Positions are sent in responses only: the member
    /// that sent the request then asks for what it lacks.
    fn gossip_request(&self, now: Tick) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            controller_contact_age_ms: self.time_since_renewal(now) / MILLI,
            ready: self.ready,
            positions: Vec::new(),
            request_sent_at: Some(now),
            echoed_sent_at: None,
            attestation: None,
        }
    }

    /// Returns the response to a request that was sent at `echoed_sent_at`, by the clock of the
    /// member that sent it.
    fn gossip_response(
        &self,
        now: Tick,
        echoed_sent_at: Tick,
        attestation: Option<Attestation>,
    ) -> Message {
        Message::Gossip {
            name: self.member.name.clone(),
            controller_contact_age_ms: self.time_since_renewal(now) / MILLI,
            ready: self.ready,
            positions: self.positions(),
            request_sent_at: None,
            echoed_sent_at: Some(echoed_sent_at),
            attestation,
        }
    }

    /// Handles a gossip request or response of another member.
    pub(super) fn on_gossip(
        &mut self,
        now: Tick,
        name: &str,
        gossip: Gossip,
        commands: &mut Vec<Command>,
    ) {
        let Gossip {
            controller_contact_age_ms,
            ready,
            positions,
            request_sent_at,
            echoed_sent_at,
            attestation,
        } = gossip;
        let is_behind = positions.iter().any(|theirs| {
            self.partitions.get(&theirs.partition).is_some_and(|p| p.revision < theirs.revision)
        });
        let mut is_ahead = is_behind;
        let configuration =
            positions.iter().find(|p| p.partition == CONFIG).map_or(0, |p| p.revision);
        self.record_known_revision(configuration);
        if let (Some(echoed_sent_at), Some(attestation)) = (echoed_sent_at, &attestation) {
            is_ahead |= self.on_attestation(echoed_sent_at, attestation, is_behind);
        }
        if let Some(echoed_sent_at) = echoed_sent_at {
            let time_since_renewal = ms(controller_contact_age_ms);
            self.on_gossip_response(
                name,
                Peer { request_sent_at: echoed_sent_at, time_since_renewal, positions, ready },
            );
        }
        if let Some(request_sent_at) = request_sent_at {
            let attestation = self.attest(now);
            if attestation.is_some() {
                // A member that serves with this attestation must not use leafs that this member
                // knows to be leaving or gone.
                self.forward_urgent_reports(name, commands);
            }
            let answer = self.gossip_response(now, request_sent_at, attestation);
            self.send_to_member(name, answer, commands);
        }
        // Request updates from a member only when the controllers have not delivered them in
        // time.
        let overdue = self.time_since_renewal(now) >= RENEWAL_OVERDUE;
        if is_ahead && configuration > 0 && overdue {
            let message =
                Message::Subscribe { positions: self.positions(), stamp: self.voter_set_stamp };
            self.send_to_member(name, message, commands);
        }
    }

    /// Records a response, unless a response to a later request was recorded before.
    fn on_gossip_response(&mut self, name: &str, peer: Peer) {
        if self.peers.get(name).is_none_or(|known| known.request_sent_at <= peer.request_sent_at) {
            self.peers.insert(name.to_string(), peer);
        }
    }
}
