//! Duties that one member does for all: each key has one holder.

use std::collections::BTreeMap;

use nanoserde::DeBin;

use crate::consts;
use crate::digest::hash;
use crate::identifiers::{CONFIG, PartitionId, part_of, partitions};
use crate::membership::node_agent::{Command, Heard, Watch, slots};
use crate::membership::status;
use crate::protocol::message::{LeafReport, Message};
use crate::snapshot::leafs::leafs_in;
use crate::snapshot::leafs::{LeafInfo, key};
use crate::time::{Span, Tick, since};

/// The duty of polling the platform's list, for all parts at once: a poll
/// brings the whole list, and each costs the platform.
pub const LIST: &str = "list";

/// How often we poll the list: its holder often, and the next one seldom, so
/// that a holder that dies does not leave everyone blind for a whole lease.
/// Nobody knows what the others hear; it is asked sooner after word of a leaf
/// that is gone, since most come back under a new name.
fn pace(w: &Watch, now: Tick) -> Option<Span> {
    let hurried = since(w.gone_at, now) < consts::LIST_HURRIED && w.gone_at > 0;
    match w.ring.list? {
        0 if hurried => Some(consts::LIST_HURRY),
        0 => Some(consts::LIST_POLL),
        1 => Some(consts::LIST_POLL_NEXT),
        _ => None,
    }
}

/// The duty of probing the leafs of a key.
pub fn probe_key(key: u64) -> String {
    format!("probe/{key}")
}

/// The parts for which we poll the list.
pub fn ours(w: &Watch) -> Vec<PartitionId> {
    match w.ring.list {
        Some(0 | 1) => partitions().filter(|p| *p != CONFIG).collect(),
        _ => Vec::new(),
    }
}

/// Time passes: poll if it is due and a duty is ours under a good lease.
pub fn wake(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let trusted = w.lease.granted && since(w.lease.held_from, now) < consts::TENURE_TRUST;
    if !trusted || w.stopping.is_some() {
        return;
    }
    if let Some(pace) = pace(w, now)
        && now >= w.list_at + pace
    {
        w.list_at = now;
        w.counts.list_polls += 1;
        out.push(Command::PollList);
    }
}

/// A poll has ended. An unreadable or empty list tells nothing about leafs.
pub fn listed(w: &mut Watch, got: Result<Vec<LeafInfo>, String>, out: &mut Vec<Command>) {
    let list = match got {
        Ok(list) => list,
        Err(why) => {
            w.counts.list_troubles += 1;
            out.push(Command::Alarm(format!("the platform's list: {why}")));
            return;
        }
    };
    let fence = (w.membership.term, w.membership.turn);
    for partition in ours(w) {
        let known = w.held.get(&partition).map(|h| leafs_in(&h.map)).unwrap_or_default();
        let mine: Vec<LeafInfo> =
            list.iter().filter(|l| part_of(&l.service) == partition).cloned().collect();
        let same = mine.len() == known.len()
            && mine.iter().all(|l| {
                known.get(&l.leaf).is_some_and(|k| {
                    let leaving = k.leaving || l.leaving;
                    LeafInfo { leaving, age_ms: k.age_ms, ..l.clone() } == *k
                })
            });
        // With the core out of reach the list is told to nobody; that a leaf
        // leaves can be said among members too.
        for info in mine.iter().filter(|l| l.leaving) {
            let word =
                LeafReport { leaf: info.leaf.clone(), leaving: true, ..LeafReport::default() };
            hear(w, info.service.clone(), word);
        }
        if !same {
            to_core(w, Message::LeafList { partition, fence, leafs: mine }, out);
        }
    }
}

/// Sends a report to the core: by the seat that serves us, or by all.
pub fn to_core(w: &Watch, message: Message, out: &mut Vec<Command>) {
    match w.lease.slot {
        Some(slot) => out.push(Command::ToSeat { slot, message }),
        None => {
            for slot in slots(w) {
                out.push(Command::ToSeat { slot, message: message.clone() });
            }
        }
    }
}

