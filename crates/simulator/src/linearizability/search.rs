//! Searches for a total order with the algorithm of Wing and Gong and Lowe's cache of visited
//! states.
//!
//! Revisions prune the search: accepted writes take effect in revision order, and an observation
//! that fits the current state is placed at once, which is never worse than placing it later. The
//! search therefore branches only over writes with an unknown outcome, and only where a revision is
//! free for them.

use std::collections::HashSet;

use super::compile::{Compiled, EffectOp, Key, Observed, Value, number_hash, object_hash};
use super::history::Base;

/// How a search ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Found,
    Impossible,
    OutOfStates,
}

/// A step that extends the order.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A write takes effect.
    Effect(usize),
    /// The revision increases without a write in the history.
    Raise(u64),
}

/// The data needed to revert a step.
struct Undo {
    step: Step,
    revision: u64,
    edition: u64,
    changed: Vec<(Key, Option<Value>)>,
}

/// A node of the search tree, with the steps that may follow it.
struct Frame {
    undo: Option<Undo>,
    placed: Vec<usize>,
    first_by_answer: usize,
    first_by_sent: usize,
    steps: Vec<Step>,
    next: usize,
}

struct Search<'a> {
    compiled: &'a Compiled,
    revision: u64,
    edition: u64,
    contents: Vec<Option<Value>>,
    contents_hash: u64,
    /// Whether each observation is placed; `effected` is the same for effects.
    placed: Vec<bool>,
    effected: Vec<bool>,
    placed_hash: u64,
    next_known: usize,
    first_by_answer: usize,
    first_by_sent: usize,
    left: usize,
}

/// Searches for an order, visiting at most `limit` states.
pub fn run(compiled: &Compiled, limit: usize) -> Outcome {
    let objects = compiled.contents.iter().enumerate();
    let mut search = Search {
        compiled,
        revision: compiled.revision,
        edition: compiled.edition,
        contents: compiled.contents.clone(),
        contents_hash: objects
            .filter_map(|(key, value)| Some(object_hash(key, (*value)?)))
            .fold(0, |hash, one| hash ^ one),
        placed: vec![false; compiled.observations.len()],
        effected: vec![false; compiled.effects.len()],
        placed_hash: 0,
        next_known: 0,
        first_by_answer: 0,
        first_by_sent: 0,
        left: compiled.observations.len(),
    };
    let mut seen = HashSet::new();
    let mut stack = vec![search.enter(None)];
    while let Some(frame) = stack.last_mut() {
        if search.done() {
            return Outcome::Found;
        }
        let Some(step) = frame.steps.get(frame.next).copied() else {
            let frame = stack.pop();
            frame.into_iter().for_each(|frame| search.leave(frame));
            continue;
        };
        frame.next += 1;
        let undo = search.apply(step);
        let frame = search.enter(Some(undo));
        if seen.len() >= limit {
            return Outcome::OutOfStates;
        }
        if seen.insert(search.key()) {
            stack.push(frame);
        } else {
            search.leave(frame);
        }
    }
    Outcome::Impossible
}

