//! Duties that one member does for all: each key has one holder.

use std::collections::BTreeMap;

use nanoserde::DeBin;

use crate::consts;
use crate::digest::hash;
use crate::identifiers::{CONFIG, PartitionId, part_of, partitions};
use crate::membership::node_agent::{Command, NodeAgent, PendingLeafReport, slots};
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
fn pace(w: &NodeAgent, now: Tick) -> Option<Span> {
    let hurried = since(w.leaf_gone_at, now) < consts::LIST_HURRIED && w.leaf_gone_at > 0;
    match w.ring.list_rank? {
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
pub fn ours(w: &NodeAgent) -> Vec<PartitionId> {
    match w.ring.list_rank {
        Some(0 | 1) => partitions().filter(|p| *p != CONFIG).collect(),
        _ => Vec::new(),
    }
}

/// Time passes: poll if it is due and a duty is ours under a good lease.
pub fn wake(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    let trusted = w.lease.granted && since(w.lease.renewed_at, now) < consts::TENURE_TRUST;
    if !trusted || w.stopping_since.is_some() {
        return;
    }
    if let Some(pace) = pace(w, now)
        && now >= w.list_polled_at + pace
    {
        w.list_polled_at = now;
        w.counters.list_polls += 1;
        out.push(Command::PollLeafList);
    }
}

/// A poll has ended. An unreadable or empty list tells nothing about leafs.
pub fn listed(w: &mut NodeAgent, got: Result<Vec<LeafInfo>, String>, out: &mut Vec<Command>) {
    let list = match got {
        Ok(list) => list,
        Err(why) => {
            w.counters.list_failures += 1;
            out.push(Command::Alarm(format!("the platform's list: {why}")));
            return;
        }
    };
    let fence = (w.membership.term, w.membership.turn);
    for partition in ours(w) {
        let known = w.partitions.get(&partition).map(|h| leafs_in(&h.entries)).unwrap_or_default();
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
pub fn to_core(w: &NodeAgent, message: Message, out: &mut Vec<Command>) {
    match w.lease.slot {
        Some(slot) => out.push(Command::ToVoter { slot, message }),
        None => {
            for slot in slots(w) {
                out.push(Command::ToVoter { slot, message: message.clone() });
            }
        }
    }
}

/// Takes in what a leaf said of itself, to us or to a member of the membership.
pub fn hear(w: &mut NodeAgent, service: String, word: LeafReport) {
    w.leaf_gone_at = if word.gone { w.now } else { w.leaf_gone_at };
    if held(w, &service, &word.leaf).is_none_or(|info| committed(&info, &word)) {
        return;
    }
    let old = w.leaf_reports.entry(word.leaf.clone()).or_insert_with(|| PendingLeafReport {
        service,
        report: LeafReport { leaf: word.leaf.clone(), ..LeafReport::default() },
        sent_at: 0,
        passed_on_at: 0,
    });
    if (word.leaving && !old.report.leaving) || (word.gone && !old.report.gone) {
        (old.sent_at, old.passed_on_at) = (0, 0);
        w.view_is_stale = true;
    }
    old.report.leaving |= word.leaving;
    old.report.gone |= word.gone;
    old.report.age_ms = old.report.age_ms.max(word.age_ms);
    w.reports_unchecked = true;
}

/// Members hand on what leafs told them. The core has most likely been told as
/// well; we tell it later if the feed stays silent.
pub fn handed(w: &mut NodeAgent, now: Tick, partition: PartitionId, words: Vec<LeafReport>) {
    for word in words {
        let known = w.partitions.get(&partition).and_then(|h| h.entries.get(&key(&word.leaf)));
        let Some(info) = known.and_then(|v| LeafInfo::deserialize_bin(v).ok()) else { continue };
        let name = word.leaf.clone();
        let before = w.leaf_reports.get(&name).map(|h| (h.report.leaving, h.report.gone));
        hear(w, info.service, word);
        let Some(heard) = w.leaf_reports.get_mut(&name) else { continue };
        if before != Some((heard.report.leaving, heard.report.gone)) {
            heard.sent_at = now.max(1);
            w.counters.leaf_reports_from_members += 1;
        }
    }
}

/// A leaf as the feed shows it.
fn held(w: &NodeAgent, service: &str, leaf: &str) -> Option<LeafInfo> {
    let val = w.partitions.get(&part_of(service))?.entries.get(&key(leaf))?;
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
pub fn findings(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    if std::mem::take(&mut w.reports_unchecked) {
        let mut words = std::mem::take(&mut w.leaf_reports);
        words
            .retain(|leaf, h| held(w, &h.service, leaf).is_some_and(|i| !committed(&i, &h.report)));
        w.leaf_reports = words;
    }
    let mut due: BTreeMap<PartitionId, Vec<LeafReport>> = BTreeMap::new();
    let mut pass: BTreeMap<PartitionId, Vec<LeafReport>> = BTreeMap::new();
    // An age can wait for others; that a leaf leaves or is gone can't.
    let ages = now >= w.ages_at;
    if ages {
        w.ages_at = now + consts::REPORT_AGAIN;
    }
    let again = |at: Tick| at == 0 || since(at, now) >= consts::REPORT_AGAIN;
    for heard in w.leaf_reports.values_mut() {
        let urgent = heard.report.leaving || heard.report.gone;
        let partition = part_of(&heard.service);
        if again(heard.sent_at) && (urgent || ages) {
            heard.sent_at = now.max(1);
            due.entry(partition).or_default().push(heard.report.clone());
        }
        if urgent && again(heard.passed_on_at) {
            heard.passed_on_at = now.max(1);
            pass.entry(partition).or_default().push(heard.report.clone());
        }
    }
    for (partition, words) in due {
        // To every seat: the one that serves us may be cut off from the owner.
        for slot in slots(w) {
            let message = Message::LeafReports { partition, words: words.clone() };
            out.push(Command::ToVoter { slot, message });
        }
    }
    if !pass.is_empty() {
        for name in w.ring.neighbours.clone() {
            for (partition, words) in &pass {
                let message = Message::LeafReports { partition: *partition, words: words.clone() };
                status::to_member(w, &name, message, out);
            }
        }
    }
}

/// Time passes: probe the leafs whose keys are ours.
pub fn probe(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    let Some(view) = &w.view else { return };
    if now < w.probe_at || w.stopping_since.is_some() {
        return;
    }
    w.probe_at = now + consts::PROBE_BEAT;
    let list: Vec<_> = view
        .leafs
        .values()
        .filter(|l| {
            w.ring.probe_keys.get((hash(&l.leaf) % consts::PROBE_KEYS) as usize) == Some(&true)
        })
        .cloned()
        .collect();
    if !list.is_empty() {
        w.counters.probes += list.len() as u64;
        out.push(Command::ProbeLeafs(list));
    }
}
