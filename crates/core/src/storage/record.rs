//! What is kept on disk of a part.

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::protocol::message::EntryMap;

/// A replica's copy of a part.
///
/// Invariants: `promised >= term`; a copy with a higher (`term`, `revision`) is
/// newer; nothing below `promised` is accepted any more.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct ReplicaState {
    /// Highest term that this replica has granted or obeyed.
    pub promised: u64,
    /// Epoch under which `map` was last written.
    pub term: u64,
    pub revision: u64,
    pub map: EntryMap,
}

/// One step of a copy, as the log holds it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum LogRecord {
    Vote { term: u64 },
    Change { term: u64, revision: u64, entries: Vec<Entry> },
}

/// Applies a record that fits; false (and no change) if it does not.
pub fn apply(copy: &mut ReplicaState, rec: &LogRecord) -> bool {
    match rec {
        LogRecord::Vote { term } => {
            copy.promised = copy.promised.max(*term);
            true
        }
        LogRecord::Change { term, revision, entries } => {
            if *term != copy.term || *revision != copy.revision + 1 {
                return false;
            }
            copy.revision = *revision;
            put(&mut copy.map, entries);
            true
        }
    }
}

/// Puts entries into a map.
pub fn put(map: &mut EntryMap, entries: &[Entry]) {
    for (key, val) in entries {
        match val {
            Some(val) => map.insert(key.clone(), val.clone()),
            None => map.remove(key),
        };
    }
}
