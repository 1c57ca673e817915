//! Reduces a violation to a minimal set of contradicting answers and renders it as text.

use super::compile::{Weakened, compile};
use super::history::{Answer, Attempt, Base, History, Read, Reason, Violation, Write};
use super::search::{Outcome, run};

/// Maximum number of searches for one explanation.
const EXPLAIN_RUNS: usize = 400;
/// Maximum number of objects of a read that are printed.
const OBJECTS_SHOWN: usize = 6;

/// An answer in a history: an attempt of a write (write, attempt), or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answered {
    Write(usize, usize),
    Read(usize),
}

/// Explains why a history is not linearizable.
pub fn explain(history: &History, limit: usize) -> Violation {
    let answers = answers(history);
    let fails = |history: &History, weakened: &Weakened| {
        run(&compile(history, weakened), limit) == Outcome::Impossible
    };
    // Binary search for the shortest failing prefix: every longer prefix fails too.
    let (mut fits, mut failing) = (0, answers.len());
    while failing - fits > 1 {
        let middle = fits + (failing - fits) / 2;
        let prefix = history_prefix(history, &answers[..middle]);
        if fails(&prefix, &later_reads(history, &answers[..middle])) {
            failing = middle;
        } else {
            fits = middle;
        }
    }
    let history = history_prefix(history, &answers[..failing]);
    let Some(last) = answers[..failing].last().copied() else {
        return violation(&history, None, Vec::new());
    };
    let mut needed = answers[..failing - 1].to_vec();
    let mut size = needed.len().div_ceil(2).max(1);
    let mut runs = 0;
    loop {
        let mut at = 0;
        while at < needed.len() && runs < EXPLAIN_RUNS {
            let end = (at + size).min(needed.len());
            let fewer: Vec<Answered> = [&needed[..at], &needed[end..]].concat();
            runs += 1;
            if fails(&history, &without(&history, &fewer, last)) {
                needed = fewer;
            } else {
                at = end;
            }
        }
        if size == 1 || runs >= EXPLAIN_RUNS {
            break;
        }
        size = size.div_ceil(2);
    }
    needed.push(last);
    violation(&history, Some(last), needed)
}

/// Returns all answers, sorted by answer time.
fn answers(history: &History) -> Vec<Answered> {
    let writes = history.writes.iter().enumerate().flat_map(|(w, write)| {
        let attempts = write.attempts.iter().enumerate();
        attempts.filter_map(move |(a, at)| Some((at.answered?, Answered::Write(w, a))))
    });
    let reads = history.reads.iter().enumerate().map(|(r, at)| (at.answered, Answered::Read(r)));
    let mut list: Vec<(u64, Answered)> = writes.chain(reads).collect();
    list.sort_unstable();
    list.into_iter().map(|(_, answer)| answer).collect()
}

/// Returns the history up to the last of these answers. It still contains all reads.
fn history_prefix(history: &History, answers: &[Answered]) -> History {
    let end = answers.iter().map(|a| time(history, *a)).max().unwrap_or(0);
    let mut out = history.clone();
    let known = |answer: Answered| answers.contains(&answer);
    for (w, write) in out.writes.iter_mut().enumerate() {
        for (a, attempt) in write.attempts.iter_mut().enumerate() {
            if attempt.answered.is_some() && !known(Answered::Write(w, a)) {
                (attempt.answered, attempt.answer) = (None, Answer::Unknown);
            }
        }
        // An attempt that was not sent yet can't have been applied.
        for attempt in write.attempts.iter_mut().filter(|a| a.sent > end) {
            (attempt.answered, attempt.answer) = (None, Answer::Rejected);
        }
    }
    out
}

/// Returns the constraints to drop so that only reads among these answers count.
fn later_reads(history: &History, answers: &[Answered]) -> Weakened {
    let later = |r: &usize| !answers.contains(&Answered::Read(*r));
    Weakened { reads: (0..history.reads.len()).filter(later).collect(), ..Weakened::default() }
}

fn time(history: &History, answer: Answered) -> u64 {
    match answer {
        Answered::Write(w, a) => history.writes[w].attempts[a].answered.unwrap_or(0),
        Answered::Read(r) => history.reads[r].answered,
    }
}

/// Returns the constraints to drop so that only these answers and the last one count.
fn without(history: &History, needed: &[Answered], last: Answered) -> Weakened {
    let mut out = Weakened::default();
    let kept = |answer: Answered| answer == last || needed.contains(&answer);
    for (w, write) in history.writes.iter().enumerate() {
        let accepted = |(_, a): &(usize, &Attempt)| matches!(a.answer, Answer::Accepted { .. });
        let attempts = || write.attempts.iter().enumerate();
        let all = attempts().filter(accepted);
        if !all.into_iter().any(|(a, _)| kept(Answered::Write(w, a))) {
            out.writes.insert(w);
        }
        for (a, _) in attempts().filter(|(a, _)| !kept(Answered::Write(w, *a))) {
            out.refusals.insert((w, a));
        }
    }
    out.reads = (0..history.reads.len()).filter(|r| !kept(Answered::Read(*r))).collect();
    out
}

