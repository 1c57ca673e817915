//! Reads the spec of a deployment of mock backends: its services, and its callers' searches.

use serde_json::Value;

use crate::files::{FileError, read_json};

/// One service and its leafs.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The index version that it serves.
    pub index_version: String,
    /// Leafs at the start (count).
    pub leafs: usize,
    /// Maximum number of concurrent attempts of a warm leaf.
    pub capacity: u32,
    /// Time that an idle leaf takes for one attempt.
    pub service_time_ms: u64,
    /// Duration of a leaf's slow start until it reaches its full capacity.
    pub slow_start_ms: u64,
}

/// One kind of call.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The search that is called.
    pub search: String,
    /// Calls per second.
    pub calls_per_second: f64,
    /// The caller's deadline (ms).
    pub budget_ms: u64,
    /// Requested records (count).
    pub limit: usize,
    /// Whether the call has a key and needs one shard.
    pub lookup: bool,
    /// The fraction of the shards that a success needs.
    pub quorum: f64,
    /// The shards of each index version.
    pub shards: Vec<ShardService>,
}

/// The service that holds a shard of an index version.
#[derive(Clone, Debug)]
pub struct ShardService {
    /// The index version that it serves.
    pub index_version: String,
    /// The shard's name.
    pub shard: String,
    /// The service that holds it.
    pub service: String,
}

/// The spec of a deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its services.
    pub services: Vec<Service>,
    /// The kinds of calls.
    pub kinds: Vec<Kind>,
    /// Delay until the platform's list shows a change.
    pub list_lag_ms: u64,
}

/// An error in a spec.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    /// A field is missing or has another type.
    #[error("`{field}` is missing in {object}")]
    Missing {
        /// The field.
        field: String,
        /// The object that should have it.
        object: Value,
    },
    /// A field isn't a list.
    #[error("`{field}` is not a list")]
    NotAList {
        /// The field.
        field: String,
    },
    /// The file can't be read as JSON.
    #[error(transparent)]
    File(#[from] FileError),
    /// The spec file has an error.
    #[error("{path}: {source}")]
    In {
        /// The file.
        path: String,
        /// The error.
        source: Box<SpecError>,
    },
}

/// Reads a spec file, up to the first error.
pub fn read(path: &str) -> Result<Spec, SpecError> {
    let value = read_json(path)?;
    parse(&value).map_err(|e| SpecError::In { path: path.into(), source: Box::new(e) })
}

fn missing(field: &str, object: &Value) -> SpecError {
    SpecError::Missing { field: field.into(), object: object.clone() }
}

fn text(object: &Value, field: &str) -> Result<String, SpecError> {
    object[field].as_str().map(str::to_string).ok_or_else(|| missing(field, object))
}

fn number(object: &Value, field: &str) -> Result<f64, SpecError> {
    object[field].as_f64().ok_or_else(|| missing(field, object))
}

fn list<'a>(object: &'a Value, field: &str) -> Result<&'a Vec<Value>, SpecError> {
    object[field].as_array().ok_or_else(|| SpecError::NotAList { field: field.into() })
}

/// Parses a spec from JSON.
pub fn parse(value: &Value) -> Result<Spec, SpecError> {
    let mut services = Vec::new();
    for s in list(value, "services")? {
        services.push(Service {
            name: text(s, "service")?,
            index_version: text(s, "cut")?,
            leafs: number(s, "leafs")? as usize,
            capacity: number(s, "bears")? as u32,
            service_time_ms: number(s, "took_ms")? as u64,
            slow_start_ms: number(s, "ramp_ms")? as u64,
        });
    }
    let mut kinds = Vec::new();
    for k in list(value, "callers")? {
        let mut shards = Vec::new();
        for s in list(k, "shards")? {
            shards.push(ShardService {
                index_version: text(s, "cut")?,
                shard: text(s, "shard")?,
                service: text(s, "service")?,
            });
        }
        kinds.push(Kind {
            search: text(k, "search")?,
            calls_per_second: number(k, "per_s")?,
            budget_ms: number(k, "budget_ms")? as u64,
            limit: number(k, "limit")? as usize,
            lookup: k["lookup"].as_bool().unwrap_or(false),
            quorum: number(k, "quorum")?,
            shards,
        });
    }
    Ok(Spec { services, kinds, list_lag_ms: number(value, "list_lag_ms")? as u64 })
}
