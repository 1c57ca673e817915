//! Parses the objects of a configuration from JSON: searches, pools and zones.

use serde_json::Value;

use super::field_error::FieldError;
use super::object_reader::ObjectReader;
use super::types::{
    BalancingMode, PoolConfig, PriorityClass, SearchConfig, ServingMode, ZoneConfig,
};
use crate::consts;
use crate::time::MILLI;

/// A quorum of all shards (thousandths).
const QUORUM_ALL: u32 = 1000;
/// Maximum size of one record where answers are merged by bytes.
const MAX_RECORD_BYTES: u32 = 4_096;
/// Maximum number of records of one answer.
const MAX_ANSWER_RECORDS: u32 = 1_000_000;
/// Maximum number of concurrent attempts at one leaf.
const MAX_LEAF_CAPACITY: u32 = 100_000;
/// Longest slow start of a leaf (ms): one hour.
const MAX_SLOW_START_MS: u32 = 3_600_000;

/// Reads a search and returns it with its name.
///
/// Problems are reported in the order of the fields here.
pub(super) fn search(reader: &mut ObjectReader) -> (String, SearchConfig) {
    let name = reader.name("name");
    let class = reader.optional_enum(
        "class",
        &[
            ("ordinary", PriorityClass::Ordinary),
            ("lookup", PriorityClass::Lookup),
            ("urgent", PriorityClass::Urgent),
        ],
    );
    let serving_mode = reader.optional_enum(
        "form",
        &[
            ("own", ServingMode::Native),
            ("pass", ServingMode::PassThrough),
            ("join", ServingMode::Join),
        ],
    );
    let timeout_range = match serving_mode {
        ServingMode::Native => consts::MIN_BUDGET_MS..=consts::MAX_BUDGET_MS,
        ServingMode::PassThrough | ServingMode::Join => 1..=consts::MAX_FORWARDING_TIMEOUT_MS,
    };
    let timeout_ms = reader.required_number("promise_ms", timeout_range);
    let attempts = reader.number_or("attempts", 1..=consts::MAX_SHARD_ATTEMPTS, 3) as u32;
    let quorum = quorum(reader, serving_mode);
    let plan = reader.required_text("plan");
    let (host, path) = host_and_path(reader, serving_mode);
    let at_most_once = at_most_once(reader, serving_mode);
    let latency_target_ms = reader.number_or("target_ms", 0..=consts::MAX_FORWARDING_TIMEOUT_MS, 0);
    let rank = reader.number_u32_or("rank", 0..=u32::MAX, 0);
    let record_bytes = reader.number_u32_or("width", 1..=MAX_RECORD_BYTES, 1);
    let max_records =
        reader.number_u32_or("top", 1..=MAX_ANSWER_RECORDS, consts::DEFAULT_RECORD_LIMIT);
    let weights = reader.entries("weights", "an object of numbers", "a whole number", |value| {
        u32::try_from(value.as_u64()?).ok()
    });
    let original_json = reader.optional_text("origin");
    let list_index = reader.number_u32_or("place", 0..=u32::MAX, 0);
    let required_pools = reader.value_or("needs", "a list of pools' names", Vec::new(), names);
    let search = SearchConfig {
        required_pools,
        name: name.clone(),
        class: class as i32,
        timeout_ms,
        quorum,
        attempts,
        plan,
        host,
        path,
        serving_mode: serving_mode as i32,
        at_most_once,
        latency_target_ms,
        rank,
        record_bytes,
        max_records,
        weights,
        original_json,
        list_index,
    };
    (name, search)
}

/// Reads the required share of the shards, in thousandths, rounded up.
fn quorum(reader: &mut ObjectReader, serving_mode: ServingMode) -> u32 {
    let expected = "a share above 0 and up to 1";
    reader.value_or("quorum", expected, QUORUM_ALL, |value| {
        let share = value.as_f64()?;
        let above_zero = share > 0.0 || serving_mode != ServingMode::Native && share == 0.0;
        let valid = above_zero && share <= 1.0;
        valid.then(|| ((share * f64::from(QUORUM_ALL)).ceil() as u32).clamp(1, QUORUM_ALL))
    })
}

fn host_and_path(reader: &mut ObjectReader, serving_mode: ServingMode) -> (String, String) {
    let host = reader.optional_text("host");
    let path = reader.optional_text("path");
    if host.is_empty() != path.is_empty() || (!path.is_empty() && !path.starts_with('/')) {
        reader.report("path", FieldError::HostWithoutPath);
    }
    if serving_mode != ServingMode::Native && host.is_empty() {
        reader.report("host", FieldError::HostMissing);
    }
    (host, path)
}

fn at_most_once(reader: &mut ObjectReader, serving_mode: ServingMode) -> bool {
    let at_most_once = reader.flag("once");
    if at_most_once && serving_mode != ServingMode::PassThrough {
        reader.report("once", FieldError::OnceNotPassed);
    }
    at_most_once
}

/// Returns the texts of a list; `None` if an element is not a text.
fn names(value: &Value) -> Option<Vec<String>> {
    value.as_array()?.iter().map(|name| name.as_str().map(str::to_string)).collect()
}

/// Reads a pool and returns it with its name.
pub(super) fn pool(reader: &mut ObjectReader) -> (String, PoolConfig) {
    let name = reader.name("name");
    let default_slow_start_ms = (consts::DEFAULT_SLOW_START / MILLI) as u32;
    let pool = PoolConfig {
        name: name.clone(),
        service: reader.nonempty_text("service"),
        selector: reader.optional_text("selector"),
        leaf_capacity: reader.number_u32_or(
            "bears",
            1..=MAX_LEAF_CAPACITY,
            consts::DEFAULT_LEAF_CAPACITY,
        ),
        slow_start_ms: reader.number_u32_or(
            "ramp_ms",
            0..=MAX_SLOW_START_MS,
            default_slow_start_ms,
        ),
        labels: reader.entries("labels", "an object of texts", "a text", |value| {
            value.as_str().map(str::to_string)
        }),
        balancing: reader.optional_enum(
            "steer",
            &[("share", BalancingMode::Partitioned), ("seen", BalancingMode::LoadAware)],
        ) as i32,
        connections: reader.number_u32_or("wires", 0..=u32::MAX, 0),
        cold_leaf_rate_milli: reader.number_u32_or("cold_rate", 0..=u32::MAX, 0),
        original_json: reader.optional_text("origin"),
        list_index: reader.number_u32_or("place", 0..=u32::MAX, 0),
    };
    (name, pool)
}

/// Reads a zone and returns it with its name.
pub(super) fn zone(reader: &mut ObjectReader) -> (String, ZoneConfig) {
    let name = reader.name("name");
    let drained = reader.required_enum("state", &[("open", false), ("drained", true)]);
    (name.clone(), ZoneConfig { name, drained })
}
