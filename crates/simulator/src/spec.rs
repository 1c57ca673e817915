//! A deployment of stand-ins: its services, and the searches its callers ask.

use serde_json::Value;

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
    /// Shard name and its service, for each cut: (cut, shard, service).
    pub shards: Vec<(String, String, String)>,
}

/// A whole deployment.
#[derive(Clone, Debug)]
pub struct Spec {
    pub services: Vec<Service>,
    pub kinds: Vec<Kind>,
    /// How far the platform's list lags behind the truth.
    pub list_lag_ms: u64,
}

/// Reads a spec file. It is a tool's own input: the first mistake ends it.
pub fn read(path: &str) -> Result<Spec, String> {
    let raw = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let val: Value = serde_json::from_slice(&raw).map_err(|e| format!("{path}: {e}"))?;
    parse(&val).map_err(|e| format!("{path}: {e}"))
}

fn text(v: &Value, key: &str) -> Result<String, String> {
    v[key].as_str().map(str::to_string).ok_or_else(|| format!("`{key}` is missing in {v}"))
}

fn num(v: &Value, key: &str) -> Result<f64, String> {
    v[key].as_f64().ok_or_else(|| format!("`{key}` is missing in {v}"))
}

fn list<'a>(v: &'a Value, key: &str) -> Result<&'a Vec<Value>, String> {
    v[key].as_array().ok_or_else(|| format!("`{key}` is no list"))
}

/// A spec from JSON.
pub fn parse(val: &Value) -> Result<Spec, String> {
    let mut services = Vec::new();
    for s in list(val, "services")? {
        services.push(Service {
            name: text(s, "service")?,
            cut: text(s, "cut")?,
            leafs: num(s, "leafs")? as usize,
            bears: num(s, "bears")? as u32,
            took_ms: num(s, "took_ms")? as u64,
            ramp_ms: num(s, "ramp_ms")? as u64,
        });
    }
    let mut kinds = Vec::new();
    for k in list(val, "callers")? {
        let mut shards = Vec::new();
        for s in list(k, "shards")? {
            shards.push((text(s, "cut")?, text(s, "shard")?, text(s, "service")?));
        }
        kinds.push(Kind {
            search: text(k, "search")?,
            per_s: num(k, "per_s")?,
            budget_ms: num(k, "budget_ms")? as u64,
            limit: num(k, "limit")? as usize,
            lookup: k["lookup"].as_bool().unwrap_or(false),
            quorum: num(k, "quorum")?,
            shards,
        });
    }
    Ok(Spec { services, kinds, list_lag_ms: num(val, "list_lag_ms")? as u64 })
}
