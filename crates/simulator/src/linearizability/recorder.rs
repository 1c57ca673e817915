//! Records a history during a run.

use std::collections::BTreeMap;

use super::history::{Answer, Attempt, Base, Effect, History, Objects, Read, Write};

/// Handle of an attempt to send a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber {
    write: usize,
    attempt: usize,
}

/// Handle of a read that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadNumber(usize);

/// A read without an answer.
#[derive(Clone, Debug)]
struct Pending {
    via: String,
    sent: u64,
}

/// Records requests and answers; attempts with the same id and text belong to one write.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    history: History,
    by_request: BTreeMap<(String, u64), usize>,
    reads: Vec<Pending>,
}

impl Recorder {
    /// Records an attempt to send a write.
    pub fn send_write(
        &mut self,
        now: u64,
        via: impl Into<String>,
        (id, text): (&str, u64),
        base: Base,
        effect: impl FnOnce() -> Effect,
    ) -> AttemptNumber {
        let writes = &mut self.history.writes;
        let write = *self.by_request.entry((id.to_string(), text)).or_insert_with(|| {
            let id = id.to_string();
            writes.push(Write { id, text, base, effect: effect(), attempts: Vec::new() });
            writes.len() - 1
        });
        let attempts = &mut writes[write].attempts;
        attempts.push(Attempt {
            via: via.into(),
            sent: now,
            answered: None,
            answer: Answer::Unknown,
        });
        AttemptNumber { write, attempt: attempts.len() - 1 }
    }

    /// Records the answer of an attempt; only its first answer counts.
    pub fn answer_write(&mut self, now: u64, number: AttemptNumber, answer: Answer) {
        let attempt = &mut self.history.writes[number.write].attempts[number.attempt];
        if attempt.answered.is_none() {
            attempt.answered = Some(now);
            attempt.answer = answer;
        }
    }

    /// Records that a read was sent.
    pub fn send_read(&mut self, now: u64, via: impl Into<String>) -> ReadNumber {
        self.reads.push(Pending { via: via.into(), sent: now });
        ReadNumber(self.reads.len() - 1)
    }

    /// Records the state that a read returned.
    pub fn answer_read(
        &mut self,
        now: u64,
        number: ReadNumber,
        (revision, edition): (u64, Option<u64>),
        objects: Objects,
    ) {
        let Pending { via, sent } = self.reads[number.0].clone();
        self.history.reads.push(Read { via, sent, answered: now, revision, edition, objects });
    }

    /// Returns the history recorded so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the history recorded so far, to adjust its start state or numbering.
    pub fn history_mut(&mut self) -> &mut History {
        &mut self.history
    }
}
