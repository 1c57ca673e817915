//! What a history consists of, and what the check says of it.

use std::collections::BTreeMap;
use std::fmt;

/// The contents of the register: objects by name.
pub type Objects = BTreeMap<String, String>;

/// A state of the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// Its revision.
    pub revision: u64,
    /// The version that requests name in their own text.
    pub edition: u64,
    /// Its contents.
    pub objects: Objects,
}

/// How revisions are numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Numbering {
    /// Each write that takes effect raises the revision by one, and nothing
    /// else does. The history holds every write.
    #[default]
    Consecutive,
    /// Revisions rise, and may rise without a write of the history.
    Rising,
}

/// All that operators did and heard. Times are microseconds of one clock.
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
    /// The revision that must stand, if one is named.
    pub revision: Option<u64>,
    /// The edition that must stand, if one is named.
    pub edition: Option<u64>,
}

/// What a write does to the register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effect {
    /// All other objects go, but those whose names begin with `keeps`.
    pub replaces: bool,
    /// The beginning of the names that a replacement keeps.
    pub keeps: Option<String>,
    /// Objects with their new values; `None` removes one.
    pub puts: BTreeMap<String, Option<String>>,
    /// The new edition, if it sets one.
    pub edition: Option<u64>,
}

/// One write: a request id with one text, however often it was sent.
#[derive(Clone, Debug)]
pub struct Write {
    /// The request id.
    pub id: String,
    /// Digest of the request's text.
    pub text: u64,
    /// What it builds on.
    pub base: Base,
    /// What it does.
    pub effect: Effect,
    /// Each time that it was sent.
    pub attempts: Vec<Attempt>,
}

/// A write sent once.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The machine that it was sent to.
    pub via: String,
    /// When it was sent (us).
    pub sent: u64,
    /// When it was answered; `None` with an unknown outcome.
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
    /// Another version than the base stands: a revision for a base revision,
    /// an edition for a base edition.
    Moved {
        /// The version that stands, if the answer names it.
        version: Option<u64>,
    },
    /// Found wrong as a whole; not applied.
    Invalid,
    /// Turned away before any work; not applied.
    Rejected,
    /// May or may not be applied.
    Unknown,
}

/// A read that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// The machine that it was sent to.
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

/// What came of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Some order of the writes explains every answer.
    Linearizable,
    /// No order does.
    Violated(Violation),
    /// The search was given up after so many states.
    Undecided {
        /// States that were searched.
        states: usize,
    },
}

/// Why a history fits no register.
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
    /// A request that had been accepted was sent again as it was and refused.
    RefusedAgain,
    /// Two reads saw different contents under one revision.
    TwoContents,
    /// A read fits no state that stood while it was under way.
    Read,
    /// A refusal fits no state that stood while the request was under way.
    Refusal,
    /// An acceptance fits no state that stood while the request was under way.
    Acceptance,
}

/// A violation with its explanation: the fewest answers that contradict each
/// other, in the order in which their requests were sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Why.
    pub reason: Reason,
    /// The reason in a sentence.
    pub summary: String,
    /// The answers that contradict each other.
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
    /// The revision under which it was accepted, if it was.
    pub fn revision(&self) -> Option<u64> {
        self.attempts.iter().find_map(|a| match a.answer {
            Answer::Accepted { revision } => Some(revision),
            _ => None,
        })
    }
}

impl Attempt {
    /// Whether the write may have taken effect by this attempt.
    pub fn may_apply(&self) -> bool {
        matches!(self.answer, Answer::Accepted { .. } | Answer::Unknown)
    }

    /// Whether it was refused by the state that stood.
    pub fn refused(&self) -> bool {
        matches!(self.answer, Answer::Moved { .. } | Answer::Invalid)
    }
}
