//! Errors in the JSON form of a configuration.

use serde_json::Value;

/// Maximum length of a name (bytes): enough for the platforms' own names, and short enough to
/// send names with every heartbeat.
pub const MAX_NAME_BYTES: usize = 128;

/// An error in a JSON document or in one of its fields. The diagnostic that carries the error
/// has its location.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The value has the wrong type for the field.
    #[error("expected {expected}")]
    WrongType {
        /// Description of the expected value.
        expected: &'static str,
        /// The value found.
        found: Value,
    },
    /// A number is out of range or not an integer.
    #[error("expected a whole number from {low} to {high}")]
    OutOfRange {
        /// The lowest accepted number.
        low: u64,
        /// The highest accepted number.
        high: u64,
        /// The value found.
        found: Value,
    },
    /// The text is not one of the field's possible values.
    #[error("`{found}` is not one of {}", .known.join(", "))]
    UnknownValue {
        /// The text found.
        found: String,
        /// The possible values of the field.
        known: Vec<&'static str>,
    },
    /// The object has no such field.
    #[error("unknown field; known are {}", .known.join(", "))]
    UnknownField {
        /// The fields that the object can have.
        known: Vec<&'static str>,
    },
    /// A required field is missing.
    #[error("missing")]
    Missing,
    /// A text is empty.
    #[error("must not be empty")]
    Empty,
    /// A name is empty, too long or has invalid characters.
    #[error("a name has 1 to {} letters, digits, `-`, `_` or `.`", MAX_NAME_BYTES)]
    InvalidName {
        /// The name found.
        found: String,
    },
    /// Two objects of one list have the same name.
    #[error("`{name}` stands twice")]
    DuplicateName {
        /// The name that both objects have.
        name: String,
    },
    /// A host without a path, a path without a host, or a path without a leading slash.
    #[error("a host and a path that begins with a slash go together")]
    HostWithoutPath,
    /// A search that forwards its calls has no host by which calls are routed to it.
    #[error("a search that hands calls over is found by host and path")]
    HostMissing,
    /// Only calls that are passed to a single leaf can be protected from running twice.
    #[error("only calls that are passed to one leaf can be kept from running twice")]
    OnceNotPassed,
}

impl FieldError {
    /// Returns the error for a value of the wrong type.
    pub(super) fn wrong_type(expected: &'static str, found: &Value) -> Self {
        FieldError::WrongType { expected, found: found.clone() }
    }
}
