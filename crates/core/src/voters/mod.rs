//! The voter slots of the replica groups: which replica holds each of them, how a
//! controller takes over one whose replica is gone, and how a replica that leaves
//! hands its slot over. Plain state and decisions, no I/O; what needs the whole
//! controller is in `control_plane`, in files of the same names.
//!
//! **What is agreed.** For each slot a `SlotHolder`: generation, replica id, address.
//! Between two holders of a slot the higher (`generation`, replica id) stands, so two
//! applicants for one generation end alike everywhere. A process's voter set only
//! rises, and is on its disk before the process sends it or acts by it.
//!
//! **The one rule.** Everything by which a partition is led, read or caught up
//! (`VoteGranted`, `AppendAck`, `HeartbeatAck`, `ReplicaStatus`) carries the stamp of
//! the sender's voter set, and counts only while the receiver's voter set has the same
//! stamp and records the sender as holder of its slot. When its voter set changes, a
//! leader counts its acknowledgements anew, and an election and a catch-up begin anew.
//! So every majority is one of processes that all held one voter set: call such a voter
//! set *active*.
//!
//! **Active voter sets have one order.** Take two, with their majorities. They meet in
//! a slot. If one process holds it in both, its voter set has risen from the one to the
//! other. If not, the later replica was caught up before it voted, from a majority of
//! voting others which all held one voter set that records it: an active voter set, and
//! earlier. Go on with that one; this ends with the first voter set of all.
//!
//! **A committed write survives.** It was synced by a majority under an active voter
//! set. Let a later majority, under a later active voter set, elect a leader or confirm
//! a read. The two meet in a slot. The same replica: as ever, by its vote and its
//! state. Another: it was caught up, under an active voter set in between, from the
//! newest state and the highest term of a majority of the other slots, which meets the
//! write's majority in a slot other than its own; if there too the replica is another,
//! that one was caught up earlier still. A process answers for a newcomer under the
//! newcomer's voter set only after it ceased to vote under the one before, so nothing
//! is missed in between.
//!
//! **Two replicas of a slot never both count**: a majority counts the one that its
//! voter set names. A term is a slot's own, not a replica's: a newcomer knows the
//! highest term that a majority voted in, which any term of its predecessor had, so it
//! asks for votes in one above it.
//!
//! **Handovers.** A replica that leaves in order names its successor itself
//! (`handover`). It votes no more from the moment that the voter set without it is on
//! its disk, and the successor begins with its whole state, under that voter set or a
//! later one; so the two count as one process in what is said above. A takeover stands
//! over every handover (`voter_set::after_takeover`): once its newcomer votes, a
//! majority of the other slots holds its voter set, and too few are left for a majority
//! under a voter set that names the handover's successor.
//!
//! **Where the agreement is.** A newcomer votes only when a majority of voting slots
//! other than its own holds its voter set (`replication::catch_up`). That it asks
//! before whether they would give the slot (`JoinRequest`, `JoinOffer`) keeps a single
//! voter's false suspicion from moving one.

pub mod handover;
pub mod slot_takeover;
pub mod stamp;
pub mod voter_slots;
