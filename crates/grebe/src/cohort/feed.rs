//! Which seats feed us. One does wholly. The others only say how far they are,
//! which costs a fourth and shows at once when ours lacks something: then that
//! seat feeds us too until we have it. Without the core's word all feed us.

use std::collections::BTreeMap;

use super::standing::core_age;
use super::watch::{Command, Watch, places};
use crate::consts;
use crate::digest::{hash, pair};
use crate::names::{BEYOND, COHORT, Seat};
use crate::state::members::mark;
use crate::time::{Tick, since};
use crate::wire::msg::{Msg, Place};

/// What we know of the seats as feeders.
#[derive(Default)]
pub struct Feed {
    /// When each seat last said how far it is.
    pub at: BTreeMap<Seat, Tick>,
    /// When the others are next asked.
    pub others_at: Tick,
}

/// Asks the seats for news if it is time.
pub fn follow(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    if now < w.follow_at {
        return;
    }
    w.follow_at = now + consts::FOLLOW_BEAT;
    let others = now >= w.feed.others_at;
    if others {
        w.feed.others_at = now + consts::OTHERS_BEAT;
    }
    let (first, worry) = (feeder(w, now), worry(w, now));
    for seat in 0..consts::SEATS as Seat {
        if worry || first.is_none_or(|f| f == seat) || ahead(w, now, first, seat) {
            let mut list = places(w);
            list.push(Place { part: COHORT, rev: mark(&w.cohort) });
            out.push(Command::ToSeat { seat, msg: Msg::Follow { places: list } });
        } else if others {
            let beyond = |p: Place| Place { rev: BEYOND, ..p };
            let mut list: Vec<Place> = places(w).into_iter().map(beyond).collect();
            list.push(Place { part: COHORT, rev: BEYOND });
            out.push(Command::ToSeat { seat, msg: Msg::Follow { places: list } });
        }
    }
}

/// Whether we had the core's word and lack it now.
fn worry(w: &Watch, now: Tick) -> bool {
    w.tenure.granted && core_age(w, now) >= consts::TENURE_WORRY
}

/// The seat that feeds us: the first by rendezvous that spoke lately, so that
/// followers are spread evenly. At a start each counts as having spoken.
fn feeder(w: &Watch, now: Tick) -> Option<Seat> {
    let me = hash(&w.me.name);
    (0..consts::SEATS as Seat)
        .filter(|s| since(*w.feed.at.get(s).unwrap_or(&w.began), now) < consts::FEED_SILENCE)
        .max_by_key(|s| pair(me, u64::from(*s)))
}

/// Whether a seat said that it is further than we are. It said so a beat ago:
/// what is merely on its way to us has come since.
fn ahead(w: &Watch, now: Tick, first: Option<Seat>, seat: Seat) -> bool {
    // At a start nothing is shown until the parts have owners. What our own
    // seat has too it will bring then: not all need to bring the whole.
    let young = !w.sure && since(w.began, now) < consts::START_PATIENCE;
    let brings = |p: &Place| {
        let list = first.map_or(&[][..], |f| &w.reach[usize::from(f)]);
        young && list.iter().any(|o| o.part == p.part && o.rev >= p.rev)
    };
    w.reach[usize::from(seat)].iter().any(|p| match w.held.get(&p.part) {
        Some(held) => held.rev < p.rev && !brings(p),
        None => p.part == COHORT && mark(&w.cohort) < p.rev && !brings(p),
    })
}
