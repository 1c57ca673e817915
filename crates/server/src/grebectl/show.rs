//! Formats the output, as text or as JSON.

use std::net::SocketAddr;

use grebepath_core::config::route::Route;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::operator::findings;
use grebepath_core::query::planning::shard_for_key;
use grebepath_core::routing_language::compile::FanOut;
use grebepath_core::time::MILLI;
use serde_json::{Value, json};

use crate::controller_client::RequestError;
use crate::rollouts;

/// Prints diagnostics.
pub fn print_diagnostics(all: &[Diagnostic], as_json: bool) {
    if as_json {
        println!("{}", json!({ "error": "wrong", "findings": findings(all) }));
    } else {
        for f in all {
            println!("{f}");
        }
    }
}

/// Returns the plan of a route as JSON, limited to the shard of `key` if the route uses keys.
pub fn plan(route: &Route, key: Option<&str>) -> Value {
    let planned: Vec<usize> = match (route.fan_out, key) {
        (FanOut::ByKey, Some(key)) => vec![shard_for_key(route, key)],
        _ => (0..route.shards.len()).collect(),
    };
    let shards: Vec<Value> = planned
        .iter()
        .map(|i| {
            let s = &route.shards[*i];
            let pools: Vec<Value> = s
                .pools
                .iter()
                .map(|p| {
                    json!({ "pool": p.name, "service": p.service, "bears": p.leaf_capacity,
                            "ramp_ms": p.slow_start / MILLI })
                })
                .collect();
            json!({ "shard": s.name, "pools": pools })
        })
        .collect();
    json!({
        "search": route.name, "class": route.priority_class.name(),
        "cut": route.index_version, "send": if route.fan_out == FanOut::AllShards { "wide" } else { "one by key" },
        "promise_ms": route.timeout / MILLI, "attempts": route.attempts,
        "wait_pct": route.hedge_after_pct, "stop_pct": route.quorum_after_pct,
        "prefer": if route.prefer_local { "local" } else { "any" },
        "planned": planned.len(), "needed": route.required_shards(planned.len()), "shards": shards,
    })
}

/// Formats a plan as text.
pub fn plan_text(p: &Value) -> String {
    let mut out = format!(
        "search {} ({}), index version {}, send {}\n  \
         answers with {} of {} shards or bounces; timeout {} ms\n  \
         hedge after {}% of the remaining time, at most {} attempts per shard, leafs: {}\n  \
         quorum suffices after {}% of the time\n",
        text(&p["search"]),
        text(&p["class"]),
        p["cut"],
        text(&p["send"]),
        p["needed"],
        p["planned"],
        p["promise_ms"],
        p["wait_pct"],
        p["attempts"],
        text(&p["prefer"]),
        p["stop_pct"],
    );
    for s in list(&p["shards"]) {
        out += &format!("  shard {}:", text(&s["shard"]));
        for pool in list(&s["pools"]) {
            out += &format!(
                " {} (service {}, capacity {}, slow start {} ms)",
                text(&pool["pool"]),
                text(&pool["service"]),
                pool["bears"],
                pool["ramp_ms"]
            );
        }
        out.push('\n');
    }
    for rollout in list(&p["rollouts"]) {
        out += &format!("  rollout of {}\n", rollouts::status_line(rollout));
    }
    out
}

fn text(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), str::to_string)
}

fn list(v: &Value) -> &[Value] {
    v.as_array().map_or(&[], Vec::as_slice)
}

/// A controller's status of itself and of the members.
pub struct ControllerStatus {
    /// The controller's address.
    pub address: SocketAddr,
    /// The status, or why there is none.
    pub status: Result<Value, RequestError>,
}

/// Formats the status of all controllers as text.
pub fn status_text(controllers: &[ControllerStatus]) -> String {
    let mut out = String::new();
    for ControllerStatus { address: addr, status } in controllers {
        match status {
            Err(e) => out += &format!("controller at {addr}: {e}\n"),
            Ok(v) => {
                let here = &v["here"];
                out += &format!(
                    "controller {} in zone {} at {addr}\n",
                    here["seat"],
                    text(&here["zone"])
                );
                for p in list(&here["parts"]) {
                    out += &format!(
                        "  {:<11} {:<11} owner {:<5} epoch {:<5} revision {:<6} shown {}{}\n",
                        text(&p["part"]),
                        text(&p["role"]),
                        text(&p["owner"]),
                        text(&p["epoch"]),
                        text(&p["revision"]),
                        p["shown"],
                        p["sick"].as_str().map_or(String::new(), |s| format!("  SICK: {s}")),
                    );
                }
            }
        }
    }
    let here = controllers.iter().find_map(|c| c.status.as_ref().ok());
    for u in here.map_or(&[][..], |v| list(&v["here"]["uncovered"])) {
        let shards: Vec<String> = list(&u["shards"]).iter().map(text).collect();
        out += &format!(
            "search {}: no leaf may be asked for shard(s) {}; {}\n",
            text(&u["search"]),
            shards.join(", "),
            if u["serves"] == true { "answers without them" } else { "BELOW QUORUM" }
        );
    }
    let membership = controllers.iter().find_map(|c| match &c.status {
        Ok(v) if !v["cohort"].is_null() => Some(&v["cohort"]),
        _ => None,
    });
    match membership {
        None => out += "members: unknown, no controller reports a leader of the configuration\n",
        Some(c) => {
            out += &format!("members (epoch {}, turn {}):\n", c["epoch"], c["turn"]);
            for member in list(&c["members"]) {
                out += &format!(
                    "  {:<12} zone {:<6} obeys {:<6} ready {:<6} heard {} ms ago{}\n",
                    text(&member["name"]),
                    text(&member["zone"]),
                    text(&member["obeys"]),
                    text(&member["ready"]),
                    text(&member["heard_ms_ago"]),
                    if member["settled"] == true { "" } else { "  joining" },
                );
            }
        }
    }
    out
}
