//! Evidence that members collect on the two versions of a service during a trial.

use nanoserde::{DeBin, SerBin};

use crate::time::{MILLI, Span};

/// Number of buckets of a latency histogram.
pub const LATENCY_BUCKETS: usize = 24;
/// Upper bound of the first bucket; each further bound is 1.5 times the previous one.
const FIRST_BUCKET_BOUND: Span = MILLI;
/// An answer is poor if it is more than this many buckets above the median of the old version:
/// a factor of 3.4 or more, which is above the extra latency of a newly started leaf.
pub const SLOW_STEPS: usize = 3;
/// Maximum number of leafs with poor answers that are reported; a verdict needs two.
const MAX_POOR_LEAFS: usize = 8;

/// Quality of a leaf's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerQuality {
    /// A success with this latency.
    Good(Span),
    /// A failure, an invalid answer, or a timeout.
    Bad,
    /// Rejected before execution.
    Rejected,
}

/// Counts of the answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct VersionEvidence {
    /// Number of successes.
    pub good: u32,
    /// Number of failures, invalid answers and timeouts.
    pub bad: u32,
    /// Number of rejections before execution.
    pub rejected: u32,
    /// Successes by latency bucket; empty if there are none.
    pub latencies: Vec<u32>,
}

impl VersionEvidence {
    /// Counts an answer.
    pub fn record(&mut self, quality: AnswerQuality) {
        match quality {
            AnswerQuality::Bad => self.bad += 1,
            AnswerQuality::Rejected => self.rejected += 1,
            AnswerQuality::Good(latency) => {
                self.good += 1;
                self.latencies.resize(LATENCY_BUCKETS, 0);
                self.latencies[bucket_of(latency)] += 1;
            }
        }
    }

    /// Returns the number of answers that are evidence on the version: rejections are not.
    pub fn answered(&self) -> u32 {
        self.good + self.bad
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &VersionEvidence) {
        self.good += other.good;
        self.bad += other.bad;
        self.rejected += other.rejected;
        if !other.latencies.is_empty() {
            self.latencies.resize(LATENCY_BUCKETS, 0);
        }
        for (ours, theirs) in self.latencies.iter_mut().zip(&other.latencies) {
            *ours += theirs;
        }
    }

    /// Returns the bucket of the median latency of successes, if there are any.
    pub fn median_bucket(&self) -> Option<usize> {
        let mut cumulative = 0;
        let is_reached = |count: &u32| {
            cumulative += count;
            2 * cumulative >= self.good.max(1)
        };
        self.latencies.iter().position(is_reached).filter(|_| self.good > 0)
    }

    /// Returns the number of successes in this bucket or a higher one.
    pub fn from_bucket(&self, bucket: usize) -> u32 {
        self.latencies.iter().skip(bucket).sum()
    }
}

/// Returns the histogram bucket of a latency.
pub fn bucket_of(latency: Span) -> usize {
    let mut bound = FIRST_BUCKET_BOUND;
    let mut bucket = 0;
    while latency > bound && bucket + 1 < LATENCY_BUCKETS {
        bound += bound / 2;
        bucket += 1;
    }
    bucket
}

/// Evidence on both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct RouteEvidence {
    /// Name of the route.
    pub route: String,
    /// Answers of the version in force.
    pub old: VersionEvidence,
    /// Answers of the version under trial.
    pub new: VersionEvidence,
}

/// Evidence that one member, or one of its threads, has collected since a trial began.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct TrialEvidence {
    /// Name of the service.
    pub service: String,
    /// Revision of the rollout's order, which identifies the rollout.
    pub ordered_revision: u64,
    /// Evidence by route.
    pub routes: Vec<RouteEvidence>,
    /// Leafs of the new version with poor answers, as hashes of their names.
    pub poor_leafs: Vec<u64>,
}

impl TrialEvidence {
    /// Returns the evidence on a route, adding an empty one if there is none.
    pub fn route_mut(&mut self, route: &str) -> &mut RouteEvidence {
        let known = self.routes.iter().position(|known| known.route == route);
        let index = known.unwrap_or_else(|| {
            self.routes.push(RouteEvidence { route: route.into(), ..RouteEvidence::default() });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }

    /// Records a leaf of the new version that gave a poor answer.
    pub fn note_poor_leaf(&mut self, leaf: u64) {
        if self.poor_leafs.len() < MAX_POOR_LEAFS && !self.poor_leafs.contains(&leaf) {
            self.poor_leafs.push(leaf);
        }
    }

    /// Adds the evidence of another thread.
    pub fn add(&mut self, other: &TrialEvidence) {
        for theirs in &other.routes {
            let ours = self.route_mut(&theirs.route);
            ours.old.add(&theirs.old);
            ours.new.add(&theirs.new);
        }
        for leaf in &other.poor_leafs {
            self.note_poor_leaf(*leaf);
        }
    }

    /// Returns the number of answers of the new version on all routes.
    pub fn new_answers(&self) -> u32 {
        self.routes.iter().map(|route| route.new.answered()).sum()
    }

    /// Returns the number of bad answers of the new version on all routes.
    pub fn new_bad(&self) -> u32 {
        self.routes.iter().map(|route| route.new.bad).sum()
    }

    /// Returns the number of answers of the version in force on all routes.
    pub fn old_answers(&self) -> u32 {
        self.routes.iter().map(|route| route.old.answered()).sum()
    }
}
