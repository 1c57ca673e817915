//! Replies to calls that are forwarded unchanged.

use std::sync::Arc;

use super::attempt::Dispatch;
use super::cancellation::free;
use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_reply::{Word, judge, promises};
use super::latency_estimate;
use super::leaf_feedback::{note, overtaken};
use super::planned_query::{Query, Slot, SlotState, failed, shift};
use super::request::Reason;
use crate::config::route::Route;
use crate::config::types::ServingMode;
use crate::consts;
use crate::http_api::leaf::{MISDIRECTED, Raw, Trouble};
use crate::time::{Tick, since};

/// A dispatch of a call that is handed over has ended.
pub(super) fn reply(
    d: &mut QueryEngine,
    now: Tick,
    (num, sent): (u64, &Dispatch),
    q: &mut Query,
    got: Result<Raw, Trouble>,
    out: &mut Vec<Command>,
) {
    free(d, sent);
    let word = word(d, q, sent, &got);
    note(d, now, sent, word.how());
    if word.how().is_ok() {
        latency_estimate::note(&mut d.waits, &q.map.name, since(sent.at, now));
    }
    let slot = &mut q.slots[sent.slot];
    slot.outs.retain(|o| *o != num);
    if slot.state == SlotState::In {
        return;
    }
    match word {
        Word::Partial | Word::Answer => {
            q.ran = true;
            slot.part = got.ok().map(Arc::new);
            shift(slot, SlotState::In);
            let others = std::mem::take(&mut slot.outs);
            overtaken(d, now, sent, &others, out);
        }
        Word::Unrun(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            if why == Trouble::Unreachable {
                // Nothing arrived anywhere: this was no try.
                slot.tries = slot.tries.saturating_sub(1);
            }
            let lost = spent(slot, &q.map);
            failed(slot, lost.then_some(Reason::NoRoom));
        }
        Word::Failed(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            q.ran = true;
            let lost = q.map.once || spent(slot, &q.map);
            failed(slot, lost.then_some(Reason::BelowQuorum));
            if let Ok(raw) = got
                && why == Trouble::Status
                && !promises(raw.status)
            {
                q.last = Some(Arc::new(raw));
            }
        }
    }
}

/// What a reply is to its call.
fn word(d: &QueryEngine, q: &Query, sent: &Dispatch, got: &Result<Raw, Trouble>) -> Word {
    let word = match got {
        Err(why) => Word::without_reply(*why),
        Ok(raw) => judge(raw, q.map.form),
    };
    // Coverage: the shard is derived, and must be the one that was planned.
    let planned = q.slots[sent.slot].shard;
    let covers = || served(&d.view, &q.map, &sent.leaf, &sent.service) == Some(planned);
    if word.how().is_ok() && !covers() {
        return Word::Failed(Trouble::WrongService);
    }
    word
}

/// Whether a shard has had all its dispatches, or been offered to all the leafs
/// that it may be, those that could not be reached included.
fn spent(slot: &Slot, map: &Route) -> bool {
    let most = map.attempts as usize + consts::UNREACHED_MAX;
    slot.tries >= map.attempts || slot.tried.len() >= most
}

/// A dispatch has ended whose query is over: it still tells of its leaf.
pub(super) fn late(d: &mut QueryEngine, now: Tick, sent: &Dispatch, got: &Result<Raw, Trouble>) {
    if !sent.handed {
        return;
    }
    let word = match got {
        // Whatever was asked, a leaf that answers with less than a failure of
        // its own stands well.
        Ok(raw) if raw.status < 500 && !raw.heads.unrun && raw.status != MISDIRECTED => {
            Word::Partial
        }
        Ok(raw) => judge(raw, ServingMode::Join),
        Err(why) => Word::without_reply(*why),
    };
    note(d, now, sent, word.how());
}
