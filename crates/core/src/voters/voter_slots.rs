//! The state of the voter slots on a controller: receiving, writing and sending the voter set.

use indexmap::IndexSet;

use crate::command::{Command, ConnectionId};
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::replication::timing::DISK_STALL_TIMEOUT;
use crate::storage::voter_file::VoterFile;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, VoterSet, ballot, group, merge, other_voters, slot_of, stamp};
use crate::voters::handover::Handovers;
use crate::voters::stamp::stamp_of_mut;

/// Longest time without a message to another voter before a keepalive is sent.
const KEEPALIVE_INTERVAL: Span = ms(500);

/// Minimum time between two sends of the voter set to a voter that has another.
const VOTER_SET_RESEND_INTERVAL: Span = ms(200);

/// The state of the voter slots on a controller.
///
/// Invariants: `voter_file` is on disk; everything that is sent, counted or done depends on it
/// alone; `pending_write` is newer and is being written to disk.
pub struct VoterSlots {
    /// Replica id of this controller and the voter set, as they are on disk.
    pub voter_file: VoterFile,
    /// Stamp of that voter set.
    pub stamp: u64,
    /// The address at which other controllers reach this one.
    pub addr: String,
    /// The zone of this controller.
    pub zone: String,
    /// A newer voter file that is being written to disk.
    pub pending_write: Option<PendingVoterFile>,
    /// Token of the last write of a voter file.
    pub last_token: u64,
    /// When this process started.
    pub started_at: Tick,
    /// When `time_since_message` was last advanced.
    pub time_advanced_at: Tick,
    /// Time since the last message of each slot's replica, counted only while this process was
    /// running: a process that was paused must not count its pause as silence of the others.
    pub time_since_message: Vec<Span>,
    /// When a message was last sent to each slot.
    pub last_sent_at: Vec<Tick>,
    /// When the voter set was last sent to each slot because its replica had another.
    pub voter_set_sent_at: Vec<Tick>,
    /// Connections that others opened to this controller.
    pub connections: IndexSet<ConnectionId>,
    /// When this controller next requests a slot, while it has none.
    pub join_request_at: Tick,
    /// The slots that each voter would grant this controller, while it has none.
    pub offers: Vec<Option<JoinOffer>>,
    /// Number of requests that were forwarded while this controller had no slot; selects the
    /// next voter in turn.
    pub forwarded_without_slot: usize,
    /// Handovers of slots from and to this controller.
    pub handovers: Handovers,
}

/// The slots that a voter would grant this controller.
#[derive(Clone)]
pub struct JoinOffer {
    /// When the offer was received.
    pub at: Tick,
    /// The slots that it would grant.
    pub free: Vec<VoterSlot>,
}

/// A voter file that is being written to disk.
pub struct PendingVoterFile {
    /// The contents to write.
    pub voter_file: VoterFile,
    /// Identifies the write when the disk reports its result.
    pub token: u64,
    /// What to do with the partitions' files.
    pub partition_files: PartitionFiles,
    /// When the write is retried after a failure.
    pub retry_at: Option<Tick>,
}

/// What happens to the partitions' files when a voter file is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionFiles {
    /// They stay in use.
    Keep,
    /// They are moved aside first, because they belong to a replica id that is being replaced.
    SetAside,
}

impl VoterSlots {
    /// Creates the state of a controller that has read its disk and that others reach at `addr`.
    pub fn new(voter_file: VoterFile, addr: &str, zone: &str, now: Tick) -> VoterSlots {
        let size = voter_file.voter_set.slots.len();
        VoterSlots {
            stamp: stamp(&voter_file.voter_set),
            voter_file,
            addr: addr.to_string(),
            zone: zone.to_string(),
            pending_write: None,
            last_token: 0,
            started_at: now,
            time_advanced_at: now,
            time_since_message: vec![0; size],
            last_sent_at: vec![0; size],
            voter_set_sent_at: vec![0; size],
            connections: IndexSet::new(),
            join_request_at: now,
            offers: vec![None; size],
            forwarded_without_slot: 0,
            handovers: Handovers::default(),
        }
    }

