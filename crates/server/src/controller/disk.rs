//! The disk thread: writes in order, syncs what came together at once.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::Receiver;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_runtime::disk::data_folder;
use grebepath_runtime::disk::error::StorageError;
use grebepath_runtime::disk::partition_store::PartitionStore;
use tokio::sync::mpsc::UnboundedSender;

use crate::owner::Input;

/// What the disk is asked to do.
pub enum Job {
    Append {
        part: PartitionId,
        token: u64,
        rec: LogRecord,
    },
    Slot {
        part: PartitionId,
        token: u64,
        copy: ReplicaState,
    },
    Look {
        part: PartitionId,
    },
    /// With `clear`, all parts' files are set aside before.
    Keep {
        token: u64,
        roll: VoterFile,
        clear: bool,
    },
}

/// How a part fared in one batch.
#[derive(Default)]
struct Fate {
    token: u64,
    unsynced: bool,
    trouble: Option<String>,
}

/// Serves until the owner is gone.
pub fn serve(
    data: &Path,
    mut stores: Vec<PartitionStore>,
    jobs: Receiver<Job>,
    events: UnboundedSender<Input>,
) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        // A roll ends a batch: it may set aside what came before.
        while !matches!(batch.last(), Some(Job::Keep { .. }))
            && let Ok(job) = jobs.try_recv()
        {
            batch.push(job);
        }
        let mut fates: BTreeMap<PartitionId, Fate> = BTreeMap::new();
        let mut looks: Vec<PartitionId> = Vec::new();
        let mut roll = None;
        for job in batch {
            match job {
                Job::Look { part } => looks.push(part),
                Job::Keep { token, roll: new, clear } => roll = Some((token, new, clear)),
                job => one(&mut stores, job, &mut fates),
            }
        }
        for (part, mut fate) in fates {
            if fate.unsynced
                && fate.trouble.is_none()
                && let Err(e) = stores[part.0 as usize].sync()
            {
                fate.trouble = Some(e.to_string());
            }
            let event = match fate.trouble {
                Some(why) => Event::DiskFailed { partition: part, why },
                None => Event::Synced { partition: part, token: fate.token },
            };
            if events.send(Input::Controller(event)).is_err() {
                return;
            }
        }
        if let Some((token, roll, clear)) = roll {
            let event = match keep(data, &mut stores, &roll, clear) {
                Ok(()) => Event::VoterFileWritten { token },
                Err(e) => Event::VoterFileFailed { why: e.to_string() },
            };
            let _ = events.send(Input::Controller(event));
        }
        for part in looks {
            let trouble = stores[part.0 as usize].scrub().err().map(|e| e.to_string());
            let _ = events.send(Input::Controller(Event::Scrubbed { partition: part, trouble }));
        }
    }
}

/// Keeps a roll; what it says of the parts must hold before.
fn keep(
    data: &Path,
    stores: &mut [PartitionStore],
    roll: &VoterFile,
    clear: bool,
) -> Result<(), StorageError> {
    if clear {
        for store in stores {
            store.set_aside()?;
        }
    }
    data_folder::write_voter_file(data, roll)
}

fn one(stores: &mut [PartitionStore], job: Job, fates: &mut BTreeMap<PartitionId, Fate>) {
    let (part, token, got, unsynced) = match job {
        Job::Append { part, token, rec } => {
            let store = &mut stores[part.0 as usize];
            (part, token, store.append(&rec), true)
        }
        Job::Slot { part, token, copy } => {
            let store = &mut stores[part.0 as usize];
            (part, token, store.write_snapshot(&copy), false)
        }
        Job::Look { .. } | Job::Keep { .. } => return,
    };
    let fate = fates.entry(part).or_default();
    match got {
        Ok(()) => {
            // A whole slot holds everything that came before it, so it also
            // ends a trouble within this batch.
            fate.trouble = if unsynced { fate.trouble.take() } else { None };
            fate.token = token;
            fate.unsynced = unsynced;
        }
        Err(e) => fate.trouble = Some(e.to_string()),
    }
}
