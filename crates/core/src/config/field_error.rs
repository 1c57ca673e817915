//! What can be wrong with the JSON of a configuration.

use serde_json::Value;

/// Longest name of anything, in bytes: enough for the platforms' own names,
/// and short enough that names may travel with every heartbeat.
pub const MAX_NAME_BYTES: usize = 128;

/// What is wrong with a text of JSON or with one of its fields. The place
/// stands in the diagnostic that carries this.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The value is of another type than the field's.
    #[error("expected {expected}")]
    WrongType {
        /// What the field holds, in words.
        expected: &'static str,
        /// What stands there.
        found: Value,
    },
    /// A number is out of its range, or no whole number.
    #[error("expected a whole number from {low} to {high}")]
    OutOfRange {
        /// The lowest number that is accepted.
        low: u64,
        /// The highest number that is accepted.
        high: u64,
        /// What stands there.
        found: Value,
    },
    /// A word is none of those that the field knows.
    #[error("`{found}` is not one of {}", .known.join(", "))]
    UnknownValue {
        /// The word that stands there.
        found: String,
        /// The words that the field knows.
        known: Vec<&'static str>,
    },
    /// The object has no such field.
    #[error("unknown field; known are {}", .known.join(", "))]
    UnknownField {
        /// The fields that the object may have.
        known: Vec<&'static str>,
    },
    /// A field that must stand does not.
    #[error("missing")]
    Missing,
    /// A text has no characters.
    #[error("must not be empty")]
    Empty,
    /// A name is too long or has other characters than a name may have.
    #[error("a name has 1 to {} letters, digits, `-`, `_` or `.`", MAX_NAME_BYTES)]
    InvalidName {
        /// The name that stands there.
        found: String,
    },
    /// Two objects of one list have the same name.
    #[error("`{name}` stands twice")]
    DuplicateName {
        /// The name of both.
        name: String,
    },
    /// A host without a path, a path without a host, or a path without its slash.
    #[error("a host and a path that begins with a slash go together")]
    HostWithoutPath,
    /// A search whose calls are handed over has no host to find it by.
    #[error("a search that hands calls over is found by host and path")]
    HostMissing,
    /// Only calls that one leaf runs can be kept from running twice.
    #[error("only calls that are passed to one leaf can be kept from running twice")]
    OnceNotPassed,
}

impl FieldError {
    /// The value that stands there is not what the field holds.
    pub(super) fn wrong_type(expected: &'static str, found: &Value) -> Self {
        FieldError::WrongType { expected, found: found.clone() }
    }
}
