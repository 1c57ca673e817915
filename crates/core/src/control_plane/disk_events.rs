//! Handles the events of the disk: synced writes, failed writes, and scrubbed files.

use crate::command::Command;
use crate::control_plane::controller::{ControllerState, SCRUB_INTERVAL};
use crate::identifiers::PartitionId;
use crate::replication::partition::Partition;
use crate::time::Tick;

impl ControllerState {
    /// Handles the sync of all writes of a partition up to a token.
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

    /// Handles a failed write: the replica steps down.
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

    /// Handles corrupted files of a partition. The state in memory is still valid, and the
    /// checksum comparison checks it against the leader's, so it is written to disk again.
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
            let text = format!("partition {partition}: the files on disk are corrupted: {why}");
            commands.push(Command::Alarm(text));
            replica.persist_snapshot(now, Vec::new(), commands);
        }
    }

    /// Handles a timer tick: scrubs the files of the next partition when that is due.
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

/// Handles a timer tick for a replica's disk. A replica whose disk had failed retries it,
/// and a replica steps down if a write takes too long.
pub(super) fn wake_disk(replica: &mut Partition, now: Tick, commands: &mut Vec<Command>) {
    if replica.disk_failure.is_some() {
        replica.retry_disk(now, commands);
    } else if replica.is_disk_stalled(now) {
        replica.on_disk_failed(now, "the disk stalls".into(), commands);
    }
}
