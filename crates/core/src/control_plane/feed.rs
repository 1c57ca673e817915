//! What is committed, shown to followers as a numbered feed.

use crate::consts;
use crate::control_plane::controller::{Command, Core, WireId};
use crate::control_plane::members;
use crate::control_plane::order_memory::{is_memory, without_memory};
use crate::identifiers::{COHORT, PartId};
use crate::protocol::message::{Map, Msg, Place};
use crate::replication::partition::Part;
use crate::storage::record::put;

/// Shows everything up to the committed revision `done` that we have.
pub fn show(p: &mut Part, done: u64) {
    if p.seed.as_ref().is_some_and(|(rev, _)| *rev <= done)
        && let Some((rev, map)) = p.seed.take()
        && rev > p.shown_rev
    {
        p.shown = map;
        p.shown_rev = rev;
    }
    if p.seed.is_none() {
        for (rev, entries) in &p.changes {
            if *rev == p.shown_rev + 1 && *rev <= done {
                put(&mut p.shown, entries);
                p.shown_rev = *rev;
            }
        }
    }
    while p.changes.len() > consts::FEED_KEPT
        && p.changes.front().is_some_and(|(rev, _)| *rev <= p.shown_rev)
    {
        p.changes.pop_front();
    }
}

/// Takes over a copy whose way here is not known.
pub fn reseed(p: &mut Part, rev: u64, map: &Map) {
    // A leader that re-writes what we have already tells us nothing new.
    if p.copy.rev == rev && p.copy.map == *map {
        return;
    }
    p.changes.clear();
    p.seed = Some((rev, map.clone()));
}

/// The news that takes a follower from `place` to what is shown now.
pub fn news(p: &Part, place: u64) -> Option<Msg> {
    if place >= p.shown_rev {
        return None;
    }
    let first = p.changes.front().map_or(u64::MAX, |(rev, _)| *rev);
    let rev = p.shown_rev;
    if place > 0 && p.seed.is_none() && first <= place + 1 {
        let entries = p
            .changes
            .iter()
            .filter(|(r, _)| *r > place && *r <= rev)
            .flat_map(|(_, entries)| entries.iter().filter(|e| !is_memory(&e.0)).cloned())
            .collect();
        return Some(Msg::News { part: p.id, from: Some(place), rev, entries });
    }
    let entries = without_memory(&p.shown).into_iter().map(|(k, v)| (k, Some(v))).collect();
    Some(Msg::News { part: p.id, from: None, rev, entries })
}

/// Brings every follower up to what is shown, if that has changed. Each is
/// sent a thing once; one that lost it says where it stands in its next
/// `Follow`.
pub fn push(core: &mut Core, out: &mut Vec<Command>) {
    let told = members::mark(&core.members.cohort);
    let heads: Vec<u64> = core.parts.iter().map(|p| p.shown_rev).chain([told]).collect();
    if heads == core.pushed {
        return;
    }
    core.pushed = heads;
    let wires: Vec<WireId> = core.followers.keys().copied().collect();
    for wire in wires {
        bring(core, wire, out);
    }
}

/// Brings one follower up to what is shown.
fn bring(core: &mut Core, wire: WireId, out: &mut Vec<Command>) {
    let Some(places) = core.followers.get_mut(&wire) else { return };
    let told = members::mark(&core.members.cohort);
    if let Some(at) = places.get_mut(&COHORT)
        && *at < told
    {
        *at = told;
        let msg = Msg::Tell(core.members.cohort.clone());
        out.push(Command::ToWire { wire, msg });
    }
    for p in &core.parts {
        let place = places.entry(p.id).or_insert(0);
        if let Some(msg) = news(p, *place) {
            *place = p.shown_rev;
            core.counts.news += 1;
            out.push(Command::ToWire { wire, msg });
        }
    }
}

/// A follower says where it stands.
pub fn follow(core: &mut Core, wire: WireId, list: Vec<Place>, stamp: u64, out: &mut Vec<Command>) {
    if stamp != core.seating.stamp {
        crate::voters::voter_slots::tell(core, wire, out);
    }
    let known = core.followers.entry(wire).or_default();
    for place in list {
        known.insert(place.part, place.rev);
    }
    let stamp = core.seating.stamp;
    let able = core.parts.iter().filter(|p| crate::replication::partition::able(p));
    let mut places: Vec<Place> = able.map(|p| Place { part: p.id, rev: p.copy.rev }).collect();
    places.push(Place { part: COHORT, rev: members::mark(&core.members.cohort) });
    out.push(Command::ToWire { wire, msg: Msg::Reach { places, stamp } });
    bring(core, wire, out);
}

/// The committed revision of a part at this seat.
pub fn shown(core: &Core, part: PartId) -> u64 {
    core.parts.iter().find(|p| p.id == part).map_or(0, |p| p.shown_rev)
}
