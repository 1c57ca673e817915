//! What is kept on disk of a part.

use nanoserde::{DeBin, SerBin};

use crate::config::change::Entry;
use crate::protocol::message::Map;

/// A replica's copy of a part.
///
/// Invariants: `promised >= epoch`; a copy with a higher (`epoch`, `rev`) is
/// newer; nothing below `promised` is accepted any more.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct Copy {
    /// Highest epoch that this replica has granted or obeyed.
    pub promised: u64,
    /// Epoch under which `map` was last written.
    pub epoch: u64,
    pub rev: u64,
    pub map: Map,
}

/// One step of a copy, as the log holds it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Rec {
    Promise { epoch: u64 },
    Change { epoch: u64, rev: u64, entries: Vec<Entry> },
}

/// Applies a record that fits; false (and no change) if it does not.
pub fn apply(copy: &mut Copy, rec: &Rec) -> bool {
    match rec {
        Rec::Promise { epoch } => {
            copy.promised = copy.promised.max(*epoch);
            true
        }
        Rec::Change { epoch, rev, entries } => {
            if *epoch != copy.epoch || *rev != copy.rev + 1 {
                return false;
            }
            copy.rev = *rev;
            put(&mut copy.map, entries);
            true
        }
    }
}

/// Puts entries into a map.
pub fn put(map: &mut Map, entries: &[Entry]) {
    for (key, val) in entries {
        match val {
            Some(val) => map.insert(key.clone(), val.clone()),
            None => map.remove(key),
        };
    }
}
