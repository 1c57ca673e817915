//! The leafs of a part's services: the platform's list merged with what is
//! known at first hand.

use std::collections::BTreeMap;

use nanoserde::SerBin;

use crate::command::Command;
use crate::config::change::Entry;
use crate::consts;
use crate::control_plane::controller::Counts;
use crate::identifiers::part_of;
use crate::protocol::message::LeafReport;
use crate::replication::leader::change;
use crate::replication::partition::{Partition, leader};
use crate::snapshot::leafs::{LeafInfo, key, leafs_in};
use crate::time::{MILLI, Tick, since};
use crate::voter_set::VoterGroup;

fn entry(info: &LeafInfo) -> Entry {
    (key(&info.leaf), Some(info.serialize_bin()))
}

/// The holder of the list's duty reports what the list names for this part.
pub fn listed(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    fence: (u64, u64),
    list: Vec<LeafInfo>,
    counts: &mut Counts,
    out: &mut Vec<Command>,
) {
    let id = p.id;
    let known = leafs_in(&p.copy.map);
    let Some(o) = leader(p) else { return };
    if !o.serves {
        return;
    }
    if fence < o.fence {
        counts.fenced += 1;
        return;
    }
    o.fence = fence;
    let list: BTreeMap<String, LeafInfo> = list
        .into_iter()
        .filter(|l| part_of(&l.service) == id)
        .map(|l| (l.leaf.clone(), l))
        .collect();
    let mut entries: Vec<Entry> = Vec::new();
    for (name, info) in &list {
        let mut info = info.clone();
        let old = known.get(name);
        // The list lags: who once said that it leaves does not come back
        // under the same identity.
        info.leaving |= old.is_some_and(|o| o.leaving);
        info.age_ms = old.map_or(0, |o| o.age_ms);
        if old != Some(&info) {
            entries.push(entry(&info));
        }
    }
    for (name, info) in &known {
        if list.contains_key(name) {
            o.absent.remove(name);
            continue;
        }
        // A new identity at its address: the old one is surely gone. But if
        // most of a service vanishes from the list, doubt the list.
        let taken = list.values().any(|l| l.addr == info.addr && !known.contains_key(&l.leaf));
        let at = *o.absent.entry(name.clone()).or_insert(now);
        let peers = known.values().filter(|l| l.service == info.service).count();
        let stay = list.values().filter(|l| l.service == info.service).count();
        let doubt = stay * 2 < peers && !info.leaving;
        let patience = if doubt { consts::LEAF_ABSENCE * 6 } else { consts::LEAF_ABSENCE };
        if taken || since(at, now) >= patience {
            entries.push((key(name), None));
            o.absent.remove(name);
        }
    }
    o.absent.retain(|name, _| known.contains_key(name));
    if !entries.is_empty() {
        change(p, now, g, entries, out);
    }
}

/// Time passes, and leafs grow older: not all of them tell their age, and none
/// must be taken for new when all of us start again. What is written is what
/// an identity has surely reached: how old it was when this leader first saw
/// it, and how long ago that was.
pub fn grow(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let Some(o) = leader(p) else { return };
    if !o.serves || now < o.ages_at {
        return;
    }
    o.ages_at = now + consts::AGES_BEAT;
    let mut seen = std::mem::take(&mut o.seen);
    let known = leafs_in(&p.copy.map);
    seen.retain(|name, _| known.contains_key(name));
    let mut entries: Vec<Entry> = Vec::new();
    for (name, info) in known {
        let (at, base) = *seen.entry(name).or_insert((now, info.age_ms));
        let age = base + since(at, now) / MILLI;
        let told = info.age_ms >= consts::AGE_TOLD_MS
            || age < info.age_ms * consts::AGE_FACTOR + consts::AGE_FIRST_MS;
        if !told {
            entries.push(entry(&LeafInfo { age_ms: age, ..info }));
        }
    }
    if let Some(o) = leader(p) {
        o.seen = seen;
    }
    if !entries.is_empty() {
        change(p, now, g, entries, out);
    }
}

/// Leafs spoke of themselves at first hand.
pub fn words(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    words: Vec<LeafReport>,
    out: &mut Vec<Command>,
) {
    if !leader(p).is_some_and(|o| o.serves) {
        return;
    }
    let known = leafs_in(&p.copy.map);
    let mut entries: Vec<Entry> = Vec::new();
    for word in words {
        let Some(info) = known.get(&word.leaf) else { continue };
        // Who is gone stays as one that leaves until the list forgets it:
        // taken out at once, a list that lags would bring it back.
        let new = LeafInfo {
            leaving: info.leaving || word.leaving || word.gone,
            age_ms: info.age_ms.max(word.age_ms),
            ..info.clone()
        };
        if new != *info {
            entries.push(entry(&new));
        }
    }
    if !entries.is_empty() {
        change(p, now, g, entries, out);
    }
}
