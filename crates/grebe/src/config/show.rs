//! Configuration types back to JSON, in the form in which they are read.

use serde_json::{Value, json};

use super::types::{Class, Config, Pool, Search, Zone};

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
    json!({
        "searches": conf.searches.values().map(search).collect::<Vec<_>>(),
        "pools": conf.pools.values().map(pool).collect::<Vec<_>>(),
        "zones": conf.zones.values().map(zone).collect::<Vec<_>>(),
    })
}

fn search(s: &Search) -> Value {
    json!({
        "name": s.name, "class": class_word(s.class), "promise_ms": s.promise_ms,
        "quorum": f64::from(s.quorum) / 1000.0, "attempts": s.attempts, "plan": s.plan,
    })
}

fn pool(p: &Pool) -> Value {
    json!({
        "name": p.name, "service": p.service, "selector": p.selector, "labels": p.labels,
        "bears": p.bears, "ramp_ms": p.ramp_ms,
    })
}

fn zone(z: &Zone) -> Value {
    json!({ "name": z.name, "state": if z.drained { "drained" } else { "open" } })
}
