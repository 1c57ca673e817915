//! The checkers of the rules. They observe the cluster
//! from outside and share no code with it.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use grebepath_core::time::{SECOND, Tick, ms};

pub use crate::restart_check::RestartCheck;
use crate::rollout_rules::RolloutRules;

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Time since the start of the run.
    pub at: Tick,
    /// The number of the rule in `docs/rules.md`.
    pub rule: u8,
    /// A description of the violation.
    pub text: String,
}

/// The observations and results of the checkers.
#[derive(Default)]
pub struct Rules {
    /// The first violations, with their texts.
    pub violations: Vec<Violation>,
    /// Violations by rule (count).
    pub violation_counts: BTreeMap<u8, u64>,
    /// The most recent log lines, which are printed with a violation.
    pub recent_log: VecDeque<String>,
    /// The recent log lines at the first violation.
    pub event_log: Vec<String>,
    /// Queries that callers sent.
    pub caller_questions: BTreeSet<String>,
    /// Answers of leafs, by query id: (service, question).
    pub answered_by_query: BTreeMap<String, Vec<(String, String)>>,
    /// Accepted configurations: when, revision.
    pub accepted: Vec<(Tick, u64)>,
    /// The longest time after a newer configuration was accepted at which a
    /// call began that was answered under an older one.
    pub longest_staleness: Tick,
    /// Highest revision that each querier has applied, over all its incarnations.
    pub applied_revisions: BTreeMap<usize, u64>,
    /// Checksum of a partition at a revision, as first observed on any querier.
    pub replica_sums: BTreeMap<(u32, u64), u64>,
    /// Drained zones, with the time from which they must get no attempts.
    pub drained: BTreeMap<String, Tick>,
    /// Revision of the last request for a zone whose outcome is known:
    /// outcomes may arrive in another order than the requests took effect.
    pub zone_revisions: BTreeMap<String, u64>,
    /// When each first attempt was sent.
    pub first_attempts: Vec<Tick>,
    /// When each retry was sent.
    pub retries: Vec<Tick>,
    /// Hashes of (query, service) pairs with an attempt: any further attempt is a retry.
    pub attempted_services: HashSet<u64>,
    /// By operator without request ids: its zone's state by its last acknowledged request, and the
    /// request that it waits for.
    pub operator_zones: BTreeMap<usize, OperatorZoneState>,
    /// The checks of rollouts.
    pub rollouts: RolloutRules,
    /// Restarts after which service must recover.
    pub pending_restarts: Vec<RestartCheck>,
    /// Restarts that were checked, for the report.
    pub checked_restarts: Vec<RestartCheck>,
}

/// The requests of one operator for a zone and their results.
pub struct OperatorZoneState {
    /// The zone.
    pub zone: String,
    /// Whether the newest request drains the zone; otherwise it opens it.
    pub requested: bool,
    /// The state of the last acknowledged request, if no newer one is in progress.
    pub acknowledged: Option<bool>,
}

/// Recent log lines that are kept (count).
const RECENT_LINES: usize = 400;

/// Violations that are kept with their text.
const MAX_KEPT_VIOLATIONS: usize = 40;

/// The retries that the requirements allow: one for every five first attempts, plus a small
/// slack of 20 attempts over all nodes, one attempt per thread, and a fifth of the most first
/// attempts in any 200 ms (see `docs/topics/overload.md`).
const FIRST_ATTEMPTS_PER_RETRY: usize = 5;

const RETRY_SLACK: usize = 20;

const RETRY_BURST_SPAN: Tick = ms(200);

const RETRY_WINDOW: Tick = 10 * SECOND;

/// Percentage of the calls of a kind that must be complete 12 s after a restart.
const RECOVERED_PCT: u64 = 95;

