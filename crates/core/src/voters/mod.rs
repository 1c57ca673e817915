//! The seats of the core: who holds each of them, and how a controller takes
//! over one whose holder is gone. No I/O.
//!
//! **What is agreed.** For each seat a `SlotHolder`: generation, holder, address.
//! Between two holdings of a seat the higher (`generation`, `holder`) stands,
//! so two applicants for one generation end alike everywhere. A process's table
//! only rises, and is on its disk before the process tells it or acts by it.
//!
//! **The one rule.** Everything by which a part is owned, read or relearned
//! (`VoteGranted`, `AppendAck`, `HeartbeatAck`, `ReplicaStatus`) carries the stamp of the sender's table,
//! and counts only while the receiver's table has the same stamp and records
//! the sender as holder of its seat. When its table changes, a leader counts
//! its votes anew, and an election and a recovery begin anew. So every majority
//! is one of processes that all held one table: call such a table *active*.
//!
//! **Active tables have one order.** Take two, with their majorities. They meet
//! in a seat. If one process holds it in both, its table has risen from the one
//! to the other. If not, the later holder was formed before it voted, by a
//! majority of formed others which all held one table that records it: an
//! active table, and earlier. Go on with that one; this ends with the first
//! table of all.
//!
//! **A committed write survives.** It was synced by a majority under an active
//! table. Let a later majority, under a later active table, elect a leader or
//! prove a read. The two meet in a seat. The same holder: as ever, by promise
//! and copy. Another: it was formed, under an active table in between, from the
//! newest copy and the highest promise of a majority of the other seats, which
//! meets the write's majority in a seat other than its own; if there too the
//! holder is another, that one was formed earlier still. A process stands for a
//! newcomer under the newcomer's table only after it ceased to vote under the
//! one before, so nothing is missed in between.
//!
//! **Two holders of a seat never both count**: a majority counts the one that
//! its table names. An term is a seat's own, not a holder's: a newcomer knows
//! the highest promise of a majority, which any term of its forerunner had, so
//! it claims above it.
//!
//! **Handovers.** A holder that leaves in order names its successor itself
//! (`handover`). It votes no more from the moment that the table without it is on
//! its disk, and the successor begins with its whole state, under that table or a
//! later one; so the two count as one process in what is said above. A takeover
//! stands over every handover (`table::after_takeover`): once its newcomer is
//! formed, a majority of the other seats holds its table, and too few are left
//! for a majority under a table that names the handover's successor.
//!
//! **Where the agreement is.** A newcomer votes only when a majority of formed
//! seats other than its own holds its table (`relearn`). That it asks before
//! whether they would give the seat (`Apply`, `Offer`) keeps a single seat's
//! false suspicion from moving one.

pub mod handover;
pub mod slot_takeover;
pub mod voter_slots;
