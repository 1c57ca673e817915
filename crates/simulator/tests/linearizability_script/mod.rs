//! Builds histories request by request.
#![allow(dead_code)]

use std::collections::BTreeMap;

use grebepath_simulator::linearizability::{
    Answer, Base, Effect, History, Reason, Recorder, Verdict, check,
};

pub const ACCEPTED: fn(u64) -> Answer = |revision| Answer::Accepted { revision };
pub const MOVED: fn(u64) -> Answer = |version| Answer::Moved { version: Some(version) };

/// Builds a history request by request.
#[derive(Default)]
pub struct Script {
    pub recorder: Recorder,
}

impl Script {
    /// Adds a write of `value` to the object `x`, based on a revision.
    pub fn write(
        self,
        (sent, answered): (u64, u64),
        id: &str,
        base: Option<u64>,
        value: &str,
        answer: Answer,
    ) -> Self {
        let base = Base { revision: base, edition: None };
        let effect = Effect { puts: one("x", value), ..Effect::default() };
        self.any((sent, answered), id, base, effect, answer)
    }

    pub fn any(
        mut self,
        (sent, answered): (u64, u64),
        id: &str,
        base: Base,
        effect: Effect,
        answer: Answer,
    ) -> Self {
        let text = effect.puts.values().flatten().map(|v| v.len() as u64 * 7 + 1).sum::<u64>()
            + base.revision.unwrap_or(0) * 1_000;
        let number = self.recorder.send_write(sent, "m", (id, text), base, || effect);
        if answer != Answer::Unknown {
            self.recorder.answer_write(answered, number, answer);
        }
        self
    }

    pub fn read(mut self, (sent, answered): (u64, u64), revision: u64, value: &str) -> Self {
        let number = self.recorder.send_read(sent, "m");
        let objects = match value {
            "" => BTreeMap::new(),
            value => BTreeMap::from([("x".to_string(), value.to_string())]),
        };
        self.recorder.answer_read(answered, number, (revision, None), objects);
        self
    }

    pub fn history(&self) -> &History {
        self.recorder.history()
    }
}

pub fn one(name: &str, value: &str) -> BTreeMap<String, Option<String>> {
    BTreeMap::from([(name.to_string(), Some(value.to_string()))])
}

pub fn assert_linearizable(what: &str, script: Script) {
    assert_eq!(check(script.history()), Verdict::Linearizable, "{what}");
}

#[track_caller]
pub fn assert_violated(what: &str, reason: Reason, script: Script) {
    match check(script.history()) {
        Verdict::Violated(violation) => {
            assert_eq!(violation.reason, reason, "{what}: {violation}");
            assert!(!violation.lines.is_empty(), "{what}: {violation}");
            println!("{what}: {violation}");
        }
        other => panic!("{what}: {other:?}"),
    }
}

pub fn script() -> Script {
    Script::default()
}

pub fn puts(name: &str, value: &str) -> Effect {
    Effect { puts: one(name, value), ..Effect::default() }
}
