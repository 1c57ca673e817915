//! Operations that a leader has judged and not answered yet.
//!
//! A leader may have been replaced without knowing it, and its newest state may
//! hold changes that are never committed. So a judgement is remembered with the
//! revision it rests on, and is told only once that revision is committed and a
//! majority of the voters has answered a heartbeat round which began after the
//! operation came (`heartbeat_rounds`). If leadership is lost before, the
//! operation has not been carried out, and the controller that it came to hands
//! it to the next leader, who judges it anew.
//!
//! A new change waits elsewhere (`part::Waiting`): the majority that syncs it is
//! asked after its order came, and it can't be committed unless all before it
//! are.

use crate::command::Command;
use crate::consts;
use crate::protocol::message::OperationResult;
use crate::replication::heartbeat_rounds;
use crate::replication::leader::{settle as settle_all, tell};
use crate::replication::partition::{Leader, OperationOrigin, Partition, leader};
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// Most operations that wait at a leader (count): what the doors of more
/// controllers than there can be voters hand over at once.
const PENDING_LIMIT: usize = 1_024;

/// An operation whose answer waits for a proof.
pub struct PendingOperation {
    pub origin: OperationOrigin,
    /// The first heartbeat round that began after the operation came.
    pub round: u64,
    /// The revision of the state that the answer rests on.
    pub revision: u64,
    pub answer: PendingAnswer,
    pub until: Tick,
}

/// What is told once the proof is there.
pub enum PendingAnswer {
    /// Why the order is not carried out, as it was judged.
    Refusal(OperationResult),
    /// The committed configuration, as it is then.
    Read,
    /// The members, as the leader knows them then.
    Status,
}

/// Whether no further operation may wait here.
pub fn full(o: &Leader) -> bool {
    o.pending.len() + o.waiting_changes.len() >= PENDING_LIMIT
}

/// Puts an operation in line that was judged by our newest state.
pub fn add(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    origin: OperationOrigin,
    answer: PendingAnswer,
    out: &mut Vec<Command>,
) {
    let newest = p.state.revision;
    let Some(o) = leader(p) else { return };
    let revision = match answer {
        PendingAnswer::Refusal(_) => newest,
        PendingAnswer::Read | PendingAnswer::Status => o.committed,
    };
    let until = now + consts::OWNER_PATIENCE;
    o.pending.push(PendingOperation { origin, round: o.round + 1, revision, answer, until });
    heartbeat_rounds::request(p, now, g, out);
    settle_all(p, now, g, out);
}

/// Answers the operations that are proved, and gives up those that took too long.
pub fn settle(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let (committed_revision, committed) = (p.committed_revision, &p.committed);
    let crate::replication::partition::Role::Leader(o) = &mut p.role else { return };
    if o.pending.is_empty() {
        return;
    }
    let proved = if o.is_serving { heartbeat_rounds::proved(o, g) } else { 0 };
    let committed_up_to = o.committed.min(committed_revision);
    let mut left = Vec::with_capacity(o.pending.len());
    for operation in std::mem::take(&mut o.pending) {
        if proved >= operation.round && committed_up_to >= operation.revision {
            match operation.answer {
                PendingAnswer::Refusal(done) => tell(operation.origin, done, out),
                PendingAnswer::Read => {
                    let map = crate::control_plane::order_memory::without_memory(committed);
                    let done = OperationResult::Configuration { revision: committed_revision, map };
                    tell(operation.origin, done, out);
                }
                PendingAnswer::Status => o.proved_status.push(operation.origin),
            }
        } else if now >= operation.until {
            let why = "the leader could not prove in time that it still is".to_string();
            tell(operation.origin, OperationResult::Rejected { why }, out);
        } else {
            left.push(operation);
        }
    }
    o.pending = left;
}

/// Leadership is lost: nothing of what waited has been carried out or told.
pub fn dismiss(old: Leader, out: &mut Vec<Command>) {
    let pending = old.pending.into_iter().map(|operation| operation.origin);
    for origin in pending.chain(old.proved_status) {
        tell(origin, OperationResult::Rejected { why: "the leader changed".to_string() }, out);
    }
}
