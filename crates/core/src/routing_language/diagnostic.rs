//! Findings: what is wrong with an input, each with its place, all together.

use std::fmt;

/// One thing that is wrong. `place` is a JSON path, for text in the small
/// language followed by `:line:column`.
#[derive(Clone, PartialEq, Debug)]
pub struct Finding {
    pub place: String,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Notes one more finding.
pub fn find(all: &mut Vec<Finding>, place: impl Into<String>, text: impl Into<String>) {
    all.push(Finding { place: place.into(), text: text.into() });
}

/// All findings as lines, for logs and for terminals.
pub fn lines(all: &[Finding]) -> String {
    all.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n")
}
