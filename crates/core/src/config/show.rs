//! Configuration types back to JSON, in the form in which they are read.

use serde_json::{Value, json};

use super::types::{Class, Config, Form, Pool, Search, Steer, Terms, Zone};

/// The word for a class.
pub fn class_word(class: i32) -> &'static str {
    match Class::try_from(class) {
        Ok(Class::Urgent) => "urgent",
        Ok(Class::Lookup) => "lookup",
        _ => "ordinary",
    }
}

/// A whole configuration as JSON, objects by name.
pub fn json(conf: &Config) -> Value {
    let mut out = json!({
        "searches": conf.searches.values().map(search).collect::<Vec<_>>(),
        "pools": conf.pools.values().map(pool).collect::<Vec<_>>(),
        "zones": conf.zones.values().map(zone).collect::<Vec<_>>(),
    });
    if conf.terms != Terms::default() {
        let t = &conf.terms;
        out["terms"] = json!({
            "edition": t.edition, "head_max": t.head_max, "body_max": t.body_max,
            "head_wait_ms": t.head_wait_ms, "idle_ms": t.idle_ms,
        });
    }
    out
}

fn search(s: &Search) -> Value {
    let mut out = json!({
        "name": s.name, "class": class_word(s.class), "promise_ms": s.promise_ms,
        "quorum": f64::from(s.quorum) / 1000.0, "attempts": s.attempts, "plan": s.plan,
    });
    if !s.host.is_empty() {
        (out["host"], out["path"]) = (json!(s.host), json!(s.path));
    }
    let form = Form::try_from(s.form).unwrap_or(Form::Own);
    if form != Form::Own {
        out["form"] = json!(if form == Form::Pass { "pass" } else { "join" });
        (out["once"], out["rank"]) = (json!(s.once), json!(s.rank));
        (out["width"], out["top"]) = (json!(s.width), json!(s.top));
    }
    if !s.needs.is_empty() {
        out["needs"] = json!(s.needs);
    }
    if s.target_ms > 0 {
        out["target_ms"] = json!(s.target_ms);
    }
    if !s.weights.is_empty() {
        out["weights"] = json!(s.weights);
    }
    out
}

fn pool(p: &Pool) -> Value {
    let mut out = json!({
        "name": p.name, "service": p.service, "selector": p.selector, "labels": p.labels,
        "bears": p.bears, "ramp_ms": p.ramp_ms,
    });
    if p.steer == Steer::Seen as i32 {
        out["steer"] = json!("seen");
    }
    if p.connections > 0 {
        out["wires"] = json!(p.connections);
    }
    if p.cold_rate > 0 {
        out["cold_rate"] = json!(p.cold_rate);
    }
    out
}

fn zone(z: &Zone) -> Value {
    json!({ "name": z.name, "state": if z.drained { "drained" } else { "open" } })
}
