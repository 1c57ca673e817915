//! Configuration types back to JSON, in the form in which they are read.

use serde_json::{Value, json};

use super::types::{
    BalancingMode, ClientLimits, Config, PoolConfig, PriorityClass, SearchConfig, ServingMode,
    ZoneConfig,
};

impl PriorityClass {
    /// The word that stands for it in a configuration.
    pub fn word(self) -> &'static str {
        match self {
            PriorityClass::Urgent => "urgent",
            PriorityClass::Lookup => "lookup",
            PriorityClass::Ordinary => "ordinary",
        }
    }
}

impl Config {
    /// The whole configuration as JSON, objects by name.
    pub fn to_json(&self) -> Value {
        let mut out = json!({
            "searches": self.searches.values().map(search).collect::<Vec<_>>(),
            "pools": self.pools.values().map(pool).collect::<Vec<_>>(),
            "zones": self.zones.values().map(zone).collect::<Vec<_>>(),
        });
        if self.terms != ClientLimits::default() {
            out["terms"] = terms(&self.terms);
        }
        out
    }
}

fn terms(terms: &ClientLimits) -> Value {
    json!({
        "edition": terms.edition, "head_max": terms.head_max, "body_max": terms.body_max,
        "head_wait_ms": terms.head_wait_ms, "idle_ms": terms.idle_ms,
    })
}

fn search(search: &SearchConfig) -> Value {
    let class = PriorityClass::try_from(search.class).unwrap_or(PriorityClass::Ordinary);
    let mut out = json!({
        "name": search.name, "class": class.word(), "promise_ms": search.promise_ms,
        "quorum": f64::from(search.quorum) / 1000.0, "attempts": search.attempts,
        "plan": search.plan,
    });
    if !search.host.is_empty() {
        (out["host"], out["path"]) = (json!(search.host), json!(search.path));
    }
    let form = ServingMode::try_from(search.form).unwrap_or(ServingMode::Native);
    if form != ServingMode::Native {
        out["form"] = json!(if form == ServingMode::PassThrough { "pass" } else { "join" });
        (out["once"], out["rank"]) = (json!(search.once), json!(search.rank));
        (out["width"], out["top"]) = (json!(search.width), json!(search.top));
    }
    if !search.needs.is_empty() {
        out["needs"] = json!(search.needs);
    }
    if search.target_ms > 0 {
        out["target_ms"] = json!(search.target_ms);
    }
    if !search.weights.is_empty() {
        out["weights"] = json!(search.weights);
    }
    out
}

fn pool(pool: &PoolConfig) -> Value {
    let mut out = json!({
        "name": pool.name, "service": pool.service, "selector": pool.selector, "labels": pool.labels,
        "bears": pool.bears, "ramp_ms": pool.ramp_ms,
    });
    if pool.steer == BalancingMode::LoadAware as i32 {
        out["steer"] = json!("seen");
    }
    if pool.connections > 0 {
        out["wires"] = json!(pool.connections);
    }
    if pool.cold_rate > 0 {
        out["cold_rate"] = json!(pool.cold_rate);
    }
    out
}

fn zone(zone: &ZoneConfig) -> Value {
    json!({ "name": zone.name, "state": if zone.drained { "drained" } else { "open" } })
}
