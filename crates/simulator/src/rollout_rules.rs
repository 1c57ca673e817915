//! The rules of rollouts, checked by the requests that reach leafs and the states that are
//! reported to operators.

use std::collections::BTreeMap;

use grebepath_core::time::{SECOND, Tick};

/// One in this many requests of a service may reach a bad version.
const ONE_IN: u64 = 10;
/// Additional requests that may reach a bad version.
const SLACK: u64 = 50;
/// Bad answers after which a version must get no more requests, once `ROLL_BACK` has passed.
const BAD_ANSWERS: u64 = 50;
/// Time to stop requests to a version after `BAD_ANSWERS`.
const ROLL_BACK: Tick = 5 * SECOND;
/// Time after a reported end in which requests that were in flight may still arrive.
const ON_THEIR_WAY: Tick = SECOND;

/// The end of a rollout as reported to its operator.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ToldEnd {
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
    told: Option<(Tick, ToldEnd)>,
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
pub type Broken = (u8, String);

impl RolloutRules {
    /// Records that an operator sends a rollout order for the first time.
    pub fn ordered(&mut self, now: Tick, service: &str, target: &str, is_bad: bool, term: Tick) {
        self.by_service.entry(service.into()).or_default().push(ObservedRollout {
            target: target.into(),
            is_bad,
            sent_at: now,
            until: now + term,
            told: None,
            requests: 0,
            to_target: 0,
            bad_answers: 0,
            fiftieth_bad_at: None,
        });
    }

    /// Records the reported state of a service's newest rollout; a reported end must not change.
    pub fn told(&mut self, now: Tick, service: &str, end: Option<ToldEnd>) -> Option<Broken> {
        let rollout = self.by_service.get_mut(service)?.last_mut()?;
        match (rollout.told, end) {
            (Some((_, known)), told) if told != Some(known) => {
                Some((18, format!("{service}: {known:?} was reported, and then {told:?}")))
            }
            (None, Some(end)) => {
                rollout.told = Some((now, end));
                None
            }
            _ => None,
        }
    }

    /// Checks a request that is sent to a leaf of a service, whose first version is `first`.
    pub fn sent(&self, now: Tick, service: &str, version: &str, first: &str) -> Option<Broken> {
        let rollouts = self.by_service.get(service)?;
        let is_allowed = may_get_requests(rollouts, now, version, first);
        (!is_allowed).then(|| (15, format!("{service} {version:?} is sent a request")))
    }

    /// Checks a request that reaches a leaf of a service.
    pub fn arrived(&mut self, now: Tick, service: &str, version: &str) -> Option<Broken> {
        let rollout = self.by_service.get_mut(service)?.last_mut()?;
        if now < rollout.until {
            rollout.requests += 1;
            rollout.to_target += u64::from(version == rollout.target);
        }
        if version == rollout.target
            && rollout.is_bad
            && rollout.fiftieth_bad_at.is_some_and(|at| now > at + ROLL_BACK)
        {
            return Some((17, format!("{service} {version} gets a request long after it was bad")));
        }
        None
    }

    /// Records a bad answer of a leaf.
    pub fn answered_badly(&mut self, now: Tick, service: &str, version: &str) {
        let newest = self.by_service.get_mut(service).and_then(|rollouts| rollouts.last_mut());
        if let Some(rollout) = newest.filter(|rollout| rollout.target == version) {
            rollout.bad_answers += 1;
            if rollout.bad_answers == BAD_ANSWERS {
                rollout.fiftieth_bad_at = Some(now);
            }
        }
    }

    /// Checks at the end of a run how many requests reached bad versions.
    pub fn finish(&self) -> Vec<Broken> {
        let mut broken = Vec::new();
        for (service, rollouts) in &self.by_service {
            for rollout in rollouts.iter().filter(|rollout| rollout.is_bad) {
                let ObservedRollout { target, requests, to_target, sent_at, .. } = rollout;
                let allowed = requests / ONE_IN + SLACK;
                if *to_target > allowed {
                    broken.push((16, format!(
                        "{service} {target}, ordered at {sent_at}: {to_target} of {requests} requests, \
                         {allowed} allowed"
                    )));
                }
            }
        }
        broken
    }

    /// Returns the ends that were reported to operators, by service, the oldest first.
    pub fn ends(&self) -> BTreeMap<String, Vec<Option<ToldEnd>>> {
        let ends = |rollouts: &Vec<ObservedRollout>| {
            rollouts.iter().map(|rollout| rollout.told.map(|(_, end)| end)).collect()
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
    let mut tried: Vec<&str> = Vec::new();
    for rollout in rollouts {
        tried = vec![&rollout.target];
        match rollout.told {
            Some((at, ToldEnd::Delivered)) => {
                former = (now < at + ON_THEIR_WAY).then(|| in_force.clone());
                in_force.clone_from(&rollout.target);
                tried.clear();
            }
            Some((at, ToldEnd::Returned)) if now >= at + ON_THEIR_WAY => tried.clear(),
            _ => {}
        }
    }
    version == in_force || tried.contains(&version) || former.as_deref() == Some(version)
}
