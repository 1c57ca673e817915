//! Versions under trial: selects the requests that reach them and collects the results.

use indexmap::IndexMap;

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;
use super::leaf_selection::{Choice, VersionChoice};
use super::planned_query::Query;
use crate::digest::hash;
use crate::http_api::leaf::AttemptFailure;
use crate::rollout::evidence::AnswerQuality;
use crate::rollout::trial::{ExposureLimit, Trial, TrialState};
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, ms, since};

/// Minimum time between two reports of a thread's evidence.
const REPORT_INTERVAL: Span = ms(150);

/// The trials of one traffic thread.
#[derive(Default)]
pub struct Trials {
    /// The share of requests that may reach a version under trial.
    pub limit: ExposureLimit,
    /// Time until which requests may be sent to versions under trial.
    pub valid_until: Tick,
    by_service: IndexMap<String, TrialState>,
    /// Services with evidence that has not been reported yet.
    unreported: Vec<String>,
    /// When evidence is next reported.
    report_at: Tick,
}

impl QueryEngine {
    /// Starts the trials that are in the cluster view and drops all others.
    pub(super) fn begin_trials(&mut self) {
        let view = self.cluster_view.clone();
        let is_current = |service: &String, state: &mut TrialState| {
            let trial = view.trials.get(service);
            trial.is_some_and(|t| t.ordered_revision == state.evidence.ordered_revision)
        };
        self.trials.by_service.retain(is_current);
        for (service, trial) in &view.trials {
            if !self.trials.by_service.contains_key(service) {
                let state = self.new_trial(trial);
                self.trials.by_service.insert(service.clone(), state);
            }
        }
    }

    /// Returns the initial state of a trial.
    fn new_trial(&mut self, trial: &Trial) -> TrialState {
        let threads = self.quota_share.threads.len() as u64;
        TrialState::new(trial, self.trials.limit, threads, self.random.below(1_000))
    }

    /// Returns a leaf of the version under trial, if a shard's first attempt may be sent there.
    pub(super) fn choose_trial_leaf(
        &mut self,
        now: Tick,
        query: &Query,
        index: usize,
    ) -> Option<std::sync::Arc<LeafInfo>> {
        let shard = &query.shards[index];
        // Outside the membership this node's share of the exposure limit is unknown.
        let may_try = now <= self.trials.valid_until.min(self.lease_valid_until)
            && !self.quota_share.threads.is_empty();
        if self.trials.by_service.is_empty() || shard.attempts > 0 || !may_try {
            return None;
        }
        let pools = &query.route.shards[shard.index].pools;
        let service = pools.iter().map(|pool| &pool.service);
        let service = service.into_iter().find(|s| self.trials.by_service.contains_key(*s))?;
        let trial = self.cluster_view.trials.get(service)?;
        let step = trial.step;
        if trial.is_in_force || !self.trials.by_service.get(service)?.can_spend(step) {
            return None;
        }
        let service = service.clone();
        match self.choose_version_leaf(now, query, index, VersionChoice::UnderTrial) {
            Choice::Leaf(info) => {
                self.trials.by_service.get_mut(&service)?.spend(step);
                self.statistics.trial_attempts += 1;
                Some(info)
            }
            Choice::NoCapacity | Choice::NoCandidate => None,
        }
    }

    /// Records the result of an attempt, if a version of its service is under trial.
    pub(super) fn record_trial_answer(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        result: Result<(), AttemptFailure>,
    ) {
        // An overtaken attempt has already been counted by `record_overtaken`.
        if attempt.is_overtaken {
            return;
        }
        let quality = match result {
            Ok(()) => AnswerQuality::Good(since(attempt.sent_at, now)),
            Err(AttemptFailure::Rejected) => AnswerQuality::Rejected,
            // The request did not reach the leaf.
            Err(AttemptFailure::Unreachable | AttemptFailure::Misdirected) => return,
            Err(_) => AnswerQuality::Bad,
        };
        self.record_trial_quality(
            attempt.service.clone(),
            &attempt.leaf,
            &attempt.route.name,
            quality,
        );
    }

    /// Records that an attempt was overtaken by one that was sent later.
    pub(super) fn record_overtaken(&mut self, now: Tick, by: &Attempt, overtaken: u64) {
        let Some(late) = self.attempts.get(&overtaken) else { return };
        if late.sent_at >= by.sent_at {
            return;
        }
        // The latency is unknown, but above the time waited so far; twice that is assumed.
        let quality = AnswerQuality::Good(since(late.sent_at, now) * 2);
        let (service, leaf, route) = (late.service.clone(), late.leaf.clone(), late.route.clone());
        self.record_trial_quality(service, &leaf, &route.name, quality);
    }

    /// Records the quality of an answer in the trial of its service, if there is one.
    fn record_trial_quality(
        &mut self,
        service: String,
        leaf: &str,
        route: &str,
        quality: AnswerQuality,
    ) {
        let Some(state) = self.trials.by_service.get_mut(&service) else { return };
        let trial = self.cluster_view.trials.get(&service);
        let is_new = trial.is_some_and(|t| t.leafs.iter().any(|info| info.leaf == leaf));
        state.earn();
        state.record(route, hash(leaf), is_new, quality);
        if is_new {
            self.statistics.trial_failures += u64::from(quality == AnswerQuality::Bad);
        }
        if !self.trials.unreported.contains(&service) {
            self.trials.unreported.push(service);
        }
    }

    /// Reports evidence that is new since the last report, at most once per `REPORT_INTERVAL`.
    pub(super) fn report_trials(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.trials.unreported.is_empty() || now < self.trials.report_at {
            return;
        }
        self.trials.report_at = now + REPORT_INTERVAL;
        for service in std::mem::take(&mut self.trials.unreported) {
            if let Some(state) = self.trials.by_service.get(&service) {
                commands.push(Command::ReportTrial(state.evidence.clone()));
            }
        }
    }
}
