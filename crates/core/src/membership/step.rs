//! `step` of a querier's control thread.

use crate::consts;
use crate::identifiers::CONFIG;
use crate::membership::neighbour_ring::ring;
use crate::membership::node_agent::{Command, Event, NodeAgent, learn, places};
use crate::membership::{assignments, attestation, feed, status, updates};
use crate::protocol::message::Message;
use crate::time::{Tick, ms};

/// How often a querier's control thread looks around.
pub const WAKE: crate::time::Span = ms(50);

/// Takes one event and says what to do.
pub fn step(w: &mut NodeAgent, now: Tick, event: Event) -> Vec<Command> {
    let mut out = Vec::new();
    w.now = now;
    match event {
        Event::FromVoter { slot, message } => match message {
            // Said under another table it may be of a seat given away.
            Message::FeedPositions { places, stamp } if stamp == w.voter_set_stamp => {
                if let Some(cell) = w.voter_positions.get_mut(usize::from(slot)) {
                    *cell = places;
                    w.feed.answered_at.insert(slot, now);
                }
            }
            Message::LeaseGranted {
                ref name,
                incarnation,
                count,
                revision,
                tell_membership,
                ..
            } => {
                if *name == w.member.name {
                    if incarnation == w.member.incarnation {
                        status::granted(w, Some(slot), count, revision);
                    }
                    if tell_membership && w.membership.term > 0 {
                        out.push(Command::ToVoter {
                            slot,
                            message: Message::MembershipUpdate(w.membership.clone()),
                        });
                    }
                } else if w.forwarded_renewals.contains_key(name) {
                    status::to_member(w, &name.clone(), message, &mut out);
                }
            }
            message => any(w, message, false, &mut out),
        },
        Event::VoterSet(table) => learn(w, &table, &mut out),
        Event::FromMember { name, message } => from_member(w, now, &name, message, &mut out),
        Event::LeafReport { service, report } => assignments::hear(w, service, report),
        Event::LeafList(got) => assignments::listed(w, got, &mut out),
        Event::Stop => w.stopping_since = Some(now),
        Event::Drained => {
            w.is_drained = true;
            w.lease.renew_at = now;
        }
        Event::Wake => {
            feed::follow(w, now, &mut out);
            status::gossip(w, now, &mut out);
            assignments::wake(w, now, &mut out);
            assignments::probe(w, now, &mut out);
        }
    }
    assignments::findings(w, now, &mut out);
    updates::settle_start(w, now);
    status::hold(w);
    updates::publish(w, now, &mut out);
    status::decide(w, now, &mut out);
    status::renew(w, now, &mut out);
    out
}

/// What may come from a seat as well as from a member.
fn any(w: &mut NodeAgent, message: Message, member: bool, out: &mut Vec<Command>) {
    match message {
        Message::Update { partition, from, revision, entries }
            if updates::take(w, partition, from, revision, &entries, out) && member =>
        {
            w.counters.updates_from_members += 1;
        }
        Message::MembershipUpdate(membership) if membership.is_newer_than(&w.membership) => {
            w.membership = membership;
            attestation::adopt(w);
            w.ring = ring(&w.membership, &w.member.name);
            // What we saw lets others settle: say so at once.
            w.lease.renew_at = 0;
        }
        _ => {}
    }
}

fn from_member(w: &mut NodeAgent, now: Tick, name: &str, message: Message, out: &mut Vec<Command>) {
    match message {
        Message::Gossip { name, core_age_ms, ready, places: theirs, asked, echo, attestation } => {
            let mut ahead = theirs
                .iter()
                .any(|p| w.partitions.get(&p.partition).is_some_and(|h| h.revision < p.revision));
            let config = theirs.iter().find(|p| p.partition == CONFIG).map_or(0, |p| p.revision);
            attestation::learn_of(w, config);
            if let (Some(echo), Some(attestation)) = (echo, &attestation) {
                ahead |= attestation::take_in(w, echo, attestation);
            }
            if let Some(echo) = echo {
                status::spoke(w, echo, &name, (core_age_ms, ready, theirs));
            }
            if asked.is_some() {
                let attestation = attestation::attest(w, now);
                let message = status::gossip_msg(w, now, None, asked, attestation);
                status::to_member(w, &name, message, out);
            }
            // Ask a member only for what the core did not bring us in time.
            if ahead && config > 0 && status::core_age(w, now) >= consts::TENURE_WORRY {
                let message = Message::Subscribe { places: places(w), stamp: w.voter_set_stamp };
                status::to_member(w, &name, message, out);
            }
        }
        Message::VoterSetUpdate { table, .. } => learn(w, &table, out),
        Message::Subscribe { places, stamp } => {
            let list = updates::hand_on(w, &places);
            let membership = Message::MembershipUpdate(w.membership.clone());
            let slots = Message::VoterSetUpdate { me: 0, table: w.voter_set.clone() };
            let slots = (stamp != w.voter_set_stamp).then_some(slots);
            for message in list.into_iter().chain([membership]).chain(slots) {
                status::to_member(w, name, message, out);
            }
        }
        Message::RenewLease { member, count, far } => {
            // Hand a neighbour's renewal over, if our own way to the core works.
            if status::core_age(w, now) < consts::TENURE_WORRY {
                w.forwarded_renewals.insert(member.name.clone(), now);
                w.counters.forwarded_renewals += 1;
                assignments::to_core(w, Message::RenewLease { member, count, far }, out);
            }
        }
        Message::LeafReports { partition, words } => assignments::handed(w, now, partition, words),
        Message::LeaseGranted { name, incarnation, count, revision, .. }
            if name == w.member.name && incarnation == w.member.incarnation =>
        {
            status::granted(w, None, count, revision);
        }
        message => any(w, message, true, out),
    }
}
