//! The voter set: which replica holds each voter slot.

use nanoserde::{DeBin, SerBin};

use crate::consts;
use crate::digest::hash;
use crate::identifiers::VoterSlot;

/// The slot number of a controller that holds no slot.
pub const NO_SLOT: VoterSlot = VoterSlot::MAX;
/// Generation of the holders with which a cluster begins.
pub const FIRST_GENERATION: u32 = 1;

/// The holder of a voter slot.
///
/// Invariant: one (`generation`, `replica_id`) always has the same `addr` and `zone`, except that
/// the zone of an initial holder is filled in once it is known. A vacant slot has generation 0
/// and replica id 0.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct SlotHolder {
    /// Rises with each takeover and each handover of the slot.
    pub generation: u32,
    /// Replica id: drawn at random once for a disk; that of an initial holder is derived from
    /// the seeds.
    pub replica_id: u64,
    /// The address at which other processes reach it.
    pub addr: String,
    pub zone: String,
}

/// All voter slots. Empty while the voter set is not known.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct VoterSet {
    pub slots: Vec<SlotHolder>,
}

/// One voter slot and its group: what replication needs to know of the voter set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoterGroup {
    pub slot: VoterSlot,
    /// Number of slots, including vacant ones.
    pub size: usize,
    /// Slots that a replica holds, as bits.
    pub occupied: u16,
    /// Slots that their initial holder still has, as bits.
    pub initial_holders: u16,
    /// Whether this controller's disk has been used since the cluster was first started.
    pub is_original_disk: bool,
}

/// Returns the size of a majority of `size` slots.
pub fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns the group as the holder of `slot` sees it.
pub fn group(voter_set: &VoterSet, slot: VoterSlot, is_original_disk: bool) -> VoterGroup {
    let bits = |fits: &dyn Fn(&SlotHolder) -> bool| {
        let list = voter_set.slots.iter().enumerate();
        list.filter(|(_, h)| fits(h)).fold(0u16, |bits, (i, _)| bits | 1 << i)
    };
    VoterGroup {
        slot,
        size: voter_set.slots.len(),
        occupied: bits(&|h| h.replica_id != 0),
        initial_holders: bits(&|h| h.generation == FIRST_GENERATION),
        is_original_disk,
    }
}

/// Returns every other slot that a replica holds.
pub fn other_voters(g: VoterGroup) -> impl Iterator<Item = VoterSlot> {
    (0..g.size as VoterSlot).filter(move |s| *s != g.slot && g.occupied >> *s & 1 == 1)
}

/// Number of generations of a slot between two takeovers; those in between are handovers. A
/// takeover that a majority of the other voters has agreed to thereby wins over any handover
/// that it does not know of. This leaves a million takeovers, with four thousand handovers after
/// each.
const GENERATION_STRIDE: u32 = 1 << 12;

/// Returns the generation of a replica that takes a slot over from a lost holder.
pub fn after_takeover(generation: u32) -> u32 {
    (generation / GENERATION_STRIDE + 1) * GENERATION_STRIDE
}

/// Returns the generation of the successor to which a holder hands its slot over, if one is left
/// before the next takeover's.
pub fn after_handover(generation: u32) -> Option<u32> {
    let next = generation.max(FIRST_GENERATION) + 1;
    (!next.is_multiple_of(GENERATION_STRIDE)).then_some(next)
}

/// Returns the key that orders two holders of a slot: the higher one wins.
pub fn ballot(h: &SlotHolder) -> (u32, u64) {
    (h.generation, h.replica_id)
}

/// Returns a hash that two voter sets share only if the same replicas hold the slots.
pub fn stamp(voter_set: &VoterSet) -> u64 {
    let text: String =
        voter_set.slots.iter().map(|h| format!("{}.{:x}/", h.generation, h.replica_id)).collect();
    hash(&text)
}

/// Returns the slot of a replica.
pub fn slot_of(voter_set: &VoterSet, replica_id: u64) -> Option<VoterSlot> {
    let at = voter_set.slots.iter().position(|h| replica_id != 0 && h.replica_id == replica_id)?;
    Some(at as VoterSlot)
}

/// Returns `ours` with everything that is newer in `theirs`, or `None` if nothing is. A voter
/// set of another size belongs to another cluster.
pub fn merge(ours: &VoterSet, theirs: &VoterSet) -> Option<VoterSet> {
    let size = theirs.slots.len();
    if size == 0 || size > usize::from(consts::MAX_VOTER_SLOTS) {
        return None;
    }
    if ours.slots.is_empty() {
        return Some(theirs.clone());
    }
    if ours.slots.len() != size {
        return None;
    }
    let mut new = ours.clone();
    for (mine, received) in new.slots.iter_mut().zip(&theirs.slots) {
        if ballot(received) > ballot(mine) {
            *mine = received.clone();
        } else if ballot(received) == ballot(mine) && mine.zone.is_empty() {
            mine.zone.clone_from(&received.zone);
        }
    }
    (new != *ours).then_some(new)
}

/// Returns the replica id of the initial holder of a slot at an address.
pub fn initial_replica_id(addr: &str) -> u64 {
    hash(addr) | 1
}

/// Returns the voter set with which a cluster begins: its seeds hold the first slots, the others
/// are vacant. With fewer seeds than a majority no vote could ever succeed, so the number of
/// slots is reduced in that case.
pub fn initial_voter_set(seeds: &[String], size: usize) -> VoterSet {
    let mut size = size.min(usize::from(consts::MAX_VOTER_SLOTS));
    if seeds.len() < majority(size) {
        size = (seeds.len().max(1) - 1) | 1;
    }
    let slot = |i: usize| match seeds.get(i) {
        Some(addr) => SlotHolder {
            generation: FIRST_GENERATION,
            replica_id: initial_replica_id(addr),
            addr: addr.clone(),
            zone: String::new(),
        },
        None => SlotHolder::default(),
    };
    VoterSet { slots: (0..size).map(slot).collect() }
}

/// Returns the voter set of a cluster whose controllers are configured with their slots: the
/// seeds in their order. Replicas are identified by their slot, so an operator may move one to
/// another address.
pub fn fixed_voter_set(seeds: &[String]) -> VoterSet {
    let slot = |(i, addr): (usize, &String)| SlotHolder {
        generation: FIRST_GENERATION,
        replica_id: fixed_replica_id(i as VoterSlot),
        addr: addr.clone(),
        zone: String::new(),
    };
    VoterSet { slots: seeds.iter().enumerate().map(slot).collect() }
}

/// Returns the replica id of a controller that is configured with its slot.
pub fn fixed_replica_id(slot: VoterSlot) -> u64 {
    u64::from(slot) + 1
}

/// Whether a replica in a zone may hold `slot`. No zone may come to hold so many slots that
/// its loss would take the majority, unless one already does.
pub fn keeps_zones_balanced(voter_set: &VoterSet, slot: VoterSlot, zone: &str) -> bool {
    let size = voter_set.slots.len();
    let count = |zone: &str, without: Option<VoterSlot>| {
        let list = voter_set.slots.iter().enumerate();
        list.filter(|(i, h)| {
            h.replica_id != 0 && h.zone == zone && Some(*i as VoterSlot) != without
        })
        .count()
    };
    let largest_zone = voter_set.slots.iter().map(|h| count(&h.zone, None)).max().unwrap_or(0);
    let slots_with_replica = count(zone, Some(slot)) + 1;
    zone.is_empty() || slots_with_replica <= (size - majority(size)).max(largest_zone)
}
