//! What a controller knows of the voter slots: receiving, writing and sending the
//! voter set.

use indexmap::IndexSet;

use crate::command::{Command, ConnectionId};
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::replication::timing::DISK_STALL_TIMEOUT;
use crate::storage::voter_file::VoterFile;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, VoterSet, ballot, group, merge, others, seat_of, stamp};
use crate::voters::handover::Handovers;
use crate::voters::stamp::stamp_of_mut;

/// How often a voter shows another that it lives, if nothing else does.
const ALIVE_INTERVAL: Span = ms(500);

/// Least time between two sendings of the voter set to a voter that has another.
const VOTER_SET_RESEND: Span = ms(200);

/// What a controller knows of the voter slots.
///
/// Invariants: `voter_file` is on disk; what is sent, counted or done rests on it
/// alone; `pending_write` follows it and is on its way to the disk.
pub struct VoterSlots {
    /// Our replica id and the voter set, as they are on disk.
    pub voter_file: VoterFile,
    /// Stamp of that voter set.
    pub stamp: u64,
    /// The address at which other controllers reach us.
    pub addr: String,
    /// Our zone.
    pub zone: String,
    /// A newer voter file on its way to the disk.
    pub pending_write: Option<PendingVoterFile>,
    /// Token of the last voter file that was sent to the disk.
    pub last_token: u64,
    /// When this process started.
    pub started_at: Tick,
    /// When silence was last counted.
    pub woken_at: Tick,
    /// For how long each slot's replica was not heard, while we were awake: a process
    /// that was paused must not take its pause for others' silence.
    pub silence: Vec<Span>,
    /// When we last sent something to each slot.
    pub sent: Vec<Tick>,
    /// When we last sent each slot the voter set because it had another.
    pub voter_set_sent_at: Vec<Tick>,
    /// Connections that others opened to us.
    pub connections: IndexSet<ConnectionId>,
    /// When we next ask for a slot, while we have none.
    pub join_request_at: Tick,
    /// The slots that each voter would give us, while we have none.
    pub offers: Vec<Option<JoinOffer>>,
    /// Counts the requests that were forwarded without a slot, to spread them.
    pub forwarding_turns: usize,
    /// Handovers of slots, ours and others'.
    pub handovers: Handovers,
}

/// The slots that a voter would give us, and when it said so.
#[derive(Clone)]
pub struct JoinOffer {
    /// When it said so.
    pub at: Tick,
    /// The slots that it would give us.
    pub free: Vec<VoterSlot>,
}

/// A voter file on its way to the disk.
pub struct PendingVoterFile {
    /// What is written.
    pub voter_file: VoterFile,
    /// Names the write when the disk reports its end.
    pub token: u64,
    /// What becomes of the partitions' files.
    pub partition_files: PartitionFiles,
    /// When the write is retried after a failure.
    pub retry_at: Option<Tick>,
}

/// What becomes of the partitions' files when a voter file is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionFiles {
    /// They go on being used.
    Keep,
    /// They are set aside first: they belong to a replica id that is given up.
    SetAside,
}

impl VoterSlots {
    /// The voter slots of a controller that has read its disk, which others reach at
    /// `addr`.
    pub fn new(voter_file: VoterFile, addr: &str, zone: &str, now: Tick) -> VoterSlots {
        let size = voter_file.table.slots.len();
        VoterSlots {
            stamp: stamp(&voter_file.table),
            voter_file,
            addr: addr.to_string(),
            zone: zone.to_string(),
            pending_write: None,
            last_token: 0,
            started_at: now,
            woken_at: now,
            silence: vec![0; size],
            sent: vec![0; size],
            voter_set_sent_at: vec![0; size],
            connections: IndexSet::new(),
            join_request_at: now,
            offers: vec![None; size],
            forwarding_turns: 0,
            handovers: Handovers::default(),
        }
    }