    /// Returns the voter set on disk.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_file.voter_set
    }

    /// Returns the replica id of this controller; zero while a new one is being written to disk.
    pub fn replica_id(&self) -> u64 {
        self.voter_file.replica_id
    }

    /// Returns the replica group as the holder of `slot` sees it.
    pub fn group(&self, slot: VoterSlot) -> VoterGroup {
        group(&self.voter_file.voter_set, slot, self.voter_file.is_original_disk)
    }

    /// Returns the newest known voter set, on disk or being written.
    pub fn newest(&self) -> &VoterSet {
        self.pending_write.as_ref().map_or(self.voter_set(), |write| &write.voter_file.voter_set)
    }

    /// Whether a replica holds `slot` by the voter set on disk.
    pub fn is_held_by(&self, slot: VoterSlot, replica_id: u64) -> bool {
        let holder = self.voter_set().slots.get(usize::from(slot));
        holder.is_some_and(|h| h.replica_id == replica_id && replica_id != 0)
    }

    /// Merges a voter set that another process sent.
    pub fn merge_voter_set(&mut self, theirs: &VoterSet, commands: &mut Vec<Command>) {
        if let Some(merged) = merge(self.newest(), theirs) {
            self.write_voter_set(merged, commands);
        }
    }

    /// Writes a newer voter set to disk; it is adopted once the write is complete.
    pub fn write_voter_set(&mut self, voter_set: VoterSet, commands: &mut Vec<Command>) {
        let (mut voter_file, partition_files) = match &self.pending_write {
            Some(write) => (write.voter_file.clone(), write.partition_files),
            None => (self.voter_file.clone(), PartitionFiles::Keep),
        };
        voter_file.voter_set = voter_set;
        self.write_voter_file(voter_file, partition_files, commands);
    }

    /// Writes a voter file to disk; it is adopted once the write is complete.
    pub fn write_voter_file(
        &mut self,
        voter_file: VoterFile,
        partition_files: PartitionFiles,
        commands: &mut Vec<Command>,
    ) {
        self.last_token += 1;
        let pending = PendingVoterFile {
            voter_file,
            token: self.last_token,
            partition_files,
            retry_at: None,
        };
        commands.push(pending.command());
        self.pending_write = Some(pending);
    }

    /// Schedules a retry after the disk failed to write the voter file.
    pub fn on_write_failed(&mut self, now: Tick, why: &str, commands: &mut Vec<Command>) {
        if let Some(write) = &mut self.pending_write {
            write.retry_at = Some(now + DISK_STALL_TIMEOUT);
            let text = format!("the voter set could not be written to disk: {why}");
            commands.push(Command::Alarm(text));
        }
    }

    /// Retries a failed write if that is due.
    pub fn retry_write(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if let Some(write) = &mut self.pending_write
            && write.retry_at.is_some_and(|at| now >= at)
        {
            write.retry_at = None;
            commands.push(write.command());
        }
    }

    /// Adopts a voter file whose write is complete. Returns which slots changed their holder, or
    /// nothing if a newer file is being written.
    pub fn adopt_written(&mut self, token: u64) -> Option<Vec<bool>> {
        // An older file that was written before needs no handling: the newest contains all of
        // it.
        let write = self.pending_write.take_if(|write| write.token == token)?;
        let former = std::mem::replace(&mut self.voter_file, write.voter_file);
        self.stamp = stamp(self.voter_set());
        let size = self.voter_set().slots.len();
        self.time_since_message.resize(size, 0);
        self.last_sent_at.resize(size, 0);
        self.voter_set_sent_at.resize(size, 0);
        self.offers = vec![None; size];
        let held = |voter_set: &VoterSet, slot: usize| voter_set.slots.get(slot).map(ballot);
        let is_moved = |slot| held(&former.voter_set, slot) != held(self.voter_set(), slot);
        Some((0..size).map(is_moved).collect())
    }

    /// Alarms about the slots that changed their holder, and resets the time since the last
    /// message of their new replicas.
    pub fn report_changed_slots(&mut self, moved: &[bool], commands: &mut Vec<Command>) {
        for (slot, _) in moved.iter().enumerate().filter(|(_, moved)| **moved) {
            self.time_since_message[slot] = 0;
            let holder = &self.voter_file.voter_set.slots[slot];
            let text = format!(
                "voter slot {slot}: now held by {}, generation {}",
                holder.addr, holder.generation
            );
            commands.push(Command::Alarm(text));
        }
        commands.push(Command::VoterSetChanged);
    }

    fn update_message(&self) -> Message {
        Message::VoterSetUpdate {
            replica_id: self.replica_id(),
            voter_set: self.voter_set().clone(),
        }
    }

    /// Sends the voter set to every voter and on every connection, as the holder of `slot`.
    pub fn broadcast_voter_set(&self, slot: VoterSlot, commands: &mut Vec<Command>) {
        let message = self.update_message();
        for slot in other_voters(self.group(slot)) {
            commands.push(Command::ToVoter { slot, message: message.clone() });
        }
        for connection in &self.connections {
            commands
                .push(Command::ToConnection { connection: *connection, message: message.clone() });
        }
    }

    /// Sends the voter set on one connection.
    pub fn send_voter_set(&self, connection: ConnectionId, commands: &mut Vec<Command>) {
        if !self.voter_set().slots.is_empty() {
            commands.push(Command::ToConnection { connection, message: self.update_message() });
        }
    }

    /// Sends the voter set to a voter that has another, at most every
    /// `VOTER_SET_RESEND_INTERVAL`.
    pub fn resend_voter_set(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        connection: ConnectionId,
        commands: &mut Vec<Command>,
    ) {
        let Some(at) = self.voter_set_sent_at.get_mut(usize::from(slot)) else { return };
        if since(*at, now) >= VOTER_SET_RESEND_INTERVAL {
            *at = now;
            self.send_voter_set(connection, commands);
        }
    }

    /// Merges a voter set that a controller sent on a connection which this one opened. Sends
    /// back this controller's voter set if the other lacks anything in it.
    pub fn on_voter_set_answer(
        &mut self,
        replica_id: u64,
        theirs: &VoterSet,
        commands: &mut Vec<Command>,
    ) {
        self.merge_voter_set(theirs, commands);
        if merge(theirs, self.voter_set()).is_some()
            && let Some(slot) = slot_of(self.voter_set(), replica_id)
        {
            commands.push(Command::ToVoter { slot, message: self.update_message() });
        }
    }

    /// Sets this controller's stamp on the messages that carry one, and records when each slot
    /// was last sent a message.
    pub fn stamp_messages(&mut self, now: Tick, commands: &mut [Command]) {
        for command in commands {
            let Command::ToVoter { slot, message } = command else { continue };
            if let Some(stamp) = stamp_of_mut(message) {
                *stamp = self.stamp;
            }
            if let Some(at) = self.last_sent_at.get_mut(usize::from(*slot)) {
                *at = now;
            }
        }
    }

    /// Adds the time since the last call, but at most `longest`, to `time_since_message` of
    /// every slot.
    pub fn advance_time_since_message(&mut self, now: Tick, longest: Span) {
        let passed = since(self.time_advanced_at, now).min(longest);
        self.time_advanced_at = now;
        for time_since_message in &mut self.time_since_message {
            *time_since_message += passed;
        }
    }

    /// Fills in the zone of this controller's slot, which the list of seeds does not contain.
    pub fn fill_in_zone(&mut self, slot: VoterSlot, commands: &mut Vec<Command>) {
        let own = usize::from(slot);
        let is_unknown = self.voter_set().slots[own].zone.is_empty();
        if self.pending_write.is_none() && is_unknown && !self.zone.is_empty() {
            let mut voter_set = self.voter_set().clone();
            voter_set.slots[own].zone.clone_from(&self.zone);
            self.write_voter_set(voter_set, commands);
        }
    }

    /// Sends a keepalive, as the holder of `slot`, to each voter to which nothing else was sent
    /// recently.
    pub fn send_keepalives(&self, now: Tick, slot: VoterSlot, commands: &mut Vec<Command>) {
        for slot in other_voters(self.group(slot)) {
            if since(self.last_sent_at[usize::from(slot)], now) >= KEEPALIVE_INTERVAL {
                commands.push(Command::ToVoter { slot, message: Message::VoterAlive { stamp: 0 } });
            }
        }
    }
}

impl PendingVoterFile {
    fn command(&self) -> Command {
        Command::WriteVoterFile {
            token: self.token,
            voter_file: self.voter_file.clone(),
            clear: self.partition_files == PartitionFiles::SetAside,
        }
    }
}
