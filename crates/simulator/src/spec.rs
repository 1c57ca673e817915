//! A deployment of stand-ins: its services, and the searches its callers ask.

use serde_json::Value;

use crate::files::{FileError, read_json};

/// One service and its leafs.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub cut: String,
    pub leafs: usize,
    /// Dispatches a warm leaf bears at once.
    pub bears: u32,
    /// Time a leaf takes for one question when it is not busy.
    pub took_ms: u64,
    /// Time a fresh leaf needs until it bears all of that.
    pub ramp_ms: u64,
}

/// One kind of call.
#[derive(Clone, Debug)]
pub struct Kind {
    pub search: String,
    pub per_s: f64,
    pub budget_ms: u64,
    pub limit: usize,
    pub lookup: bool,
    pub quorum: f64,
    /// The shards of each index version.
    pub shards: Vec<ShardService>,
}

/// The service that holds a shard of an index version.
#[derive(Clone, Debug)]
pub struct ShardService {
    pub cut: String,
    pub shard: String,
    pub service: String,
}

/// A whole deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    pub services: Vec<Service>,
    pub kinds: Vec<Kind>,
    /// How far the platform's list lags behind the truth.
    pub list_lag_ms: u64,
}

/// What is wrong with a spec.
#[derive(Debug, thiserror::Error)]
pub enum SpecError {
    /// A field is missing, or is of another type.
    #[error("`{field}` is missing in {object}")]
    Missing { field: String, object: Value },
    /// A field is not the list that it must be.
    #[error("`{field}` is no list")]
    NotAList { field: String },
    /// The file can't be read as JSON.
    #[error(transparent)]
    File(#[from] FileError),
    /// A file with a mistake in it.
    #[error("{path}: {source}")]
    In { path: String, source: Box<SpecError> },
}

/// Reads a spec file. It is a tool's own input: the first mistake ends it.
pub fn read(path: &str) -> Result<Spec, SpecError> {
    let val = read_json(path)?;
    parse(&val).map_err(|e| SpecError::In { path: path.into(), source: Box::new(e) })
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

/// A spec from JSON.
pub fn parse(val: &Value) -> Result<Spec, SpecError> {
    let mut services = Vec::new();
    for s in list(val, "services")? {
        services.push(Service {
            name: text(s, "service")?,
            cut: text(s, "cut")?,
            leafs: number(s, "leafs")? as usize,
            bears: number(s, "bears")? as u32,
            took_ms: number(s, "took_ms")? as u64,
            ramp_ms: number(s, "ramp_ms")? as u64,
        });
    }
    let mut kinds = Vec::new();
    for k in list(val, "callers")? {
        let mut shards = Vec::new();
        for s in list(k, "shards")? {
            shards.push(ShardService {
                cut: text(s, "cut")?,
                shard: text(s, "shard")?,
                service: text(s, "service")?,
            });
        }
        kinds.push(Kind {
            search: text(k, "search")?,
            per_s: number(k, "per_s")?,
            budget_ms: number(k, "budget_ms")? as u64,
            limit: number(k, "limit")? as usize,
            lookup: k["lookup"].as_bool().unwrap_or(false),
            quorum: number(k, "quorum")?,
            shards,
        });
    }
    Ok(Spec { services, kinds, list_lag_ms: number(val, "list_lag_ms")? as u64 })
}
