//! Linearizability check of operator histories.
//!
//! A history is plain data: every request that operators sent, when it was
//! sent and when and how it was answered. The check searches for one total
//! order in which a compare-and-set register would have given just these
//! answers, each between the sending of its request and its answer. The
//! register is versioned: each write that takes effect raises its revision.
//!
//! - An accepted write takes effect once, between its first sending and its
//!   first acceptance, and every acceptance of it names the same revision.
//! - A write without a known outcome takes effect at any time after it was
//!   sent, also after its operator gave up, or never.
//! - A write that was refused or rejected does not take effect by that attempt.
//!   A refusal that names a version needs that version to have stood, and to
//!   differ from the base, at a moment between sending and answer, and the
//!   request not to have taken effect before.
//! - A read returns the content of a revision that stood at a moment between
//!   sending and answer.
//!
//! The module shares no code and no constants with what it checks.

mod compile;
mod direct;
mod explain;
mod history;
mod recorder;
mod search;

pub use history::{
    Answer, Attempt, Base, Effect, History, Numbering, Read, Reason, Register, Verdict, Violation,
    Write,
};
pub use recorder::{AttemptNumber, ReadNumber, Recorder};

/// States that a search visits at most before it gives up undecided.
pub const SEARCH_LIMIT: usize = 2_000_000;

/// Checks a history.
pub fn check(history: &History) -> Verdict {
    check_within(history, SEARCH_LIMIT)
}

/// Checks a history, visiting at most so many states.
pub fn check_within(history: &History, limit: usize) -> Verdict {
    if let Some(violation) = direct::violation(history) {
        return Verdict::Violated(violation);
    }
    match search::run(&compile::compile(history, &compile::Weakened::default()), limit) {
        search::Outcome::Found => Verdict::Linearizable,
        search::Outcome::OutOfStates => Verdict::Undecided { states: limit },
        search::Outcome::Impossible => Verdict::Violated(explain::explain(history, limit)),
    }
}
