//! Metrics as Prometheus text.

use std::fmt::Write;

use grebepath_core::membership::node_agent::{Counters as NodeAgentCounters, NodeAgent};
use grebepath_core::query::statistics::{EngineStatistics, LATENCY_BUCKETS_MS};
use indexmap::IndexMap;

/// Metrics that the membership thread contributes.
pub struct MembershipMetrics {
    counts: NodeAgentCounters,
    revision: u64,
    members: u64,
    quota_threads: u64,
    withheld_leafs: u64,
}

/// Collects the membership thread's metrics.
pub fn membership(agent: &NodeAgent) -> MembershipMetrics {
    MembershipMetrics {
        counts: agent.counters.clone(),
        revision: agent.view.as_ref().map_or(0, |v| v.revision),
        members: agent.membership.members.len() as u64,
        withheld_leafs: agent.withheld_leafs as u64,
        quota_threads: agent.quota_members.iter().map(|m| u64::from(m.threads)).sum(),
    }
}

fn sum(all: &[EngineStatistics]) -> EngineStatistics {
    let mut out = EngineStatistics::default();
    for thread in all {
        out.full += thread.full;
        out.partial += thread.partial;
        for (reason, n) in &thread.rejected {
            *out.rejected.entry(*reason).or_default() += n;
        }
        for (kind, n) in &thread.failures {
            *out.failures.entry(*kind).or_default() += n;
        }
        out.first_attempts += thread.first_attempts;
        out.retries += thread.retries;
        out.retries_denied += thread.retries_denied;
        out.cancelled += thread.cancelled;
        out.trial_attempts += thread.trial_attempts;
        out.trial_failures += thread.trial_failures;
        for (i, n) in thread.latency_buckets.iter().enumerate() {
            out.latency_buckets[i] += n;
        }
        out.queries += thread.queries;
        out.in_flight += thread.in_flight;
        out.queued += thread.queued;
    }
    out
}

fn write_metric(out: &mut String, kind: &str, name: &str, help: &str, val: u64) {
    let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {val}");
}

fn write_labelled_counter<K: std::fmt::Display>(
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

/// Returns the metrics of all threads in the Prometheus text format.
pub fn text(
    all: &[EngineStatistics],
    membership: Option<MembershipMetrics>,
    ready: bool,
) -> String {
    let totals = sum(all);
    let mut exposition = String::new();
    let out = &mut exposition;
    let _ = writeln!(out, "# HELP grebe_outcomes_total Successes, with and without all shards.");
    let _ = writeln!(out, "# TYPE grebe_outcomes_total counter");
    let _ = writeln!(out, "grebe_outcomes_total{{kind=\"full\"}} {}", totals.full);
    let _ = writeln!(out, "grebe_outcomes_total{{kind=\"partial\"}} {}", totals.partial);
    write_labelled_counter(
        out,
        "grebe_bounces_total",
        "Calls bounced, by reason.",
        "reason",
        &totals.rejected,
    );
    write_labelled_counter(
        out,
        "grebe_dispatch_trouble_total",
        "Dispatches that failed, by kind.",
        "kind",
        &totals.failures,
    );
    write_metric(
        out,
        "counter",
        "grebe_first_dispatches_total",
        "First dispatches.",
        totals.first_attempts,
    );
    write_metric(
        out,
        "counter",
        "grebe_second_tries_total",
        "Second and later tries.",
        totals.retries,
    );
    write_metric(
        out,
        "counter",
        "grebe_second_tries_denied_total",
        "Second tries denied.",
        totals.retries_denied,
    );
    write_metric(
        out,
        "counter",
        "grebe_dispatches_dropped_total",
        "Dispatches given up.",
        totals.cancelled,
    );
    let help = "Attempts at versions that are tried.";
    write_metric(out, "counter", "grebe_trial_attempts_total", help, totals.trial_attempts);
    write_metric(
        out,
        "counter",
        "grebe_trial_failures_total",
        "Of these, failed.",
        totals.trial_failures,
    );
    write_metric(out, "gauge", "grebe_queries", "Queries in hand.", totals.queries);
    write_metric(out, "gauge", "grebe_dispatches", "Dispatches out.", totals.in_flight);
    write_metric(
        out,
        "gauge",
        "grebe_wanting",
        "Shards of queries that wait for room.",
        totals.queued,
    );
    let _ = writeln!(out, "# HELP grebe_outcome_ms Time to an outcome.");
    let _ = writeln!(out, "# TYPE grebe_outcome_ms histogram");
    let mut n = 0;
    for (i, le) in LATENCY_BUCKETS_MS.iter().enumerate() {
        n += totals.latency_buckets[i];
        let _ = writeln!(out, "grebe_outcome_ms_bucket{{le=\"{le}\"}} {n}");
    }
    n += totals.latency_buckets[LATENCY_BUCKETS_MS.len()];
    let _ = writeln!(out, "grebe_outcome_ms_bucket{{le=\"+Inf\"}} {n}\ngrebe_outcome_ms_count {n}");
    write_metric(out, "gauge", "grebe_ready", "Whether this node is ready.", u64::from(ready));
    if let Some(metrics) = membership {
        write_metric(
            out,
            "gauge",
            "grebe_revision",
            "Configuration revision obeyed.",
            metrics.revision,
        );
        write_metric(out, "gauge", "grebe_members", "Members of the cohort.", metrics.members);
        write_metric(
            out,
            "gauge",
            "grebe_shares",
            "Threads that divide the fleet's limits.",
            metrics.quota_threads,
        );
        let help = "Leafs of versions that are not in force.";
        write_metric(out, "gauge", "grebe_withheld_leafs", help, metrics.withheld_leafs);
        let counts = &metrics.counts;
        write_metric(out, "counter", "grebe_news_taken_total", "News taken.", counts.updates);
        write_metric(
            out,
            "counter",
            "grebe_news_from_members_total",
            "Of these, from members.",
            counts.updates_from_members,
        );
        write_metric(
            out,
            "counter",
            "grebe_list_polls_total",
            "Polls of the platform's list.",
            counts.list_polls,
        );
        write_metric(
            out,
            "counter",
            "grebe_list_substitute_polls_total",
            "Of these, in place of silent members.",
            counts.substitute_list_polls,
        );
        write_metric(
            out,
            "counter",
            "grebe_list_troubles_total",
            "Polls that failed.",
            counts.list_failures,
        );
        write_metric(out, "counter", "grebe_probes_total", "Probes of leafs.", counts.probes);
        write_metric(
            out,
            "counter",
            "grebe_cut_off_total",
            "Times this node was cut off alone.",
            counts.lease_lapses,
        );
    }
    exposition
}