/// Takes in what a leaf said of itself, to us or to a member of the membership.
pub fn hear(w: &mut Watch, service: String, word: LeafReport) {
    w.gone_at = if word.gone { w.now } else { w.gone_at };
    if held(w, &service, &word.leaf).is_none_or(|info| committed(&info, &word)) {
        return;
    }
    let old = w.words.entry(word.leaf.clone()).or_insert_with(|| Heard {
        service,
        word: LeafReport { leaf: word.leaf.clone(), ..LeafReport::default() },
        sent: 0,
        passed: 0,
    });
    if (word.leaving && !old.word.leaving) || (word.gone && !old.word.gone) {
        (old.sent, old.passed) = (0, 0);
        w.stale = true;
    }
    old.word.leaving |= word.leaving;
    old.word.gone |= word.gone;
    old.word.age_ms = old.word.age_ms.max(word.age_ms);
    w.unsorted = true;
}

/// Members hand on what leafs told them. The core has most likely been told as
/// well; we tell it later if the feed stays silent.
pub fn handed(w: &mut Watch, now: Tick, partition: PartitionId, words: Vec<LeafReport>) {
    for word in words {
        let known = w.held.get(&partition).and_then(|h| h.map.get(&key(&word.leaf)));
        let Some(info) = known.and_then(|v| LeafInfo::deserialize_bin(v).ok()) else { continue };
        let name = word.leaf.clone();
        let before = w.words.get(&name).map(|h| (h.word.leaving, h.word.gone));
        hear(w, info.service, word);
        let Some(heard) = w.words.get_mut(&name) else { continue };
        if before != Some((heard.word.leaving, heard.word.gone)) {
            heard.sent = now.max(1);
            w.counts.words_from_members += 1;
        }
    }
}

/// A leaf as the feed shows it.
fn held(w: &Watch, service: &str, leaf: &str) -> Option<LeafInfo> {
    let val = w.held.get(&part_of(service))?.map.get(&key(leaf))?;
    LeafInfo::deserialize_bin(val).ok()
}

/// Whether a leaf's entry shows all that matters of a word.
fn committed(info: &LeafInfo, word: &LeafReport) -> bool {
    let age = info.age_ms >= consts::AGE_TOLD_MS
        || word.age_ms < info.age_ms * consts::AGE_FACTOR + consts::AGE_FIRST_MS;
    (info.leaving || !(word.leaving || word.gone)) && age
}

/// Sends words of leafs to the core until the feed shows them, and those that
/// can't wait to our neighbours, who pass on what is new to them: with the
/// core out of reach everyone must hear of them all the same.
pub fn findings(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    if std::mem::take(&mut w.unsorted) {
        let mut words = std::mem::take(&mut w.words);
        words.retain(|leaf, h| held(w, &h.service, leaf).is_some_and(|i| !committed(&i, &h.word)));
        w.words = words;
    }
    let mut due: BTreeMap<PartitionId, Vec<LeafReport>> = BTreeMap::new();
    let mut pass: BTreeMap<PartitionId, Vec<LeafReport>> = BTreeMap::new();
    // An age can wait for others; that a leaf leaves or is gone can't.
    let ages = now >= w.ages_at;
    if ages {
        w.ages_at = now + consts::REPORT_AGAIN;
    }
    let again = |at: Tick| at == 0 || since(at, now) >= consts::REPORT_AGAIN;
    for heard in w.words.values_mut() {
        let urgent = heard.word.leaving || heard.word.gone;
        let partition = part_of(&heard.service);
        if again(heard.sent) && (urgent || ages) {
            heard.sent = now.max(1);
            due.entry(partition).or_default().push(heard.word.clone());
        }
        if urgent && again(heard.passed) {
            heard.passed = now.max(1);
            pass.entry(partition).or_default().push(heard.word.clone());
        }
    }
    for (partition, words) in due {
        // To every seat: the one that serves us may be cut off from the owner.
        for slot in slots(w) {
            let message = Message::LeafReports { partition, words: words.clone() };
            out.push(Command::ToSeat { slot, message });
        }
    }
    if !pass.is_empty() {
        for name in w.ring.near.clone() {
            for (partition, words) in &pass {
                let message = Message::LeafReports { partition: *partition, words: words.clone() };
                status::to_member(w, &name, message, out);
            }
        }
    }
}

/// Time passes: probe the leafs whose keys are ours.
pub fn probe(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let Some(view) = &w.view else { return };
    if now < w.probe_at || w.stopping.is_some() {
        return;
    }
    w.probe_at = now + consts::PROBE_BEAT;
    let list: Vec<_> = view
        .leafs
        .values()
        .filter(|l| w.ring.probes.get((hash(&l.leaf) % consts::PROBE_KEYS) as usize) == Some(&true))
        .cloned()
        .collect();
    if !list.is_empty() {
        w.counts.probes += list.len() as u64;
        out.push(Command::Probe(list));
    }
}
