//! Following the feed, and making views of it.

use std::sync::Arc;

use super::watch::{Command, Watch};
use crate::config::{build, change};
use crate::consts::{self, MAJORITY};
use crate::disk::rec::put;
use crate::names::{CONFIG, PartId, parts};
use crate::state::leafs;
use crate::time::{Tick, since};
use crate::view::whole::view;
use crate::wire::msg::{Msg, Place};

/// Takes news of one part. News that does not reach beyond what we hold, or
/// that would leave a gap, changes nothing.
pub fn take(
    w: &mut Watch,
    part: PartId,
    from: Option<u64>,
    rev: u64,
    entries: &[change::Entry],
    out: &mut Vec<Command>,
) -> bool {
    let Some(held) = w.held.get_mut(&part) else { return false };
    if rev <= held.rev || from.is_some_and(|f| f > held.rev) {
        return false;
    }
    if from.is_none() {
        held.map.clear();
    }
    put(&mut held.map, entries);
    held.rev = rev;
    w.stale = true;
    w.counts.news += 1;
    if part == CONFIG {
        match change::config(&held.map).map_err(|text| vec![text]).and_then(|c| {
            build::build(&c).map_err(|all| all.iter().map(|f| f.to_string()).collect())
        }) {
            Ok(built) => {
                w.built = Arc::new(built);
                w.built_rev = rev;
            }
            Err(all) => out.push(Command::Alarm(format!(
                "configuration {rev} can't be obeyed, {} stays: {}",
                w.built_rev,
                all.join("; ")
            ))),
        }
    }
    true
}

/// News for another member that stands at `places`.
pub fn hand_on(w: &Watch, list: &[Place]) -> Vec<Msg> {
    list.iter()
        .filter_map(|place| {
            let held = w.held.get(&place.part)?;
            if held.rev <= place.rev {
                return None;
            }
            let entries = held.map.iter().map(|(k, v)| (k.clone(), Some(v.clone()))).collect();
            Some(Msg::News { part: place.part, from: None, rev: held.rev, entries })
        })
        .collect()
}

/// Whether our first view can't be older than one that we, in a former life,
/// or others obey. An accepted configuration is synced by two seats of three:
/// of two seats that speak, one has it; of three, two have it. With the core
/// silent, a ready member's view serves.
pub fn settle_start(w: &mut Watch, now: Tick) {
    if w.sure {
        return;
    }
    let ours = w.built_rev;
    if ours == 0 {
        return;
    }
    let mut said: Vec<u64> = w.reach.iter().flatten().filter(|r| r.0).map(|r| r.1).collect();
    said.sort_unstable();
    let least = match said.len() {
        n if n > MAJORITY => said[1],
        n if n == MAJORITY => said[1],
        _ => u64::MAX,
    };
    let peer = since(w.began, now) > consts::START_PATIENCE
        && w.peers.values().any(|p| {
            p.ready && p.places.iter().any(|pl| pl.part == CONFIG && pl.rev <= ours)
        });
    w.sure = ours >= least || peer;
}

/// Gives out a new view if what we hold has changed.
pub fn publish(w: &mut Watch, out: &mut Vec<Command>) {
    if !w.sure || !w.stale {
        return;
    }
    w.stale = false;
    let list = parts()
        .filter(|p| *p != CONFIG)
        .filter_map(|p| w.held.get(&p))
        .flat_map(|h| leafs::all(&h.map).into_values())
        .collect();
    let new = Arc::new(view(w.built_rev, w.built.clone(), list));
    w.view = Some(new.clone());
    w.counts.views += 1;
    out.push(Command::View(new));
}
