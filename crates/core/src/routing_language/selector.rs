//! Compiled label selectors and their evaluation.

use std::collections::BTreeMap;

/// Labels of a pool or a leaf.
pub type Labels = BTreeMap<String, String>;

/// A compiled selector. A missing label equals no text: it fails `=` and `in`, and passes `!=`.
#[derive(Clone, PartialEq, Debug)]
pub enum Selector {
    /// Matches everything.
    All,
    /// The label has this value.
    Equals(String, String),
    /// The inner selector does not match.
    Not(Box<Selector>),
    /// The label has one of these values.
    In(String, Vec<String>),
    /// All of these match.
    And(Vec<Selector>),
    /// At least one of these matches.
    Or(Vec<Selector>),
}

impl Selector {
    /// Returns whether the selector matches these labels.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Selector::All => true,
            Selector::Equals(label, value) => labels.get(label) == Some(value),
            Selector::Not(inner) => !inner.matches(labels),
            Selector::In(label, values) => {
                labels.get(label).is_some_and(|value| values.contains(value))
            }
            Selector::And(parts) => parts.iter().all(|part| part.matches(labels)),
            Selector::Or(parts) => parts.iter().any(|part| part.matches(labels)),
        }
    }
}
