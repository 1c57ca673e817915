//! The state and the log records of a partition that are stored on disk.

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::identifiers::{Position, Term};
use crate::protocol::replica::EntryMap;

/// A replica's state of a partition.
///
/// Invariants: `current_term >= written_term`; a state at a higher position is newer; writes of a
/// term below `current_term` are not accepted.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct ReplicaState {
    /// Highest term that this replica has voted for or accepted.
    pub current_term: Term,
    /// Term in which `entries` was last written.
    pub written_term: Term,
    /// Number of the last change; changes are numbered consecutively.
    pub revision: u64,
    /// The entries of the partition.
    pub entries: EntryMap,
}

impl ReplicaState {
    /// Returns the position of this state, by which states are ordered.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }

    /// Applies a record; returns false and changes nothing if it does not continue this state.
    pub fn apply(&mut self, record: &LogRecord) -> bool {
        match record {
            LogRecord::Vote { term } => {
                self.current_term = self.current_term.max(*term);
                true
            }
            LogRecord::Change { term, revision, entries } => {
                if *term != self.written_term || *revision != self.revision + 1 {
                    return false;
                }
                self.revision = *revision;
                apply_entries(&mut self.entries, entries);
                true
            }
        }
    }
}

/// A change of the state, as a record of the log.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum LogRecord {
    /// The replica voted in this term.
    Vote {
        /// The term.
        term: Term,
    },
    /// The leader of a term changed entries.
    Change {
        /// The leader's term, which is also the written term of the previous state.
        term: Term,
        /// Number of the change, one higher than that of the previous state.
        revision: u64,
        /// The new values, or `None` for a removed key.
        entries: Vec<Entry>,
    },
}

/// Applies changed entries: a new value, or `None` for a removed key.
pub fn apply_entries(entries: &mut EntryMap, changed: &[Entry]) {
    for (key, value) in changed {
        match value {
            Some(value) => entries.insert(key.clone(), value.clone()),
            None => entries.remove(key),
        };
    }
}

/// Returns a checksum of a state's entries, by which replicas are compared. Never zero.
pub fn checksum(entries: &EntryMap) -> u64 {
    let mut hash = crc32fast::Hasher::new();
    for (key, value) in entries {
        hash.update(key.as_bytes());
        hash.update(&(value.len() as u32).to_le_bytes());
        hash.update(value);
    }
    u64::from(hash.finalize()) << 1 | 1
}
