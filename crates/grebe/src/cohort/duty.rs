//! Duties that one member does for all: each key has one holder.

use super::watch::{Command, Watch};
use crate::consts;
use crate::digest::{hash, pair};
use crate::names::{CONFIG, PartId, part_of, parts};
use crate::state::leafs;
use crate::time::{Tick, since};
use crate::view::leafs::LeafInfo;
use crate::wire::msg::{Cohort, Msg};

/// The member that holds the duty `key`: the highest by rendezvous among the
/// members whose joining is settled.
pub fn holder<'a>(cohort: &'a Cohort, key: &str) -> Option<&'a str> {
    let thing = hash(key);
    cohort
        .members
        .iter()
        .filter(|m| m.joined <= cohort.settled)
        .max_by_key(|m| (pair(thing, hash(&m.name)), &m.name))
        .map(|m| m.name.as_str())
}

/// The duty of polling the list for a part.
pub fn list_key(part: PartId) -> String {
    format!("list/{part}")
}

/// The parts for which we poll the list.
pub fn ours(w: &Watch) -> Vec<PartId> {
    parts()
        .filter(|p| *p != CONFIG)
        .filter(|p| holder(&w.cohort, &list_key(*p)) == Some(w.me.name.as_str()))
        .collect()
}

/// Time passes: poll if it is due and a duty is ours under a good tenure.
pub fn wake(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let trusted = w.tenure.granted && since(w.tenure.held_from, now) < consts::TENURE_TRUST;
    if now >= w.list_at && trusted && w.stopping.is_none() && !ours(w).is_empty() {
        w.list_at = now + consts::LIST_POLL;
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
    let fence = (w.cohort.epoch, w.cohort.turn);
    for part in ours(w) {
        let known = w.held.get(&part).map(|h| leafs::all(&h.map)).unwrap_or_default();
        let mine: Vec<LeafInfo> =
            list.iter().filter(|l| part_of(&l.service) == part).cloned().collect();
        let same = mine.len() == known.len()
            && mine.iter().all(|l| {
                known.get(&l.leaf).is_some_and(|k| {
                    k == l || (k.leaving && LeafInfo { leaving: true, ..l.clone() } == *k)
                })
            });
        if !same {
            to_core(w, Msg::Listed { part, fence, leafs: mine }, out);
        }
    }
}

/// Sends a report to the core: by the seat that serves us, or by all.
pub fn to_core(w: &Watch, msg: Msg, out: &mut Vec<Command>) {
    match w.tenure.seat {
        Some(seat) => out.push(Command::ToSeat { seat, msg }),
        None => {
            for seat in 0..consts::SEATS as u8 {
                out.push(Command::ToSeat { seat, msg: msg.clone() });
            }
        }
    }
}

/// Sends first-hand findings until the view shows them.
pub fn findings(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let view = w.view.clone();
    let done = |leaf: &str| {
        view.as_ref().is_some_and(|v| v.leafs.get(leaf).is_none_or(|l| l.leaving))
    };
    w.leaving.retain(|leaf, _| !done(leaf));
    let mut due = Vec::new();
    for (leaf, (service, at)) in &mut w.leaving {
        if *at == 0 || since(*at, now) >= consts::REPORT_AGAIN {
            *at = now.max(1);
            due.push(Msg::Leaving { leaf: leaf.clone(), service: service.clone() });
        }
    }
    for msg in due {
        // To every seat: the one that serves us may be cut off from the owner.
        for seat in 0..consts::SEATS as u8 {
            out.push(Command::ToSeat { seat, msg: msg.clone() });
        }
    }
}
