//! What members see of the two versions of a service during a trial.

use nanoserde::{DeBin, SerBin};

use crate::time::{MILLI, Span};

/// Buckets of a latency histogram (count).
pub const LATENCY_BUCKETS: usize = 24;
/// Upper bound of the first bucket; each bound is half as large again as the one before.
const FIRST_BUCKET: Span = MILLI;
/// Answers more than so many buckets above the median of the old version are poor: a factor of
/// 3.4 and more, above what a leaf that has just started takes longer.
pub const SLOW_STEPS: usize = 3;
/// Leafs with poor answers that are named (count): a verdict asks for two.
const POOR_LEAFS_KEPT: usize = 8;

/// How an answer of a leaf ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerQuality {
    /// As it should be, after this time.
    Good(Span),
    /// A failure, a broken answer, or none in time.
    Bad,
    /// Rejected before work.
    Rejected,
}

/// The answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct VersionEvidence {
    /// Answers as they should be (count).
    pub good: u32,
    /// Failures, broken answers, and none in time (count).
    pub bad: u32,
    /// Rejections before work (count).
    pub rejected: u32,
    /// Good answers by latency.
    pub latencies: Vec<u32>,
}

impl VersionEvidence {
    /// Takes in an answer.
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

    /// Answers that say something of the version (count).
    pub fn answered(&self) -> u32 {
        self.good + self.bad
    }

    /// Adds the answers that another has seen.
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

    /// The bucket that holds the median of good answers, if there are any.
    pub fn median_bucket(&self) -> Option<usize> {
        let mut before = 0;
        let is_reached = |count: &u32| {
            before += count;
            2 * before >= self.good.max(1)
        };
        self.latencies.iter().position(is_reached).filter(|_| self.good > 0)
    }

    /// Good answers in a bucket or above it (count).
    pub fn from_bucket(&self, bucket: usize) -> u32 {
        self.latencies.iter().skip(bucket).sum()
    }
}

/// The bucket that a latency falls into.
pub fn bucket_of(latency: Span) -> usize {
    let mut bound = FIRST_BUCKET;
    let mut bucket = 0;
    while latency > bound && bucket + 1 < LATENCY_BUCKETS {
        bound += bound / 2;
        bucket += 1;
    }
    bucket
}

/// Both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct RouteEvidence {
    /// The route.
    pub route: String,
    /// The version in force.
    pub old: VersionEvidence,
    /// The version that is tried.
    pub new: VersionEvidence,
}

/// What one member, or a thread of it, has seen since a trial began.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct TrialEvidence {
    /// The service.
    pub service: String,
    /// Identity of the rollout.
    pub ordered_revision: u64,
    /// By route.
    pub routes: Vec<RouteEvidence>,
    /// Leafs of the new version with bad answers, as hashes of their names.
    pub poor_leafs: Vec<u64>,
}

impl TrialEvidence {
    /// What is known of a route, which begins empty.
    pub fn route_mut(&mut self, route: &str) -> &mut RouteEvidence {
        let known = self.routes.iter().position(|known| known.route == route);
        let index = known.unwrap_or_else(|| {
            self.routes.push(RouteEvidence { route: route.into(), ..RouteEvidence::default() });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }

    /// Notes a leaf of the new version that answered badly.
    pub fn note_poor_leaf(&mut self, leaf: u64) {
        if self.poor_leafs.len() < POOR_LEAFS_KEPT && !self.poor_leafs.contains(&leaf) {
            self.poor_leafs.push(leaf);
        }
    }

    /// Adds what another thread has seen.
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

    /// Answers of the new version on all routes (count).
    pub fn tried(&self) -> u32 {
        self.routes.iter().map(|route| route.new.answered()).sum()
    }

    /// Bad answers of the new version on all routes (count).
    pub fn new_bad(&self) -> u32 {
        self.routes.iter().map(|route| route.new.bad).sum()
    }

    /// Answers of the version in force on all routes (count).
    pub fn served(&self) -> u32 {
        self.routes.iter().map(|route| route.old.answered()).sum()
    }
}
