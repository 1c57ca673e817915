//! The state of a trial in a querier's thread: how many requests it may send to the new version.
//!
//! The requests from all nodes to a version under trial stay below a share of all requests for
//! its service, plus a slack, without communication between the nodes. Each thread earns a
//! fraction of a request's credit with each answer that it gets from the service, and spends the
//! credit of one request on each that it sends to the new version. Its initial credit is a part
//! of the slack, and only if the node was a member when the trial began: a restarted node starts
//! without credit. One part of the earned credit may be spent at any time; the rest is saved for
//! the surge, in which all nodes send to the new version at the same time, so that it briefly
//! gets the load that it would get in force.

use std::sync::Arc;

use crate::rollout::evidence::{AnswerQuality, SLOW_STEPS, TrialEvidence, bucket_of};
use crate::rollout::record::TrialStep;
use crate::snapshot::leafs::LeafInfo;

/// Credit that one request costs; credit is counted in millionths of a request.
const CREDIT_PER_REQUEST: u64 = 1_000_000;
/// Part of the allowed share that is earned (percent): the rest is a reserve for requests that
/// don't arrive.
const EARNED_PCT: u64 = 80;
/// Part of the earned credit that may be spent at any time (percent); the rest is saved for the
/// surge.
const STEADY_PCT: u64 = 40;
/// Part of the slack that is granted as initial credit (percent).
const SLACK_PCT: u64 = 70;
/// Maximum number of requests for which one thread may save credit for the surge.
const MAX_SURGE_REQUESTS: u64 = 64;
/// Default number of bad answers after which a thread sends no more requests.
const MAX_BAD_ANSWERS: u32 = 3;

/// How many of a service's requests may reach a version under trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Requests to the version under trial for each thousand for the service.
    pub per_thousand: u64,
    /// Requests beyond that share, for all nodes together.
    pub slack: u64,
    /// Number of bad answers after which a thread sends no more requests, whatever the evidence
    /// of other threads.
    pub max_bad_answers: u32,
}

impl Default for ExposureLimit {
    fn default() -> ExposureLimit {
        ExposureLimit { per_thousand: 100, slack: 0, max_bad_answers: MAX_BAD_ANSWERS }
    }
}

/// The trial of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Name of the service.
    pub service: String,
    /// Revision of the rollout's order, which identifies the rollout.
    pub ordered_revision: u64,
    /// Current step of the trial.
    pub step: TrialStep,
    /// The leafs of the new version.
    pub leafs: Vec<Arc<LeafInfo>>,
    /// The new version is in force, and evidence on it is still collected.
    pub is_in_force: bool,
    /// This node was a member when the trial began.
    pub seen_from_start: bool,
}

/// A thread's request credit and evidence for one trial.
#[derive(Debug)]
pub struct TrialState {
    /// The evidence that this thread has collected.
    pub evidence: TrialEvidence,
    limit: ExposureLimit,
    earned_per_answer: u64,
    steady_credit: u64,
    surge_credit: u64,
}

impl TrialState {
    /// Returns the initial state of one of `threads` threads. `draw` is a random number below
    /// 1,000 that scales the initial credit, so that the threads don't all send at once.
    pub fn new(trial: &Trial, limit: ExposureLimit, threads: u64, draw: u64) -> TrialState {
        let total = 2 * limit.slack * CREDIT_PER_REQUEST * SLACK_PCT / 100;
        // Outside the membership the number of threads that share the slack is unknown.
        let max_credit = total.checked_div(threads).unwrap_or(0).min(CREDIT_PER_REQUEST);
        let initial_credit = if trial.seen_from_start { max_credit * draw / 1_000 } else { 0 };
        let evidence = TrialEvidence {
            service: trial.service.clone(),
            ordered_revision: trial.ordered_revision,
            ..TrialEvidence::default()
        };
        let earned_per_answer = CREDIT_PER_REQUEST / 1_000 * limit.per_thousand * EARNED_PCT / 100;
        TrialState {
            evidence,
            limit,
            earned_per_answer,
            steady_credit: initial_credit,
            surge_credit: 0,
        }
    }

    /// Earns credit for an answer of a leaf of the service.
    pub fn earn(&mut self) {
        let steady = self.earned_per_answer * STEADY_PCT / 100;
        self.steady_credit = (self.steady_credit + steady).min(CREDIT_PER_REQUEST);
        self.surge_credit = (self.surge_credit + self.earned_per_answer - steady)
            .min(MAX_SURGE_REQUESTS * CREDIT_PER_REQUEST);
    }

    /// Returns whether a request may be sent to the new version.
    pub fn can_spend(&self, step: TrialStep) -> bool {
        let can_surge = step == TrialStep::Surge && self.surge_credit >= CREDIT_PER_REQUEST;
        self.evidence.new_bad() < self.limit.max_bad_answers
            && (can_surge || self.steady_credit >= CREDIT_PER_REQUEST)
    }

    /// Spends the credit of a request that is sent to the new version.
    pub fn spend(&mut self, step: TrialStep) {
        let credit = match step {
            TrialStep::Surge if self.surge_credit >= CREDIT_PER_REQUEST => &mut self.surge_credit,
            _ => &mut self.steady_credit,
        };
        *credit = credit.saturating_sub(CREDIT_PER_REQUEST);
    }

    /// Records an answer of a leaf on a route.
    pub fn record(&mut self, route: &str, leaf: u64, is_new: bool, quality: AnswerQuality) {
        let known = self.evidence.route_mut(route);
        let version = if is_new { &mut known.new } else { &mut known.old };
        version.record(quality);
        if is_new && self.is_poor(route, quality) {
            self.evidence.note_poor_leaf(leaf);
        }
    }

    /// Returns whether an answer is poor: bad, or much slower than the median of the version in
    /// force in this thread's evidence.
    fn is_poor(&mut self, route: &str, quality: AnswerQuality) -> bool {
        match quality {
            AnswerQuality::Bad => true,
            AnswerQuality::Rejected => false,
            AnswerQuality::Good(latency) => {
                let median = self.evidence.route_mut(route).old.median_bucket();
                median.is_some_and(|median| bucket_of(latency) > median + SLOW_STEPS)
            }
        }
    }
}
