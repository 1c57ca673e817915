//! The disk thread: writes in order, syncs what came together at once.

use std::collections::BTreeMap;
use std::io::Error;
use std::path::Path;
use std::sync::mpsc::Receiver;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::identifiers::PartId;
use grebepath_core::storage::record::{Copy, Rec};
use grebepath_core::voters::voter_file::Roll;
use grebepath_runtime::disk::{self, Store};
use tokio::sync::mpsc::UnboundedSender;

use crate::owner::Input;

/// What the disk is asked to do.
pub enum Job {
    Append {
        part: PartId,
        token: u64,
        rec: Rec,
    },
    Slot {
        part: PartId,
        token: u64,
        copy: Copy,
    },
    Look {
        part: PartId,
    },
    /// With `clear`, all parts' files are set aside before.
    Keep {
        token: u64,
        roll: Roll,
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
    mut stores: Vec<Store>,
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
        let mut fates: BTreeMap<PartId, Fate> = BTreeMap::new();
        let mut looks: Vec<PartId> = Vec::new();
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
                && let Err(e) = disk::sync(&mut stores[part.0 as usize])
            {
                fate.trouble = Some(e.to_string());
            }
            let event = match fate.trouble {
                Some(why) => Event::DiskTrouble { part, why },
                None => Event::Synced { part, token: fate.token },
            };
            if events.send(Input::Core(event)).is_err() {
                return;
            }
        }
        if let Some((token, roll, clear)) = roll {
            let event = match keep(data, &mut stores, &roll, clear) {
                Ok(()) => Event::Kept { token },
                Err(e) => Event::RollTrouble { why: e.to_string() },
            };
            let _ = events.send(Input::Core(event));
        }
        for part in looks {
            let trouble = disk::look(&stores[part.0 as usize]);
            let _ = events.send(Input::Core(Event::Looked { part, trouble }));
        }
    }
}

/// Keeps a roll; what it says of the parts must hold before.
fn keep(data: &Path, stores: &mut [Store], roll: &Roll, clear: bool) -> Result<(), Error> {
    if clear {
        for store in stores {
            disk::clear(store)?;
        }
    }
    disk::keep(data, roll)
}

fn one(stores: &mut [Store], job: Job, fates: &mut BTreeMap<PartId, Fate>) {
    let (part, token, got, unsynced) = match job {
        Job::Append { part, token, rec } => {
            let store = &mut stores[part.0 as usize];
            (part, token, disk::append(store, &rec), true)
        }
        Job::Slot { part, token, copy } => {
            let store = &mut stores[part.0 as usize];
            (part, token, disk::slot(store, &copy), false)
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
