//! Detects contradictions that need no search, because these can be explained more clearly.

use std::collections::BTreeMap;

use super::explain::{read_line, write_line};
use super::history::{Answer, History, Read, Reason, Violation, Write};

/// Returns the first contradiction found by comparing answers directly.
pub fn violation(history: &History) -> Option<Violation> {
    let by_write = history.writes.iter().find_map(one_write);
    by_write.or_else(|| two_writes(history)).or_else(|| two_reads(history))
}

/// Finds a contradiction between the attempts of one write.
fn one_write(write: &Write) -> Option<Violation> {
    let accepted: Vec<(usize, u64)> = write
        .attempts
        .iter()
        .enumerate()
        .filter_map(|(n, a)| match a.answer {
            Answer::Accepted { revision } => Some((n, revision)),
            _ => None,
        })
        .collect();
    let (first, revision) = *accepted.first()?;
    let lines = |list: &[usize]| list.iter().map(|n| write_line(write, *n)).collect();
    if let Some((other, again)) = accepted.iter().find(|(_, r)| *r != revision) {
        let summary = format!(
            "request {} was accepted as revision {revision} and again as {again}",
            write.id
        );
        let lines = lines(&[first, *other]);
        return Some(Violation { reason: Reason::AcceptedTwice, summary, lines });
    }
    if let Some(base) = write.base.revision.filter(|base| *base >= revision) {
        let summary =
            format!("request {} on revision {base} was accepted as revision {revision}", write.id);
        return Some(Violation { reason: Reason::NotAboveBase, summary, lines: lines(&[first]) });
    }
    let earliest = accepted.iter().min_by_key(|(n, _)| write.attempts[*n].answered)?.0;
    let late = write
        .attempts
        .iter()
        .position(|a| a.refused() && Some(a.sent) > write.attempts[earliest].answered)?;
    let summary =
        format!("request {} was accepted as {revision}, resent unchanged, and refused", write.id);
    Some(Violation { reason: Reason::RefusedAgain, summary, lines: lines(&[earliest, late]) })
}

/// Finds a contradiction between two accepted writes.
fn two_writes(history: &History) -> Option<Violation> {
    let mut by_revision: BTreeMap<u64, &Write> = BTreeMap::new();
    let mut by_id: BTreeMap<&str, &Write> = BTreeMap::new();
    let mut by_base: BTreeMap<u64, &Write> = BTreeMap::new();
    let both = |reason: Reason, what: String, a: &Write, b: &Write| {
        let summary = format!("requests {} and {} were both accepted {what}", a.id, b.id);
        Violation { reason, summary, lines: vec![accepted_line(a), accepted_line(b)] }
    };
    for write in &history.writes {
        let Some(revision) = write.revision() else { continue };
        if let Some(old) = by_revision.insert(revision, write) {
            return Some(both(Reason::SharedRevision, format!("as {revision}"), old, write));
        }
        if let Some(old) = by_id.insert(&write.id, write) {
            return Some(both(Reason::SharedId, "under one id".into(), old, write));
        }
        let Some(base) = write.base.revision else { continue };
        if let Some(old) = by_base.insert(base, write) {
            return Some(both(Reason::SharedBase, format!("on revision {base}"), old, write));
        }
    }
    None
}

fn accepted_line(write: &Write) -> String {
    let accepted = |a: &super::Attempt| matches!(a.answer, Answer::Accepted { .. });
    write_line(write, write.attempts.iter().position(accepted).unwrap_or(0))
}

/// Finds two reads of the same revision with different contents.
fn two_reads(history: &History) -> Option<Violation> {
    let mut by_revision: BTreeMap<u64, &Read> = BTreeMap::new();
    for read in &history.reads {
        let old = *by_revision.entry(read.revision).or_insert(read);
        if old.objects != read.objects || old.edition != read.edition {
            let names = differing(old, read).join(", ");
            let summary = format!("two reads of revision {} differ in: {names}", read.revision);
            let lines = vec![read_line(old), read_line(read)];
            return Some(Violation { reason: Reason::TwoContents, summary, lines });
        }
    }
    None
}

/// Returns the names of the objects in which two reads differ.
fn differing(a: &Read, b: &Read) -> Vec<String> {
    let names = a.objects.keys().chain(b.objects.keys());
    let mut out: Vec<String> =
        names.filter(|n| a.objects.get(*n) != b.objects.get(*n)).cloned().collect();
    if a.edition != b.edition {
        out.push("the edition".into());
    }
    out.sort();
    out.dedup();
    out
}
