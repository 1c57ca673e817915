//! What the disk says: writes that are synced, writes that failed, files that were
//! read again.

use crate::command::Command;
use crate::consts;
use crate::control_plane::controller::{ControllerState, SCRUB_INTERVAL};
use crate::identifiers::PartitionId;
use crate::protocol::message::ReplicaCondition;
use crate::replication::partition::{AfterWrite, Partition, Sender, able};
use crate::replication::{catch_up, election, leader, replica};
use crate::time::Tick;
use crate::voter_set::VoterGroup;

impl ControllerState {
    /// Every write of a partition up to this token is synced.
    pub(super) fn on_synced(
        &mut self,
        now: Tick,
        partition: PartitionId,
        token: u64,
        commands: &mut Vec<Command>,
    ) {
        let group = self.group();
        let replica = &mut self.partitions[partition.0 as usize];
        while replica.writes.front().is_some_and(|write| write.token <= token) {
            let Some(write) = replica.writes.pop_front() else { break };
            replica.synced_at = now;
            for after in write.after {
                after_write(replica, now, group, after, commands);
            }
        }
        if replica.writes.is_empty() && replica.disk_failure.is_some() {
            replica.disk_failure = None;
            replica::follow(replica, now, None);
            commands.push(Command::Alarm(format!("part {partition}: the disk works again")));
            self.counters.disks_recovered += 1;
        }
    }

    /// The disk failed to write: the replica steps back.
    pub(super) fn on_disk_failed(
        &mut self,
        now: Tick,
        partition: PartitionId,
        why: String,
        commands: &mut Vec<Command>,
    ) {
        let replica = &mut self.partitions[partition.0 as usize];
        replica.writes.clear();
        replica::step_back(replica, now, why, commands);
    }

    /// Files were corrupted while we ran. What they held we still have, and the
    /// comparison of checksums compares it with the leader's: it is written anew.
    pub(super) fn on_corruption(
        &mut self,
        now: Tick,
        partition: PartitionId,
        why: &str,
        commands: &mut Vec<Command>,
    ) {
        let replica = &mut self.partitions[partition.0 as usize];
        if able(replica) {
            self.counters.corruptions += 1;
            let text = format!("part {partition}: its files have rotted: {why}");
            commands.push(Command::Alarm(text));
            replica::keep_whole(replica, now, Vec::new(), commands);
        }
    }

    /// Time passes: the next partition's files are read again when that is due.
    pub(super) fn wake_scrub(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if now < self.scrub_at {
            return;
        }
        self.scrub_at = now + SCRUB_INTERVAL;
        let replica = &self.partitions[self.scrub_next];
        self.scrub_next = (self.scrub_next + 1) % self.partitions.len();
        if able(replica) {
            commands.push(Command::Scrub { partition: replica.id });
        }
    }
}

/// Does what waited for a write.
fn after_write(
    replica: &mut Partition,
    now: Tick,
    group: VoterGroup,
    after: AfterWrite,
    commands: &mut Vec<Command>,
) {
    match after {
        AfterWrite::Send(slot, message) => commands.push(Command::ToVoter { slot, message }),
        AfterWrite::OwnAppendSynced { term, revision } => {
            leader::append_acked(
                replica,
                now,
                Sender { group, slot: group.slot },
                term,
                revision,
                commands,
            );
        }
        AfterWrite::OwnVoteSynced { term } => {
            election::own_vote_synced(replica, now, group, term, commands);
        }
        AfterWrite::StartVoting => catch_up::formed(replica, now, commands),
    }
}

/// Time passes for a replica's disk: one that stepped back tries it again, and one
/// whose write takes too long steps back.
pub(super) fn wake_disk(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    if replica.disk_failure.is_some() {
        retry_disk(replica, now, commands);
    } else if replica::stalled(replica, now) {
        replica::step_back(replica, now, "the disk stalls".into(), commands);
    }
}

/// A replica that stepped back tries its disk again by writing a whole slot.
fn retry_disk(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    let is_voting = replica.condition == ReplicaCondition::Voting;
    if is_voting && replica.writes.is_empty() && now >= replica.disk_retry_at {
        replica.disk_retry_at = now + consts::DISK_STALL;
        replica::keep_whole(replica, now, Vec::new(), commands);
    }
}
