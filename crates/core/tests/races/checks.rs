//! The properties that must hold after every race.

#![allow(clippy::unwrap_used)]

use grebepath_core::protocol::operation::OperationResult;

use super::{History, Race};
use crate::cluster::{Cluster, read_configuration};

/// Returns the violations in the responses and the final configuration, and whether the first
/// change was accepted.
pub fn check_race(c: &mut Cluster, race: &Race, history: &History) -> (Vec<String>, bool) {
    let config = read_configuration(c, 0).expect("the configuration can be read");
    let mut violations = Vec::new();
    let mut change_calls =
        vec![(&race.first, history.first.clone()), (&race.rival, history.rival.clone())];
    if race.first == race.rival {
        let (_, second) = change_calls.pop().unwrap();
        change_calls[0].1.extend(second);
    }
    let mut accepted = Vec::new();
    for (change, calls) in change_calls {
        let answered: Vec<&OperationResult> =
            calls.iter().filter_map(|op| c.answered.get(op)).collect();
        let mut revisions: Vec<u64> = answered.iter().filter_map(|done| revision(done)).collect();
        revisions.sort_unstable();
        revisions.dedup();
        let rejected = answered.iter().any(|done| {
            matches!(done, OperationResult::Conflict { .. } | OperationResult::Invalid(_))
        });
        let in_force = config.zones.contains_key(&change.zone);
        if revisions.len() > 1 {
            violations.push(format!("{} was applied twice, as {revisions:?}", change.zone));
        }
        if !revisions.is_empty() && rejected {
            violations.push(format!("{} was accepted and refused: {answered:?}", change.zone));
        }
        if !revisions.is_empty() && !in_force {
            violations.push(format!("{} was accepted and is not in force", change.zone));
        }
        if rejected && in_force {
            violations.push(format!("{} was rejected and is in force", change.zone));
        }
        // The cluster is healthy at the end, so the last response is definite.
        let is_definite = |done: &&OperationResult| {
            matches!(done, OperationResult::Accepted { .. } | OperationResult::Conflict { .. })
        };
        if !answered.last().is_some_and(is_definite) {
            violations
                .push(format!("{} has no definite response at the end: {answered:?}", change.zone));
        }
        if !revisions.is_empty() {
            accepted.push(change);
        }
    }
    if accepted.len() > 1 {
        violations.push("two changes on one base were both accepted".to_string());
    }
    if accepted.is_empty() {
        violations.push("neither of the two changes was accepted".to_string());
    }
    (violations, accepted.contains(&&race.first))
}

fn revision(done: &OperationResult) -> Option<u64> {
    match done {
        OperationResult::Accepted { revision, .. } => Some(*revision),
        _ => None,
    }
}
