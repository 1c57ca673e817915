//! Changes that a leader has appended and whose operators wait for the outcome.

use crate::command::Command;
use crate::protocol::operation::OperationResult;
use crate::replication::leader::Leader;
use crate::replication::operations::{ChangeAcceptance, OperationOrigin, WaitingChange};
use crate::replication::partition::{Partition, Role};
use crate::replication::timing::OPERATION_TIMEOUT;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority};

/// How long the response to an accepted change waits for the remaining replicas. A majority is
/// enough, but a change on more replicas survives the loss of more disks.
const LAST_REPLICAS_WAIT: Span = ms(150);

impl Partition {
    /// Registers a new change whose operator waits for the outcome.
    pub fn wait_for_change(
        &mut self,
        now: Tick,
        origin: OperationOrigin,
        revision: u64,
        acceptance: ChangeAcceptance,
    ) {
        if let Some(leader) = self.leader_mut() {
            leader.waiting_changes.push(WaitingChange {
                revision,
                origin,
                is_repeat: false,
                round: 0,
                acceptance,
                accepted_at: None,
                until: now + OPERATION_TIMEOUT,
            });
        }
    }

    /// Registers a repeated request whose change was made by an earlier attempt.
    pub fn wait_for_repeated_change(
        &mut self,
        now: Tick,
        origin: OperationOrigin,
        revision: u64,
        acceptance: ChangeAcceptance,
    ) {
        if let Some(leader) = self.leader_mut() {
            leader.waiting_changes.push(WaitingChange {
                revision,
                origin,
                is_repeat: true,
                round: leader.round + 1,
                acceptance,
                accepted_at: None,
                until: now + OPERATION_TIMEOUT,
            });
        }
    }

    /// Responds to the operators whose outcome is known.
    pub fn complete_operations(
        &mut self,
        now: Tick,
        group: VoterGroup,
        commands: &mut Vec<Command>,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.confirmed_round(group);
        let waiting = std::mem::take(&mut leader.waiting_changes);
        let mut remaining = Vec::with_capacity(waiting.len());
        for mut change in waiting {
            match leader.outcome(now, group, confirmed, &mut change) {
                Some(result) => change.origin.respond(result, commands),
                None => remaining.push(change),
            }
        }
        leader.waiting_changes = remaining;
        self.complete_pending(now, group, commands);
    }
}

impl Leader {
    /// Returns the result of a change, or `None` if it is not known yet.
    fn outcome(
        &self,
        now: Tick,
        group: VoterGroup,
        confirmed: u64,
        change: &mut WaitingChange,
    ) -> Option<OperationResult> {
        let is_accepted =
            change.revision <= self.accepted_up_to(change.acceptance) && confirmed >= change.round;
        if !is_accepted {
            let is_overdue = now >= change.until;
            return is_overdue
                .then(|| OperationResult::Unknown { why: self.overdue_reason(change) });
        }
        let accepted_at = *change.accepted_at.get_or_insert(now);
        let copies = self.replicas_with(change.revision);
        let all_have_it = copies >= group.occupied.count_ones();
        if !all_have_it && since(accepted_at, now) < LAST_REPLICAS_WAIT {
            return None;
        }
        let (revision, again) = (change.revision, change.is_repeat);
        Some(OperationResult::Accepted { revision, replicas: copies, is_repeat: again })
    }

    /// Returns the reason why a change has no outcome at its timeout.
    fn overdue_reason(&self, change: &WaitingChange) -> String {
        if change.revision > self.committed {
            "no majority synced the change in time".to_string()
        } else if change.revision > self.accepted_up_to(change.acceptance) {
            format!("synced, but not obeyed yet by {}", self.lagging_members.join(", "))
        } else {
            "the change stands, but no majority proved in time who leads now".to_string()
        }
    }

    /// Responds to all waiting operations when the leadership is lost. The outcome of a change that
    /// is not accepted is unknown; operations that were only evaluated are rejected.
    pub fn on_leadership_lost(self, commands: &mut Vec<Command>) {
        for change in &self.waiting_changes {
            let is_accepted = change.revision <= self.accepted_up_to(change.acceptance);
            let result = if is_accepted && !change.is_repeat {
                let copies = majority(self.synced.len()) as u32;
                OperationResult::Accepted {
                    revision: change.revision,
                    replicas: copies,
                    is_repeat: false,
                }
            } else {
                let why = "the leader changed while the change was on its way".to_string();
                OperationResult::Unknown { why }
            };
            change.origin.respond(result, commands);
        }
        self.reject_pending(commands);
    }
}
