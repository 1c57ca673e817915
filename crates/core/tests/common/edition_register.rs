//! Checks what operators were told of one register: the edition of the
//! configuration, which only orders that name the standing edition change, by
//! one. Knows nothing of the code that it checks.
//!
//! The history is right if there are times at which the edition rose, in order,
//! each within the time in which its order was asked and answered, so that every
//! answer that names an edition names one that stood between its request and
//! itself.

use std::collections::{BTreeMap, BTreeSet};

/// What an operator was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Accepted,
    /// Refused: this edition stands.
    Conflict(u64),
    /// Read back: this edition stands.
    Read(u64),
    /// Certainly not carried out by this request; an earlier one of the same
    /// order may have been.
    NotExecuted,
    /// Nothing, or that it is not known.
    Unknown,
    /// Something that no order of the history can come to.
    Malformed(String),
}

/// One request and its answer. The same order may be asked several times.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub change: String,
    /// The edition that it builds on; none for a read.
    pub after: Option<u64>,
    pub submitted_at: u64,
    pub responded_at: u64,
    pub outcome: Outcome,
}

/// When an edition began to stand, as far as is known.
#[derive(Clone, Copy)]
struct Bounds {
    earliest: u64,
    latest: u64,
}

/// What is wrong with a history at whose end `applied` orders are found and
/// `edition` stands; empty if all is well.
pub fn check(history: &[RequestRecord], applied: &BTreeSet<String>, edition: u64) -> Vec<String> {
    let mut wrong = Vec::new();
    for entry in history {
        let done = applied.contains(&entry.change);
        match &entry.outcome {
            Outcome::Accepted if !done => wrong.push(format!("accepted and lost: {entry:?}")),
            Outcome::Conflict(_) if done => {
                wrong.push(format!("refused, and is done: {entry:?}"));
            }
            Outcome::NotExecuted if done && !executed_by_another(history, entry) => {
                wrong.push(format!("said not to be done, and is: {entry:?}"));
            }
            Outcome::Conflict(stands) if Some(*stands) == entry.after => {
                wrong.push(format!("refused although it builds on what stands: {entry:?}"));
            }
            Outcome::Malformed(text) => wrong.push(format!("{text}: {entry:?}")),
            _ => {}
        }
    }
    let edition_bounds = edition_bounds(history, applied, edition, &mut wrong);
    if wrong.is_empty() {
        wrong.extend(impossible_editions(history, &edition_bounds));
    }
    wrong
}

/// Whether another request of the same order may have carried it out.
fn executed_by_another(history: &[RequestRecord], entry: &RequestRecord) -> bool {
    let same = history.iter().filter(|other| other.change == entry.change);
    same.into_iter().any(|other| matches!(other.outcome, Outcome::Accepted | Outcome::Unknown))
}

/// The bounds of each edition from 1 on, by the orders that brought them.
fn edition_bounds(
    history: &[RequestRecord],
    applied: &BTreeSet<String>,
    edition: u64,
    wrong: &mut Vec<String>,
) -> Vec<Bounds> {
    let mut by_edition: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for entry in history.iter().filter(|entry| applied.contains(&entry.change)) {
        if let Some(after) = entry.after {
            by_edition.entry(after).or_default().insert(&entry.change);
        }
    }
    let mut edition_bounds = Vec::new();
    for after in 0..edition {
        let orders = by_edition.remove(&after).unwrap_or_default();
        if orders.len() != 1 {
            wrong.push(format!("{} orders were carried out on {after}: {orders:?}", orders.len()));
            continue;
        }
        let entries = || history.iter().filter(|entry| orders.contains(entry.change.as_str()));
        let accepted = entries().filter(|entry| entry.outcome == Outcome::Accepted);
        edition_bounds.push(Bounds {
            earliest: entries().map(|entry| entry.submitted_at).min().unwrap_or(0),
            latest: accepted.map(|entry| entry.responded_at).min().unwrap_or(u64::MAX),
        });
    }
    if !by_edition.is_empty() {
        wrong.push(format!("carried out, but {edition} stands at the end: {by_edition:?}"));
    }
    edition_bounds
}

/// Answers that name an edition which can't have stood in their time.
fn impossible_editions(history: &[RequestRecord], edition_bounds: &[Bounds]) -> Vec<String> {
    let mut bounds = edition_bounds.to_vec();
    let mut wrong = Vec::new();
    for entry in history {
        let (Outcome::Conflict(edition) | Outcome::Read(edition)) = entry.outcome else { continue };
        let Ok(at) = usize::try_from(edition) else { continue };
        // It had begun to stand by the answer, and the next had not at the asking.
        match at.checked_sub(1).map(|at| bounds.get_mut(at)) {
            None => {}
            Some(Some(step)) => step.latest = step.latest.min(entry.responded_at),
            Some(None) => wrong.push(format!("names an edition that never stood: {entry:?}")),
        }
        if let Some(next) = bounds.get_mut(at) {
            next.earliest = next.earliest.max(entry.submitted_at);
        }
    }
    let mut earliest = 0;
    for (at, step) in bounds.iter().enumerate() {
        earliest = earliest.max(step.earliest);
        if earliest > step.latest {
            let text = format!("no time is left at which edition {} began", at + 1);
            wrong.push(format!("{text}: from {earliest}, by {}", step.latest));
        }
    }
    wrong
}
