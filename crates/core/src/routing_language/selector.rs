//! Selectors over labels: their compiled form and how it is matched.

use std::collections::BTreeMap;

/// Labels of a pool or a leaf.
pub type Labels = BTreeMap<String, String>;

/// A compiled selector. A label that is absent equals no text at all: it
/// fails `=` and `in`, and passes `!=`.
#[derive(Clone, PartialEq, Debug)]
pub enum Selector {
    All,
    Is(String, String),
    Not(Box<Selector>),
    In(String, Vec<String>),
    And(Vec<Selector>),
    Or(Vec<Selector>),
}

/// Whether `labels` are chosen.
pub fn fits(sel: &Selector, labels: &Labels) -> bool {
    match sel {
        Selector::All => true,
        Selector::Is(key, val) => labels.get(key) == Some(val),
        Selector::Not(sub) => !fits(sub, labels),
        Selector::In(key, vals) => labels.get(key).is_some_and(|v| vals.contains(v)),
        Selector::And(subs) => subs.iter().all(|s| fits(s, labels)),
        Selector::Or(subs) => subs.iter().any(|s| fits(s, labels)),
    }
}
