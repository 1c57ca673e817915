//! What is kept on disk of a part.

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::identifiers::{Position, Term};
use crate::protocol::message::EntryMap;

/// A replica's copy of a part.
///
/// Invariants: `promised >= term`; a copy with a higher (`term`, `revision`) is
/// newer; nothing below `promised` is accepted any more.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct ReplicaState {
    /// Highest term that this replica has granted or obeyed.
    pub current_term: Term,
    /// Term under which `entries` was last written.
    pub written_term: Term,
    pub revision: u64,
    pub entries: EntryMap,
}

impl ReplicaState {
    /// How new this copy is.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }
}

/// One step of a copy, as the log holds it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum LogRecord {
    Vote { term: Term },
    Change { term: Term, revision: u64, entries: Vec<Entry> },
}

/// Applies a record that fits; false (and no change) if it does not.
pub fn apply(copy: &mut ReplicaState, rec: &LogRecord) -> bool {
    match rec {
        LogRecord::Vote { term } => {
            copy.current_term = copy.current_term.max(*term);
            true
        }
        LogRecord::Change { term, revision, entries } => {
            if *term != copy.written_term || *revision != copy.revision + 1 {
                return false;
            }
            copy.revision = *revision;
            put(&mut copy.entries, entries);
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
