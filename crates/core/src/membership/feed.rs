//! Which seats feed us. One does wholly. The others only say how far they are,
//! which costs a fourth and shows at once when ours lacks something: then that
//! seat feeds us too until we have it. Without the core's word all feed us, and
//! so they do at a start, until we have a view and a lease.

use std::collections::BTreeMap;

use crate::consts;
use crate::digest::{hash, pair};
use crate::identifiers::{BEYOND, COHORT, VoterSlot};
use crate::membership::node_agent::{Command, Watch, places, slots};
use crate::membership::status::core_age;
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{Tick, since};

/// What we know of the seats as feeders.
#[derive(Default)]
pub struct Feed {
    /// When each seat last said how far it is.
    pub at: BTreeMap<VoterSlot, Tick>,
    /// When the others are next asked.
    pub others_at: Tick,
}

/// Asks the seats for news if it is time; without a view often, and all of them.
pub fn follow(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    if now < w.follow_at {
        return;
    }
    w.follow_at = now + if w.sure { consts::FOLLOW_BEAT } else { consts::TENURE_SEEK };
    let others = now >= w.feed.others_at;
    if others {
        w.feed.others_at = now + consts::OTHERS_BEAT;
    }
    let mut list = places(w);
    list.push(FeedPosition { partition: COHORT, revision: w.membership.feed_revision() });
    let beyond = list.iter().map(|p| FeedPosition { revision: BEYOND, ..*p }).collect();
    let whole = Message::Subscribe { places: list, stamp: w.stamp };
    let only = Message::Subscribe { places: beyond, stamp: w.stamp };
    if w.table.slots.is_empty() {
        out.push(Command::ToAll { message: whole.clone() });
    }
    let (first, all) = (feeder(w, now), seeks(w) || worry(w, now));
    for slot in slots(w) {
        if all || first.is_none_or(|f| f == slot) || ahead(w, slot) {
            out.push(Command::ToSeat { slot, message: whole.clone() });
        } else if others {
            out.push(Command::ToSeat { slot, message: only.clone() });
        }
    }
}

/// Whether we are still starting: what waits for one seat then, the fleet's
/// recovery from a restart of everything waits for.
fn seeks(w: &Watch) -> bool {
    !w.sure || !w.lease.granted
}

/// Whether we had the core's word and lack it now.
fn worry(w: &Watch, now: Tick) -> bool {
    w.lease.granted && core_age(w, now) >= consts::TENURE_WORRY
}

/// The seat that feeds us: the first by rendezvous that spoke lately, so that
/// followers are spread evenly. At a start each counts as having spoken, and one
/// that has just taken its seat does not before it speaks.
fn feeder(w: &Watch, now: Tick) -> Option<VoterSlot> {
    let me = hash(&w.me.name);
    slots(w)
        .into_iter()
        .filter(|s| since(*w.feed.at.get(s).unwrap_or(&w.began), now) < consts::FEED_SILENCE)
        .max_by_key(|s| pair(me, u64::from(*s)))
}

/// Whether a seat said that it is further than we are. It said so a beat ago:
/// what is merely on its way to us has come since.
fn ahead(w: &Watch, slot: VoterSlot) -> bool {
    let list = w.reach.get(usize::from(slot)).map_or(&[][..], |r| r);
    list.iter().any(|p| match w.held.get(&p.partition) {
        Some(held) => held.revision < p.revision,
        None => p.partition == COHORT && w.membership.feed_revision() < p.revision,
    })
}
