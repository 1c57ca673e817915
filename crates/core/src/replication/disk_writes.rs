//! What a replica writes to its disk, and what waits until that is synced.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::protocol::replica::{EntryMap, ReplicaCondition};
use crate::replication::partition::{AfterWrite, Partition, Role, Sender, Write};
use crate::replication::timing::{CATCH_UP_INTERVAL, DISK_STALL};
use crate::storage::record::LogRecord;
use crate::time::{Tick, since};
use crate::voter_set::VoterGroup;

/// Log bytes after which the other slot is written (bytes). A small partition's slot is
/// cheap; replaying 256 KiB takes a few milliseconds.
pub const LOG_LIMIT: u64 = 256 * 1024;
/// Bytes that a vote takes in the log, roughly.
const VOTE_BYTES: u64 = 32;
/// Bytes that an entry takes in the log beside its key and value, roughly.
const ENTRY_BYTES: u64 = 48;

impl Partition {
    /// Sends a record to the disk and hangs `after` on it. Once the log is long a whole
    /// snapshot is written in its place.
    pub fn persist_record(
        &mut self,
        now: Tick,
        record: LogRecord,
        after: Vec<AfterWrite>,
        commands: &mut Vec<Command>,
    ) {
        let token = self.begin_write(now, after);
        self.log_bytes += rough_size(&record);
        // The entries are measured only once the log is long.
        let is_long =
            self.log_bytes > LOG_LIMIT && self.log_bytes > bytes_of(&self.state.entries) / 2;
        if is_long {
            self.write_snapshot(token, commands);
        } else {
            commands.push(Command::AppendRecord { partition: self.id, token, rec: record });
        }
    }

    /// Sends the whole state to the disk and hangs `after` on it.
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
        let copy = self.state.clone();
        commands.push(Command::WriteSnapshot { partition: self.id, token, copy });
    }

    /// Sends a message as soon as everything accepted so far is synced.
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

    /// Every write up to `token` is synced. Returns whether a voter that had stepped
    /// back works again.
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
                self.do_after_write(now, group, after, commands);
            }
        }
        let is_repaired = self.writes.is_empty() && self.disk_failure.is_some();
        if is_repaired {
            self.disk_failure = None;
            self.become_follower(now, None);
            commands.push(Command::Alarm(format!("part {}: the disk works again", self.id)));
        }
        is_repaired
    }

    fn do_after_write(
        &mut self,
        now: Tick,
        group: VoterGroup,
        after: AfterWrite,
        commands: &mut Vec<Command>,
    ) {
        match after {
            AfterWrite::Send(slot, message) => commands.push(Command::ToVoter { slot, message }),
            AfterWrite::OwnAppendSynced { term, revision } => {
                let ourselves = Sender { group, slot: group.slot };
                self.on_append_ack(now, ourselves, term, revision, commands);
            }
            AfterWrite::OwnVoteSynced { term } => {
                self.on_own_vote_synced(now, group, term, commands);
            }
            AfterWrite::StartVoting => self.start_voting(now, commands),
        }
    }

    /// Whether the disk has finished nothing for too long. One that is slow and has
    /// many writes in line is not stalled.
    pub fn is_disk_stalled(&self, now: Tick) -> bool {
        let oldest = self.writes.front();
        oldest.is_some_and(|w| since(w.at.max(self.synced_at), now) > DISK_STALL)
    }

    /// The disk failed or stalls: this voter steps back from the partition.
    pub fn on_disk_failed(&mut self, now: Tick, why: String, commands: &mut Vec<Command>) {
        if self.disk_failure.is_none() {
            commands.push(Command::Alarm(format!("part {} steps back: {why}", self.id)));
        }
        self.disk_failure = Some(why);
        self.disk_retry_at = now + CATCH_UP_INTERVAL;
        // What rested on writes that may never be synced must never be said.
        for write in &mut self.writes {
            write.after.retain(|after| matches!(after, AfterWrite::StartVoting));
        }
        if !matches!(self.role, Role::Follower { .. }) {
            self.step_down(now, None, commands);
        }
    }

    /// A voter that stepped back tries its disk again by writing a whole slot.
    pub fn retry_disk(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let is_voting = self.condition == ReplicaCondition::Voting;
        if is_voting && self.writes.is_empty() && now >= self.disk_retry_at {
            self.disk_retry_at = now + DISK_STALL;
            self.persist_snapshot(now, Vec::new(), commands);
        }
    }
}

/// About how many bytes a record takes: it only decides when to write a slot.
fn rough_size(record: &LogRecord) -> u64 {
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

fn bytes_of(entries: &EntryMap) -> u64 {
    entries.iter().map(|(key, value)| (key.len() + value.len()) as u64).sum()
}
