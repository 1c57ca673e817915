//! Our lease, our share, and whether this node should serve at all.
//!
//! Without a granted renewal for `TENURE_TRUST` our lease has lapsed. Then:
//! - we can prove that all but very few of our membership know of nothing newer and
//!   have no word from the core either: the core is out of reach for all, and we
//!   serve our last view on with our last share (`attest`). A core that lives
//!   accepts no change and gives nobody's share away without one of those;
//! - else we are cut off, alone or with others: we turn not ready and then
//!   bounce, before the core gives our share away.

use crate::consts;
use crate::identifiers::VoterSlot;
use crate::membership::attestation;
use crate::membership::node_agent::{Command, NodeAgent, Peer, places, slots};
use crate::protocol::message::{Attestation, MemberProgress, Message};
use crate::query::engine::ServingState;
use crate::time::{MILLI, Span, Tick, ms, since};

/// How old our word from the core is.
pub fn core_age(w: &NodeAgent, now: Tick) -> Span {
    if w.lease.granted { since(w.lease.renewed_at, now) } else { since(w.started_at, now) }
}

/// Members that spoke to us lately.
pub fn heard(w: &NodeAgent, now: Tick) -> impl Iterator<Item = (&String, &Peer)> {
    w.peers.iter().filter(move |(_, p)| since(p.asked_at, now) < consts::COHORT_SILENCE)
}

/// The members that speak with us while all is well: those next to us either
/// way on the ring. In a membership of up to nine that is everyone.
pub fn neighbours(w: &NodeAgent) -> &[String] {
    &w.ring.neighbours
}

/// Until when most of our neighbourhood, ourselves counted, hears us.
pub fn company_until(w: &NodeAgent) -> Tick {
    let near = neighbours(w);
    // The fewest others with whom we are more than half.
    let need = near.len().div_ceil(2);
    if need == 0 {
        return Tick::MAX;
    }
    let mut at: Vec<Tick> =
        near.iter().filter_map(|n| w.peers.get(n).map(|p| p.asked_at)).collect();
    at.sort_unstable_by(|a, b| b.cmp(a));
    at.get(need - 1).map_or(0, |at| at + consts::COHORT_SILENCE)
}

/// Renews the lease when it is due.
pub fn renew(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    if now < w.lease.renew_at {
        return;
    }
    let beat = if w.lease.granted { consts::TENURE_BEAT } else { consts::TENURE_SEEK };
    w.lease.renew_at = now + beat;
    w.lease.last_number += 1;
    let count = w.lease.last_number;
    w.lease.unanswered.insert(count, now);
    while w.lease.unanswered.len() > 16 {
        w.lease.unanswered.pop_first();
    }
    let far = MemberProgress {
        obeys: w.view.as_ref().map_or(0, |v| v.revision),
        saw: (w.membership.term, w.membership.turn),
        knows: w.known_revision,
        quiet_ms: attestation::quiet_ms(w, now),
        ready: w.ready,
        leaving: w.is_drained,
    };
    let message = Message::RenewLease { member: w.member.clone(), count, far };
    let age = core_age(w, now);
    let worry = age >= consts::TENURE_WORRY;
    match w.lease.slot {
        Some(slot) if !worry => out.push(Command::ToVoter { slot, message: message.clone() }),
        _ => {
            for slot in slots(w) {
                out.push(Command::ToVoter { slot, message: message.clone() });
            }
        }
    }
    if worry && w.lease.granted {
        // Perhaps only our way to the core is cut: neighbours hand it over.
        let list: Vec<String> = heard(w, now)
            .filter(|(_, p)| p.core_age < consts::TENURE_TRUST)
            .map(|(n, _)| n.clone())
            .take(2)
            .collect();
        for name in list {
            to_member(w, &name, message.clone(), out);
        }
    }
}

