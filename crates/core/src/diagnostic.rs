//! Diagnostics: the problems of an input with their locations.
//!
//! A parser continues after a problem, so that an operator sees all problems of a configuration
//! at once.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// A problem of an input and its location.
#[derive(Clone, Debug)]
pub struct Diagnostic {
    /// A JSON path; for text in the routing language followed by `:line:column`.
    pub location: String,
    problem: Arc<dyn Error + Send + Sync>,
}

impl Diagnostic {
    /// Creates a diagnostic from an error of the parsing module, or from a text if another
    /// process reported the problem.
    pub fn new(
        location: impl Into<String>,
        problem: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        Diagnostic { location: location.into(), problem: Arc::from(problem.into()) }
    }

    /// Returns the description of the problem for operators.
    pub fn text(&self) -> String {
        self.problem.to_string()
    }

    /// Returns the error of the parsing module.
    pub fn problem(&self) -> &(dyn Error + Send + Sync + 'static) {
        &*self.problem
    }
}

impl PartialEq for Diagnostic {
    fn eq(&self, other: &Self) -> bool {
        self.location == other.location && self.text() == other.text()
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl Error for Diagnostic {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.problem)
    }
}

/// The diagnostics of one input, in the order of their detection.
#[derive(Default, Debug)]
pub struct Diagnostics {
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Creates an empty list.
    pub fn new() -> Self {
        Diagnostics::default()
    }

    /// Adds a problem.
    pub fn report(
        &mut self,
        location: impl Into<String>,
        problem: impl Into<Box<dyn Error + Send + Sync>>,
    ) {
        self.list.push(Diagnostic::new(location, problem));
    }

    /// Adds an existing diagnostic.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        self.list.push(diagnostic);
    }

    /// Returns the number of problems found so far.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether no problem was found so far.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value`, or all problems if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.list.is_empty() { Ok(value) } else { Err(self.list) }
    }
}

/// Adds a problem to a list of diagnostics.
pub fn push_diagnostic(
    all: &mut Vec<Diagnostic>,
    location: impl Into<String>,
    problem: impl Into<Box<dyn Error + Send + Sync>>,
) {
    all.push(Diagnostic::new(location, problem));
}

/// Formats diagnostics with one line for each, for logs and terminals.
pub fn lines(all: &[Diagnostic]) -> String {
    all.iter().map(Diagnostic::to_string).collect::<Vec<_>>().join("\n")
}
