//! Compiles a history for the search: names become numbers, and operations are sorted by time.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::history::{Answer, Base, History, Numbering, Objects, Write};

/// Index of an interned object name.
pub type Key = usize;
/// Index of an interned value.
pub type Value = u32;

/// Constraints that are dropped, to find the minimal set that still contradicts.
#[derive(Clone, Debug, Default)]
pub struct Weakened {
    /// Reads that are ignored.
    pub reads: BTreeSet<usize>,
    /// Refusals that are ignored, as (write, attempt).
    pub refusals: BTreeSet<(usize, usize)>,
    /// Accepted writes that may take effect at any time, but still in revision order.
    pub writes: BTreeSet<usize>,
}

/// A write that may take effect.
#[derive(Debug)]
pub struct EffectOp {
    pub earliest: u64,
    pub latest: u64,
    /// Revision of an accepted write, which must take effect; `None` if the outcome is unknown.
    pub revision: Option<u64>,
    pub base: Base,
    pub replaces: bool,
    pub puts: Vec<(Key, Option<Value>)>,
    /// With `replaces`: whether each object is retained.
    pub retained: Vec<bool>,
    pub edition: Option<u64>,
    /// Observations that must be placed before this write takes effect.
    pub before: Vec<usize>,
}

/// An answer that constrains the state without changing it.
#[derive(Debug)]
pub struct Observation {
    pub sent: u64,
    pub answered: u64,
    pub what: Observed,
}

/// The constraint that an observation puts on the state.
#[derive(Debug)]
pub enum Observed {
    Read { revision: u64, edition: Option<u64>, contents: u64, objects: Vec<(Key, Value)> },
    Refusal { effect: Option<usize>, base: Base, version: Option<u64> },
    Invalid { effect: usize },
}

/// A history in the form that the search uses.
#[derive(Debug)]
pub struct Compiled {
    pub consecutive: bool,
    pub revision: u64,
    pub edition: u64,
    pub contents: Vec<Option<Value>>,
    pub effects: Vec<EffectOp>,
    /// Effects with a known revision, in revision order.
    pub known: Vec<usize>,
    /// Entry `n` is the minimum `latest` of `known[n..]`.
    pub known_latest: Vec<u64>,
    /// Effects whose outcome is unknown.
    pub unknown: Vec<usize>,
    /// Sorted by send time.
    pub observations: Vec<Observation>,
    /// Indices of the observations, sorted by answer time.
    pub by_answer: Vec<usize>,
}

/// Interns object names and values.
#[derive(Default)]
struct Names {
    keys: BTreeMap<String, Key>,
    values: BTreeMap<String, Value>,
}

impl Names {
    fn key(&mut self, name: &str) -> Key {
        let next = self.keys.len();
        *self.keys.entry(name.to_string()).or_insert(next)
    }

    fn value(&mut self, text: &str) -> Value {
        let next = self.values.len() as Value;
        *self.values.entry(text.to_string()).or_insert(next)
    }

    fn objects(&mut self, objects: &Objects) -> Vec<(Key, Value)> {
        objects.iter().map(|(name, value)| (self.key(name), self.value(value))).collect()
    }
}

/// Returns the hash of one object; the hash of the contents is the XOR of these.
pub fn object_hash(key: Key, value: Value) -> u64 {
    number_hash(&(0u8, key, value))
}

/// Returns the hash of a tuple of numbers.
pub fn number_hash(numbers: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    numbers.hash(&mut hasher);
    hasher.finish()
}

