//! Parses JSON into the configuration types. Every problem is reported with its JSON path, and
//! parsing continues after each.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use super::field_error::FieldError;
use super::object_reader::{ObjectReader, report_unknown_fields};
use super::read_objects::{pool, search, zone};
use super::types::{ChangeHeader, ClientLimits, Config, Patch};
use crate::diagnostic::{Diagnostic, Diagnostics};

/// Fields of the object `terms`: the edition that a change builds on, its own edition, and the
/// client limits that it sets.
const TERMS_FIELDS: [&str; 7] =
    ["after", "edition", "head_max", "body_max", "head_wait_ms", "idle_ms", "origin"];

/// The fields of `terms` that set client limits.
const LIMIT_FIELDS: &[&str] = TERMS_FIELDS.split_at(2).1;

impl Config {
    /// Parses a full configuration, or returns every problem found.
    pub fn from_json(text: &[u8]) -> Result<Config, Vec<Diagnostic>> {
        let mut diagnostics = Diagnostics::new();
        let mut conf = Config::default();
        let fields = ["searches", "pools", "zones", "terms", "keep_zones"];
        if let Some(map) = top_object(text, &fields, &mut diagnostics) {
            conf = config(&map, &mut diagnostics);
            conf.keep_zones = map.get("keep_zones").and_then(Value::as_bool).unwrap_or(false);
        }
        diagnostics.into_result(conf)
    }
}

impl Patch {
    /// Parses a partial configuration, or returns every problem found.
    pub fn from_json(text: &[u8]) -> Result<Patch, Vec<Diagnostic>> {
        let mut diagnostics = Diagnostics::new();
        let mut patch = Patch::default();
        let fields = ["searches", "pools", "zones", "terms", "remove"];
        if let Some(map) = top_object(text, &fields, &mut diagnostics) {
            patch.set = config(&map, &mut diagnostics);
            if let Some(removed) = map.get("remove") {
                read_removed(removed, &mut patch, &mut diagnostics);
            }
        }
        diagnostics.into_result(patch)
    }
}

/// Parses the text, which must be an object with only these fields.
fn top_object(
    text: &[u8],
    fields: &[&'static str],
    diagnostics: &mut Diagnostics,
) -> Option<Map<String, Value>> {
    match serde_json::from_slice::<Value>(text) {
        Err(error) => {
            let location = format!("$:{}:{}", error.line(), error.column());
            diagnostics.report(location, FieldError::NotJson(error));
            None
        }
        Ok(Value::Object(map)) => {
            report_unknown_fields(&map, "$", fields, diagnostics);
            Some(map)
        }
        Ok(other) => {
            diagnostics.report("$", FieldError::wrong_type("an object", &other));
            None
        }
    }
}

/// Reads the names of the objects that a partial configuration removes.
fn read_removed(removed: &Value, patch: &mut Patch, diagnostics: &mut Diagnostics) {
    let Some(map) = removed.as_object() else {
        let error = FieldError::wrong_type("an object of name lists", removed);
        diagnostics.report("remove", error);
        return;
    };
    report_unknown_fields(map, "remove", &["searches", "pools", "zones"], diagnostics);
    patch.drop_searches = names(map, "searches", diagnostics);
    patch.drop_pools = names(map, "pools", diagnostics);
    patch.drop_zones = names(map, "zones", diagnostics);
}

fn names(map: &Map<String, Value>, key: &str, diagnostics: &mut Diagnostics) -> Vec<String> {
    let location = format!("remove.{key}");
    let Some(value) = map.get(key) else { return Vec::new() };
    let Some(list) = value.as_array() else {
        diagnostics.report(location, FieldError::wrong_type("a list of names", value));
        return Vec::new();
    };
    let mut names = Vec::new();
    for (index, value) in list.iter().enumerate() {
        match value.as_str() {
            Some(name) => names.push(name.to_string()),
            None => {
                let error = FieldError::wrong_type("a name", value);
                diagnostics.report(format!("{location}[{index}]"), error);
            }
        }
    }
    names
}

fn config(map: &Map<String, Value>, diagnostics: &mut Diagnostics) -> Config {
    Config {
        searches: list(map, "searches", diagnostics, search),
        pools: list(map, "pools", diagnostics, pool),
        zones: list(map, "zones", diagnostics, zone),
        change_header: change_header(map, diagnostics),
        ..Config::default()
    }
}

/// Reads the edition that a change builds on, its own edition and the client limits that it
/// sets.
fn change_header(map: &Map<String, Value>, diagnostics: &mut Diagnostics) -> ChangeHeader {
    let Some(value) = map.get("terms") else { return ChangeHeader::default() };
    let Some(map) = value.as_object() else {
        diagnostics.report("terms", FieldError::wrong_type("an object", value));
        return ChangeHeader::default();
    };
    let mut reader = ObjectReader::new(map, "terms", diagnostics);
    let any = 0..=u64::MAX;
    let after = reader.has("after").then(|| reader.required_number("after", any.clone()));
    let edition = reader.has("edition").then(|| reader.required_number("edition", any.clone()));
    let sets_limits = LIMIT_FIELDS.iter().any(|key| reader.has(key));
    let client_limits = sets_limits.then(|| ClientLimits {
        edition: 0,
        head_max: reader.number_or("head_max", any.clone(), 0),
        body_max: reader.number_or("body_max", any.clone(), 0),
        head_wait_ms: reader.number_or("head_wait_ms", any.clone(), 0),
        idle_ms: reader.number_or("idle_ms", any, 0),
        original_json: reader.optional_text("origin"),
    });
    report_unknown_fields(map, "terms", &TERMS_FIELDS, diagnostics);
    ChangeHeader { after, edition, client_limits }
}

/// Reads a list of objects with unique names.
fn list<T>(
    map: &Map<String, Value>,
    key: &str,
    diagnostics: &mut Diagnostics,
    read: impl Fn(&mut ObjectReader) -> (String, T),
) -> BTreeMap<String, T> {
    let mut objects = BTreeMap::new();
    let Some(value) = map.get(key) else { return objects };
    let Some(items) = value.as_array() else {
        diagnostics.report(key, FieldError::wrong_type("a list", value));
        return objects;
    };
    for (index, item) in items.iter().enumerate() {
        let location = format!("{key}[{index}]");
        let Some(map) = item.as_object() else {
            diagnostics.report(location, FieldError::wrong_type("an object", item));
            continue;
        };
        let mut reader = ObjectReader::new(map, location.clone(), diagnostics);
        let (name, object) = read(&mut reader);
        reader.finish();
        if objects.insert(name.clone(), object).is_some() {
            diagnostics.report(format!("{location}.name"), FieldError::DuplicateName { name });
        }
    }
    objects
}
