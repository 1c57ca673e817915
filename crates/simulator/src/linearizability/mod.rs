//! Linearizability check of operator histories.
//!
//! A history is plain data: every request that operators sent, when it was sent, and when and how
//! it was answered. The check searches for a total order in which a compare-and-set register would
//! have given exactly these answers, each between the request and its answer. The register is
//! versioned: each write that takes effect raises its revision.
//!
//! - An accepted write takes effect once, between its first attempt and its first acceptance, and
//!   every acceptance of it names the same revision.
//! - A write with an unknown outcome takes effect at any time after it was sent, even after the
//!   operator's timeout, or never.
//! - A write that was refused or rejected does not take effect by that attempt.
//!   A refusal that names a version requires that, at some moment between request and answer, this
//!   version was current and differed from the base, and that the request had not taken effect.
//! - A read returns the contents of a revision that was current at some moment between request and
//!   answer.
//!
//! The module shares no code and no constants with the code under test.

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

/// Maximum number of states that a search visits before it ends undecided.
pub const SEARCH_LIMIT: usize = 2_000_000;

/// Checks a history.
pub fn check(history: &History) -> Verdict {
    check_within(history, SEARCH_LIMIT)
}

/// Checks a history, visiting at most `limit` states.
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
