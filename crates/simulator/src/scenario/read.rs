//! Reads a scenario from JSON, with all findings at their places.

use grebepath_core::routing_language::diagnostic::{Diagnostic, find};
use serde_json::Value;

use super::values::{health, list_mode, mode, nodes};
use super::{Scenario, Trouble};
use crate::spec;
use crate::world;

/// The words for troubles, each with the fields it may have beside `at_s`.
pub(super) const WORDS: &[(&str, &[&str])] = &[
    ("kill-seat", &["which", "for_s", "power", "lose"]),
    ("stop-seat", &["which", "for_s"]),
    ("kill-querier", &["which", "for_s"]),
    ("stop-querier", &["which", "for_s"]),
    ("restart-all", &["power", "for_s", "down", "lose"]),
    ("start-seat", &["which"]),
    ("add-seat", &["zone"]),
    ("seeds", &["list"]),
    ("pause-seat", &["which", "for_s"]),
    ("pause-querier", &["which", "for_s"]),
    ("disk", &["which", "health", "ms"]),
    ("flip", &["which"]),
    ("cut", &["a", "b", "one_way"]),
    ("heal", &[]),
    ("loss", &["per_mille"]),
    ("slow-net", &["ms"]),
    ("leafs", &["service", "zone", "count", "mode", "ms", "every"]),
    ("weaken-leafs", &["service", "zone", "count", "pct"]),
    ("kill-leafs", &["service", "zone", "count", "vanish"]),
    ("restart-leafs", &["service", "zone", "count"]),
    ("leave-leafs", &["service", "zone", "count"]),
    ("reuse", &["service", "zone", "count", "by"]),
    ("list", &["mode"]),
    ("drain", &["zone"]),
    ("undrain", &["zone"]),
    ("apply", &["config"]),
    ("patch", &["config"]),
    ("grow", &["pools", "bytes"]),
    ("storm", &["count", "gap_ms"]),
    ("race", &["count"]),
    ("add-leafs", &["service", "zone", "count"]),
    ("mend-all", &["factor"]),
    ("load", &["factor"]),
];

/// Reads a scenario. `load` fetches a deployment's files by name.
pub fn read(
    text: &[u8],
    load: &dyn Fn(&str) -> Result<Value, String>,
) -> Result<Scenario, Vec<Diagnostic>> {
    let mut all = Vec::new();
    let val: Value = match serde_json::from_slice(text) {
        Ok(val) => val,
        Err(e) => {
            find(&mut all, format!("$:{}:{}", e.line(), e.column()), format!("not JSON: {e}"));
            return Err(all);
        }
    };
    let known = [
        "name",
        "seconds",
        "queriers",
        "factor",
        "deployment",
        "config",
        "troubles",
        "ages",
        "seats",
        "controllers",
    ];
    for key in val.as_object().into_iter().flat_map(|m| m.keys()) {
        if !known.contains(&key.as_str()) {
            find(&mut all, key, format!("unknown field; known are {}", known.join(", ")));
        }
    }
    let name = val["deployment"].as_str().unwrap_or("mohalla");
    let spec = load(&format!("{name}.standins.json")).and_then(|v| spec::parse(&v));
    let config = match val.get("config") {
        Some(conf) => Ok(conf.clone()),
        None => load(&format!("{name}.json")),
    };
    for e in [spec.as_ref().err(), config.as_ref().err()].into_iter().flatten() {
        find(&mut all, "deployment", e.clone());
    }
    let seconds = whole(&val, "seconds", 1, 86_400, &mut all);
    let queriers = whole(&val, "queriers", 1, 200, &mut all) as usize;
    let factor = val["factor"].as_f64().unwrap_or(1.0);
    if !(0.001..=100.0).contains(&factor) {
        find(&mut all, "factor", "expected a number from 0.001 to 100");
    }
    let core = cores(&val, &mut all);
    let listed = val["troubles"].as_array().into_iter().flatten();
    let machines = core.machines + listed.filter(|t| t["do"] == "add-seat").count();
    let mut troubles = Vec::new();
    for (i, t) in val["troubles"].as_array().into_iter().flatten().enumerate() {
        if let Some(t) = trouble(&format!("troubles[{i}]"), t, (queriers, machines), &mut all) {
            troubles.push(t);
        }
    }
    match (spec, config) {
        (Ok(spec), Ok(config)) if all.is_empty() => Ok(Scenario {
            name: val["name"].as_str().unwrap_or("unnamed").to_string(),
            seconds,
            queriers,
            factor,
            spec,
            config,
            troubles,
            ages: val["ages"].as_bool().unwrap_or(true),
            core,
        }),
        _ => Err(all),
    }
}