/// Compiles a history, without the constraints in `weakened`.
pub fn compile(history: &History, weakened: &Weakened) -> Compiled {
    let mut names = Names::default();
    let start = names.objects(&history.start.objects);
    let mut effects = Vec::new();
    let mut effect_of: BTreeMap<usize, usize> = BTreeMap::new();
    for (number, write) in history.writes.iter().enumerate() {
        if let Some(op) = effect(write, weakened.writes.contains(&number), &mut names) {
            effect_of.insert(number, effects.len());
            effects.push(op);
        }
    }
    let mut observations = refusals(history, weakened, &effect_of);
    for (number, read) in history.reads.iter().enumerate() {
        if weakened.reads.contains(&number) {
            continue;
        }
        let objects = names.objects(&read.objects);
        let contents = objects.iter().fold(0, |hash, (k, v)| hash ^ object_hash(*k, *v));
        let (revision, edition) = (read.revision, read.edition);
        let what = Observed::Read { revision, edition, contents, objects };
        observations.push(Observation { sent: read.sent, answered: read.answered, what });
    }
    observations.sort_by_key(|o| o.sent);
    for (number, observation) in observations.iter().enumerate() {
        if let Observed::Refusal { effect: Some(effect), .. } | Observed::Invalid { effect } =
            observation.what
        {
            effects[effect].before.push(number);
        }
    }
    let mut contents = vec![None; names.keys.len()];
    for (key, value) in start {
        contents[key] = Some(value);
    }
    retained(history, &effect_of, &names, &mut effects);
    let mut known: Vec<usize> =
        (0..effects.len()).filter(|e| effects[*e].revision.is_some()).collect();
    known.sort_by_key(|e| effects[*e].revision);
    let mut known_latest = vec![u64::MAX; known.len() + 1];
    for n in (0..known.len()).rev() {
        known_latest[n] = known_latest[n + 1].min(effects[known[n]].latest);
    }
    let unknown = (0..effects.len()).filter(|e| effects[*e].revision.is_none()).collect();
    let mut by_answer: Vec<usize> = (0..observations.len()).collect();
    by_answer.sort_by_key(|o| observations[*o].answered);
    Compiled {
        consecutive: history.numbering == Numbering::Consecutive,
        revision: history.start.revision,
        edition: history.start.edition,
        contents,
        effects,
        known,
        known_latest,
        unknown,
        observations,
        by_answer,
    }
}

/// Returns the effect of a write, if one of its attempts may have applied it.
fn effect(write: &Write, free: bool, names: &mut Names) -> Option<EffectOp> {
    let applying = || write.attempts.iter().filter(|a| a.may_apply());
    let earliest = applying().map(|a| a.sent).min()?;
    let accepted = |a: &&super::Attempt| matches!(a.answer, Answer::Accepted { .. });
    let latest = applying().filter(accepted).filter_map(|a| a.answered).min();
    let puts = &write.effect.puts;
    Some(EffectOp {
        earliest: if free { 0 } else { earliest },
        latest: latest.filter(|_| !free).unwrap_or(u64::MAX),
        revision: write.revision(),
        base: write.base,
        replaces: write.effect.replaces,
        puts: puts
            .iter()
            .map(|(name, value)| (names.key(name), value.as_ref().map(|v| names.value(v))))
            .collect(),
        retained: Vec::new(),
        edition: write.effect.edition,
        before: Vec::new(),
    })
}

/// Records which objects each replacing effect retains.
fn retained(
    history: &History,
    effect_of: &BTreeMap<usize, usize>,
    names: &Names,
    effects: &mut [EffectOp],
) {
    for (write, effect) in effect_of {
        let Some(prefix) = &history.writes[*write].effect.keeps else { continue };
        let mut retained = vec![false; names.keys.len()];
        for (name, key) in &names.keys {
            retained[*key] = name.starts_with(prefix);
        }
        effects[*effect].retained = retained;
    }
}

/// Returns the refusals of a history as observations.
fn refusals(
    history: &History,
    weakened: &Weakened,
    effect_of: &BTreeMap<usize, usize>,
) -> Vec<Observation> {
    let mut out = Vec::new();
    for (number, write) in history.writes.iter().enumerate() {
        let effect = effect_of.get(&number).copied();
        for (attempt, a) in write.attempts.iter().enumerate() {
            let Some(answered) = a.answered else { continue };
            if weakened.refusals.contains(&(number, attempt)) {
                continue;
            }
            let what = match (a.answer, effect) {
                (Answer::Moved { version }, effect) => {
                    Observed::Refusal { effect, base: write.base, version }
                }
                (Answer::Invalid, Some(effect)) => Observed::Invalid { effect },
                _ => continue,
            };
            out.push(Observation { sent: a.sent, answered, what });
        }
    }
    out
}
