//! A simulated disk. It holds the same bytes that a real disk
//! would, written and read by the same functions, and it can lose power in
//! the middle of any write.

use grebepath_core::identifiers::PartitionId;
use grebepath_core::random::Random;
use grebepath_core::storage::damage::Damage;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_core::storage::writer;
use grebepath_core::time::{Span, Tick, ms};

/// Length of a log's header (bytes); a log without records gets no bit flip.
const LOG_HEADER_BYTES: usize = 40;

/// One partition's files.
///
/// Invariant: `log` and `slots` are what a start would read now; jobs take
/// effect when they are done, or in part when power is lost.
#[derive(Clone, Default)]
pub struct Files {
    slots: [Option<Vec<u8>>; 2],
    log: Option<Vec<u8>>,
    /// Sequence number of the newest slot.
    sequence: u64,
    /// Records in the log.
    records: u32,
    /// Whether records can be appended to the log.
    open: bool,
    /// Whether earlier files were set aside, because they were damaged or of another voter.
    set_aside: bool,
}

/// A write to a partition's files.
#[derive(Clone)]
pub enum Job {
    /// Appends a record to the log.
    Append(LogRecord),
    /// Writes a slot and starts a new log.
    Snapshot(ReplicaState),
}

/// A job that isn't finished.
struct PendingJob {
    partition: PartitionId,
    token: u64,
    job: Job,
}

/// A voter file that is being written.
struct PendingVoterFile {
    token: u64,
    contents: VoterFile,
    /// Whether the partitions' files are set aside before.
    clear: bool,
}

/// Why a write failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum DiskError {
    /// The disk is full.
    #[error("no space left on device")]
    Full,
    /// An earlier write failed: only a snapshot reopens the log.
    #[error("no log is open since the last failure")]
    NoOpenLog,
}

/// The health of a disk.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Health {
    /// Every write is durable after a few milliseconds.
    Good,
    /// Every write takes this much longer.
    Slow(Span),
    /// Every write fails.
    Full,
    /// No write finishes.
    Stalled,
}

/// A machine's disk.
pub struct Disk {
    /// Its current health.
    pub health: Health,
    partitions: Vec<Files>,
    voter_file: Option<Vec<u8>>,
    pending_voter_files: Vec<PendingVoterFile>,
    /// When the last queued job will be finished.
    busy_until: Tick,
    pending_jobs: Vec<PendingJob>,
}

impl Disk {
    /// Creates an empty disk.
    pub fn new(partitions: usize) -> Self {
        Disk {
            partitions: vec![Files::default(); partitions],
            health: Health::Good,
            voter_file: None,
            pending_voter_files: Vec::new(),
            busy_until: 0,
            pending_jobs: Vec::new(),
        }
    }

    /// Queues a job and returns the time at which it will be finished, or `None` while the
    /// disk stalls.
    pub fn start_job(
        &mut self,
        now: Tick,
        partition: PartitionId,
        token: u64,
        job: Job,
        random: &mut Random,
    ) -> Option<Tick> {
        self.pending_jobs.push(PendingJob { partition, token, job });
        self.schedule(now, random)
    }

    /// Queues the write of a voter file, as `start_job` does for a partition's files.
    pub fn write_voter_file(
        &mut self,
        now: Tick,
        token: u64,
        contents: VoterFile,
        clear: bool,
        random: &mut Random,
    ) -> Option<Tick> {
        self.pending_voter_files.push(PendingVoterFile { token, contents, clear });
        self.schedule(now, random)
    }

    /// Returns when a job that is queued now will be finished; `None` while the disk stalls.
    fn schedule(&mut self, now: Tick, random: &mut Random) -> Option<Tick> {
        let slow = if let Health::Slow(more) = self.health { more } else { 0 };
        let duration = ms(1) + random.below(ms(3)) + slow;
        if self.health == Health::Stalled {
            return None;
        }
        self.busy_until = self.busy_until.max(now) + duration;
        Some(self.busy_until)
    }

    /// Finishes the write of a voter file; `None` if it isn't pending.
    pub fn finish_voter_file(&mut self, token: u64) -> Option<Result<(), DiskError>> {
        let at = self.pending_voter_files.iter().position(|pending| pending.token == token)?;
        let pending = self.pending_voter_files.remove(at);
        if self.health == Health::Full {
            return Some(Err(DiskError::Full));
        }
        self.put_voter_file(&pending.contents, pending.clear);
        Some(Ok(()))
    }

