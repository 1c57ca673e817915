//! The times at which the latest revisions were committed.

use std::collections::VecDeque;

use crate::time::Tick;

/// Maximum number of revisions whose commit time is kept. Operators wait for a change only
/// for seconds, and older revisions count as committed long ago.
const MAX_COMMIT_TIMES: usize = 256;

/// The commit times of the latest revisions, as far as this leader knows them.
#[derive(Default)]
pub struct CommitTimes {
    /// Committed revisions and when this node learned of the commit, the newest last.
    commits: VecDeque<(u64, Tick)>,
}

impl CommitTimes {
    /// Records that everything up to this revision is committed.
    pub fn note(&mut self, now: Tick, committed: u64) {
        if self.commits.back().is_none_or(|(revision, _)| *revision < committed) {
            self.commits.push_back((committed, now));
            if self.commits.len() > MAX_COMMIT_TIMES {
                self.commits.pop_front();
            }
        }
    }

    /// Returns when this node learned that a revision is committed, if it is.
    pub fn committed_at(&self, revision: u64) -> Option<Tick> {
        self.commits.iter().find(|(known, _)| *known >= revision).map(|(_, at)| *at)
    }
}
