//! Reads the fields of one JSON object and reports the errors of each.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::field_error::{FieldError, MAX_NAME_BYTES};
use crate::diagnostic::Diagnostics;

/// A JSON object that is being read, with the fields requested so far and the diagnostics.
pub(super) struct ObjectReader<'a> {
    map: &'a Map<String, Value>,
    location: String,
    diagnostics: &'a mut Diagnostics,
    known: Vec<&'static str>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of the object at `location`.
    pub(super) fn new(
        map: &'a Map<String, Value>,
        location: impl Into<String>,
        diagnostics: &'a mut Diagnostics,
    ) -> Self {
        ObjectReader { map, location: location.into(), diagnostics, known: Vec::new() }
    }

    /// Reports an error in a field.
    pub(super) fn report(&mut self, key: &str, error: FieldError) {
        self.diagnostics.report(format!("{}.{key}", self.location), error);
    }

    /// Returns whether the object has the field.
    pub(super) fn has(&self, key: &str) -> bool {
        self.map.contains_key(key)
    }

    /// Returns the field's value and marks the field as known.
    fn field(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.map.get(key)
    }

    /// Reads a text, empty if the field is missing.
    pub(super) fn optional_text(&mut self, key: &'static str) -> String {
        match self.field(key) {
            None => String::new(),
            Some(value) => self.text_of(key, value),
        }
    }

    /// Reads a required text.
    pub(super) fn required_text(&mut self, key: &'static str) -> String {
        match self.field(key) {
            None => {
                self.report(key, FieldError::Missing);
                String::new()
            }
            Some(value) => self.text_of(key, value),
        }
    }

    fn text_of(&mut self, key: &str, value: &Value) -> String {
        match value {
            Value::String(text) => text.clone(),
            other => {
                self.report(key, FieldError::wrong_type("a text", other));
                String::new()
            }
        }
    }

    /// Reads a required text that must not be empty.
    pub(super) fn nonempty_text(&mut self, key: &'static str) -> String {
        let text = self.required_text(key);
        if text.is_empty() && self.map.get(key).is_some_and(Value::is_string) {
            self.report(key, FieldError::Empty);
        }
        text
    }

    /// Reads a required name.
    pub(super) fn name(&mut self, key: &'static str) -> String {
        let name = self.required_text(key);
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(fits);
        if !valid && self.map.get(key).is_some_and(Value::is_string) {
            self.report(key, FieldError::InvalidName { found: name.clone() });
        }
        name
    }

    /// Reads a required integer; returns the lowest of its range if it is invalid.
    pub(super) fn required_number(&mut self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        match self.field(key) {
            None => {
                self.report(key, FieldError::Missing);
                *range.start()
            }
            Some(value) => self.number_of(key, value, range),
        }
    }

    /// Reads an integer, `default` if the field is missing.
    pub(super) fn number_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        match self.field(key) {
            None => default,
            Some(value) => self.number_of(key, value, range),
        }
    }

    /// Reads a 32-bit integer, `default` if the field is missing.
    pub(super) fn number_u32_or(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.number_or(key, wide, u64::from(default));
        u32::try_from(number).expect("the range has 32 bits")
    }

    fn number_of(&mut self, key: &str, value: &Value, range: RangeInclusive<u64>) -> u64 {
        let (low, high) = range.into_inner();
        match value.as_u64() {
            Some(number) if (low..=high).contains(&number) => number,
            _ => {
                self.report(key, FieldError::OutOfRange { low, high, found: value.clone() });
                low
            }
        }
    }

    /// Reads a boolean, false if the field is missing.
    pub(super) fn flag(&mut self, key: &'static str) -> bool {
        match self.field(key) {
            None => false,
            Some(Value::Bool(flag)) => *flag,
            Some(other) => {
                self.report(key, FieldError::wrong_type("true or false", other));
                false
            }
        }
    }

    /// Reads an enum value by its name; returns the first value if the field is missing.
    pub(super) fn optional_enum<T: Copy>(
        &mut self,
        key: &'static str,
        values: &[(&'static str, T)],
    ) -> T {
        let name = self.optional_text(key);
        self.enum_value(key, name, values)
    }

    /// Reads a required enum value by its name.
    pub(super) fn required_enum<T: Copy>(
        &mut self,
        key: &'static str,
        values: &[(&'static str, T)],
    ) -> T {
        let name = self.required_text(key);
        self.enum_value(key, name, values)
    }

    fn enum_value<T: Copy>(&mut self, key: &str, found: String, values: &[(&'static str, T)]) -> T {
        let default = values[0].1;
        if found.is_empty() {
            return default;
        }
        if let Some((_, value)) = values.iter().find(|(name, _)| *name == found) {
            return *value;
        }
        let known = values.iter().map(|(name, _)| *name).collect();
        self.report(key, FieldError::UnknownValue { found, known });
        default
    }

    /// Reads a value with `read`; returns `default` if the field is missing or `read` fails.
    /// `expected` describes the value in the error.
    pub(super) fn value_or<T>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        default: T,
        read: impl Fn(&Value) -> Option<T>,
    ) -> T {
        let Some(value) = self.field(key) else { return default };
        match read(value) {
            Some(value) => value,
            None => {
                self.report(key, FieldError::wrong_type(expected, value));
                default
            }
        }
    }

    /// Reads an object whose values are all of one type, empty if the field is missing.
    pub(super) fn entries<T>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        expected_value: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> BTreeMap<String, T> {
        let mut entries = BTreeMap::new();
        let map = match self.field(key) {
            None => return entries,
            Some(Value::Object(map)) => map,
            Some(other) => {
                self.report(key, FieldError::wrong_type(expected, other));
                return entries;
            }
        };
        for (name, value) in map {
            match read(value) {
                Some(value) => {
                    entries.insert(name.clone(), value);
                }
                None => {
                    let error = FieldError::wrong_type(expected_value, value);
                    self.report(&format!("{key}.{name}"), error);
                }
            }
        }
        entries
    }

    /// Finishes reading and reports the fields that were not requested.
    pub(super) fn finish(self) {
        report_unknown_fields(self.map, &self.location, &self.known, self.diagnostics);
    }
}

/// Reports the fields of the object at `location` that are not in `known`.
pub(super) fn report_unknown_fields(
    map: &Map<String, Value>,
    location: &str,
    known: &[&'static str],
    diagnostics: &mut Diagnostics,
) {
    for key in map.keys().filter(|key| !known.contains(&key.as_str())) {
        let location = if location == "$" { key.clone() } else { format!("{location}.{key}") };
        diagnostics.report(location, FieldError::UnknownField { known: known.to_vec() });
    }
}
