//! Calls that are handed over unchanged: how they are planned, what a reply is
//! to them, and how they end. The rest is `step`, as for any query.

use std::sync::Arc;

use super::engine::*;
use crate::config::route::Route;
use crate::config::types::Form;
use crate::consts;
use crate::http_api::leaf::{MISDIRECTED, Raw, Trouble};
use crate::query::coverage::served;
use crate::query::dispatch::{
    advance, count_in, free, need, room, shift, slot, start, sweep, taken,
};
use crate::query::forwarded_request::{ForwardedRequest, Joined, Passed, join};
use crate::query::latency_estimate;
use crate::query::leaf;
use crate::query::request::{Outcome, Reason, Rejection};
use crate::random::Random;
use crate::routing_language::compile::Send;
use crate::time::{Tick, since};

/// A call has come.
pub fn begin(
    d: &mut QueryEngine,
    now: Tick,
    call: u64,
    parcel: Arc<ForwardedRequest>,
    out: &mut Vec<Command>,
) {
    let q = plan(d, now, call, parcel);
    start(d, now, call, q, out);
}

fn plan(
    d: &mut QueryEngine,
    now: Tick,
    call: u64,
    parcel: Arc<ForwardedRequest>,
) -> Result<Query, Rejection> {
    taken(d, now)?;
    let Some(map) = d.view.route_for(&parcel.host, &parcel.path).cloned() else {
        let text = "no search takes calls of this host and path";
        return Err(Rejection::new(Reason::NoMapping, text));
    };
    room(d, map.class)?;
    let shards = match map.send {
        Send::Wide => (0..map.shards.len()).collect(),
        Send::One => vec![crate::query::dispatch::shard_of(&map, &parcel.id)],
        Send::Weighed => vec![drawn(&map, &mut d.luck)],
    };
    let budget = parcel.budget.unwrap_or(map.promise);
    let keep = (budget * consts::MERGE_KEEP_PCT / 100)
        .clamp(consts::MERGE_KEEP_MIN, consts::MERGE_KEEP_MAX);
    let usable = budget.saturating_sub(keep).min(map.promise);
    if usable == 0 {
        let text = "the budget leaves no time to ask anyone";
        return Err(Rejection::new(Reason::OutOfTime, text));
    }
    let (stop, hold) = match map.target {
        None => (usable * map.stop_pct / 100, usable),
        Some(target) => {
            let keep = (target * consts::TARGET_KEEP_PCT / 100)
                .clamp(consts::TARGET_KEEP_MIN, consts::TARGET_KEEP_MAX);
            (target.saturating_sub(keep), target * consts::HOLD_PCT / 100)
        }
    };
    Ok(Query {
        call,
        name: format!("{}-{}", d.name, d.next_query),
        revision: d.view.revision,
        start: now,
        stop_at: now + stop.min(usable),
        end: now + usable,
        limit: 0,
        digest: String::new(),
        body: Arc::default(),
        slots: shards.into_iter().map(slot).collect(),
        parcel: Some(parcel),
        hold: now + hold.min(usable),
        ran: false,
        last: None,
        map,
    })
}

/// A shard drawn by the mapping's weights.
pub fn drawn(map: &Route, luck: &mut Random) -> usize {
    let mut left = luck.below(map.weights.iter().sum());
    for (i, weight) in map.weights.iter().enumerate() {
        if left < *weight {
            return i;
        }
        left -= weight;
    }
    0
}

/// Whether the shards that are in are worth more now than all of them later.
pub fn enough(q: &Query, have: usize) -> bool {
    q.parcel.is_none() || have * 100 >= q.slots.len() * consts::STOP_SHARE_PCT
}

/// What a reply is to a call that is handed over.
enum Word {
    /// It stands for its shard.
    Partial,
    /// One leaf's answer that goes back as it is.
    Answer,
    /// A failure after the leaf worked, or may have; given back if nothing
    /// better comes.
    Failed(Trouble),
    /// The leaf did not run it.
    Unrun(Trouble),
}

/// Judges a reply. Only a whole success with one stamp that answers just this
/// dispatch is a part.
fn judge(raw: &Raw, form: Form) -> Word {
    // Whatever another call's answer says, it says nothing of this one.
    if raw.heads.foreign {
        return Word::Failed(Trouble::WrongPostmark);
    }
    if raw.status == MISDIRECTED {
        return Word::Unrun(Trouble::Misdirected);
    }
    if raw.heads.unrun {
        // What is wrong with the call itself is wrong elsewhere too.
        let own = raw.status == 400 && form == Form::Pass;
        return if own { Word::Answer } else { Word::Unrun(Trouble::Unrun) };
    }
    let good = (200..300).contains(&raw.status);
    match (good, raw.heads.postmarks.len(), form) {
        (true, 1, Form::Pass) => Word::Answer,
        (true, 1, _) => Word::Partial,
        (true, 0, _) => Word::Failed(Trouble::NoPostmark),
        (true, _, _) => Word::Failed(Trouble::TwoPostmarks),
        // The leaf's own word on the call, not a failure of the leaf.
        (false, _, Form::Pass) if raw.status < 500 && !promises(raw.status) => Word::Answer,
        (false, _, _) => Word::Failed(Trouble::Status),
    }
}

