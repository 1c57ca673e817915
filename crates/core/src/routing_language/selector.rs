//! Selectors over labels: their compiled form and how they match.

use std::collections::BTreeMap;

/// Labels of a pool or a leaf.
pub type Labels = BTreeMap<String, String>;

/// A compiled selector. A label that is absent equals no text at all: it
/// fails `=` and `in`, and passes `!=`.
#[derive(Clone, PartialEq, Debug)]
pub enum Selector {
    /// Chooses everything.
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
    /// Whether something with these labels is chosen.
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