    /// The voter set on disk.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_file.table
    }

    /// Our replica id; zero while a new one is on its way to the disk.
    pub fn replica_id(&self) -> u64 {
        self.voter_file.me
    }

    /// The replica group as the holder of `slot` sees it.
    pub fn group(&self, slot: VoterSlot) -> VoterGroup {
        group(&self.voter_file.table, slot, self.voter_file.first)
    }

    /// The newest voter set that we know, on disk or on its way there.
    pub fn newest(&self) -> &VoterSet {
        self.pending_write.as_ref().map_or(self.voter_set(), |write| &write.voter_file.table)
    }

    /// Whether a replica holds `slot` by the voter set on disk.
    pub fn is_held_by(&self, slot: VoterSlot, replica_id: u64) -> bool {
        let holder = self.voter_set().slots.get(usize::from(slot));
        holder.is_some_and(|h| h.holder == replica_id && replica_id != 0)
    }

    /// Takes in a voter set that somebody sent.
    pub fn learn(&mut self, theirs: &VoterSet, commands: &mut Vec<Command>) {
        if let Some(merged) = merge(self.newest(), theirs) {
            self.write_voter_set(merged, commands);
        }
    }

    /// Sends a newer voter set to the disk; it is adopted once it is there.
    pub fn write_voter_set(&mut self, voter_set: VoterSet, commands: &mut Vec<Command>) {
        let (mut voter_file, partition_files) = match &self.pending_write {
            Some(write) => (write.voter_file.clone(), write.partition_files),
            None => (self.voter_file.clone(), PartitionFiles::Keep),
        };
        voter_file.table = voter_set;
        self.write_voter_file(voter_file, partition_files, commands);
    }

    /// Sends a voter file to the disk; it is adopted once it is there.
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

    /// The disk failed to write the voter file: it is retried.
    pub fn on_write_failed(&mut self, now: Tick, why: &str, commands: &mut Vec<Command>) {
        if let Some(write) = &mut self.pending_write {
            write.retry_at = Some(now + DISK_STALL_TIMEOUT);
            let text = format!("the table of the seats can't be kept: {why}");
            commands.push(Command::Alarm(text));
        }
    }

    /// Retries a write that failed, if it is time.
    pub fn retry_write(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if let Some(write) = &mut self.pending_write
            && write.retry_at.is_some_and(|at| now >= at)
        {
            write.retry_at = None;
            commands.push(write.command());
        }
    }

    /// A voter file is on disk: from here on we act by it. Tells which slots changed
    /// hands; nothing if a newer one is on its way.
    pub fn adopt_written(&mut self, token: u64) -> Option<Vec<bool>> {
        // An older one that is there too is only part of the newest.
        let write = self.pending_write.take_if(|write| write.token == token)?;
        let former = std::mem::replace(&mut self.voter_file, write.voter_file);
        self.stamp = stamp(self.voter_set());
        let size = self.voter_set().slots.len();
        self.silence.resize(size, 0);
        self.sent.resize(size, 0);
        self.voter_set_sent_at.resize(size, 0);
        self.offers = vec![None; size];
        let held = |voter_set: &VoterSet, slot: usize| voter_set.slots.get(slot).map(ballot);
        let is_moved = |slot| held(&former.table, slot) != held(self.voter_set(), slot);
        Some((0..size).map(is_moved).collect())
    }

    /// Says which slots changed hands. Their new replicas were not silent yet.
    pub fn announce_moves(&mut self, moved: &[bool], commands: &mut Vec<Command>) {
        for (slot, _) in moved.iter().enumerate().filter(|(_, moved)| **moved) {
            self.silence[slot] = 0;
            let holder = &self.voter_file.table.slots[slot];
            let text =
                format!("seat {slot}: {} has it, generation {}", holder.addr, holder.generation);
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

    /// Sends the voter set to everyone, as the holder of `slot`.
    pub fn broadcast_voter_set(&self, slot: VoterSlot, commands: &mut Vec<Command>) {
        let message = self.update_message();
        for slot in others(self.group(slot)) {
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

    /// Sends the voter set to a voter that has another, not too often.
    pub fn resend_voter_set(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        connection: ConnectionId,
        commands: &mut Vec<Command>,
    ) {
        let Some(at) = self.voter_set_sent_at.get_mut(usize::from(slot)) else { return };
        if since(*at, now) >= VOTER_SET_RESEND {
            *at = now;
            self.send_voter_set(connection, commands);
        }
    }

    /// A controller sent its voter set on a connection that we opened. It is sent ours
    /// if it lacks something that we have.
    pub fn on_voter_set_answer(
        &mut self,
        replica_id: u64,
        theirs: &VoterSet,
        commands: &mut Vec<Command>,
    ) {
        self.learn(theirs, commands);
        if merge(theirs, self.voter_set()).is_some()
            && let Some(slot) = seat_of(self.voter_set(), replica_id)
        {
            commands.push(Command::ToVoter { slot, message: self.update_message() });
        }
    }

    /// Puts our stamp on the messages that need it, and notes to whom we speak.
    pub fn stamp_messages(&mut self, now: Tick, commands: &mut [Command]) {
        for command in commands {
            let Command::ToVoter { slot, message } = command else { continue };
            if let Some(stamp) = stamp_of_mut(message) {
                *stamp = self.stamp;
            }
            if let Some(at) = self.sent.get_mut(usize::from(*slot)) {
                *at = now;
            }
        }
    }

    /// Counts everybody's silence since the last time, but at most `longest`.
    pub fn count_silence(&mut self, now: Tick, longest: Span) {
        let passed = since(self.woken_at, now).min(longest);
        self.woken_at = now;
        for silence in &mut self.silence {
            *silence += passed;
        }
    }

    /// Fills in the zone of our own slot, where the seeds could not name it.
    pub fn fill_in_zone(&mut self, slot: VoterSlot, commands: &mut Vec<Command>) {
        let own = usize::from(slot);
        let is_unknown = self.voter_set().slots[own].zone.is_empty();
        if self.pending_write.is_none() && is_unknown && !self.zone.is_empty() {
            let mut voter_set = self.voter_set().clone();
            voter_set.slots[own].zone.clone_from(&self.zone);
            self.write_voter_set(voter_set, commands);
        }
    }

    /// Shows the other voters that the holder of `slot` lives, where nothing else did
    /// lately.
    pub fn show_alive(&self, now: Tick, slot: VoterSlot, commands: &mut Vec<Command>) {
        for slot in others(self.group(slot)) {
            if since(self.sent[usize::from(slot)], now) >= ALIVE_INTERVAL {
                commands.push(Command::ToVoter { slot, message: Message::VoterAlive { stamp: 0 } });
            }
        }
    }
}

impl PendingVoterFile {
    fn command(&self) -> Command {
        Command::WriteVoterFile {
            token: self.token,
            roll: self.voter_file.clone(),
            clear: self.partition_files == PartitionFiles::SetAside,
        }
    }
}
