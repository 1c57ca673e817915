//! What is wrong with an input: every problem with its place, all together.
//!
//! A reader of a configuration goes on after a problem, so that an operator
//! sees all of them at once.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// One problem of an input and its place.
#[derive(Clone, Debug)]
pub struct Diagnostic {
    /// A JSON path, for text in the routing language followed by `:line:column`.
    pub location: String,
    problem: Arc<dyn Error + Send + Sync>,
}

impl Diagnostic {
    /// A problem at a place: an error of the module that reads the input, or a
    /// text where another process reported it.
    pub fn new(
        location: impl Into<String>,
        problem: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        Diagnostic { location: location.into(), problem: Arc::from(problem.into()) }
    }

    /// What is wrong, as operators read it.
    pub fn text(&self) -> String {
        self.problem.to_string()
    }

    /// What is wrong, as the error that the reader gave.
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

/// The diagnostics of one input, in the order in which they were found.
#[derive(Default, Debug)]
pub struct Diagnostics {
    list: Vec<Diagnostic>,
}

impl Diagnostics {
    /// No diagnostics yet.
    pub fn new() -> Self {
        Diagnostics::default()
    }

    /// Notes one more problem.
    pub fn report(
        &mut self,
        location: impl Into<String>,
        problem: impl Into<Box<dyn Error + Send + Sync>>,
    ) {
        self.list.push(Diagnostic::new(location, problem));
    }

    /// Notes a diagnostic that was made elsewhere.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        self.list.push(diagnostic);
    }

    /// How many problems were found so far.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no problem was found so far.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// What was read, or all problems if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.list.is_empty() { Ok(value) } else { Err(self.list) }
    }
}

/// Notes one more problem in a plain list.
pub fn find(
    all: &mut Vec<Diagnostic>,
    location: impl Into<String>,
    problem: impl Into<Box<dyn Error + Send + Sync>>,
) {
    all.push(Diagnostic::new(location, problem));
}

/// All diagnostics as lines, for logs and for terminals.
pub fn lines(all: &[Diagnostic]) -> String {
    all.iter().map(Diagnostic::to_string).collect::<Vec<_>>().join("\n")
}