/// Whether a status promises that the call has not run. From a leaf that did
/// not say so besides, it promises nothing and must not be passed on.
fn promises(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a dispatch that ended so may have been worked on.
fn ran(why: Trouble) -> bool {
    !matches!(why, Trouble::Unreachable | Trouble::Unrun | Trouble::Misdirected)
}

/// A dispatch of a call that is handed over has ended.
pub fn reply(
    d: &mut QueryEngine,
    now: Tick,
    (num, sent): (u64, Dispatch),
    mut q: Query,
    got: Result<Raw, Trouble>,
    out: &mut Vec<Command>,
) {
    free(d, &sent);
    let planned = q.slots[sent.slot].shard;
    let word = match &got {
        Err(why) if ran(*why) => Word::Failed(*why),
        Err(why) => Word::Unrun(*why),
        Ok(raw) => judge(raw, q.map.form),
    };
    // Coverage: the shard is derived, and must be the one that was planned.
    let word = match word {
        Word::Partial | Word::Answer
            if served(&d.view, &q.map, &sent.leaf, &sent.service) != Some(planned) =>
        {
            Word::Failed(Trouble::WrongService)
        }
        word => word,
    };
    let took = since(sent.at, now);
    note(d, now, &sent, &word, took);
    if matches!(word, Word::Partial | Word::Answer) {
        latency_estimate::note(&mut d.waits, &q.map.name, took);
    }
    let slot = &mut q.slots[sent.slot];
    slot.outs.retain(|o| *o != num);
    let done = slot.state == SlotState::In;
    match word {
        _ if done => {}
        Word::Partial | Word::Answer => {
            q.ran = true;
            slot.part = got.ok().map(Arc::new);
            shift(slot, SlotState::In);
            let others = std::mem::take(&mut slot.outs);
            overtaken(d, now, &sent, &others);
        }
        Word::Unrun(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            if why == Trouble::Unreachable {
                // Nothing arrived anywhere: this was no try.
                slot.tries = slot.tries.saturating_sub(1);
            }
            if slot.outs.is_empty() {
                shift(slot, SlotState::Wanting);
                if slot.tries >= q.map.attempts || slot.tried.len() >= most(&q.map) {
                    shift(slot, SlotState::Lost(Reason::NoRoom));
                }
            }
        }
        Word::Failed(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            q.ran = true;
            if let Ok(raw) = got
                && why == Trouble::Status
                && !promises(raw.status)
            {
                q.last = Some(Arc::new(raw));
            }
            let slot = &mut q.slots[sent.slot];
            if slot.outs.is_empty() {
                shift(slot, SlotState::Wanting);
                if q.map.once || slot.tries >= q.map.attempts || slot.tried.len() >= most(&q.map) {
                    shift(slot, SlotState::Lost(Reason::BelowQuorum));
                }
            }
        }
    }
    d.queries.insert(sent.query, q);
    advance(d, now, sent.query, out);
    sweep(d, now, out);
}

/// Leafs that one shard of one call may be offered to, those that could not be
/// reached included.
fn most(map: &Route) -> usize {
    map.attempts as usize + consts::UNREACHED_MAX
}

/// What a reply says of its leaf.
fn note(d: &mut QueryEngine, now: Tick, sent: &Dispatch, word: &Word, took: u64) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    match word {
        Word::Partial | Word::Answer => {
            leaf::good(l, took);
            leaf::strain(l, took, now);
        }
        Word::Unrun(Trouble::Unrun) => leaf::turned(l, now),
        Word::Unrun(_) | Word::Failed(_) => leaf::bad(l, now),
    }
}

/// Dispatches that were sent earlier and are still silent were overtaken.
fn overtaken(d: &mut QueryEngine, now: Tick, sent: &Dispatch, others: &[u64]) {
    for other in others {
        if let Some(late) = d.dispatches.get(other)
            && late.at < sent.at
            && let Some(l) = d.leafs.get_mut(&late.leaf)
        {
            leaf::bad(l, now);
            *d.counts.trouble.entry(Trouble::Overtaken).or_default() += 1;
        }
    }
}

/// A dispatch has ended whose query is over: it still tells of its leaf.
pub fn late(d: &mut QueryEngine, now: Tick, sent: &Dispatch, got: &Result<Raw, Trouble>) {
    if !sent.handed {
        return;
    }
    let word = match got {
        // Whatever was asked, a leaf that answers with less than a failure of
        // its own stands well.
        Ok(raw) if raw.status < 500 && !raw.heads.unrun && raw.status != MISDIRECTED => {
            Word::Partial
        }
        Ok(raw) => judge(raw, Form::Join),
        Err(why) if ran(*why) => Word::Failed(*why),
        Err(why) => Word::Unrun(*why),
    };
    note(d, now, sent, &word, since(sent.at, now));
}

/// Enough shards are in: tells what came.
pub fn finish(d: &mut QueryEngine, q: Query, parcel: &ForwardedRequest, out: &mut Vec<Command>) {
    let missing = q.slots.len() - count_in(&q);
    let parts: Vec<&Arc<Raw>> = q.slots.iter().filter_map(|s| s.part.as_ref()).collect();
    debug_assert!(parts.len() >= need(&q));
    if missing == 0 {
        d.counts.full += 1;
    } else {
        d.counts.partial += 1;
    }
    let outcome = match (q.map.form, parts.first()) {
        (Form::Pass, Some(raw)) => {
            Outcome::Passed(Passed { id: parcel.id.clone(), raw: (*raw).clone() })
        }
        _ => {
            let bodies: Vec<&[u8]> = parts.iter().map(|r| r.body.as_slice()).collect();
            Outcome::Joined(Joined {
                id: parcel.id.clone(),
                stamps: parts.iter().flat_map(|r| r.heads.postmarks.clone()).collect(),
                missing,
                body: join(&bodies, q.map.width, q.map.top),
            })
        }
    };
    out.push(Command::Tell { call: q.call, outcome });
}
