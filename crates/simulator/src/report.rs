//! Reports the results of a run as a table and as JSON.

use grebepath_core::time::MILLI;
use serde_json::{Value, json};

use crate::world::World;

fn quantile(list: &[u64], pct: usize) -> f64 {
    let at = (list.len() * pct / 100).min(list.len().saturating_sub(1));
    list.get(at).copied().unwrap_or(0) as f64 / MILLI as f64
}

/// Returns the results of a run as JSON.
pub fn json(world: &World) -> Value {
    let mut kinds = serde_json::Map::new();
    for (name, tally) in &world.tallies {
        let mut waits = tally.latencies.clone();
        waits.sort_unstable();
        let rejected: u64 = tally.rejected.values().sum();
        let calls = tally.full + tally.partial + rejected + tally.unreachable + tally.timed_out;
        kinds.insert(
            name.clone(),
            json!({
                "calls": calls, "full": tally.full, "partial": tally.partial, "bounced": tally.rejected,
                "unreachable": tally.unreachable, "late": tally.timed_out,
                "wait_ms": { "p50": quantile(&waits, 50), "p90": quantile(&waits, 90),
                             "p99": quantile(&waits, 99), "max": quantile(&waits, 100) },
            }),
        );
    }
    let (over, most) = world.rules.retry_excess();
    let worst = world.backends.leafs.values().max_by_key(|leaf| leaf.peak_load_pct);
    let requests_with =
        |want: fn(&grebepath_core::protocol::operation::OperationResult) -> bool| {
            world.operator_requests.iter().filter(|o| o.result.as_ref().is_some_and(want)).count()
        };
    use grebepath_core::protocol::operation::OperationResult;
    json!({
        "violations": world.rules.violation_counts,
        "first": world.rules.violations.iter().take(10).map(|v| json!({
            "at_s": v.at as f64 / 1e6, "rule": v.rule, "text": v.text })).collect::<Vec<_>>(),
        "kinds": kinds,
        "first_dispatches": world.rules.first_attempts.len(), "second_tries": world.rules.retries.len(),
        "worst_10s": { "second_tries": most, "over_a_fifth": over },
        "worst_leaf": worst.map(|leaf| json!({ "leaf": leaf.name, "pct_of_bears": leaf.peak_load_pct })),
        "begun_beyond_bearing": world.backends.leafs.values().map(|leaf| leaf.attempts_over_capacity).sum::<u64>(),
        "orders": { "accepted": requests_with(|d| matches!(d, OperationResult::Accepted { .. })),
                    "bounced": requests_with(|d| matches!(d, OperationResult::Rejected { .. })),
                    "unknown": requests_with(|d| matches!(d, OperationResult::Unknown { .. })),
                    "wrong": requests_with(|d| matches!(d, OperationResult::Invalid(_))) },
        "restarts": world.rules.checked_restarts.iter().map(|restart| json!({
            "at_s": restart.at as f64 / 1e6,
            "first_full_ms": restart.first_complete.iter().map(|(kind, at)| (kind.clone(), json!((at - restart.at) / MILLI)))
                .collect::<serde_json::Map<_, _>>(),
            "accepted_ms": restart.accepted.map(|at| (at - restart.at) / MILLI),
            "made": restart.calls, "full": restart.complete_calls })).collect::<Vec<_>>(),
        "events": world.events, "messages": world.net.sent, "messages_lost": world.net.lost,
    })
}

/// Returns the results of a run as a table.
pub fn table(world: &World) -> String {
    let report = json(world);
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
    for (name, kind) in report["kinds"].as_object().into_iter().flatten() {
        let rejected: u64 = kind["bounced"]
            .as_object()
            .into_iter()
            .flatten()
            .filter_map(|reason| reason.1.as_u64())
            .sum();
        out += &format!(
            "{name:<10} {:>7} {:>7} {:>7} {rejected:>7} {:>7} {:>6} {:>8.1} {:>8.1} {:>8.1}\n",
            kind["calls"],
            kind["full"],
            kind["partial"],
            kind["unreachable"],
            kind["late"],
            kind["wait_ms"]["p50"].as_f64().unwrap_or(0.0),
            kind["wait_ms"]["p99"].as_f64().unwrap_or(0.0),
            kind["wait_ms"]["max"].as_f64().unwrap_or(0.0),
        );
    }
    out += &format!(
        "attempts: {} first, {} retries; worst 10 s: {} retries, {} beyond a fifth\n",
        report["first_dispatches"],
        report["second_tries"],
        report["worst_10s"]["second_tries"],
        report["worst_10s"]["over_a_fifth"]
    );
    out += &format!(
        "worst leaf {} at {}% of its capacity, {} attempts above it; operator requests {}\n",
        report["worst_leaf"]["leaf"],
        report["worst_leaf"]["pct_of_bears"],
        report["begun_beyond_bearing"],
        report["orders"]
    );
    for restart in report["restarts"].as_array().into_iter().flatten() {
        out += &format!(
            "restart at {} s: first full answers after {} ms, a change accepted after {} ms\n",
            restart["at_s"], restart["first_full_ms"], restart["accepted_ms"]
        );
    }
    if world.rules.violation_counts.is_empty() {
        out += "violations: none\n";
    } else {
        for (rule, n) in &world.rules.violation_counts {
            out += &format!("VIOLATIONS of rule {rule}: {n}\n");
        }
        for v in world.rules.violations.iter().take(5) {
            out += &format!("  at {:.3} s, rule {}: {}\n", v.at as f64 / 1e6, v.rule, v.text);
        }
    }
    out
}