fn violation(history: &History, last: Option<Answered>, needed: Vec<Answered>) -> Violation {
    let what = "fits no state that was current while it was in flight";
    let (reason, summary) = match last {
        Some(Answered::Read(r)) => {
            let revision = history.reads[r].revision;
            (Reason::Read, format!("a read of revision {revision} {what}"))
        }
        Some(Answered::Write(w, a)) => {
            let write = &history.writes[w];
            if write.attempts[a].refused() {
                (Reason::Refusal, format!("the refusal of request {} {what}", write.id))
            } else {
                (Reason::Acceptance, format!("the acceptance of request {} {what}", write.id))
            }
        }
        None => (Reason::Acceptance, "no order of the requests exists".into()),
    };
    let sent = |answer: &Answered| match answer {
        Answered::Write(w, a) => history.writes[*w].attempts[*a].sent,
        Answered::Read(r) => history.reads[*r].sent,
    };
    let mut needed = needed;
    needed.sort_by_key(sent);
    let line = |answer: &Answered| match answer {
        Answered::Write(w, a) => write_line(&history.writes[*w], *a),
        Answered::Read(r) => read_line(&history.reads[*r]),
    };
    let mut lines: Vec<String> = needed.iter().map(line).collect();
    for answer in last.map(|last| context(history, last)).unwrap_or_default() {
        if !needed.contains(&answer) {
            lines.push(format!("beside it: {}", line(&answer)));
        }
    }
    Violation { reason, summary, lines }
}

/// Returns the acceptances that created, and that replaced, the versions that an answer names.
/// They are not part of the contradiction, but help to understand it.
fn context(history: &History, last: Answered) -> Vec<Answered> {
    let named: Vec<u64> = match last {
        Answered::Read(r) => vec![history.reads[r].revision],
        Answered::Write(w, a) => {
            let write = &history.writes[w];
            let version = match write.attempts[a].answer {
                Answer::Moved { version } => version,
                _ => None,
            };
            write.base.revision.into_iter().chain(version).collect()
        }
    };
    let near = |revision: u64| named.iter().any(|n| revision == *n || revision == n + 1);
    let writes = history.writes.iter().enumerate();
    writes
        .filter_map(|(w, write)| {
            let accepted = |a: &Attempt| matches!(a.answer, Answer::Accepted { .. });
            let attempt = write.attempts.iter().position(accepted)?;
            write.revision().filter(|r| near(*r)).map(|_| Answered::Write(w, attempt))
        })
        .collect()
}

fn seconds(time: u64) -> f64 {
    time as f64 / 1e6
}

/// Describes an attempt of a write.
pub fn write_line(write: &Write, attempt: usize) -> String {
    let Some(a) = write.attempts.get(attempt) else { return write.id.clone() };
    let answered = match (a.answered, a.answer) {
        (None, _) => "no answer".to_string(),
        (Some(at), answer) => format!("{:.6} s {}", seconds(at), answer_words(answer)),
    };
    format!(
        "{:.6} s request {}{} sent to {}; {answered}",
        seconds(a.sent),
        write.id,
        base_words(write.base),
        a.via,
    )
}

fn base_words(base: Base) -> String {
    let revision = base.revision.map(|r| format!(" on revision {r}"));
    let edition = base.edition.map(|e| format!(" on edition {e}"));
    [revision, edition].into_iter().flatten().collect()
}

fn answer_words(answer: Answer) -> String {
    match answer {
        Answer::Accepted { revision } => format!("accepted as revision {revision}"),
        Answer::Moved { version: Some(v) } => format!("refused, current version is {v}"),
        Answer::Moved { version: None } => "refused, another version is current".into(),
        Answer::Invalid => "refused as invalid".into(),
        Answer::Rejected => "rejected before execution".into(),
        Answer::Unknown => "unknown".into(),
    }
}

/// Describes a read.
pub fn read_line(read: &Read) -> String {
    let mut objects: Vec<String> =
        read.objects.iter().map(|(name, value)| format!("{name} = {value}")).collect();
    let more = objects.len().saturating_sub(OBJECTS_SHOWN);
    objects.drain(..more);
    let more = if more > 0 { format!("{more} more, ") } else { String::new() };
    format!(
        "{:.6} s read sent to {}; {:.6} s revision {} with {more}{}",
        seconds(read.sent),
        read.via,
        seconds(read.answered),
        read.revision,
        objects.join(", ")
    )
}
