//! Configuration types back to JSON, in the form in which they are read.

use serde_json::{Value, json};

use super::types::{Class, Config, Form, Pool, Search, Steer, Terms, Zone};

impl Class {
    /// The word that stands for it in a configuration.
    pub fn word(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Lookup => "lookup",
            Class::Ordinary => "ordinary",
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
        if self.terms != Terms::default() {
            out["terms"] = terms(&self.terms);
        }
        out
    }
}

fn terms(terms: &Terms) -> Value {
    json!({
        "edition": terms.edition, "head_max": terms.head_max, "body_max": terms.body_max,
        "head_wait_ms": terms.head_wait_ms, "idle_ms": terms.idle_ms,
    })
}

fn search(search: &Search) -> Value {
    let mut out = json!({
        "name": search.name, "class": Class::try_from(search.class).unwrap_or(Class::Ordinary).word(), "promise_ms": search.promise_ms,
        "quorum": f64::from(search.quorum) / 1000.0, "attempts": search.attempts, "plan": search.plan,
    });
    if !search.host.is_empty() {
        (out["host"], out["path"]) = (json!(search.host), json!(search.path));
    }
    let form = Form::try_from(search.form).unwrap_or(Form::Own);
    if form != Form::Own {
        out["form"] = json!(if form == Form::Pass { "pass" } else { "join" });
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

fn pool(pool: &Pool) -> Value {
    let mut out = json!({
        "name": pool.name, "service": pool.service, "selector": pool.selector, "labels": pool.labels,
        "bears": pool.bears, "ramp_ms": pool.ramp_ms,
    });
    if pool.steer == Steer::Seen as i32 {
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

fn zone(zone: &Zone) -> Value {
    json!({ "name": zone.name, "state": if zone.drained { "drained" } else { "open" } })
}
