//! Which seats feed us. One does wholly. The others only say how far they are,
//! which costs a fourth and shows at once when ours lacks something: then that
//! seat feeds us too until we have it. Without the core's word all feed us, and
//! so they do at a start, until we have a view and a lease.

use std::collections::BTreeMap;

use crate::consts;
use crate::digest::{hash, pair};
use crate::identifiers::{BEYOND, COHORT, VoterSlot};
use crate::membership::node_agent::{Command, NodeAgent, places, slots};
use crate::membership::status::core_age;
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{Tick, since};

/// What we know of the seats as feeders.
#[derive(Default)]
pub struct FeedSources {
    /// When each seat last said how far it is.
    pub answered_at: BTreeMap<VoterSlot, Tick>,
    /// When the others are next asked.
    pub ask_others_at: Tick,
}

/// Asks the seats for news if it is time; without a view often, and all of them.
pub fn follow(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    if now < w.subscribe_at {
        return;
    }
    w.subscribe_at = now + if w.is_caught_up { consts::FOLLOW_BEAT } else { consts::TENURE_SEEK };
    let others = now >= w.feed.ask_others_at;
    if others {
        w.feed.ask_others_at = now + consts::OTHERS_BEAT;
    }
    let mut list = places(w);
    list.push(FeedPosition { partition: COHORT, revision: w.membership.feed_revision() });
    let beyond = list.iter().map(|p| FeedPosition { revision: BEYOND, ..*p }).collect();
    let whole = Message::Subscribe { places: list, stamp: w.voter_set_stamp };
    let only = Message::Subscribe { places: beyond, stamp: w.voter_set_stamp };
    if w.voter_set.slots.is_empty() {
        out.push(Command::Broadcast { message: whole.clone() });
    }
    let (first, all) = (feeder(w, now), seeks(w) || worry(w, now));
    for slot in slots(w) {
        if all || first.is_none_or(|f| f == slot) || ahead(w, slot) {
            out.push(Command::ToVoter { slot, message: whole.clone() });
        } else if others {
            out.push(Command::ToVoter { slot, message: only.clone() });
        }
    }
}

/// Whether we are still starting: what waits for one seat then, the fleet's
/// recovery from a restart of everything waits for.
fn seeks(w: &NodeAgent) -> bool {
    !w.is_caught_up || !w.lease.granted
}

/// Whether we had the core's word and lack it now.
fn worry(w: &NodeAgent, now: Tick) -> bool {
    w.lease.granted && core_age(w, now) >= consts::TENURE_WORRY
}

/// The seat that feeds us: the first by rendezvous that spoke lately, so that
/// followers are spread evenly. At a start each counts as having spoken, and one
/// that has just taken its seat does not before it speaks.
fn feeder(w: &NodeAgent, now: Tick) -> Option<VoterSlot> {
    let me = hash(&w.member.name);
    slots(w)
        .into_iter()
        .filter(|s| {
            since(*w.feed.answered_at.get(s).unwrap_or(&w.started_at), now) < consts::FEED_SILENCE
        })
        .max_by_key(|s| pair(me, u64::from(*s)))
}

/// Whether a seat said that it is further than we are. It said so a beat ago:
/// what is merely on its way to us has come since.
fn ahead(w: &NodeAgent, slot: VoterSlot) -> bool {
    let list = w.voter_positions.get(usize::from(slot)).map_or(&[][..], |r| r);
    list.iter().any(|p| match w.partitions.get(&p.partition) {
        Some(held) => held.revision < p.revision,
        None => p.partition == COHORT && w.membership.feed_revision() < p.revision,
    })
}
