//! Findings: what is wrong with an input, each with its place, all together.

use std::fmt;

/// One thing that is wrong. `place` is a JSON path, for text in the small
/// language followed by `:line:column`.
#[derive(Clone, PartialEq, Debug)]
pub struct Diagnostic {
    pub place: String,
    pub text: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Notes one more finding.
pub fn find(all: &mut Vec<Diagnostic>, place: impl Into<String>, text: impl Into<String>) {
    all.push(Diagnostic { place: place.into(), text: text.into() });
}

/// All findings as lines, for logs and for terminals.
pub fn lines(all: &[Diagnostic]) -> String {
    all.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n")
}
