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
use crate::membership::node_agent::{Command, Peer, Watch, places, slots};
use crate::protocol::message::{Attestation, MemberProgress, Message};
use crate::query::engine::ServingState;
use crate::time::{MILLI, Span, Tick, ms, since};

/// How old our word from the core is.
pub fn core_age(w: &Watch, now: Tick) -> Span {
    if w.lease.granted { since(w.lease.held_from, now) } else { since(w.began, now) }
}

/// Members that spoke to us lately.
pub fn heard(w: &Watch, now: Tick) -> impl Iterator<Item = (&String, &Peer)> {
    w.peers.iter().filter(move |(_, p)| since(p.at, now) < consts::COHORT_SILENCE)
}

/// The members that speak with us while all is well: those next to us either
/// way on the ring. In a membership of up to nine that is everyone.
pub fn neighbours(w: &Watch) -> &[String] {
    &w.ring.near
}

/// Until when most of our neighbourhood, ourselves counted, hears us.
pub fn company_until(w: &Watch) -> Tick {
    let near = neighbours(w);
    // The fewest others with whom we are more than half.
    let need = near.len().div_ceil(2);
    if need == 0 {
        return Tick::MAX;
    }
    let mut at: Vec<Tick> = near.iter().filter_map(|n| w.peers.get(n).map(|p| p.at)).collect();
    at.sort_unstable_by(|a, b| b.cmp(a));
    at.get(need - 1).map_or(0, |at| at + consts::COHORT_SILENCE)
}

