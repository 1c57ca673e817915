//! A trial as a querier's threads see it, and what each may send to the new version.
//!
//! The sum over all nodes of what reaches a version that is tried stays below a share of all
//! requests for its service, and a slack, without a word between the nodes: each node earns a part
//! of a request with each of its own answers from the service, and spends a whole one on each that
//! it sends to the new version. What it is given at the beginning is a part of the slack, and only
//! if it was there when the trial began: a node that starts anew has nothing saved. Part of what
//! is earned is spent as it comes, the rest is saved for the surge, in which all nodes send to the
//! new version at the same time, so that it bears for a moment what it would bear in force.

use std::sync::Arc;

use crate::rollout::evidence::{AnswerQuality, SLOW_STEPS, TrialEvidence, bucket_of};
use crate::rollout::record::TrialStep;
use crate::snapshot::leafs::LeafInfo;

/// What a whole request costs, in the unit in which parts of it are saved.
const REQUEST: u64 = 1_000_000;
/// Part of what may be earned that is (percent): the rest covers what does not arrive.
const EARNED_PCT: u64 = 80;
/// Part of it that is spent as it comes (percent); the rest is saved for the surge.
const STEADY_PCT: u64 = 40;
/// Part of the slack that is given at the beginning (percent).
const SLACK_PCT: u64 = 70;
/// Requests that may be saved for the surge by one thread (count).
const SAVED_MOST: u64 = 64;
/// Bad answers after which a thread sends no more, unless another limit is set (count).
const MAX_BAD_ANSWERS: u32 = 3;

/// How much of a service's requests may reach a version while no verdict stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Requests of each thousand for the service.
    pub per_thousand: u64,
    /// Requests beyond that, over all nodes.
    pub slack: u64,
    /// Bad answers after which a thread sends no more, whatever others see (count).
    pub max_bad_answers: u32,
}

impl Default for ExposureLimit {
    fn default() -> ExposureLimit {
        ExposureLimit { per_thousand: 100, slack: 0, max_bad_answers: MAX_BAD_ANSWERS }
    }
}

/// A version that is tried.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The service.
    pub service: String,
    /// Identity of the rollout.
    pub ordered_revision: u64,
    /// How far the trial is.
    pub step: TrialStep,
    /// The leafs of the new version.
    pub leafs: Vec<Arc<LeafInfo>>,
    /// The new version has come into force, and is watched on.
    pub is_in_force: bool,
    /// This node was there when the trial began.
    pub seen_from_start: bool,
}

/// What a thread may send to a version that is tried, and what it has seen.
#[derive(Debug)]
pub struct TrialState {
    /// What it has seen.
    pub evidence: TrialEvidence,
    limit: ExposureLimit,
    earned_per_answer: u64,
    steady: u64,
    saved: u64,
}

impl TrialState {
    /// The state in which a thread of so many begins a trial. `draw` is a random number below
    /// 1,000, which keeps the threads from trying at the same moment.
    pub fn new(trial: &Trial, limit: ExposureLimit, threads: u64, draw: u64) -> TrialState {
        let whole = 2 * limit.slack * REQUEST * SLACK_PCT / 100;
        // Without a place among the threads nobody knows how many share the slack.
        let most = whole.checked_div(threads).unwrap_or(0).min(REQUEST);
        let given = if trial.seen_from_start { most * draw / 1_000 } else { 0 };
        let evidence = TrialEvidence {
            service: trial.service.clone(),
            ordered_revision: trial.ordered_revision,
            ..TrialEvidence::default()
        };
        let earned_per_answer = REQUEST / 1_000 * limit.per_thousand * EARNED_PCT / 100;
        TrialState { evidence, limit, earned_per_answer, steady: given, saved: 0 }
    }

    /// A leaf of the service has answered: something may be sent for it.
    pub fn earn(&mut self) {
        let steady = self.earned_per_answer * STEADY_PCT / 100;
        self.steady = (self.steady + steady).min(REQUEST);
        self.saved = (self.saved + self.earned_per_answer - steady).min(SAVED_MOST * REQUEST);
    }

    /// Whether a request may go to the new version.
    pub fn can_spend(&self, step: TrialStep) -> bool {
        let surges = step == TrialStep::Surge && self.saved >= REQUEST;
        self.evidence.new_bad() < self.limit.max_bad_answers && (surges || self.steady >= REQUEST)
    }

    /// A request goes to the new version, as it may.
    pub fn spend(&mut self, step: TrialStep) {
        let account = match step {
            TrialStep::Surge if self.saved >= REQUEST => &mut self.saved,
            _ => &mut self.steady,
        };
        *account = account.saturating_sub(REQUEST);
    }

    /// Takes in an answer of a leaf on a route.
    pub fn record(&mut self, route: &str, leaf: u64, is_new: bool, quality: AnswerQuality) {
        let known = self.evidence.route_mut(route);
        let version = if is_new { &mut known.new } else { &mut known.old };
        version.record(quality);
        if is_new && self.is_poor(route, quality) {
            self.evidence.note_poor_leaf(leaf);
        }
    }

    /// Whether an answer is bad, or far slower than what this thread knows of the version in
    /// force.
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