impl Rules {
    /// Records a log line.
    pub fn note(&mut self, at: Tick, text: impl FnOnce() -> String) {
        if !self.event_log.is_empty() {
            return;
        }
        if self.recent_log.len() >= RECENT_LINES {
            self.recent_log.pop_front();
        }
        self.recent_log.push_back(format!("{:>9.3} s {}", at as f64 / 1e6, text()));
    }

    /// Records a violation.
    pub fn violated(&mut self, at: Tick, rule: u8, text: String) {
        *self.violation_counts.entry(rule).or_default() += 1;
        if self.violations.is_empty() {
            self.event_log = self.recent_log.iter().cloned().collect();
        }
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation { at, rule, text });
        }
    }

    /// Checks rule 1: every claimed service answered this question for this query.
    pub fn check_claims(&mut self, now: Tick, query: &str, services: &[String], question: &str) {
        let list = self.answered_by_query.remove(query).unwrap_or_default();
        for service in services {
            if !list.iter().any(|(s, q)| s == service && q == question) {
                self.violated(now, 1, format!("{query} claims {service}, which never answered it"));
            }
        }
    }

    /// Checks rule 5: a question that a leaf runs must be one that a caller sent, unchanged.
    pub fn check_question(&mut self, now: Tick, leaf: &str, question: &str) {
        if !self.caller_questions.contains(question) {
            self.violated(now, 5, format!("{leaf} ran {question:?}, which no caller sent"));
        }
    }

    /// Records that a leaf answered an attempt correctly.
    pub fn record_answer(&mut self, service: &str, id: &str, question: &str) {
        let query = id.rsplit_once('.').map_or(id, |q| q.0);
        let row = (service.to_string(), question.to_string());
        self.answered_by_query.entry(query.to_string()).or_default().push(row);
    }

    /// Checks rule 9 for the answer under `revision` to a call that began at `began`.
    pub fn check_revision(&mut self, now: Tick, began: Tick, revision: u64, querier: &str) {
        let newer = self
            .accepted
            .iter()
            .filter(|(_, accepted)| *accepted > revision)
            .map(|(at, _)| *at)
            .min();
        self.longest_staleness =
            self.longest_staleness.max(newer.map_or(0, |at| began.saturating_sub(at)));
        let due = self
            .accepted
            .iter()
            .filter(|(at, _)| at + 3 * SECOND <= began)
            .map(|(_, revision)| *revision)
            .max()
            .unwrap_or(0);
        if revision < due {
            let text = format!("{querier} answers under revision {revision}, {due} is 3 s old");
            self.violated(now, 9, text);
        }
    }

    /// Checks rule 9 for a snapshot that a querier applies: its revision must never decrease.
    pub fn check_snapshot(&mut self, now: Tick, querier: usize, revision: u64) {
        let highest = self.applied_revisions.entry(querier).or_insert(0);
        let previous = *highest;
        *highest = previous.max(revision);
        if revision < previous {
            let text =
                format!("querier {querier} goes back from revision {previous} to {revision}");
            self.violated(now, 9, text);
        }
    }

    /// Checks rule 12: a revision of a partition is the same on all nodes.
    pub fn check_replica(&mut self, now: Tick, partition: u32, revision: u64, sum: u64) {
        let first = *self.replica_sums.entry((partition, revision)).or_insert(sum);
        if first != sum {
            self.violated(
                now,
                12,
                format!("partition {partition} differs between nodes at revision {revision}"),
            );
        }
    }

    /// Checks rules 7 and 8 for an attempt that is sent to a leaf.
    pub fn check_attempt(
        &mut self,
        now: Tick,
        querier: &str,
        leaf: &str,
        zone: &str,
        known_leaving: Option<Tick>,
    ) {
        if let Some(at) = known_leaving
            && now > at + 3 * SECOND
        {
            let late = (now - at) as f64 / 1e6;
            self.violated(
                now,
                7,
                format!("{querier} sends to {leaf}, known to be leaving for {late:.2} s"),
            );
        }
        if let Some(from) = self.drained.get(zone)
            && now > *from
        {
            let late = (now - from) as f64 / 1e6;
            self.violated(
                now,
                8,
                format!("{querier} sends to {leaf} in drained zone {zone}, {late:.2} s late"),
            );
        }
    }

    /// Records that an operator sends its next request, or resends one: until it is acknowledged
    /// either state is allowed.
    pub fn record_zone_request(&mut self, sender: usize, zone: &str, drained: bool) {
        let state =
            OperatorZoneState { zone: zone.to_string(), requested: drained, acknowledged: None };
        self.operator_zones.insert(sender, state);
    }

    /// Records that an operator's request was acknowledged.
    pub fn record_zone_acknowledgement(&mut self, sender: usize, drained: bool) {
        if let Some(state) = self.operator_zones.get_mut(&sender) {
            state.acknowledged = Some(drained);
        }
    }

    /// Checks rule 14: a delayed request must not take effect after a later one of the same
    /// operator was acknowledged. `drained` is the zone's state now; no other operator changes it.
    pub fn check_last_request_in_effect(&mut self, now: Tick, sender: usize, drained: bool) {
        let Some(OperatorZoneState { zone, acknowledged: Some(acknowledged), .. }) =
            self.operator_zones.get(&sender)
        else {
            return;
        };
        if *acknowledged != drained {
            let text = format!(
                "zone {zone}: the last acknowledged request set drained {acknowledged}, \
                 but drained {drained} is in force"
            );
            self.violated(now, 14, text);
        }
    }

    /// Checks rule 13: a querier with contact to the control plane must not send to a leaf that the
    /// platform's list has shown as leaving for more than 3 s.
    pub fn check_shown_leaving(&mut self, now: Tick, querier: &str, leaf: &str, shown_for: Tick) {
        if shown_for > 3 * SECOND {
            let late = shown_for as f64 / 1e6;
            let text = format!("{querier} sends to {leaf}, shown as leaving for {late:.2} s");
            self.violated(now, 13, text);
        }
    }

    /// Checks rule 11 for the load of a leaf in slow start.
    pub fn check_warm_up_load(&mut self, now: Tick, leaf: &str, in_progress: u32, capacity: u32) {
        if in_progress * 2 > capacity * 3 + 1 {
            self.violated(
                now,
                11,
                format!(
                    "{leaf} in slow start has {in_progress} attempts, its capacity is {capacity}"
                ),
            );
        }
    }

    /// Records a violation of rule 11: a leaf in slow start got too many attempts within a second.
    pub fn record_slow_start_excess(&mut self, now: Tick, leaf: &str, sent: usize, maximum: usize) {
        self.violated(
            now,
            11,
            format!("{leaf} in slow start is sent {sent} attempts in a second, {maximum} allowed"),
        );
    }

    /// Records an attempt for a service of a query, as a first attempt or as a retry.
    pub fn record_attempt(&mut self, now: Tick, id: &str, service: &str) {
        let query = id.rsplit_once('.').map_or(id, |q| q.0);
        let mut hash = DefaultHasher::new();
        (query, service).hash(&mut hash);
        let list = if self.attempted_services.insert(hash.finish()) {
            &mut self.first_attempts
        } else {
            &mut self.retries
        };
        list.push(now);
    }

    /// Checks rule 6 for a request that arrives at a leaf, run or rejected.
    pub fn check_destination(
        &mut self,
        now: Tick,
        querier: &str,
        leaf: &str,
        actual: &str,
        intended: &str,
    ) {
        if actual != intended {
            self.violated(
                now,
                6,
                format!("{querier}'s request for {intended} reaches {leaf} of {actual}"),
            );
        }
    }

    /// Returns, for rule 10, over any window of 10 s: the most retries above a fifth of
    /// the first attempts; also the most retries in such a window.
    pub fn retry_excess(&self) -> (i64, usize) {
        let (mut worst, mut maximum) = (0i64, 0);
        // The worst window begins or ends with a retry.
        let starts = self.retries.iter().copied();
        let ends = self.retries.iter().map(|t| (t + 1).saturating_sub(RETRY_WINDOW));
        for from in starts.chain(ends) {
            let n = within(&self.retries, from, RETRY_WINDOW);
            let allowed =
                within(&self.first_attempts, from, RETRY_WINDOW) / FIRST_ATTEMPTS_PER_RETRY;
            worst = worst.max(n as i64 - allowed as i64);
            maximum = maximum.max(n);
        }
        (worst, maximum)
    }

    /// Returns the retries that are allowed above a fifth of the first attempts.
    pub fn retry_allowance(&self, threads: usize) -> usize {
        let burst = self
            .first_attempts
            .iter()
            .map(|t| within(&self.first_attempts, *t, RETRY_BURST_SPAN))
            .max()
            .unwrap_or(0);
        RETRY_SLACK + threads + burst / FIRST_ATTEMPTS_PER_RETRY
    }

    /// Runs the checks that are possible only at the end.
    pub fn finish(&mut self, now: Tick, threads: usize) {
        for (rule, text) in self.rollouts.finish() {
            self.violated(now, rule, text);
        }
        let ((worst, _), allowed) = (self.retry_excess(), self.retry_allowance(threads));
        if worst > allowed as i64 {
            let text = format!("{worst} retries over a fifth in 10 s, {allowed} allowed");
            self.violated(now, 10, text);
        }
        for restart in std::mem::take(&mut self.pending_restarts) {
            let when = restart.at as f64 / 1e6;
            for (kind, made) in restart.calls.iter().filter(|_| !restart.disturbed) {
                let full = restart.complete_calls.get(kind).copied().unwrap_or(0);
                // One incomplete call is always tolerated.
                if full < (made * RECOVERED_PCT / 100).min(made - 1) {
                    let text = format!(
                        "12 s after the restart at {when:.1} s {full} of {made} {kind} are full"
                    );
                    self.violated(now, 12, text);
                }
            }
            let late = restart.accepted.is_none_or(|at| at > restart.at + 12 * SECOND);
            if !restart.disturbed
                && restart.request.is_some()
                && late
                && now > restart.at + 12 * SECOND
            {
                let text = format!("12 s after the restart at {when:.1} s no change is accepted");
                self.violated(now, 12, text);
            }
            self.checked_restarts.push(restart);
        }
    }

    /// Records the end of a call that began at `began`.
    pub fn end_call(&mut self, began: Tick, now: Tick, kind: &str, full: bool) {
        for restart in &mut self.pending_restarts {
            if began < restart.at {
                continue;
            }
            if full {
                restart.first_complete.entry(kind.to_string()).or_insert(now);
            }
            if began >= restart.at + ms(12_000) && began < restart.at + ms(15_000) {
                *restart.calls.entry(kind.to_string()).or_default() += 1;
                *restart.complete_calls.entry(kind.to_string()).or_default() += u64::from(full);
            }
        }
    }

    /// Records a new fault: an earlier restart whose check isn't finished is no longer
    /// the only fault.
    pub fn mark_recoveries_disturbed(&mut self, now: Tick) {
        for restart in
            self.pending_restarts.iter_mut().filter(|restart| now < restart.at + 15 * SECOND)
        {
            restart.disturbed = true;
        }
    }
}

/// Returns the rule of a text of `check`: they begin with `rule N:`.
pub fn rule_of(text: &str) -> u8 {
    text.strip_prefix("rule ").and_then(|t| t.split(':').next()?.parse().ok()).unwrap_or(3)
}

/// Counts the times of a sorted list in the window that begins at `from`.
fn within(list: &[Tick], from: Tick, span: Tick) -> usize {
    let a = list.partition_point(|t| *t < from);
    list.partition_point(|t| *t < from + span) - a
}
