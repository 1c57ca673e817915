//! Operations that a leader has evaluated but not responded to yet.
//!
//! A leader may have been replaced without knowing it, and its newest state may hold changes
//! that are never committed. So the result of an evaluation is kept together with the revision
//! that it depends on. It is sent only once that revision is committed and a majority of the
//! voters has acknowledged a heartbeat round that began after the operation arrived
//! (`heartbeat_rounds`). If the leadership is lost before that, the operation has not been
//! carried out, and the controller that received it forwards it to the next leader, which
//! evaluates it again.
//!
//! New changes wait in `waiting_changes` instead. They need no such round, because a majority
//! syncs a change after its request arrived, and a change can't be committed unless all earlier
//! ones are.

use crate::command::Command;
use crate::protocol::operation::OperationResult;
use crate::protocol::replica::EntryMap;
use crate::replication::leader::Leader;
use crate::replication::operations::{OperationOrigin, PendingAnswer, PendingOperation};
use crate::replication::partition::{Partition, Role};
use crate::replication::private_entries::public_entries;
use crate::replication::timing::OPERATION_TIMEOUT;
use crate::rollout::record::rollout_of;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// Maximum number of operations that wait at a leader (count): as many as the listeners of more
/// controllers than there can be voters forward at the same time.
const PENDING_LIMIT: usize = 1_024;

impl Leader {
    /// Returns whether `PENDING_LIMIT` operations wait already.
    pub fn is_full(&self) -> bool {
        self.pending.len() + self.waiting_changes.len() >= PENDING_LIMIT
    }

    /// Rejects all pending operations when the leadership is lost. None of them has been carried
    /// out or responded to.
    pub fn reject_pending(self, commands: &mut Vec<Command>) {
        let pending = self.pending.into_iter().map(|operation| operation.origin);
        for origin in pending.chain(self.confirmed_status_requests) {
            let why = "the leader changed".to_string();
            origin.respond(OperationResult::Rejected { why }, commands);
        }
    }
}

impl Partition {
    /// Adds an operation that was evaluated against the newest state, and requests a heartbeat
    /// round for it.
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
            PendingAnswer::Rejection(_) => newest,
            PendingAnswer::Read | PendingAnswer::Status | PendingAnswer::Rollout(_) => {
                leader.committed
            }
        };
        let (round, until) = (leader.round + 1, now + OPERATION_TIMEOUT);
        leader.pending.push(PendingOperation { origin, round, revision, answer, until });
        self.request_round(now, group, commands);
        self.complete_operations(now, group, commands);
    }

    /// Responds to the operations whose round is confirmed, and rejects those that timed out.
    pub fn complete_pending(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let (committed_revision, committed) = (self.committed_revision, &self.committed);
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.pending.is_empty() {
            return;
        }
        let confirmed = if leader.is_serving { leader.confirmed_round(group) } else { 0 };
        let committed_up_to = leader.committed.min(committed_revision);
        let mut remaining = Vec::with_capacity(leader.pending.len());
        for operation in std::mem::take(&mut leader.pending) {
            if confirmed >= operation.round && committed_up_to >= operation.revision {
                answer(operation, leader, committed_revision, committed, commands);
            } else if now >= operation.until {
                let why = "the leader could not prove in time that it still is".to_string();
                operation.origin.respond(OperationResult::Rejected { why }, commands);
            } else {
                remaining.push(operation);
            }
        }
        leader.pending = remaining;
    }
}

/// Responds to an operation whose round is confirmed.
fn answer(
    operation: PendingOperation,
    leader: &mut Leader,
    revision: u64,
    committed: &EntryMap,
    commands: &mut Vec<Command>,
) {
    let result = match operation.answer {
        PendingAnswer::Rejection(result) => result,
        PendingAnswer::Read => {
            OperationResult::Configuration { revision, entries: public_entries(committed) }
        }
        PendingAnswer::Rollout(service) => {
            OperationResult::Rollout(rollout_of(committed, &service))
        }
        PendingAnswer::Status => return leader.confirmed_status_requests.push(operation.origin),
    };
    operation.origin.respond(result, commands);
}
