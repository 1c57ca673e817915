//! The data model of a history, and the result of checking it.

use std::collections::BTreeMap;
use std::fmt;

/// The contents of the register: objects by name.
pub type Objects = BTreeMap<String, String>;

/// A state of the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// Its revision.
    pub revision: u64,
    /// The version that clients set in the request text.
    pub edition: u64,
    /// Objects by name.
    pub objects: Objects,
}

/// How revisions are numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Numbering {
    /// Each write that takes effect raises the revision by one, and nothing else raises it. The
    /// history contains every write.
    #[default]
    Consecutive,
    /// Revisions increase, possibly without a write in the history.
    Rising,
}

/// All requests of operators and their answers. Times are microseconds of one clock.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The state before the first write.
    pub start: Register,
    /// How its revisions are numbered.
    pub numbering: Numbering,
    /// All writes.
    pub writes: Vec<Write>,
    /// All reads that were answered.
    pub reads: Vec<Read>,
}

/// The version that a write builds on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Base {
    /// The revision that must be current, if the write names one.
    pub revision: Option<u64>,
    /// The edition that must be current, if the write names one.
    pub edition: Option<u64>,
}

/// What a write does to the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effect {
    /// Whether all other objects are removed, except those whose names begin with `keeps`.
    pub replaces: bool,
    /// Name prefix of the objects that a replacement keeps.
    pub keeps: Option<String>,
    /// Objects with their new values; `None` removes one.
    pub puts: BTreeMap<String, Option<String>>,
    /// The new edition, if it sets one.
    pub edition: Option<u64>,
}

/// A write: a request id with one text, with all its attempts.
#[derive(Clone, Debug)]
pub struct Write {
    /// The request id.
    pub id: String,
    /// Digest of the request's text.
    pub text: u64,
    /// The version that it builds on.
    pub base: Base,
    /// Its effect on the register.
    pub effect: Effect,
    /// Every attempt to send it.
    pub attempts: Vec<Attempt>,
}

/// One attempt to send a write.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Machine that it was sent to.
    pub via: String,
    /// When it was sent (us).
    pub sent: u64,
    /// When it was answered (us); `None` if the outcome is unknown.
    pub answered: Option<u64>,
    /// The answer.
    pub answer: Answer,
}

/// How an attempt was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It took effect.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// The base is not the current version: a revision for a base revision, an edition for a base
    /// edition.
    Moved {
        /// The current version, if the answer names it.
        version: Option<u64>,
    },
    /// Failed validation; not applied.
    Invalid,
    /// Rejected before execution; not applied.
    Rejected,
    /// The outcome is unknown: it may or may not be applied.
    Unknown,
}

/// A read that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// Machine that it was sent to.
    pub via: String,
    /// When it was sent (us).
    pub sent: u64,
    /// When it was answered (us).
    pub answered: u64,
    /// The revision that was read.
    pub revision: u64,
    /// The edition that was read, if there was one.
    pub edition: Option<u64>,
    /// The contents that were read.
    pub objects: Objects,
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Some order of the writes explains every answer.
    Linearizable,
    /// No order does.
    Violated(Violation),
    /// The search reached its limit of states.
    Undecided {
        /// Number of states that were searched.
        states: usize,
    },
}

/// Why a history is not linearizable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// One request was accepted under two revisions.
    AcceptedTwice,
    /// Two requests were accepted under one revision.
    SharedRevision,
    /// Two texts were accepted under one request id.
    SharedId,
    /// Two requests were accepted on one base revision.
    SharedBase,
    /// A request was accepted under a revision that is not above its base.
    NotAboveBase,
    /// A request that had been accepted was resent unchanged and refused.
    RefusedAgain,
    /// Two reads saw different contents under one revision.
    TwoContents,
    /// A read matches no state that was current while it was in flight.
    Read,
    /// A refusal matches no state that was current while the request was in flight.
    Refusal,
    /// An acceptance matches no state that was current while the request was in flight.
    Acceptance,
}

/// A violation with its explanation: a minimal set of contradicting answers, in the order in which
/// their requests were sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The kind of violation.
    pub reason: Reason,
    /// One-sentence summary.
    pub summary: String,
    /// Descriptions of the contradicting answers.
    pub lines: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.summary)?;
        for line in &self.lines {
            write!(f, "\n    {line}")?;
        }
        Ok(())
    }
}

impl Write {
    /// Returns the revision under which it was accepted, if it was.
    pub fn revision(&self) -> Option<u64> {
        self.attempts.iter().find_map(|a| match a.answer {
            Answer::Accepted { revision } => Some(revision),
            _ => None,
        })
    }
}

impl Attempt {
    /// Returns whether this attempt may have applied the write.
    pub fn may_apply(&self) -> bool {
        matches!(self.answer, Answer::Accepted { .. } | Answer::Unknown)
    }

    /// Returns whether it was refused because of the current state.
    pub fn refused(&self) -> bool {
        matches!(self.answer, Answer::Moved { .. } | Answer::Invalid)
    }
}
