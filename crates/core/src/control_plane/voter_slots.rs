//! Reactions of a controller to changes of the voter set, and its liveness messages to the
//! other voters.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::step::WAKE_INTERVAL;
use crate::protocol::replica::ReplicaCondition;
use crate::replication::partition::Partition;
use crate::replication::timing::ELECTION_TIMEOUT;
use crate::storage::voter_file::VoterFile;
use crate::time::Tick;
use crate::voter_set::{NO_SLOT, VoterGroup, slot_of};
use crate::voters::voter_slots::PartitionFiles;

impl ControllerState {
    /// Returns the replica group as known to this controller.
    pub fn group(&self) -> VoterGroup {
        self.voter_slots.group(self.slot)
    }

    /// Applies a voter set once its voter file is on disk.
    pub(super) fn on_voter_file_written(
        &mut self,
        now: Tick,
        token: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(moved) = self.voter_slots.adopt_written(token) else { return };
        self.retry_requests_to(&moved);
        self.voter_slots.report_changed_slots(&moved, commands);
        let slot =
            slot_of(self.voter_slots.voter_set(), self.voter_slots.replica_id()).unwrap_or(NO_SLOT);
        if self.slot != slot {
            let former = std::mem::replace(&mut self.slot, slot);
            self.retry_all_requests();
            if former != NO_SLOT {
                return self.on_slot_lost(now, commands);
            }
            self.on_slot_won(now);
        }
        if moved.contains(&true) {
            let group = self.group();
            for partition in &mut self.partitions {
                partition.on_voter_set_changed(now, group, &moved, commands);
            }
        }
        self.voter_slots.broadcast_voter_set(self.slot, commands);
    }

    /// Handles the gain of a voter slot. Before this node catches up, any vote must have
    /// expired that a replica at the same address granted before it lost its disk.
    fn on_slot_won(&mut self, now: Tick) {
        let from = self.voter_slots.started_at + ELECTION_TIMEOUT;
        for partition in &mut self.partitions {
            partition.catch_up.next_request_at = now.max(from);
        }
    }

    /// Handles the loss of the voter slot: the replicas of this node may never count again.
    fn on_slot_lost(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.send_state_to_successor(now, commands) {
            self.voter_slots.broadcast_voter_set(self.slot, commands);
        } else {
            self.reset_after_slot_loss(now, commands);
        }
    }

    /// Resets this controller to an empty one without a voter slot.
    fn reset_after_slot_loss(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let text =
            "this node's voter slot has a new holder: resetting to a controller without a slot";
        commands.push(Command::Alarm(text.into()));
        self.slot = NO_SLOT;
        self.reset_replicas(now, commands);
        let replica_id = self.random.next_u64() | 1;
        let voter_set = self.voter_slots.voter_set().clone();
        let voter_file = VoterFile { replica_id, is_original_disk: false, voter_set };
        // The former replica id is no longer in use, and the new one is not announced
        // before it is on disk.
        self.voter_slots.voter_file.replica_id = 0;
        self.voter_slots.write_voter_file(voter_file, PartitionFiles::SetAside, commands);
    }

    /// Resets the replicas in memory: their contents no longer count.
    pub(super) fn reset_replicas(&mut self, now: Tick, commands: &mut Vec<Command>) {
        for partition in &mut self.partitions {
            reset_replica(partition, now, commands);
        }
        self.members = Default::default();
    }

    /// Handles a timer tick for the voter slots: tracks the time since the last message of each
    /// other voter, and sends liveness messages.
    pub(super) fn wake_voter_slots(&mut self, now: Tick, commands: &mut Vec<Command>) {
        self.voter_slots.advance_time_since_message(now, 2 * WAKE_INTERVAL);
        self.voter_slots.retry_write(now, commands);
        self.wake_handover(now, commands);
        if self.slot == NO_SLOT {
            return self.voter_slots.request_slot(now, commands);
        }
        self.voter_slots.fill_in_zone(self.slot, commands);
        self.voter_slots.send_keepalives(now, self.slot, commands);
    }
}

/// Resets a replica in memory. Writes in flight keep their tokens.
fn reset_replica(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    replica.step_down(now, None, commands);
    let empty = Partition::new(replica.id, ReplicaCondition::Empty, Default::default(), 0, now);
    let next_token = replica.next_token;
    *replica = empty;
    replica.next_token = next_token;
}
