//! Checks a history of operators' requests and responses for linearizability. The object is a
//! register, the edition of the configuration: only a change that names the current edition
//! is accepted, and it raises the edition by one. The checker uses no code of the controllers.
//!
//! A history is correct if there are increasing points in time at which the edition rose, each
//! between the submission and the response of its change, such that every response that names
//! an edition names one that was current between the submission and the response.

use std::collections::{BTreeMap, BTreeSet};

/// The outcome of a request, as the operator received it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Accepted,
    /// Rejected, because this edition is the current one.
    Conflict(u64),
    /// A read returned this edition as the current one.
    Read(u64),
    /// Certainly not executed by this request; an earlier request for the same change may have
    /// been executed.
    NotExecuted,
    /// No response, or one that says that the outcome is unknown.
    Unknown,
    /// A response that no correct history contains.
    Malformed(String),
}

/// One request and its outcome. The same change may be requested several times.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub change: String,
    /// The edition that the change is based on; `None` for a read.
    pub after: Option<u64>,
    pub submitted_at: u64,
    pub responded_at: u64,
    pub outcome: Outcome,
}

/// Bounds on the time at which an edition became current.
#[derive(Clone, Copy)]
struct Bounds {
    earliest: u64,
    latest: u64,
}

/// Returns the violations in a history after which the changes in `applied` are in force and
/// `edition` is current; empty if the history is correct.
pub fn check(history: &[RequestRecord], applied: &BTreeSet<String>, edition: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for entry in history {
        let is_executed = applied.contains(&entry.change);
        match &entry.outcome {
            Outcome::Accepted if !is_executed => {
                violations.push(format!("accepted, but lost: {entry:?}"))
            }
            Outcome::Conflict(_) if is_executed => {
                violations.push(format!("rejected, but executed: {entry:?}"));
            }
            Outcome::NotExecuted if is_executed && !executed_by_another(history, entry) => {
                violations.push(format!("reported as not executed, but executed: {entry:?}"));
            }
            Outcome::Conflict(current) if Some(*current) == entry.after => {
                violations.push(format!(
                    "rejected although it is based on the current edition: {entry:?}"
                ));
            }
            Outcome::Malformed(text) => violations.push(format!("{text}: {entry:?}")),
            _ => {}
        }
    }
    let edition_bounds = edition_bounds(history, applied, edition, &mut violations);
    if violations.is_empty() {
        violations.extend(impossible_editions(history, &edition_bounds));
    }
    violations
}

/// Returns whether another request for the same change may have executed it.
fn executed_by_another(history: &[RequestRecord], entry: &RequestRecord) -> bool {
    let same = history.iter().filter(|other| other.change == entry.change);
    same.into_iter().any(|other| matches!(other.outcome, Outcome::Accepted | Outcome::Unknown))
}

/// Returns the bounds of each edition from 1 on, derived from the changes that created them.
fn edition_bounds(
    history: &[RequestRecord],
    applied: &BTreeSet<String>,
    edition: u64,
    violations: &mut Vec<String>,
) -> Vec<Bounds> {
    let mut by_edition: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for entry in history.iter().filter(|entry| applied.contains(&entry.change)) {
        if let Some(after) = entry.after {
            by_edition.entry(after).or_default().insert(&entry.change);
        }
    }
    let mut edition_bounds = Vec::new();
    for after in 0..edition {
        let changes = by_edition.remove(&after).unwrap_or_default();
        if changes.len() != 1 {
            violations.push(format!(
                "{} changes were executed on edition {after}: {changes:?}",
                changes.len()
            ));
            continue;
        }
        let entries = || history.iter().filter(|entry| changes.contains(entry.change.as_str()));
        let accepted = entries().filter(|entry| entry.outcome == Outcome::Accepted);
        edition_bounds.push(Bounds {
            earliest: entries().map(|entry| entry.submitted_at).min().unwrap_or(0),
            latest: accepted.map(|entry| entry.responded_at).min().unwrap_or(u64::MAX),
        });
    }
    if !by_edition.is_empty() {
        violations.push(format!("executed, but {edition} is the last edition: {by_edition:?}"));
    }
    edition_bounds
}

/// Returns the responses that name an edition that cannot have been current at their time.
fn impossible_editions(history: &[RequestRecord], edition_bounds: &[Bounds]) -> Vec<String> {
    let mut bounds = edition_bounds.to_vec();
    let mut violations = Vec::new();
    for entry in history {
        let (Outcome::Conflict(edition) | Outcome::Read(edition)) = entry.outcome else { continue };
        let Ok(at) = usize::try_from(edition) else { continue };
        // The edition was current by the time of the response, and the next one was not yet
        // current at the submission.
        match at.checked_sub(1).map(|at| bounds.get_mut(at)) {
            None => {}
            Some(Some(step)) => step.latest = step.latest.min(entry.responded_at),
            Some(None) => {
                violations.push(format!("names an edition that never was current: {entry:?}"))
            }
        }
        if let Some(next) = bounds.get_mut(at) {
            next.earliest = next.earliest.max(entry.submitted_at);
        }
    }
    let mut earliest = 0;
    for (at, step) in bounds.iter().enumerate() {
        earliest = earliest.max(step.earliest);
        if earliest > step.latest {
            let text =
                format!("there is no possible time at which edition {} became current", at + 1);
            violations.push(format!("{text}: from {earliest}, by {}", step.latest));
        }
    }
    violations
}