impl Search<'_> {
    fn done(&self) -> bool {
        self.left == 0 && self.next_known == self.compiled.known.len()
    }

    /// Returns the key of this state in the cache of visited states.
    fn key(&self) -> (u64, u64) {
        let state = number_hash(&(self.revision, self.edition, self.contents_hash));
        (self.placed_hash, state)
    }

    /// Returns the earliest deadline of the observations and effects that are not placed yet.
    fn horizon(&self) -> u64 {
        let answered = self.compiled.by_answer.get(self.first_by_answer);
        let answered = answered.map_or(u64::MAX, |o| self.compiled.observations[*o].answered);
        answered.min(self.compiled.known_latest[self.next_known])
    }

    /// Places all observations that fit the current state, and lists the steps that may follow.
    fn enter(&mut self, undo: Option<Undo>) -> Frame {
        let (first_by_answer, first_by_sent) = (self.first_by_answer, self.first_by_sent);
        let mut placed = Vec::new();
        loop {
            let before = placed.len();
            let horizon = self.horizon();
            let mut at = self.first_by_sent;
            while let Some(o) = self.compiled.observations.get(at).filter(|o| o.sent <= horizon) {
                if !self.placed[at] && self.fits(&o.what) {
                    self.place(at, true);
                    placed.push(at);
                }
                at += 1;
            }
            self.skip_placed();
            if placed.len() == before {
                break;
            }
        }
        let steps = self.steps();
        Frame { undo, placed, first_by_answer, first_by_sent, steps, next: 0 }
    }

    /// Reverts `enter` and the step before it.
    fn leave(&mut self, frame: Frame) {
        for observation in frame.placed {
            self.place(observation, false);
        }
        (self.first_by_answer, self.first_by_sent) = (frame.first_by_answer, frame.first_by_sent);
        if let Some(undo) = frame.undo {
            self.revert(undo);
        }
    }

    fn place(&mut self, observation: usize, on: bool) {
        self.placed[observation] = on;
        self.placed_hash ^= number_hash(&(1u8, observation));
        self.left = if on { self.left - 1 } else { self.left + 1 };
    }

    fn skip_placed(&mut self) {
        let by_answer = &self.compiled.by_answer;
        while by_answer.get(self.first_by_answer).is_some_and(|o| self.placed[*o]) {
            self.first_by_answer += 1;
        }
        while self.placed.get(self.first_by_sent).is_some_and(|placed| *placed) {
            self.first_by_sent += 1;
        }
    }

    /// Returns whether an observation is possible in the current state.
    fn fits(&self, what: &Observed) -> bool {
        match what {
            Observed::Read { revision, edition, contents, .. } => {
                *revision == self.revision
                    && edition.is_none_or(|e| e == self.edition)
                    && *contents == self.contents_hash
            }
            Observed::Refusal { effect, base, version } => {
                let version_matches = |current: u64| version.is_none_or(|v| v == current);
                let other = |base: Option<u64>, current: u64| {
                    base.is_some_and(|b| b != current) && version_matches(current)
                };
                effect.is_none_or(|e| !self.effected[e])
                    && (other(base.revision, self.revision) || other(base.edition, self.edition))
            }
            Observed::Invalid { effect } => !self.effected[*effect],
        }
    }

    /// Returns the steps that may follow, the most likely first.
    fn steps(&self) -> Vec<Step> {
        let horizon = self.horizon();
        let known = self.compiled.known.get(self.next_known).copied();
        let next = known.and_then(|e| self.compiled.effects[e].revision).unwrap_or(u64::MAX);
        let mut steps = Vec::new();
        let consecutive = self.compiled.consecutive;
        if let Some(e) = known
            && (next == self.revision + 1 || (!consecutive && next > self.revision))
            && self.may_take_effect(e, horizon)
        {
            steps.push(Step::Effect(e));
        }
        if next <= self.revision + 1 {
            return steps;
        }
        let unknown = self.compiled.unknown.iter().copied();
        let mut list: Vec<usize> =
            unknown.filter(|e| !self.effected[*e] && self.may_take_effect(*e, horizon)).collect();
        let wanted = self.next_read();
        list.sort_by_key(|e| !wanted.is_some_and(|w| agrees(&self.compiled.effects[*e], w)));
        steps.extend(list.into_iter().map(Step::Effect));
        if !consecutive {
            steps.extend(self.raises(next, horizon).into_iter().map(Step::Raise));
        }
        steps
    }

    /// Returns whether a write may take effect in the current state.
    fn may_take_effect(&self, number: usize, horizon: u64) -> bool {
        let effect = &self.compiled.effects[number];
        let Base { revision, edition } = effect.base;
        effect.earliest <= horizon
            && revision.is_none_or(|r| r == self.revision)
            && edition.is_none_or(|e| e == self.edition)
            && effect.before.iter().all(|o| self.placed[*o])
    }

    /// Returns the contents of the in-flight, unplaced read with the lowest revision.
    fn next_read(&self) -> Option<&[(Key, Value)]> {
        let horizon = self.horizon();
        let open = self.compiled.observations[self.first_by_sent..].iter();
        open.take_while(|o| o.sent <= horizon)
            .filter_map(|o| match &o.what {
                Observed::Read { revision, objects, .. } if *revision > self.revision => {
                    Some((*revision, objects.as_slice()))
                }
                _ => None,
            })
            .min_by_key(|(revision, _)| *revision)
            .map(|(_, objects)| objects)
    }

    /// Returns the revisions below `next` that an in-flight answer or the base of a following write
    /// names.
    fn raises(&self, next: u64, horizon: u64) -> Vec<u64> {
        let open = self.compiled.observations[self.first_by_sent..].iter();
        let named = open.take_while(|o| o.sent <= horizon).filter_map(|o| match &o.what {
            Observed::Read { revision, .. } => Some(*revision),
            Observed::Refusal { version, .. } => *version,
            Observed::Invalid { .. } => None,
        });
        let known = self.compiled.known.get(self.next_known);
        let bases = self.compiled.unknown.iter().chain(known);
        let bases = bases.filter_map(|e| self.compiled.effects[*e].base.revision);
        let mut list: Vec<u64> =
            named.chain(bases).filter(|r| *r > self.revision && *r < next).collect();
        list.sort_unstable();
        list.dedup();
        list
    }

    fn apply(&mut self, step: Step) -> Undo {
        let (revision, edition) = (self.revision, self.edition);
        let mut changed = Vec::new();
        match step {
            Step::Raise(to) => self.revision = to,
            Step::Effect(number) => {
                let compiled = self.compiled;
                let effect = &compiled.effects[number];
                self.mark(number, true);
                self.next_known += usize::from(effect.revision.is_some());
                self.revision = effect.revision.unwrap_or(self.revision + 1);
                self.edition = effect.edition.unwrap_or(self.edition);
                if effect.replaces {
                    let removed =
                        |k: &Key| !effect.retained.get(*k).is_some_and(|retained| *retained);
                    for key in (0..self.contents.len()).filter(removed) {
                        self.put(key, None, &mut changed);
                    }
                }
                for (key, value) in &effect.puts {
                    self.put(*key, *value, &mut changed);
                }
            }
        }
        Undo { step, revision, edition, changed }
    }

    fn revert(&mut self, undo: Undo) {
        for (key, value) in undo.changed.into_iter().rev() {
            self.put(key, value, &mut Vec::new());
        }
        (self.revision, self.edition) = (undo.revision, undo.edition);
        if let Step::Effect(number) = undo.step {
            self.mark(number, false);
            let known = self.compiled.effects[number].revision.is_some();
            self.next_known -= usize::from(known);
        }
    }

    fn mark(&mut self, effect: usize, on: bool) {
        self.effected[effect] = on;
        self.placed_hash ^= number_hash(&(2u8, effect));
    }

    fn put(&mut self, key: Key, value: Option<Value>, changed: &mut Vec<(Key, Option<Value>)>) {
        let old = std::mem::replace(&mut self.contents[key], value);
        if old != value {
            self.contents_hash ^= old.map_or(0, |v| object_hash(key, v));
            self.contents_hash ^= value.map_or(0, |v| object_hash(key, v));
            changed.push((key, old));
        }
    }
}

/// Returns whether the contents include everything that a write sets.
fn agrees(effect: &EffectOp, contents: &[(Key, Value)]) -> bool {
    effect.puts.iter().all(|(key, value)| {
        let found = contents.iter().find(|(k, _)| k == key).map(|(_, v)| *v);
        found == *value
    })
}