/// Sends to a member of the membership.
pub fn to_member(w: &NodeAgent, name: &str, message: Message, out: &mut Vec<Command>) {
    if let Some(m) = w.membership.members.iter().find(|m| m.name == name) {
        out.push(Command::ToMember { name: m.name.clone(), addr: m.addr.clone(), message });
    }
}

/// A renewal was granted, when the configuration was at `revision`.
pub fn granted(w: &mut NodeAgent, slot: Option<VoterSlot>, count: u64, revision: u64) {
    let Some(at) = w.lease.unanswered.get(&count).copied() else { return };
    w.lease.unanswered = w.lease.unanswered.split_off(&(count + 1));
    w.lease.slot = slot;
    w.lease.pending_grants.push((revision, at));
    attestation::learn_of(w, revision);
    hold(w);
}

/// Takes up the grants whose configuration we obey by now.
pub fn hold(w: &mut NodeAgent) {
    let obeys = w.configuration_revision;
    let t = &mut w.lease;
    for (revision, at) in &t.pending_grants {
        if *revision <= obeys {
            t.renewed_at = t.renewed_at.max(*at);
            t.granted = true;
        }
    }
    let held = t.renewed_at;
    t.pending_grants.retain(|(revision, at)| *revision > obeys && *at > held);
    if t.pending_grants.len() > 16 {
        t.pending_grants.remove(0);
    }
}

/// Speaks to the neighbours: seldom while the core's word is fresh, since only
/// who lacks it asks for company.
pub fn gossip(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    let calm = w.lease.granted && !attestation::is_restless(w, now);
    let beat = if calm { consts::COHORT_CALM } else { consts::COHORT_BEAT };
    if now < w.gossiped_at + beat {
        return;
    }
    w.gossiped_at = now;
    let list = if calm { &w.ring.neighbours } else { &w.ring.proof_peers };
    for name in list.clone() {
        let message = gossip_msg(w, now, Some(now), None, None);
        to_member(w, &name, message, out);
    }
    w.peers.retain(|_, p| since(p.asked_at, now) < consts::COHORT_SILENCE * 4);
}

/// What we say to another member. Where we stand is said in answers alone: who
/// asks learns it, and asks for itself.
pub fn gossip_msg(
    w: &NodeAgent,
    now: Tick,
    asked: Option<Tick>,
    echo: Option<Tick>,
    attestation: Option<Attestation>,
) -> Message {
    Message::Gossip {
        name: w.member.name.clone(),
        core_age_ms: core_age(w, now) / MILLI,
        ready: w.ready,
        places: if echo.is_some() { places(w) } else { Vec::new() },
        asked,
        echo,
        attestation,
    }
}

/// Takes in what a member says of itself.
pub fn spoke(
    w: &mut NodeAgent,
    echo: Tick,
    name: &str,
    peer: (u64, bool, Vec<crate::protocol::message::FeedPosition>),
) {
    let (age_ms, ready, places) = peer;
    if w.peers.get(name).is_none_or(|p| p.asked_at <= echo) {
        let peer = Peer { asked_at: echo, core_age: ms(age_ms), positions: places, ready };
        w.peers.insert(name.to_string(), peer);
    }
}

