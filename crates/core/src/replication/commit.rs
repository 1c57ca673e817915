//! The committed state of a partition at this replica.

use crate::protocol::replica::EntryMap;
use crate::replication::partition::Partition;
use crate::storage::record::apply_entries;

/// Committed changes that a replica keeps in memory so that subscribers of the feed need no
/// snapshot (count).
pub const CHANGES_KEPT: usize = 256;

impl Partition {
    /// Commits the changes of this replica up to `revision`, which a majority has synced.
    pub fn commit_up_to(&mut self, revision: u64) {
        self.commit_snapshot(revision);
        if self.uncommitted_snapshot.is_none() {
            for (number, entries) in &self.changes {
                if *number == self.committed_revision + 1 && *number <= revision {
                    apply_entries(&mut self.committed, entries);
                    self.committed_revision = *number;
                }
            }
        }
        let committed = self.committed_revision;
        while self.changes.len() > CHANGES_KEPT
            && self.changes.front().is_some_and(|(number, _)| *number <= committed)
        {
            self.changes.pop_front();
        }
    }

    fn commit_snapshot(&mut self, revision: u64) {
        let is_due = |(number, _): &mut (u64, EntryMap)| *number <= revision;
        if let Some((number, entries)) = self.uncommitted_snapshot.take_if(is_due)
            && number > self.committed_revision
        {
            self.committed = entries;
            self.committed_revision = number;
        }
    }

    /// Discards the kept changes because a snapshot is about to replace the state. Nothing in the
    /// snapshot counts as committed until the leader's commit revision covers it.
    pub fn restart_changes(&mut self, revision: u64, entries: &EntryMap) {
        // The snapshot equals the state of this replica if a new leader only writes it again
        // under its own term.
        if self.state.revision == revision && self.state.entries == *entries {
            return;
        }
        self.changes.clear();
        self.uncommitted_snapshot = Some((revision, entries.clone()));
    }
}
