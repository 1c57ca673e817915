//! Writes of a replica to its disk, and the actions that wait until they are synced.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::protocol::replica::{EntryMap, ReplicaCondition};
use crate::replication::partition::{AfterWrite, Partition, Role, Sender, Write};
use crate::replication::timing::{CATCH_UP_INTERVAL, DISK_STALL_TIMEOUT};
use crate::storage::record::LogRecord;
use crate::time::{Tick, since};
use crate::voter_set::VoterGroup;

/// Log size above which a snapshot is written in place of a record (bytes). The snapshot of a
/// small partition is cheap; replaying 256 KiB of log takes a few milliseconds.
pub const LOG_LIMIT: u64 = 256 * 1024;
/// Approximate size of a vote in the log (bytes).
const VOTE_BYTES: u64 = 32;
/// Approximate size of an entry in the log without its key and value (bytes).
const ENTRY_BYTES: u64 = 48;

impl Partition {
    /// Appends a record to the log on disk and runs `after` once it is synced. If the log is too
    /// long, writes a snapshot instead.
    pub fn persist_record(
        &mut self,
        now: Tick,
        record: LogRecord,
        after: Vec<AfterWrite>,
        commands: &mut Vec<Command>,
    ) {
        let token = self.begin_write(now, after);
        self.log_bytes += approximate_size(&record);
        // The size of the entries is computed only once the log is long.
        let is_long =
            self.log_bytes > LOG_LIMIT && self.log_bytes > content_bytes(&self.state.entries) / 2;
        if is_long {
            self.write_snapshot(token, commands);
        } else {
            commands.push(Command::AppendRecord { partition: self.id, token, record });
        }
    }

    /// Writes a snapshot to disk and runs `after` once it is synced.
    pub fn persist_snapshot(
        &mut self,
        now: Tick,
        after: Vec<AfterWrite>,
        commands: &mut Vec<Command>,
    ) {
        let token = self.begin_write(now, after);
        self.write_snapshot(token, commands);
    }

    fn begin_write(&mut self, now: Tick, after: Vec<AfterWrite>) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.writes.push_back(Write { token, at: now, after });
        token
    }

    fn write_snapshot(&mut self, token: u64, commands: &mut Vec<Command>) {
        self.log_bytes = 0;
        let snapshot = self.state.clone();
        commands.push(Command::WriteSnapshot { partition: self.id, token, snapshot });
    }

    /// Sends a message once all writes issued so far are synced.
    pub fn send_when_synced(
        &mut self,
        to: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match self.writes.back_mut() {
            Some(write) => write.after.push(AfterWrite::Send(to, message)),
            None => commands.push(Command::ToVoter { slot: to, message }),
        }
    }

    /// Runs the actions of all writes up to `token`, which are synced. Returns whether a suspended
    /// replica resumed.
    pub fn on_synced(
        &mut self,
        now: Tick,
        group: VoterGroup,
        token: u64,
        commands: &mut Vec<Command>,
    ) -> bool {
        while let Some(write) = self.writes.pop_front_if(|write| write.token <= token) {
            self.synced_at = now;
            for after in write.after {
                self.run_after_write(now, group, after, commands);
            }
        }
        let is_repaired = self.writes.is_empty() && self.disk_failure.is_some();
        if is_repaired {
            self.disk_failure = None;
            self.become_follower(now, None);
            commands.push(Command::Alarm(format!("partition {}: the disk works again", self.id)));
        }
        is_repaired
    }

    fn run_after_write(
        &mut self,
        now: Tick,
        group: VoterGroup,
        after: AfterWrite,
        commands: &mut Vec<Command>,
    ) {
        match after {
            AfterWrite::Send(slot, message) => commands.push(Command::ToVoter { slot, message }),
            AfterWrite::OwnAppendSynced { term, revision } => {
                let own = Sender { group, slot: group.slot };
                self.on_append_ack(now, own, term, revision, commands);
            }
            AfterWrite::OwnVoteSynced { term } => {
                self.on_own_vote_synced(now, group, term, commands);
            }
            AfterWrite::StartVoting => self.start_voting(now, commands),
        }
    }

    /// Returns whether the disk has completed no write for `DISK_STALL_TIMEOUT`. A slow disk with
    /// many queued writes is not stalled.
    pub fn is_disk_stalled(&self, now: Tick) -> bool {
        let oldest = self.writes.front();
        oldest.is_some_and(|w| since(w.at.max(self.synced_at), now) > DISK_STALL_TIMEOUT)
    }

    /// Suspends this replica because its disk failed or stalled.
    pub fn on_disk_failed(&mut self, now: Tick, why: String, commands: &mut Vec<Command>) {
        if self.disk_failure.is_none() {
            commands.push(Command::Alarm(format!(
                "partition {}: this replica is suspended: {why}",
                self.id
            )));
        }
        self.disk_failure = Some(why);
        self.disk_retry_at = now + CATCH_UP_INTERVAL;
        // Messages that depend on a write must not be sent if the write may never be synced.
        for write in &mut self.writes {
            write.after.retain(|after| matches!(after, AfterWrite::StartVoting));
        }
        if !matches!(self.role, Role::Follower { .. }) {
            self.step_down(now, None, commands);
        }
    }

    /// Retries the disk of a suspended replica by writing a snapshot.
    pub fn retry_disk(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let is_voting = self.condition == ReplicaCondition::Voting;
        if is_voting && self.writes.is_empty() && now >= self.disk_retry_at {
            self.disk_retry_at = now + DISK_STALL_TIMEOUT;
            self.persist_snapshot(now, Vec::new(), commands);
        }
    }
}

/// Returns the approximate size of a record in the log (bytes), which only decides when a
/// snapshot is written.
fn approximate_size(record: &LogRecord) -> u64 {
    match record {
        LogRecord::Vote { .. } => VOTE_BYTES,
        LogRecord::Change { entries, .. } => entries
            .iter()
            .map(|(key, value)| {
                ENTRY_BYTES + key.len() as u64 + value.as_ref().map_or(0, |v| v.len() as u64)
            })
            .sum(),
    }
}

fn content_bytes(entries: &EntryMap) -> u64 {
    entries.iter().map(|(key, value)| (key.len() + value.len()) as u64).sum()
}
