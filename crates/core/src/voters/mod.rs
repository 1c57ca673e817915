//! The voter slots of the replica groups: which replica holds each slot, how a controller takes
//! over the slot of a lost replica, and how a leaving replica hands its slot over. This module
//! has plain state and decisions and no I/O; what needs the state of the entire controller is in
//! `control_plane`, in files of the same names.
//!
//! **What is agreed.** For each slot a `SlotHolder`: generation, replica id, address. Of two
//! holders of a slot, the one with the higher (`generation`, replica id) wins, so two applicants
//! for one generation have the same outcome everywhere. The voter set of a process only rises,
//! and is on its disk before the process sends it or acts on it.
//!
//! **The rule.** Every message by which a partition is led, read or caught up (`VoteGranted`,
//! `AppendAck`, `HeartbeatAck`, `ReplicaStatus`) carries the stamp of the sender's voter set. It
//! counts only while the receiver's voter set has the same stamp and records the sender as the
//! holder of its slot. When its voter set changes, a leader counts its acknowledgements from
//! zero, and an election and a catch-up start again. So every majority consists of processes
//! that all held one voter set. Such a voter set is called *active*.
//!
//! **Active voter sets are totally ordered.** Take two of them, with their majorities. The
//! majorities share a slot. If one process holds it in both, its voter set has risen from the
//! one to the other. Otherwise, the later replica was caught up before it voted, from a majority
//! of other voting replicas that all held one voter set which records it. That voter set is
//! active, and earlier. Repeat the argument with it; it ends at the first voter set of the
//! cluster.
//!
//! **A committed write survives.** It was synced by a majority under an active voter set. Let a
//! later majority, under a later active voter set, elect a leader or confirm a read. The two
//! majorities share a slot. If the same replica holds it in both, its vote and its state
//! preserve the write, as in Raft. Otherwise the later replica was caught up, under an active
//! voter set in between, from the newest state and the highest term of a majority of the other
//! slots. That majority shares a slot, other than the replica's own, with the majority of the
//! write; if the replica there differs too, that one was caught up earlier still. A process
//! answers a new replica under the new replica's voter set only after it has ceased to vote
//! under the previous one, so nothing is missed in between.
//!
//! **Two replicas of a slot never both count**, since a majority counts the one that its voter
//! set names. A term belongs to a slot, not to a replica: a new replica knows the highest term
//! in which a majority voted, which is at least any term of its predecessor, so it requests
//! votes in a higher one.
//!
//! **Handovers.** A replica that leaves in an orderly way names its successor itself
//! (`handover`). It never votes again once the voter set without it is on its disk, and the
//! successor begins with its complete state, under that voter set or a later one. In the
//! arguments above the two therefore count as one process. A takeover wins over every handover
//! (`voter_set::after_takeover`): once its new replica votes, a majority of the other slots
//! holds its voter set, and too few are left for a majority under a voter set that names the
//! successor of the handover.
//!
//! **Where the agreement happens.** A new replica votes only when a majority of the voting slots
//! other than its own holds its voter set (`replication::catch_up`). Before that, it asks
//! whether they would grant it the slot (`JoinRequest`, `JoinOffer`), so that a false suspicion
//! of a single voter can't move a slot.

pub mod handover;
pub mod slot_takeover;
pub mod stamp;
pub mod voter_slots;
