//! What is kept on disk of a partition.

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::identifiers::{Position, Term};
use crate::protocol::replica::EntryMap;

/// A replica's state of a partition.
///
/// Invariants: `current_term >= written_term`; a state at a higher position is newer;
/// nothing of a term below `current_term` is accepted any more.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct ReplicaState {
    /// Highest term that this replica has voted for or accepted.
    pub current_term: Term,
    /// Term under which `entries` was last written.
    pub written_term: Term,
    /// Number of the last change; each change has the next one.
    pub revision: u64,
    /// What the partition holds.
    pub entries: EntryMap,
}

impl ReplicaState {
    /// How new this state is.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }

    /// Applies a record that fits; false (and no change) if it does not.
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

/// One step of a state, as the log holds it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum LogRecord {
    /// The replica voted in this term.
    Vote {
        /// The term.
        term: Term,
    },
    /// The leader of a term changed entries.
    Change {
        /// The leader's term, in which the state was written before.
        term: Term,
        /// Number of the change: one more than that of the state before.
        revision: u64,
        /// The new values, or none where a key is removed.
        entries: Vec<Entry>,
    },
}

/// Applies changed entries to a state's: a new value, or none where a key is removed.
pub fn apply_entries(entries: &mut EntryMap, changed: &[Entry]) {
    for (key, value) in changed {
        match value {
            Some(value) => entries.insert(key.clone(), value.clone()),
            None => entries.remove(key),
        };
    }
}

/// A checksum of a state's entries, by which replicas are compared. Never zero.
pub fn checksum(entries: &EntryMap) -> u64 {
    let mut hash = crc32fast::Hasher::new();
    for (key, value) in entries {
        hash.update(key.as_bytes());
        hash.update(&(value.len() as u32).to_le_bytes());
        hash.update(value);
    }
    u64::from(hash.finalize()) << 1 | 1
}
