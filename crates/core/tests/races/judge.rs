//! What must hold of a race, whatever happened in it.

#![allow(clippy::unwrap_used)]

use grebepath_core::protocol::operation::OperationResult;

use super::{History, Race};
use crate::cluster::{Cluster, read_back};

/// What is wrong with what was told and with what stands; and whether the
/// first order was accepted.
pub fn judge(c: &mut Cluster, race: &Race, history: &History) -> (Vec<String>, bool) {
    let config = read_back(c, 0).expect("the configuration can be read");
    let mut wrong = Vec::new();
    let mut lists =
        vec![(&race.first, history.first.clone()), (&race.rival, history.rival.clone())];
    if race.first == race.rival {
        let (_, second) = lists.pop().unwrap();
        lists[0].1.extend(second);
    }
    let mut accepted = Vec::new();
    for (order, calls) in lists {
        let told: Vec<&OperationResult> = calls.iter().filter_map(|op| c.told.get(op)).collect();
        let mut revisions: Vec<u64> = told.iter().filter_map(|done| revision(done)).collect();
        revisions.sort_unstable();
        revisions.dedup();
        let refused = told.iter().any(|done| {
            matches!(done, OperationResult::Conflict { .. } | OperationResult::Invalid(_))
        });
        let stands = config.zones.contains_key(&order.mark);
        if revisions.len() > 1 {
            wrong.push(format!("{} was applied twice, as {revisions:?}", order.mark));
        }
        if !revisions.is_empty() && refused {
            wrong.push(format!("{} was accepted and refused: {told:?}", order.mark));
        }
        if !revisions.is_empty() && !stands {
            wrong.push(format!("{} was accepted and is not in force", order.mark));
        }
        if refused && stands {
            wrong.push(format!("{} was refused and is in force", order.mark));
        }
        // All is calm in the end: the last answer is a clear one.
        let clear = |done: &&OperationResult| {
            matches!(done, OperationResult::Accepted { .. } | OperationResult::Conflict { .. })
        };
        if !told.last().is_some_and(clear) {
            wrong.push(format!("{} has no clear answer in the end: {told:?}", order.mark));
        }
        if !revisions.is_empty() {
            accepted.push(order);
        }
    }
    if accepted.len() > 1 {
        wrong.push("two orders on one base were both accepted".to_string());
    }
    if accepted.is_empty() {
        wrong.push("none of two orders was accepted".to_string());
    }
    (wrong, accepted.contains(&&race.first))
}

fn revision(done: &OperationResult) -> Option<u64> {
    match done {
        OperationResult::Accepted { revision, .. } => Some(*revision),
        _ => None,
    }
}