/// Decides door, readiness and share, and says what changed.
pub fn decide(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    let age = core_age(w, now);
    // Somebody near has the core's word and we lack it, for longer than a
    // renewal takes: then it is we who are cut off, not the core that is gone.
    let fresh = |p: &Peer| p.core_age + since(p.asked_at, now) < consts::TENURE_WORRY;
    let passed = age >= consts::TENURE_WORRY && heard(w, now).any(|(_, p)| fresh(p));
    w.bypassed_since = if passed { w.bypassed_since.or(Some(now)) } else { None };
    let others_have = w.bypassed_since.is_some_and(|at| since(at, now) >= 2 * consts::TENURE_BEAT);
    // Proofs are gathered only while they may be needed.
    let proved = match attestation::is_restless(w, now) && !others_have {
        true => attestation::serving_until(w),
        false => 0,
    };
    let alone = w.lease.granted && (now > company_until(w) || others_have);
    let unproved = w.lease.granted && now > proved;
    let lapsed = age >= consts::TENURE_TRUST;
    // The platform needs a moment to see that we are not ready: until then
    // callers still come, and are served.
    let shut = w.stopping_since.is_some_and(|at| since(at, now) >= w.drain_notice);
    let door = match (&w.view, shut) {
        (_, true) => ServingState::ShuttingDown,
        (None, _) => ServingState::NoSnapshot,
        _ if unproved && lapsed => ServingState::Isolated,
        _ => ServingState::Serving,
    };
    let cut = door == ServingState::Isolated;
    if w.ring.divided_while_cut_off != Some(cut) {
        w.ring.divided_while_cut_off = Some(cut);
        divide(w, cut, out);
        peers(w, out);
    }
    // The threads look at this themselves before they act: a process that was
    // paused wakes with an old grip and does nothing until it has a new one.
    let held = if w.lease.granted { w.lease.renewed_at + consts::TENURE_TRUST } else { 0 };
    let grip = match door {
        ServingState::Isolated | ServingState::NoSnapshot => 0,
        _ => held.max(proved),
    };
    if grip != w.serving_until {
        w.serving_until = grip;
        out.push(Command::ServingUntil(grip));
    }
    if door != w.admission {
        if door == ServingState::Isolated {
            w.counters.lease_lapses += 1;
            out.push(Command::Alarm(
                "cut off: no word from the core, and no proof that all others lack it too".into(),
            ));
        }
        w.admission = door;
        out.push(Command::Admission(door));
    }
    w.has_served |= w.serving_some_since.is_some_and(|at| since(at, now) >= consts::START_PATIENCE);
    let ready = door == ServingState::Serving
        && w.stopping_since.is_none()
        && w.has_served
        && !w.quota_members.is_empty()
        && !(alone && age >= consts::LONE_NOTICE)
        && !(unproved && age >= consts::PROOF_NOTICE);
    if ready != w.ready {
        w.ready = ready;
        out.push(Command::Ready(ready));
    }
}

/// Says among whom the fleet's limits are divided, if that has changed.
fn divide(w: &mut NodeAgent, cut: bool, out: &mut Vec<Command>) {
    // A share needs a settled place in the membership; once had, it is kept while
    // the core is out of reach for the group. A core that has forgotten us
    // and takes us in anew must not make us drop it. Nor may we take the share of
    // one that was let go before the core knows that nobody serves on by the
    // former membership: until all is settled we divide by everyone old and new.
    let member = w.membership.members.iter().find(|m| m.name == w.member.name);
    let ours = |m: &crate::protocol::message::Member| (m.name.clone(), m.threads);
    let mut shares: Vec<(String, u32)> = w.membership.members.iter().map(ours).collect();
    let settled = member.is_some_and(|m| m.joined <= w.membership.settled);
    let all_settled = settled && w.membership.settled == w.membership.turn;
    // An owner that knew nobody says early who is there: that we are not among
    // them yet, while nothing is settled, does not mean that we are gone.
    let gone = member.is_none() && w.membership.settled > 0;
    if cut || gone || (!settled && w.quota_members.is_empty()) {
        shares.clear();
    } else if !all_settled {
        shares.extend(
            w.quota_members.iter().filter(|s| !shares.contains(s)).cloned().collect::<Vec<_>>(),
        );
        shares.sort();
    }
    if shares != w.quota_members {
        w.quota_members = shares.clone();
        out.push(Command::QuotaMembers(shares));
    }
}

/// Says who opens connections to leafs, if that has changed.
fn peers(w: &mut NodeAgent, out: &mut Vec<Command>) {
    let all = w.membership.members.iter();
    let peers: Vec<_> = all.map(|m| (m.name.clone(), m.threads, m.zone.clone())).collect();
    if peers != w.leaf_clients && !peers.is_empty() {
        w.leaf_clients = peers.clone();
        out.push(Command::LeafClients(peers));
    }
}