/// Renews the lease when it is due.
pub fn renew(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    if now < w.lease.renew_at {
        return;
    }
    let beat = if w.lease.granted { consts::TENURE_BEAT } else { consts::TENURE_SEEK };
    w.lease.renew_at = now + beat;
    w.lease.count += 1;
    let count = w.lease.count;
    w.lease.sent.insert(count, now);
    while w.lease.sent.len() > 16 {
        w.lease.sent.pop_first();
    }
    let far = MemberProgress {
        obeys: w.view.as_ref().map_or(0, |v| v.revision),
        saw: (w.membership.term, w.membership.turn),
        knows: w.knows,
        quiet_ms: attestation::quiet_ms(w, now),
        ready: w.ready,
        leaving: w.drained,
    };
    let message = Message::RenewLease { member: w.me.clone(), count, far };
    let age = core_age(w, now);
    let worry = age >= consts::TENURE_WORRY;
    match w.lease.slot {
        Some(slot) if !worry => out.push(Command::ToSeat { slot, message: message.clone() }),
        _ => {
            for slot in slots(w) {
                out.push(Command::ToSeat { slot, message: message.clone() });
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
pub fn to_member(w: &Watch, name: &str, message: Message, out: &mut Vec<Command>) {
    if let Some(m) = w.membership.members.iter().find(|m| m.name == name) {
        out.push(Command::ToMember { name: m.name.clone(), addr: m.addr.clone(), message });
    }
}

/// A renewal was granted, when the configuration was at `revision`.
pub fn granted(w: &mut Watch, slot: Option<VoterSlot>, count: u64, revision: u64) {
    let Some(at) = w.lease.sent.get(&count).copied() else { return };
    w.lease.sent = w.lease.sent.split_off(&(count + 1));
    w.lease.slot = slot;
    w.lease.grants.push((revision, at));
    attestation::learn_of(w, revision);
    hold(w);
}

/// Takes up the grants whose configuration we obey by now.
pub fn hold(w: &mut Watch) {
    let obeys = w.built_revision;
    let t = &mut w.lease;
    for (revision, at) in &t.grants {
        if *revision <= obeys {
            t.held_from = t.held_from.max(*at);
            t.granted = true;
        }
    }
    let held = t.held_from;
    t.grants.retain(|(revision, at)| *revision > obeys && *at > held);
    if t.grants.len() > 16 {
        t.grants.remove(0);
    }
}

/// Speaks to the neighbours: seldom while the core's word is fresh, since only
/// who lacks it asks for company.
pub fn gossip(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let calm = w.lease.granted && !attestation::is_restless(w, now);
    let beat = if calm { consts::COHORT_CALM } else { consts::COHORT_BEAT };
    if now < w.gossiped + beat {
        return;
    }
    w.gossiped = now;
    let list = if calm { &w.ring.near } else { &w.ring.links };
    for name in list.clone() {
        let message = gossip_msg(w, now, Some(now), None, None);
        to_member(w, &name, message, out);
    }
    w.peers.retain(|_, p| since(p.at, now) < consts::COHORT_SILENCE * 4);
}

/// What we say to another member. Where we stand is said in answers alone: who
/// asks learns it, and asks for itself.
pub fn gossip_msg(
    w: &Watch,
    now: Tick,
    asked: Option<Tick>,
    echo: Option<Tick>,
    attestation: Option<Attestation>,
) -> Message {
    Message::Gossip {
        name: w.me.name.clone(),
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
    w: &mut Watch,
    echo: Tick,
    name: &str,
    peer: (u64, bool, Vec<crate::protocol::message::FeedPosition>),
) {
    let (age_ms, ready, places) = peer;
    if w.peers.get(name).is_none_or(|p| p.at <= echo) {
        let peer = Peer { at: echo, core_age: ms(age_ms), places, ready };
        w.peers.insert(name.to_string(), peer);
    }
}

/// Decides door, readiness and share, and says what changed.
pub fn decide(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let age = core_age(w, now);
    // Somebody near has the core's word and we lack it, for longer than a
    // renewal takes: then it is we who are cut off, not the core that is gone.
    let fresh = |p: &Peer| p.core_age + since(p.at, now) < consts::TENURE_WORRY;
    let passed = age >= consts::TENURE_WORRY && heard(w, now).any(|(_, p)| fresh(p));
    w.passed_by = if passed { w.passed_by.or(Some(now)) } else { None };
    let others_have = w.passed_by.is_some_and(|at| since(at, now) >= 2 * consts::TENURE_BEAT);
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
    let shut = w.stopping.is_some_and(|at| since(at, now) >= w.notice);
    let door = match (&w.view, shut) {
        (_, true) => ServingState::ShuttingDown,
        (None, _) => ServingState::NoSnapshot,
        _ if unproved && lapsed => ServingState::Isolated,
        _ => ServingState::Serving,
    };
    let cut = door == ServingState::Isolated;
    if w.ring.shared != Some(cut) {
        w.ring.shared = Some(cut);
        divide(w, cut, out);
        peers(w, out);
    }
    // The threads look at this themselves before they act: a process that was
    // paused wakes with an old grip and does nothing until it has a new one.
    let held = if w.lease.granted { w.lease.held_from + consts::TENURE_TRUST } else { 0 };
    let grip = match door {
        ServingState::Isolated | ServingState::NoSnapshot => 0,
        _ => held.max(proved),
    };
    if grip != w.grip {
        w.grip = grip;
        out.push(Command::Grip(grip));
    }
    if door != w.door {
        if door == ServingState::Isolated {
            w.counts.lapses += 1;
            out.push(Command::Alarm(
                "cut off: no word from the core, and no proof that all others lack it too".into(),
            ));
        }
        w.door = door;
        out.push(Command::Door(door));
    }
    w.served |= w.serves_some.is_some_and(|at| since(at, now) >= consts::START_PATIENCE);
    let ready = door == ServingState::Serving
        && w.stopping.is_none()
        && w.served
        && !w.shared.is_empty()
        && !(alone && age >= consts::LONE_NOTICE)
        && !(unproved && age >= consts::PROOF_NOTICE);
    if ready != w.ready {
        w.ready = ready;
        out.push(Command::Ready(ready));
    }
}

/// Says among whom the fleet's limits are divided, if that has changed.
fn divide(w: &mut Watch, cut: bool, out: &mut Vec<Command>) {
    // A share needs a settled place in the membership; once had, it is kept while
    // the core is out of reach for the group. A core that has forgotten us
    // and takes us in anew must not make us drop it. Nor may we take the share of
    // one that was let go before the core knows that nobody serves on by the
    // former membership: until all is settled we divide by everyone old and new.
    let member = w.membership.members.iter().find(|m| m.name == w.me.name);
    let ours = |m: &crate::protocol::message::Member| (m.name.clone(), m.threads);
    let mut shares: Vec<(String, u32)> = w.membership.members.iter().map(ours).collect();
    let settled = member.is_some_and(|m| m.joined <= w.membership.settled);
    let all_settled = settled && w.membership.settled == w.membership.turn;
    // An owner that knew nobody says early who is there: that we are not among
    // them yet, while nothing is settled, does not mean that we are gone.
    let gone = member.is_none() && w.membership.settled > 0;
    if cut || gone || (!settled && w.shared.is_empty()) {
        shares.clear();
    } else if !all_settled {
        shares.extend(w.shared.iter().filter(|s| !shares.contains(s)).cloned().collect::<Vec<_>>());
        shares.sort();
    }
    if shares != w.shared {
        w.shared = shares.clone();
        out.push(Command::Shares(shares));
    }
}

/// Says who opens connections to leafs, if that has changed.
fn peers(w: &mut Watch, out: &mut Vec<Command>) {
    let all = w.membership.members.iter();
    let peers: Vec<_> = all.map(|m| (m.name.clone(), m.threads, m.zone.clone())).collect();
    if peers != w.peered && !peers.is_empty() {
        w.peered = peers.clone();
        out.push(Command::Peers(peers));
    }
}