    /// Returns the tokens of the pending voter files, oldest first.
    pub fn pending_voter_files(&self) -> Vec<u64> {
        self.pending_voter_files.iter().map(|pending| pending.token).collect()
    }

    /// Reads the voter file at a start; pending writes are dropped.
    pub fn read_voter_file(&mut self) -> Option<VoterFile> {
        self.pending_voter_files.clear();
        voter_file::read(self.voter_file.as_deref()?)
    }

    /// Writes a voter file synchronously, as a start does.
    pub fn put_voter_file(&mut self, contents: &VoterFile, clear: bool) {
        if clear {
            for files in &mut self.partitions {
                let set_aside = files.set_aside || files.sequence > 0;
                *files = Files { set_aside, ..Files::default() };
            }
        }
        self.voter_file = Some(voter_file::write(contents));
    }

    /// Returns whether no partition has any files.
    pub fn is_empty(&self) -> bool {
        let empty = |files: &Files| files.slots.iter().all(Option::is_none) && files.log.is_none();
        self.partitions.iter().all(empty)
    }

    /// Returns the pending jobs, oldest first.
    pub fn pending_jobs(&self) -> Vec<(PartitionId, u64)> {
        self.pending_jobs.iter().map(|pending| (pending.partition, pending.token)).collect()
    }

    /// Finishes a job, which is then durable or failed; `None` if it isn't pending.
    pub fn finish_job(
        &mut self,
        partition: PartitionId,
        token: u64,
    ) -> Option<Result<(), DiskError>> {
        let wanted =
            |pending: &PendingJob| pending.partition == partition && pending.token == token;
        let at = self.pending_jobs.iter().position(wanted)?;
        let pending = self.pending_jobs.remove(at);
        let full = self.health == Health::Full;
        let files = &mut self.partitions[partition.0 as usize];
        if full {
            files.open = false;
            return Some(Err(DiskError::Full));
        }
        Some(files.apply(partition, pending.job))
    }

    /// Finishes all pending writes: the operating system writes them even if the process has ended.
    pub fn finish_all(&mut self) {
        for (partition, token) in self.pending_jobs() {
            self.finish_job(partition, token);
        }
        for token in self.pending_voter_files() {
            self.finish_voter_file(token);
        }
    }

    /// Simulates a power loss: pending writes take effect in part, drawn at random.
    pub fn power_loss(&mut self, random: &mut Random) {
        let jobs = std::mem::take(&mut self.pending_jobs);
        // The voter file is replaced by a rename, which takes effect entirely or not at all.
        for pending in std::mem::take(&mut self.pending_voter_files) {
            if random.chance(1, 2) {
                break;
            }
            self.put_voter_file(&pending.contents, pending.clear);
        }
        let mut torn = vec![false; self.partitions.len()];
        for pending in jobs {
            let at = pending.partition.0 as usize;
            if torn[at] {
                continue;
            }
            torn[at] = !self.partitions[at].apply_partly(pending.partition, pending.job, random);
        }
        self.busy_until = 0;
        for files in &mut self.partitions {
            files.open = false;
        }
    }

    /// Replaces the disk by an empty one.
    pub fn replace(&mut self) {
        *self = Disk::new(self.partitions.len());
    }

    /// Flips one bit of the stored data; returns false if the drawn file doesn't exist.
    pub fn flip_bit(&mut self, random: &mut Random) -> bool {
        let at = random.below(self.partitions.len() as u64) as usize;
        let files = &mut self.partitions[at];
        let newest = (files.sequence % 2) as usize;
        let bytes = match (&mut files.slots[newest], &mut files.log) {
            (_, Some(log)) if random.chance(1, 2) && log.len() > LOG_HEADER_BYTES => log,
            (Some(slot), _) => slot,
            _ => return false,
        };
        let byte = random.below(bytes.len() as u64) as usize;
        bytes[byte] ^= 1 << random.below(8);
        true
    }

