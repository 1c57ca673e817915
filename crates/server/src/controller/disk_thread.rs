//! The disk thread: executes jobs in order, and syncs the jobs of a batch together.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_runtime::disk::data_folder;
use grebepath_runtime::disk::error::StorageError;
use grebepath_runtime::disk::partition_store::PartitionStore;
use tokio::sync::mpsc::UnboundedSender;

use crate::messages::{ControllerInput, DiskJob};

/// The files of all partitions, and the receiver of the jobs' results.
pub struct DiskThread {
    data: PathBuf,
    /// Indexed by partition number.
    stores: Vec<PartitionStore>,
    events: UnboundedSender<ControllerInput>,
}

/// The outcome of a batch for one partition.
#[derive(Default)]
struct PartitionOutcome {
    /// Token of the last successful job.
    token: u64,
    unsynced: bool,
    error: Option<StorageError>,
}

/// A job to write the voter file at the end of a batch.
struct VoterFileJob {
    token: u64,
    file: VoterFile,
    set_aside: bool,
}

impl DiskThread {
    /// Creates the thread's state. `stores` is indexed by partition number.
    pub fn new(
        data: PathBuf,
        stores: Vec<PartitionStore>,
        events: UnboundedSender<ControllerInput>,
    ) -> DiskThread {
        DiskThread { data, stores, events }
    }

    /// Runs jobs until all senders of jobs or the receiver of the events are dropped.
    pub fn serve(mut self, jobs: Receiver<DiskJob>) {
        while let Ok(first) = jobs.recv() {
            let mut batch = vec![first];
            // A voter file ends a batch, since its job may set aside the files written before.
            while !matches!(batch.last(), Some(DiskJob::WriteVoterFile { .. }))
                && let Ok(job) = jobs.try_recv()
            {
                batch.push(job);
            }
            if self.run(batch).is_err() {
                return;
            }
        }
    }

    /// Runs a batch and reports its results. Fails if the receiver was dropped.
    fn run(&mut self, batch: Vec<DiskJob>) -> Result<(), ()> {
        let mut outcomes: BTreeMap<PartitionId, PartitionOutcome> = BTreeMap::new();
        let mut scrubs: Vec<PartitionId> = Vec::new();
        let mut voter_file = None;
        for job in batch {
            match job {
                DiskJob::Append { partition, token, record } => {
                    let written = self.store(partition).append(&record);
                    let outcome = outcomes.entry(partition).or_default();
                    outcome.note_append(token, written);
                }
                DiskJob::WriteSnapshot { partition, token, state } => {
                    let written = self.store(partition).write_snapshot(&state);
                    let outcome = outcomes.entry(partition).or_default();
                    outcome.note_snapshot(token, written);
                }
                DiskJob::Scrub { partition } => scrubs.push(partition),
                DiskJob::WriteVoterFile { token, file, set_aside } => {
                    voter_file = Some(VoterFileJob { token, file, set_aside });
                }
            }
        }
        for (partition, outcome) in outcomes {
            let event = self.finish_partition(partition, outcome);
            self.send_event(event)?;
        }
        if let Some(job) = voter_file {
            let event = match self.write_voter_file(&job) {
                Ok(()) => Event::VoterFileWritten { token: job.token },
                Err(error) => Event::VoterFileFailed { why: error.to_string() },
            };
            let _ = self.send_event(event);
        }
        for partition in scrubs {
            let corruption = self.store(partition).scrub().err().map(|error| error.to_string());
            let _ = self.send_event(Event::Scrubbed { partition, corruption });
        }
        Ok(())
    }

    fn store(&mut self, partition: PartitionId) -> &mut PartitionStore {
        &mut self.stores[partition.0 as usize]
    }

    fn send_event(&self, event: Event) -> Result<(), ()> {
        self.events.send(ControllerInput::Event(event)).map_err(|_| ())
    }

    /// Syncs the records that a batch appended to a partition. Returns the event that completes the
    /// batch's jobs for that partition.
    fn finish_partition(&mut self, partition: PartitionId, mut outcome: PartitionOutcome) -> Event {
        if outcome.unsynced && outcome.error.is_none() {
            outcome.error = self.store(partition).sync().err();
        }
        match outcome.error {
            Some(error) => Event::DiskFailed { partition, why: error.to_string() },
            None => Event::Synced { partition, token: outcome.token },
        }
    }

    /// Writes the voter file. If the job requires it, the partitions' files are set aside first, so
    /// that the voter file never describes a state that is not on disk yet.
    fn write_voter_file(&mut self, job: &VoterFileJob) -> Result<(), StorageError> {
        if job.set_aside {
            for store in &mut self.stores {
                store.set_aside()?;
            }
        }
        data_folder::write_voter_file(&self.data, &job.file)
    }
}

impl PartitionOutcome {
    fn note_append(&mut self, token: u64, written: Result<(), StorageError>) {
        match written {
            Ok(()) => {
                self.token = token;
                self.unsynced = true;
            }
            Err(error) => self.error = Some(error),
        }
    }

    fn note_snapshot(&mut self, token: u64, written: Result<(), StorageError>) {
        match written {
            Ok(()) => {
                // A snapshot contains all earlier records, so it also recovers from a failure
                // earlier in this batch.
                *self = PartitionOutcome { token, unsynced: false, error: None };
            }
            Err(error) => self.error = Some(error),
        }
    }
}
