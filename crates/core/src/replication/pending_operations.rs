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
//! A new change waits elsewhere (`waiting_changes`): the majority that syncs it is
//! asked after its order came, and it can't be committed unless all before it
//! are.

use crate::command::Command;
use crate::protocol::operation::OperationResult;
use crate::protocol::replica::EntryMap;
use crate::replication::leader::Leader;
use crate::replication::operations::{OperationOrigin, PendingAnswer, PendingOperation};
use crate::replication::partition::{Partition, Role};
use crate::replication::private_entries::public_entries;
use crate::replication::timing::OPERATION_PATIENCE;
use crate::rollout::record::rollout_of;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// Most operations that wait at a leader (count): what the doors of more
/// controllers than there can be voters hand over at once.
const PENDING_LIMIT: usize = 1_024;

impl Leader {
    /// Whether no further operation may wait here.
    pub fn is_full(&self) -> bool {
        self.pending.len() + self.waiting_changes.len() >= PENDING_LIMIT
    }

    /// Leadership is lost: nothing of what was pending has been carried out or told.
    pub fn reject_pending(self, commands: &mut Vec<Command>) {
        let pending = self.pending.into_iter().map(|operation| operation.origin);
        for origin in pending.chain(self.proved_status) {
            let why = "the leader changed".to_string();
            origin.respond(OperationResult::Rejected { why }, commands);
        }
    }
}

impl Partition {
    /// Takes in an operation that was judged by our newest state.
    pub fn add_pending(
        &mut self,
        now: Tick,
        group: VoterGroup,
        origin: OperationOrigin,
        answer: PendingAnswer,
        commands: &mut Vec<Command>,
    ) {
        let newest = self.state.revision;
        let Some(leader) = self.leader_mut() else { return };
        let revision = match answer {
            PendingAnswer::Refusal(_) => newest,
            PendingAnswer::Read | PendingAnswer::Status | PendingAnswer::Rollout(_) => {
                leader.committed
            }
        };
        let (round, until) = (leader.round + 1, now + OPERATION_PATIENCE);
        leader.pending.push(PendingOperation { origin, round, revision, answer, until });
        self.request_round(now, group, commands);
        self.complete_operations(now, group, commands);
    }

    /// Answers the operations that are proved, and gives up those that took too long.
    pub fn complete_pending(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let (committed_revision, committed) = (self.committed_revision, &self.committed);
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.pending.is_empty() {
            return;
        }
        let proved = if leader.is_serving { leader.proved_round(group) } else { 0 };
        let committed_up_to = leader.committed.min(committed_revision);
        let mut left = Vec::with_capacity(leader.pending.len());
        for operation in std::mem::take(&mut leader.pending) {
            if proved >= operation.round && committed_up_to >= operation.revision {
                answer(operation, leader, committed_revision, committed, commands);
            } else if now >= operation.until {
                let why = "the leader could not prove in time that it still is".to_string();
                operation.origin.respond(OperationResult::Rejected { why }, commands);
            } else {
                left.push(operation);
            }
        }
        leader.pending = left;
    }
}

/// Answers an operation that is proved.
fn answer(
    operation: PendingOperation,
    leader: &mut Leader,
    revision: u64,
    committed: &EntryMap,
    commands: &mut Vec<Command>,
) {
    let result = match operation.answer {
        PendingAnswer::Refusal(result) => result,
        PendingAnswer::Read => {
            OperationResult::Configuration { revision, entries: public_entries(committed) }
        }
        PendingAnswer::Rollout(service) => {
            OperationResult::Rollout(rollout_of(committed, &service))
        }
        PendingAnswer::Status => return leader.proved_status.push(operation.origin),
    };
    operation.origin.respond(result, commands);
}
