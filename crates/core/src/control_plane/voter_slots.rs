//! What follows for a controller when the voter set changes, and how it shows the
//! other voters that it lives.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::step::WAKE;
use crate::protocol::replica::ReplicaCondition;
use crate::replication::partition::Partition;
use crate::replication::timing::ELECTION_TIMEOUT;
use crate::storage::voter_file::VoterFile;
use crate::time::Tick;
use crate::voter_set::{NO_SLOT, VoterGroup, slot_of};
use crate::voters::voter_slots::PartitionFiles;

impl ControllerState {
    /// The replica group as this controller sees it.
    pub fn group(&self) -> VoterGroup {
        self.voter_slots.group(self.slot)
    }

    /// A voter file is on disk: from here on we act by it.
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

    /// We hold a slot. What a replica at our address voted for before a lost disk must
    /// have run out before we catch up.
    fn on_slot_won(&mut self, now: Tick) {
        let from = self.voter_slots.started_at + ELECTION_TIMEOUT;
        for partition in &mut self.partitions {
            partition.catch_up.next_request_at = now.max(from);
        }
    }

    /// Our slot is another's: what we hold may not count any more, for good.
    fn on_slot_lost(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.send_state_to_successor(now, commands) {
            self.voter_slots.broadcast_voter_set(self.slot, commands);
        } else {
            self.renounce_slot(now, commands);
        }
    }

    /// We begin anew, as a controller that has nothing.
    fn renounce_slot(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let text = "our seat was given to another: we begin anew without one";
        commands.push(Command::Alarm(text.into()));
        self.slot = NO_SLOT;
        self.forget_replicas(now, commands);
        let me = self.random.next_u64() | 1;
        let table = self.voter_slots.voter_set().clone();
        let voter_file = VoterFile { me, first: false, table };
        // The former id is nobody's any more; nobody is told a new one yet.
        self.voter_slots.voter_file.me = 0;
        self.voter_slots.write_voter_file(voter_file, PartitionFiles::SetAside, commands);
    }

    /// Empties the replicas in memory: what they hold counts no more.
    pub(super) fn forget_replicas(&mut self, now: Tick, commands: &mut Vec<Command>) {
        for partition in &mut self.partitions {
            forget(partition, now, commands);
        }
        self.members = Default::default();
    }

    /// Time passes: silence is counted, and we show that we live.
    pub(super) fn wake_voter_slots(&mut self, now: Tick, commands: &mut Vec<Command>) {
        self.voter_slots.advance_time_since_message(now, 2 * WAKE);
        self.voter_slots.retry_write(now, commands);
        self.wake_handover(now, commands);
        if self.slot == NO_SLOT {
            return self.voter_slots.request_slot(now, commands);
        }
        self.voter_slots.fill_in_zone(self.slot, commands);
        self.voter_slots.send_keepalives(now, self.slot, commands);
    }
}

/// Empties a replica in memory. Writes on their way keep their tokens.
fn forget(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    replica.step_down(now, None, commands);
    let empty = Partition::new(replica.id, ReplicaCondition::Empty, Default::default(), 0, now);
    let next_token = replica.next_token;
    *replica = empty;
    replica.next_token = next_token;
}
