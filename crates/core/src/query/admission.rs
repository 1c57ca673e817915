//! Whether a call is taken at all.

use super::engine::{Door, QueryEngine};
use super::planned_query::wanting;
use super::request::{Reason, Rejection};
use crate::config::types::PriorityClass;
use crate::consts;
use crate::time::Tick;

/// Queries open to a class on one desk.
pub fn room_of(class: PriorityClass) -> usize {
    let pct = match class {
        PriorityClass::Ordinary => consts::ROOM_ORDINARY_PCT,
        PriorityClass::Lookup => consts::ROOM_LOOKUP_PCT,
        PriorityClass::Urgent => consts::ROOM_URGENT_PCT,
    };
    consts::QUERIES_LIVE * pct / 100
}

/// Whether calls are taken now.
pub(super) fn taken(d: &QueryEngine, now: Tick) -> Result<(), Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    match d.door {
        Door::Open => {}
        Door::Shut => return say(Reason::NoView, "this node holds no view yet"),
        Door::CutOff => return say(Reason::CutOff, "this node is cut off from the others"),
        Door::Stopping => return say(Reason::Stopping, "this node is going down"),
    }
    if now > d.grip {
        return say(Reason::CutOff, "this node's view may be old: it has no tenure now");
    }
    Ok(())
}

/// Whether there is room for one more query of a class.
pub(super) fn room(d: &QueryEngine, class: PriorityClass) -> Result<(), Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    if d.queries.len() >= room_of(class) {
        return say(Reason::Crowded, "this node works on all it may for this class");
    }
    let buffered = d.queries.values().filter(|q| wanting(q) > 0).count();
    if buffered * 100 >= room_of(class) * consts::BUFFER_PCT {
        return say(Reason::NoRoom, "too many queries already wait for room at the leafs");
    }
    Ok(())
}
