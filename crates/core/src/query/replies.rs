//! Replies of leafs.

use super::attempt::Dispatch;
use super::cancellation::free;
use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::leaf_feedback::{note, overtaken};
use super::planned_query::{Query, SlotState, failed, shift};
use super::progress::{advance, sweep};
use super::request::{Reason, Record};
use super::{forwarding, leaf, observed_load};
use crate::http_api::leaf::{Expect, Raw, Trouble, check, self_word};
use crate::protocol::message::LeafReport;
use crate::time::Tick;

/// A dispatch has ended. A late or unknown one changes nothing.
pub(super) fn reply(
    d: &mut QueryEngine,
    now: Tick,
    num: u64,
    got: Result<Raw, Trouble>,
    out: &mut Vec<Command>,
) {
    let Some(sent) = d.dispatches.swap_remove(&num) else { return };
    if let Ok(raw) = &got {
        hear(d, now, &sent, raw, out);
    }
    let Some(mut q) = d.queries.swap_remove(&sent.query) else {
        forwarding::late(d, now, &sent, &got);
        free(d, &sent);
        return sweep(d, now, out);
    };
    if q.parcel.is_some() {
        forwarding::reply(d, now, (num, &sent), &mut q, got, out);
    } else {
        searched(d, now, (num, &sent), &mut q, got, out);
    }
    d.queries.insert(sent.query, q);
    advance(d, now, sent.query, out);
    sweep(d, now, out);
}

/// A reply to a question of our own form.
fn searched(
    d: &mut QueryEngine,
    now: Tick,
    (num, sent): (u64, &Dispatch),
    q: &mut Query,
    got: Result<Raw, Trouble>,
    out: &mut Vec<Command>,
) {
    let checked = got.and_then(|raw| checked(d, q, sent, &raw));
    free(d, sent);
    note(d, now, sent, checked.as_ref().map(|_| ()).map_err(|why| *why));
    let slot = &mut q.slots[sent.slot];
    slot.outs.retain(|o| *o != num);
    match checked {
        Ok(mut recs) => {
            let name = &q.map.shards[slot.shard].name;
            for rec in &mut recs {
                rec.shard = name.clone();
            }
            slot.records = recs;
            shift(slot, SlotState::In);
            let others = std::mem::take(&mut slot.outs);
            overtaken(d, now, sent, &others, out);
        }
        Err(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            let lost = slot.tries >= q.map.attempts;
            failed(slot, lost.then_some(Reason::BelowQuorum));
        }
    }
}

/// The records of a reply that may stand for the planned shard.
fn checked(d: &QueryEngine, q: &Query, sent: &Dispatch, raw: &Raw) -> Result<Vec<Record>, Trouble> {
    let want = Expect {
        leaf: &sent.leaf,
        query: &sent.id,
        digest: &q.digest,
        cut: &q.map.cut,
        limit: q.limit,
    };
    let recs = check(raw, &want)?;
    // Coverage: the shard is derived, and must be the one that was planned.
    let planned = q.slots[sent.slot].shard;
    if served(&d.view, &q.map, &sent.leaf, &sent.service) != Some(planned) {
        return Err(Trouble::WrongService);
    }
    Ok(recs)
}

/// Takes in what a leaf says of itself.
fn hear(d: &mut QueryEngine, now: Tick, sent: &Dispatch, raw: &Raw, out: &mut Vec<Command>) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    let before = l.leaving;
    // A reply of another leaf, at a reused address, says of ours only that it
    // is gone.
    let gone = raw.status == crate::http_api::leaf::MISDIRECTED && !raw.heads.foreign;
    if gone {
        l.leaving = true;
    } else {
        leaf::word(l, &self_word(&raw.heads), now);
        if let Some(load) = raw.heads.load {
            observed_load::hear(l, load);
        }
    }
    if l.leaving && !before {
        let word = LeafReport { leaf: sent.leaf.clone(), leaving: !gone, gone, age_ms: 0 };
        out.push(Command::Word { service: sent.service.clone(), word });
    }
}