    /// Reads the disk as a start does, and writes a first slot of the new incarnation.
    pub fn start(&mut self) -> Vec<(PartitionId, StoredReplica)> {
        self.pending_jobs.clear();
        self.busy_until = 0;
        let full = self.health == Health::Full;
        let partitions = self.partitions.iter_mut().enumerate();
        partitions
            .map(|(number, files)| {
                let partition = PartitionId(number as u32);
                (partition, files.start(partition, full))
            })
            .collect()
    }

    /// Rereads a partition's files, as a running controller does; returns what is
    /// wrong with them.
    pub fn scrub(&self, partition: PartitionId) -> Option<String> {
        let files = &self.partitions[partition.0 as usize];
        // A pending write may already have taken effect in part.
        if !files.open || self.pending_jobs.iter().any(|pending| pending.partition == partition) {
            return None;
        }
        let written = (files.sequence, files.records, false);
        match files.read(partition) {
            StoredReplica::Intact { sequence, records, is_torn, .. }
                if (sequence, records, is_torn) == written =>
            {
                None
            }
            StoredReplica::Intact { .. } => Some("the last write is missing".into()),
            StoredReplica::Empty => Some("the files are missing".into()),
            StoredReplica::Damaged(why) => Some(why.to_string()),
        }
    }
}

impl Files {
    fn read(&self, partition: PartitionId) -> StoredReplica {
        let slots = [self.slots[0].as_deref(), self.slots[1].as_deref()];
        read(partition.0, slots, self.log.as_deref())
    }

    /// Starts an empty log after the newest slot.
    fn begin_log(&mut self, partition: PartitionId) {
        self.log = Some(writer::log_header(partition.0, self.sequence));
        self.records = 0;
    }

    /// Writes the next slot and opens a log after it.
    fn write_slot(&mut self, partition: PartitionId, state: &ReplicaState) {
        self.sequence += 1;
        let bytes = writer::slot(partition.0, self.sequence, state);
        self.slots[(self.sequence % 2) as usize] = Some(bytes);
        self.begin_log(partition);
        self.open = true;
    }

    fn apply(&mut self, partition: PartitionId, job: Job) -> Result<(), DiskError> {
        match job {
            Job::Append(_) if !self.open => return Err(DiskError::NoOpenLog),
            Job::Append(record) => {
                let bytes = writer::record(self.sequence, self.records, &record);
                self.log.get_or_insert_default().extend(bytes);
                self.records += 1;
            }
            Job::Snapshot(state) => self.write_slot(partition, &state),
        }
        Ok(())
    }

    /// Applies a job in part; returns whether it took effect completely.
    fn apply_partly(&mut self, partition: PartitionId, job: Job, random: &mut Random) -> bool {
        let complete = random.chance(1, 3);
        match job {
            Job::Append(_) if !self.open => false,
            Job::Append(record) => {
                let mut bytes = writer::record(self.sequence, self.records, &record);
                if !complete {
                    let keep = random.below(bytes.len() as u64) as usize;
                    if random.chance(1, 2) {
                        // The file's new length was written, its bytes were not.
                        bytes[keep..].fill(0);
                    } else {
                        bytes.truncate(keep);
                    }
                }
                self.log.get_or_insert_default().extend(bytes);
                self.records += 1;
                complete
            }
            Job::Snapshot(state) => {
                let sequence = self.sequence + 1;
                let mut bytes = writer::slot(partition.0, sequence, &state);
                let torn = random.chance(1, 2);
                if torn {
                    bytes.truncate(random.below(bytes.len() as u64) as usize);
                }
                self.slots[(sequence % 2) as usize] = Some(bytes);
                if torn {
                    return false;
                }
                self.sequence = sequence;
                if complete {
                    self.begin_log(partition);
                }
                complete
            }
        }
    }

    /// Reads the files as a start does, and opens a new log unless the disk is full.
    fn start(&mut self, partition: PartitionId, full: bool) -> StoredReplica {
        let mut found = self.read(partition);
        if found == StoredReplica::Empty && self.set_aside {
            found = StoredReplica::Damaged(Damage::SetAside);
        }
        match &found {
            StoredReplica::Empty => *self = Files { set_aside: self.set_aside, ..Files::default() },
            StoredReplica::Damaged(_) => *self = Files { set_aside: true, ..Files::default() },
            StoredReplica::Intact { state, sequence, .. } => {
                self.sequence = *sequence;
                self.open = false;
                if !full {
                    self.write_slot(partition, state);
                }
            }
        }
        found
    }
}
