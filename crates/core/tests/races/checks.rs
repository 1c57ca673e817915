//! What must hold of a race, whatever happened in it.

#![allow(clippy::unwrap_used)]

use grebepath_core::protocol::operation::OperationResult;

use super::{History, Race};
use crate::cluster::{Cluster, read_configuration};

/// What is wrong with what was told and with what stands; and whether the
/// first order was accepted.
pub fn checks(c: &mut Cluster, race: &Race, history: &History) -> (Vec<String>, bool) {
    let config = read_configuration(c, 0).expect("the configuration can be read");
    let mut violations = Vec::new();
    let mut lists =
        vec![(&race.first, history.first.clone()), (&race.rival, history.rival.clone())];
    if race.first == race.rival {
        let (_, second) = lists.pop().unwrap();
        lists[0].1.extend(second);
    }
    let mut accepted = Vec::new();
    for (config_change, calls) in lists {
        let answered: Vec<&OperationResult> =
            calls.iter().filter_map(|op| c.answered.get(op)).collect();
        let mut revisions: Vec<u64> = answered.iter().filter_map(|done| revision(done)).collect();
        revisions.sort_unstable();
        revisions.dedup();
        let refused = answered.iter().any(|done| {
            matches!(done, OperationResult::Conflict { .. } | OperationResult::Invalid(_))
        });
        let stands = config.zones.contains_key(&config_change.zone);
        if revisions.len() > 1 {
            violations.push(format!("{} was applied twice, as {revisions:?}", config_change.zone));
        }
        if !revisions.is_empty() && refused {
            violations
                .push(format!("{} was accepted and refused: {answered:?}", config_change.zone));
        }
        if !revisions.is_empty() && !stands {
            violations.push(format!("{} was accepted and is not in force", config_change.zone));
        }
        if refused && stands {
            violations.push(format!("{} was refused and is in force", config_change.zone));
        }
        // All is calm in the end: the last answer is a clear one.
        let clear = |done: &&OperationResult| {
            matches!(done, OperationResult::Accepted { .. } | OperationResult::Conflict { .. })
        };
        if !answered.last().is_some_and(clear) {
            violations.push(format!(
                "{} has no clear answer in the end: {answered:?}",
                config_change.zone
            ));
        }
        if !revisions.is_empty() {
            accepted.push(config_change);
        }
    }
    if accepted.len() > 1 {
        violations.push("two orders on one base were both accepted".to_string());
    }
    if accepted.is_empty() {
        violations.push("none of two orders was accepted".to_string());
    }
    (violations, accepted.contains(&&race.first))
}

fn revision(done: &OperationResult) -> Option<u64> {
    match done {
        OperationResult::Accepted { revision, .. } => Some(*revision),
        _ => None,
    }
}
