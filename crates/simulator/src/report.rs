//! What a run came to, as a table and as JSON.

use grebepath_core::time::MILLI;
use serde_json::{Value, json};

use crate::rules;
use crate::world::World;

fn quantile(list: &[u64], pct: usize) -> f64 {
    let at = (list.len() * pct / 100).min(list.len().saturating_sub(1));
    list.get(at).copied().unwrap_or(0) as f64 / MILLI as f64
}

/// A run as JSON.
pub fn json(w: &World) -> Value {
    let mut kinds = serde_json::Map::new();
    for (name, t) in &w.tally {
        let mut waits = t.waits.clone();
        waits.sort_unstable();
        let bounced: u64 = t.bounced.values().sum();
        let calls = t.full + t.partial + bounced + t.unreachable + t.late;
        kinds.insert(
            name.clone(),
            json!({
                "calls": calls, "full": t.full, "partial": t.partial, "bounced": t.bounced,
                "unreachable": t.unreachable, "late": t.late,
                "wait_ms": { "p50": quantile(&waits, 50), "p90": quantile(&waits, 90),
                             "p99": quantile(&waits, 99), "max": quantile(&waits, 100) },
            }),
        );
    }
    let (over, most) = rules::retries(&w.rules);
    let worst = w.backs.leafs.values().max_by_key(|l| l.worst_pct);
    let orders = |want: fn(&grebepath_core::protocol::message::OperationResult) -> bool| {
        w.orders.iter().filter(|o| o.done.as_ref().is_some_and(want)).count()
    };
    use grebepath_core::protocol::message::OperationResult;
    json!({
        "violations": w.rules.counts,
        "first": w.rules.found.iter().take(10).map(|v| json!({
            "at_s": v.at as f64 / 1e6, "rule": v.rule, "text": v.text })).collect::<Vec<_>>(),
        "kinds": kinds,
        "first_dispatches": w.rules.firsts.len(), "second_tries": w.rules.seconds.len(),
        "worst_10s": { "second_tries": most, "over_a_fifth": over },
        "worst_leaf": worst.map(|l| json!({ "leaf": l.name, "pct_of_bears": l.worst_pct })),
        "begun_beyond_bearing": w.backs.leafs.values().map(|l| l.over).sum::<u64>(),
        "orders": { "accepted": orders(|d| matches!(d, OperationResult::Accepted { .. })),
                    "bounced": orders(|d| matches!(d, OperationResult::Rejected { .. })),
                    "unknown": orders(|d| matches!(d, OperationResult::Unknown { .. })),
                    "wrong": orders(|d| matches!(d, OperationResult::Invalid(_))) },
        "restarts": w.rules.backs.iter().map(|b| json!({
            "at_s": b.at as f64 / 1e6,
            "first_full_ms": b.first.iter().map(|(k, at)| (k.clone(), json!((at - b.at) / MILLI)))
                .collect::<serde_json::Map<_, _>>(),
            "accepted_ms": b.accepted.map(|at| (at - b.at) / MILLI),
            "made": b.made, "full": b.full })).collect::<Vec<_>>(),
        "events": w.events, "messages": w.net.sent, "messages_lost": w.net.lost,
    })
}

/// A run as a table.
pub fn table(w: &World) -> String {
    let j = json(w);
    let mut out = format!(
        "{:<10} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>8} {:>8}\n",
        "search",
        "calls",
        "full",
        "partial",
        "bounced",
        "lost",
        "late",
        "p50 ms",
        "p99 ms",
        "max ms"
    );
    for (name, k) in j["kinds"].as_object().into_iter().flatten() {
        let bounced: u64 =
            k["bounced"].as_object().into_iter().flatten().filter_map(|b| b.1.as_u64()).sum();
        out += &format!(
            "{name:<10} {:>7} {:>7} {:>7} {bounced:>7} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}\n",
            k["calls"],
            k["full"],
            k["partial"],
            k["unreachable"],
            k["late"],
            k["wait_ms"]["p50"].as_f64().unwrap_or(0.0),
            k["wait_ms"]["p99"].as_f64().unwrap_or(0.0),
            k["wait_ms"]["max"].as_f64().unwrap_or(0.0),
        );
    }
    out += &format!(
        "dispatches {} first, {} second; worst 10 s: {} second, {} beyond a fifth\n",
        j["first_dispatches"],
        j["second_tries"],
        j["worst_10s"]["second_tries"],
        j["worst_10s"]["over_a_fifth"]
    );
    out += &format!(
        "worst leaf {} at {}% of what it bears, {} begun beyond it; orders {}\n",
        j["worst_leaf"]["leaf"],
        j["worst_leaf"]["pct_of_bears"],
        j["begun_beyond_bearing"],
        j["orders"]
    );
    for back in j["restarts"].as_array().into_iter().flatten() {
        out += &format!(
            "restart at {} s: first full answers after {} ms, a change accepted after {} ms\n",
            back["at_s"], back["first_full_ms"], back["accepted_ms"]
        );
    }
    if w.rules.counts.is_empty() {
        out += "violations: none\n";
    } else {
        for (rule, n) in &w.rules.counts {
            out += &format!("VIOLATIONS of rule {rule}: {n}\n");
        }
        for v in w.rules.found.iter().take(5) {
            out += &format!("  at {:.3} s, rule {}: {}\n", v.at as f64 / 1e6, v.rule, v.text);
        }
    }
    out
}