/// The core: three controllers that are told their seats, unless the scenario
/// says how many seats there are, or how many controllers.
pub(super) fn cores(val: &Value, all: &mut Vec<Diagnostic>) -> world::Cores {
    if val.get("seats").is_none() && val.get("controllers").is_none() {
        return world::three();
    }
    let seats = whole(val, "seats", 1, 9, all) as usize;
    let machines = whole(val, "controllers", 1, 12, all) as usize;
    if seats.is_multiple_of(2) || machines < seats {
        find(all, "seats", "expected an odd number of seats and a controller for each");
    }
    world::Cores { seats, machines, told: false, seeds: (0..machines.min(3)).collect() }
}

pub(super) fn whole(val: &Value, key: &str, low: u64, high: u64, all: &mut Vec<Diagnostic>) -> u64 {
    match val[key].as_u64() {
        Some(n) if (low..=high).contains(&n) => n,
        _ => {
            find(all, key, format!("expected a whole number from {low} to {high}"));
            low
        }
    }
}

pub(super) fn trouble(
    at: &str,
    val: &Value,
    (queriers, seats): (usize, usize),
    all: &mut Vec<Diagnostic>,
) -> Option<Trouble> {
    let before = all.len();
    let what = val["do"].as_str().unwrap_or_default().to_string();
    let Some((_, fields)) = WORDS.iter().find(|w| w.0 == what) else {
        let words: Vec<&str> = WORDS.iter().map(|w| w.0).collect();
        find(all, format!("{at}.do"), format!("expected one of {}", words.join(", ")));
        return None;
    };
    let Some(at_s) = val["at_s"].as_f64().filter(|t| (0.0..=86_400.0).contains(t)) else {
        find(all, format!("{at}.at_s"), "expected a time in seconds");
        return None;
    };
    for key in val.as_object().into_iter().flat_map(|m| m.keys()) {
        if key != "do" && key != "at_s" && !fields.contains(&key.as_str()) {
            find(all, format!("{at}.{key}"), format!("`{what}` has no such field"));
        }
    }
    if fields.contains(&"which") {
        let top = if what.ends_with("querier") { queriers } else { seats };
        if val["which"].as_u64().is_none_or(|n| n as usize >= top) {
            find(all, format!("{at}.which"), format!("expected a number below {top}"));
        }
    }
    if fields.contains(&"mode") && what == "leafs" && mode(val).is_none() {
        find(all, format!("{at}.mode"), "unknown mode of leafs");
    }
    if what == "list" && list_mode(val).is_none() {
        find(all, format!("{at}.mode"), "expected good, empty, garbage, dead or stale");
    }
    if what == "disk" && health(val).is_none() {
        find(all, format!("{at}.health"), "expected good, slow, full or stalled");
    }
    if what == "cut" {
        for side in ["a", "b"] {
            for n in val[side].as_array().into_iter().flatten() {
                if n.as_str().is_none_or(|n| nodes(n, queriers, seats).is_empty()) {
                    find(all, format!("{at}.{side}"), format!("{n} names no machine"));
                }
            }
        }
    }
    (all.len() == before).then(|| Trouble { at_ms: (at_s * 1000.0) as u64, what, val: val.clone() })
}

/// A trouble that a generator made, which is well formed.
pub fn drawn(val: &Value) -> Trouble {
    Trouble {
        at_ms: (val["at_s"].as_f64().unwrap_or(0.0) * 1000.0) as u64,
        what: val["do"].as_str().unwrap_or_default().to_string(),
        val: val.clone(),
    }
}
