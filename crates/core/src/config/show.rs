//! Converts configuration types back to the JSON form from which they are parsed.

use serde_json::{Value, json};

use super::types::{
    BalancingMode, ClientLimits, Config, PoolConfig, PriorityClass, SearchConfig, ServingMode,
    ZoneConfig,
};

impl PriorityClass {
    /// Returns the name of the class in a configuration.
    pub fn name(self) -> &'static str {
        match self {
            PriorityClass::Urgent => "urgent",
            PriorityClass::Lookup => "lookup",
            PriorityClass::Ordinary => "ordinary",
        }
    }
}

impl Config {
    /// Returns the full configuration as JSON, objects sorted by name.
    pub fn to_json(&self) -> Value {
        let mut out = json!({
            "searches": self.searches.values().map(search).collect::<Vec<_>>(),
            "pools": self.pools.values().map(pool).collect::<Vec<_>>(),
            "zones": self.zones.values().map(zone).collect::<Vec<_>>(),
        });
        if self.client_limits != ClientLimits::default() {
            out["terms"] = client_limits(&self.client_limits);
        }
        out
    }
}

fn client_limits(client_limits: &ClientLimits) -> Value {
    json!({
        "edition": client_limits.edition, "head_max": client_limits.head_max, "body_max": client_limits.body_max,
        "head_wait_ms": client_limits.head_wait_ms, "idle_ms": client_limits.idle_ms,
    })
}

fn search(search: &SearchConfig) -> Value {
    let class = PriorityClass::try_from(search.class).unwrap_or(PriorityClass::Ordinary);
    let mut out = json!({
        "name": search.name, "class": class.name(), "promise_ms": search.timeout_ms,
        "quorum": f64::from(search.quorum) / 1000.0, "attempts": search.attempts,
        "plan": search.plan,
    });
    if !search.host.is_empty() {
        (out["host"], out["path"]) = (json!(search.host), json!(search.path));
    }
    let serving_mode = ServingMode::try_from(search.serving_mode).unwrap_or(ServingMode::Native);
    if serving_mode != ServingMode::Native {
        out["form"] = json!(if serving_mode == ServingMode::PassThrough { "pass" } else { "join" });
        (out["once"], out["rank"]) = (json!(search.at_most_once), json!(search.rank));
        (out["width"], out["top"]) = (json!(search.record_bytes), json!(search.max_records));
    }
    if !search.required_pools.is_empty() {
        out["needs"] = json!(search.required_pools);
    }
    if search.latency_target_ms > 0 {
        out["target_ms"] = json!(search.latency_target_ms);
    }
    if !search.weights.is_empty() {
        out["weights"] = json!(search.weights);
    }
    out
}

fn pool(pool: &PoolConfig) -> Value {
    let mut out = json!({
        "name": pool.name, "service": pool.service, "selector": pool.selector, "labels": pool.labels,
        "bears": pool.leaf_capacity, "ramp_ms": pool.slow_start_ms,
    });
    if pool.balancing == BalancingMode::LoadAware as i32 {
        out["steer"] = json!("seen");
    }
    if pool.connections > 0 {
        out["wires"] = json!(pool.connections);
    }
    if pool.cold_leaf_rate_milli > 0 {
        out["cold_rate"] = json!(pool.cold_leaf_rate_milli);
    }
    out
}

fn zone(zone: &ZoneConfig) -> Value {
    json!({ "name": zone.name, "state": if zone.drained { "drained" } else { "open" } })
}
