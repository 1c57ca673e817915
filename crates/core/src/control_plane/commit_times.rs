//! When the latest revisions were committed.

use std::collections::VecDeque;

use crate::time::Tick;

/// Revisions whose commit is remembered (count): orders are waited for within
/// seconds, and older ones count as committed long ago.
const COMMITS_KEPT: usize = 256;

/// Since when the latest revisions are committed, as far as this leader knows.
#[derive(Default)]
pub struct CommitTimes {
    /// Committed revisions, and when we came to know: the newest last.
    commits: VecDeque<(u64, Tick)>,
}

impl CommitTimes {
    /// Everything up to this revision is committed now.
    pub fn note(&mut self, now: Tick, committed: u64) {
        if self.commits.back().is_none_or(|(revision, _)| *revision < committed) {
            self.commits.push_back((committed, now));
            if self.commits.len() > COMMITS_KEPT {
                self.commits.pop_front();
            }
        }
    }

    /// When we came to know that a revision is committed, if it is.
    pub fn committed_at(&self, revision: u64) -> Option<Tick> {
        self.commits.iter().find(|(known, _)| *known >= revision).map(|(_, at)| *at)
    }
}
