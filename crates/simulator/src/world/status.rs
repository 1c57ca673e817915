//! What a run shows of its state: its age, and whether the fleet has settled.

use grebepath_core::protocol::message::ReplicaCondition;
use grebepath_core::time::{Span, Tick};

use super::nodes::{ControllerNode, seated};
use super::{BEGIN, World};

/// The machines that are up and have a seat.
pub fn seated_up(w: &World) -> impl Iterator<Item = &ControllerNode> {
    w.seats.iter().filter(|s| s.up && seated(s))
}

/// Whether every seat is held by one living machine that has formed all parts,
/// and no machine thinks it has another's.
pub fn seats_whole(w: &World) -> bool {
    let Some(best) = seated_up(w).max_by_key(|n| {
        let list = &n.core.seating.roll.table.slots;
        list.iter().map(|h| u64::from(h.generation)).sum::<u64>()
    }) else {
        return false;
    };
    let table = &best.core.seating.roll.table;
    let whole =
        |n: &ControllerNode| n.core.partitions.iter().all(|p| p.life == ReplicaCondition::Voting);
    table.slots.iter().enumerate().all(|(k, h)| {
        let held: Vec<_> =
            seated_up(w).filter(|n| usize::from(n.core.slot) == k && whole(n)).collect();
        held.len() == 1 && held[0].core.seating.roll.me == h.holder
    })
}

/// Whether all seats that are up show the same configuration and all
/// queriers that are up obey it.
pub fn settled(w: &World) -> bool {
    let top = seated_up(w).map(|s| s.core.partitions[0].committed_revision).max();
    let Some(top) = top else { return false };
    seated_up(w).all(|s| s.core.partitions[0].committed_revision == top)
        && w.queriers
            .iter()
            .filter(|q| q.up)
            .all(|q| q.ready && q.watch.view.as_ref().is_some_and(|v| v.revision == top))
}

/// Time since the world began.
pub fn age(w: &World) -> Tick {
    w.now - BEGIN
}

/// Time since the world began, before the fleet had come up.
pub fn since_begin(w: &World) -> Span {
    w.now - BEGIN
}
