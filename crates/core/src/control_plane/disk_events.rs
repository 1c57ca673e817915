//! What the disk says: writes that are synced, writes that failed, files that were
//! read again.

use crate::command::Command;
use crate::control_plane::controller::{ControllerState, SCRUB_INTERVAL};
use crate::identifiers::PartitionId;
use crate::replication::partition::Partition;
use crate::time::Tick;

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
        if replica.on_synced(now, group, token, commands) {
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
        replica.on_disk_failed(now, why, commands);
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
        if replica.can_vote() {
            self.counters.corruptions += 1;
            let text = format!("part {partition}: its files have rotted: {why}");
            commands.push(Command::Alarm(text));
            replica.persist_snapshot(now, Vec::new(), commands);
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
        if replica.can_vote() {
            commands.push(Command::Scrub { partition: replica.id });
        }
    }
}

/// Time passes for a replica's disk: one that stepped back tries it again, and one
/// whose write takes too long steps back.
pub(super) fn wake_disk(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    if replica.disk_failure.is_some() {
        replica.retry_disk(now, commands);
    } else if replica.is_disk_stalled(now) {
        replica.on_disk_failed(now, "the disk stalls".into(), commands);
    }
}
