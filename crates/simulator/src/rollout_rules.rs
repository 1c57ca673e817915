//! The rules of rollouts, checked by the requests that reach leafs and the states that are
//! reported to operators.

use std::collections::BTreeMap;

use grebepath_core::time::{SECOND, Tick};

/// One in this many requests of a service may reach a bad version.
const EXPOSURE_ONE_IN: u64 = 10;
/// Additional requests that may reach a bad version.
const EXPOSURE_SLACK: u64 = 50;
/// Bad answers after which a version must get no more requests, once `ROLLBACK_TIME` has passed.
const MAX_BAD_ANSWERS: u64 = 50;
/// Time to stop requests to a version after `MAX_BAD_ANSWERS`.
const ROLLBACK_TIME: Tick = 5 * SECOND;
/// Time after a reported end in which requests that were in flight may still arrive.
const IN_FLIGHT_GRACE: Tick = SECOND;

/// The end of a rollout as reported to its operator.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportedEnd {
    /// The new version is in force.
    Delivered,
    /// The old version is in force.
    Returned,
}

/// A rollout as its operator observes it.
#[derive(Debug)]
struct ObservedRollout {
    target: String,
    is_bad: bool,
    sent_at: Tick,
    until: Tick,
    reported: Option<(Tick, ReportedEnd)>,
    /// Requests for the service, and those of them to the new version, while no end is reported and
    /// its time limit hasn't passed.
    requests: u64,
    to_target: u64,
    bad_answers: u64,
    fiftieth_bad_at: Option<Tick>,
}

/// The rollouts of a run by service, the newest last.
#[derive(Debug, Default)]
pub struct RolloutRules {
    by_service: BTreeMap<String, Vec<ObservedRollout>>,
}

/// A violated rule: its number and a description.
pub type RuleViolation = (u8, String);

impl RolloutRules {
    /// Records that an operator sends a rollout order for the first time.
    pub fn record_order(
        &mut self,
        now: Tick,
        service: &str,
        target: &str,
        is_bad: bool,
        term: Tick,
    ) {
        self.by_service.entry(service.into()).or_default().push(ObservedRollout {
            target: target.into(),
            is_bad,
            sent_at: now,
            until: now + term,
            reported: None,
            requests: 0,
            to_target: 0,
            bad_answers: 0,
            fiftieth_bad_at: None,
        });
    }

    /// Records the reported state of a service's newest rollout; a reported end must not change.
    pub fn reported(
        &mut self,
        now: Tick,
        service: &str,
        end: Option<ReportedEnd>,
    ) -> Option<RuleViolation> {
        let rollout = self.by_service.get_mut(service)?.last_mut()?;
        match (rollout.reported, end) {
            (Some((_, known)), reported) if reported != Some(known) => {
                Some((18, format!("{service}: {known:?} was reported, and then {reported:?}")))
            }
            (None, Some(end)) => {
                rollout.reported = Some((now, end));
                None
            }
            _ => None,
        }
    }

    /// Checks a request that is sent to a leaf of a service, whose first version is `first`.
    pub fn check_sent(
        &self,
        now: Tick,
        service: &str,
        version: &str,
        first: &str,
    ) -> Option<RuleViolation> {
        let rollouts = self.by_service.get(service)?;
        let is_allowed = may_get_requests(rollouts, now, version, first);
        (!is_allowed).then(|| (15, format!("{service} {version:?} is sent a request")))
    }

    /// Checks a request that reaches a leaf of a service.
    pub fn check_arrival(
        &mut self,
        now: Tick,
        service: &str,
        version: &str,
    ) -> Option<RuleViolation> {
        let rollout = self.by_service.get_mut(service)?.last_mut()?;
        if now < rollout.until {
            rollout.requests += 1;
            rollout.to_target += u64::from(version == rollout.target);
        }
        if version == rollout.target
            && rollout.is_bad
            && rollout.fiftieth_bad_at.is_some_and(|at| now > at + ROLLBACK_TIME)
        {
            return Some((17, format!("{service} {version} gets a request long after it was bad")));
        }
        None
    }

    /// Records a bad answer of a leaf.
    pub fn record_bad_answer(&mut self, now: Tick, service: &str, version: &str) {
        let newest = self.by_service.get_mut(service).and_then(|rollouts| rollouts.last_mut());
        if let Some(rollout) = newest.filter(|rollout| rollout.target == version) {
            rollout.bad_answers += 1;
            if rollout.bad_answers == MAX_BAD_ANSWERS {
                rollout.fiftieth_bad_at = Some(now);
            }
        }
    }

    /// Checks at the end of a run how many requests reached bad versions.
    pub fn finish(&self) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for (service, rollouts) in &self.by_service {
            for rollout in rollouts.iter().filter(|rollout| rollout.is_bad) {
                let ObservedRollout { target, requests, to_target, sent_at, .. } = rollout;
                let allowed = requests / EXPOSURE_ONE_IN + EXPOSURE_SLACK;
                if *to_target > allowed {
                    violations.push((16, format!(
                        "{service} {target}, ordered at {sent_at}: {to_target} of {requests} requests, \
                         {allowed} allowed"
                    )));
                }
            }
        }
        violations
    }

    /// Returns the ends that were reported to operators, by service, the oldest first.
    pub fn ends(&self) -> BTreeMap<String, Vec<Option<ReportedEnd>>> {
        let ends = |rollouts: &Vec<ObservedRollout>| {
            rollouts.iter().map(|rollout| rollout.reported.map(|(_, end)| end)).collect()
        };
        self.by_service.iter().map(|(service, all)| (service.clone(), ends(all))).collect()
    }

    /// Returns how many requests reached the newest rollout's version, of how many that were counted.
    pub fn exposure(&self, service: &str) -> Option<(u64, u64)> {
        let rollout = self.by_service.get(service)?.last()?;
        Some((rollout.to_target, rollout.requests))
    }
}

/// Returns whether a version may get requests, by the orders sent and the ends reported.
fn may_get_requests(rollouts: &[ObservedRollout], now: Tick, version: &str, first: &str) -> bool {
    let mut in_force = first.to_string();
    let mut former: Option<String> = None;
    let mut on_trial: Vec<&str> = Vec::new();
    for rollout in rollouts {
        on_trial = vec![&rollout.target];
        match rollout.reported {
            Some((at, ReportedEnd::Delivered)) => {
                former = (now < at + IN_FLIGHT_GRACE).then(|| in_force.clone());
                in_force.clone_from(&rollout.target);
                on_trial.clear();
            }
            Some((at, ReportedEnd::Returned)) if now >= at + IN_FLIGHT_GRACE => on_trial.clear(),
            _ => {}
        }
    }
    version == in_force || on_trial.contains(&version) || former.as_deref() == Some(version)
}
