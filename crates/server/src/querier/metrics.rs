//! Metrics as Prometheus text.

use std::fmt::Write;

use grebepath_core::membership::node_agent::{Counters as NodeAgentCounters, NodeAgent};
use grebepath_core::query::statistics::{EngineStatistics, LATENCY_BUCKETS_MS};
use indexmap::IndexMap;

/// What the membership thread tells.
pub struct MembershipMetrics {
    counts: NodeAgentCounters,
    revision: u64,
    members: u64,
    shares: u64,
    withheld_leafs: u64,
}

/// The membership thread's part.
pub fn membership(agent: &NodeAgent) -> MembershipMetrics {
    MembershipMetrics {
        counts: agent.counters.clone(),
        revision: agent.view.as_ref().map_or(0, |v| v.revision),
        members: agent.membership.members.len() as u64,
        withheld_leafs: agent.withheld_leafs as u64,
        shares: agent.quota_members.iter().map(|m| u64::from(m.threads)).sum(),
    }
}

fn sum(all: &[EngineStatistics]) -> EngineStatistics {
    let mut out = EngineStatistics::default();
    for c in all {
        out.full += c.full;
        out.partial += c.partial;
        for (k, v) in &c.rejected {
            *out.rejected.entry(*k).or_default() += v;
        }
        for (k, v) in &c.failures {
            *out.failures.entry(*k).or_default() += v;
        }
        out.first_attempts += c.first_attempts;
        out.retries += c.retries;
        out.retries_denied += c.retries_denied;
        out.cancelled += c.cancelled;
        out.trial_attempts += c.trial_attempts;
        out.trial_failures += c.trial_failures;
        for (i, n) in c.latency_buckets.iter().enumerate() {
            out.latency_buckets[i] += n;
        }
        out.queries += c.queries;
        out.in_flight += c.in_flight;
        out.queued += c.queued;
    }
    out
}

fn one(out: &mut String, kind: &str, name: &str, help: &str, val: u64) {
    let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {val}");
}

fn by<K: std::fmt::Display>(
    out: &mut String,
    name: &str,
    help: &str,
    label: &str,
    map: &IndexMap<K, u64>,
) {
    let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} counter");
    for (key, val) in map {
        let _ = writeln!(out, "{name}{{{label}=\"{key}\"}} {val}");
    }
}

/// The whole text.
pub fn text(
    all: &[EngineStatistics],
    membership: Option<MembershipMetrics>,
    ready: bool,
) -> String {
    let c = sum(all);
    let mut out = String::new();
    let o = &mut out;
    let _ = writeln!(o, "# HELP grebe_outcomes_total Successes, with and without all shards.");
    let _ = writeln!(o, "# TYPE grebe_outcomes_total counter");
    let _ = writeln!(o, "grebe_outcomes_total{{kind=\"full\"}} {}", c.full);
    let _ = writeln!(o, "grebe_outcomes_total{{kind=\"partial\"}} {}", c.partial);
    by(o, "grebe_bounces_total", "Calls bounced, by reason.", "reason", &c.rejected);
    by(o, "grebe_dispatch_trouble_total", "Dispatches that failed, by kind.", "kind", &c.failures);
    one(o, "counter", "grebe_first_dispatches_total", "First dispatches.", c.first_attempts);
    one(o, "counter", "grebe_second_tries_total", "Second and later tries.", c.retries);
    one(o, "counter", "grebe_second_tries_denied_total", "Second tries denied.", c.retries_denied);
    one(o, "counter", "grebe_dispatches_dropped_total", "Dispatches given up.", c.cancelled);
    let help = "Attempts at versions that are tried.";
    one(o, "counter", "grebe_trial_attempts_total", help, c.trial_attempts);
    one(o, "counter", "grebe_trial_failures_total", "Of these, failed.", c.trial_failures);
    one(o, "gauge", "grebe_queries", "Queries in hand.", c.queries);
    one(o, "gauge", "grebe_dispatches", "Dispatches out.", c.in_flight);
    one(o, "gauge", "grebe_wanting", "Shards of queries that wait for room.", c.queued);
    let _ = writeln!(o, "# HELP grebe_outcome_ms Time to an outcome.");
    let _ = writeln!(o, "# TYPE grebe_outcome_ms histogram");
    let mut n = 0;
    for (i, le) in LATENCY_BUCKETS_MS.iter().enumerate() {
        n += c.latency_buckets[i];
        let _ = writeln!(o, "grebe_outcome_ms_bucket{{le=\"{le}\"}} {n}");
    }
    n += c.latency_buckets[LATENCY_BUCKETS_MS.len()];
    let _ = writeln!(o, "grebe_outcome_ms_bucket{{le=\"+Inf\"}} {n}\ngrebe_outcome_ms_count {n}");
    one(o, "gauge", "grebe_ready", "Whether this node is ready.", u64::from(ready));
    if let Some(k) = membership {
        one(o, "gauge", "grebe_revision", "Configuration revision obeyed.", k.revision);
        one(o, "gauge", "grebe_members", "Members of the cohort.", k.members);
        one(o, "gauge", "grebe_shares", "Threads that divide the fleet's limits.", k.shares);
        let help = "Leafs of versions that are not in force.";
        one(o, "gauge", "grebe_withheld_leafs", help, k.withheld_leafs);
        let c = &k.counts;
        one(o, "counter", "grebe_news_taken_total", "News taken.", c.updates);
        one(
            o,
            "counter",
            "grebe_news_from_members_total",
            "Of these, from members.",
            c.updates_from_members,
        );
        one(o, "counter", "grebe_list_polls_total", "Polls of the platform's list.", c.list_polls);
        one(
            o,
            "counter",
            "grebe_list_substitute_polls_total",
            "Of these, in place of silent members.",
            c.substitute_list_polls,
        );
        one(o, "counter", "grebe_list_troubles_total", "Polls that failed.", c.list_failures);
        one(o, "counter", "grebe_probes_total", "Probes of leafs.", c.probes);
        one(
            o,
            "counter",
            "grebe_cut_off_total",
            "Times this node was cut off alone.",
            c.lease_lapses,
        );
    }
    out
}
