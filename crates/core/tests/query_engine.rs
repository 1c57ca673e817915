//! Tests of the query engine, one event at a time.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use googletest::prelude::*;
use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, ReplyHeaders, postmark};
use grebepath_core::query::engine::{QueryEngine, ServingState};
use grebepath_core::query::event::{Command, Event, OutgoingAttempt};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::request::{Outcome, RejectionReason, SearchRequest};
use grebepath_core::routing_language::selector::Labels;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, SECOND, Tick, ms};
use serde_json::json;

/// Returns a cluster view with two shards, each with a leaf in zones a and b, whose search uses the
/// given index version and in which zone `drained` is drained.
fn two_shard_view(index_version: &str, drained: &str) -> ClusterView {
    let mut pools = Vec::new();
    let mut leafs = Vec::new();
    for c in ["w1", "w2"] {
        for s in 0..2 {
            pools.push(json!({ "name": format!("p-{c}-{s}"), "service": format!("{c}-{s}"),
                "bears": 4, "labels": { "cut": c, "shard": s.to_string() } }));
            for zone in ["a", "b"] {
                let labels: Labels =
                    [("zone", zone), ("cut", c)].map(|(k, v)| (k.into(), v.into())).into();
                leafs.push(LeafInfo {
                    leaf: format!("{c}-{s}-{zone}"),
                    service: format!("{c}-{s}"),
                    addr: format!("127.0.0.1:{}", 100 + leafs.len()),
                    labels,
                    leaving: false,
                    age_ms: 3_600_000,
                    slots: 0,
                    cold: false,
                });
            }
        }
    }
    let config = json!({ "pools": pools,
        "searches": [{ "name": "s", "promise_ms": 1000, "quorum": 0.5, "attempts": 2,
            "plan": format!("from cut = \"{index_version}\" by shard\nsend wide\nwait 20%\nstop at quorum after 50%") }],
        "zones": [{ "name": drained, "state": "drained" }] });
    let config = Config::from_json(config.to_string().as_bytes()).unwrap();
    ClusterView::new(7, Arc::new(RoutingTable::build(&config).unwrap()), leafs)
}

fn engine_with(view: ClusterView) -> QueryEngine {
    let mut engine = QueryEngine::new("q", "a", 1, BOOT);
    engine.step(BOOT, Event::ClusterView(Arc::new(view)));
    engine.step(BOOT, Event::QuotaShare(QuotaShare::new(&[("q".into(), 1)], "q", 0)));
    engine.step(BOOT, Event::LeaseValidUntil(Tick::MAX));
    // Enough first attempts in the past that the retry budget allows every retry.
    for i in 0..400 {
        engine.retry_budget.record_first_attempt(BOOT + i);
    }
    engine
}

fn search(engine: &mut QueryEngine, now: Tick, call: u64) -> Vec<Command> {
    let search = SearchRequest {
        route: "s".into(),
        question: json!("what"),
        key: None,
        record_limit: 3,
        timeout: 2 * SECOND,
    };
    engine.step(now, Event::Search { call, request: search })
}

fn sent_attempts(commands: Vec<Command>) -> Vec<OutgoingAttempt> {
    commands
        .into_iter()
        .filter_map(|c| if let Command::Send(s) = c { Some(s) } else { None })
        .collect()
}

fn outcome_of(commands: &[Command]) -> Option<&Outcome> {
    commands
        .iter()
        .find_map(|c| if let Command::Respond { outcome, .. } = c { Some(outcome) } else { None })
}

fn valid_reply(attempt: &OutgoingAttempt, scores: &[u64]) -> LeafReply {
    let records: Vec<_> = scores
        .iter()
        .enumerate()
        .map(|(i, n)| json!({ "id": format!("{}{i}", attempt.service), "score": n }))
        .collect();
    let headers = ReplyHeaders {
        postmarks: vec![postmark(&attempt.leaf, &attempt.id, &attempt.body_digest)],
        ..ReplyHeaders::default()
    };
    LeafReply { status: 200, headers, body: json!({ "records": records }).to_string().into_bytes() }
}

fn reply(
    engine: &mut QueryEngine,
    now: Tick,
    attempt: &OutgoingAttempt,
    result: std::result::Result<LeafReply, AttemptFailure>,
) -> Vec<Command> {
    engine.step(now, Event::AttemptEnded { attempt: attempt.attempt, result })
}

#[googletest::test]
fn results_of_both_shards_are_merged_with_ties_by_id() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    let now = BOOT + SECOND;
    let attempts = sent_attempts(search(&mut engine, now, 1));
    expect_that!(attempts.len(), eq(2));
    // The local zone is preferred.
    expect_that!(attempts.iter().all(|s| s.leaf.ends_with("-a")), eq(true));
    let one = reply(&mut engine, now + 5, &attempts[1], Ok(valid_reply(&attempts[1], &[9, 5, 5])));
    expect_that!(outcome_of(&one).is_none(), eq(true));
    let two = reply(&mut engine, now + 6, &attempts[0], Ok(valid_reply(&attempts[0], &[9, 7])));
    let Some(Outcome::Answered(response)) = outcome_of(&two) else { panic!("no answer") };
    let ids: Vec<&str> = response.records.iter().map(|r| r.id.as_str()).collect();
    expect_that!(ids, elements_are![eq(&"w1-00"), eq(&"w1-10"), eq(&"w1-01")]);
    expect_that!((response.missing, response.index_version.as_str()), eq((0, "w1")));
    expect_that!(engine.queries.len() + engine.attempts.len(), eq(0));
    // A late copy of a reply changes nothing.
    expect_that!(
        reply(&mut engine, now + 7, &attempts[0], Ok(valid_reply(&attempts[0], &[1]))).len(),
        eq(0)
    );
}

#[googletest::test]
fn invalid_replies_are_discarded_and_retried_on_another_leaf() {
    type Corrupt = fn(&mut LeafReply, &OutgoingAttempt);
    let corruptions: [(AttemptFailure, Corrupt); 9] = [
        (AttemptFailure::MissingPostmark, |r, _| r.headers.postmarks.clear()),
        (AttemptFailure::DuplicatePostmark, |r, _| {
            r.headers.postmarks.push(r.headers.postmarks[0].clone())
        }),
        (AttemptFailure::PostmarkMismatch, |r, s| {
            r.headers.postmarks[0] = postmark(&s.leaf, "q-0.99", &s.body_digest);
        }),
        (AttemptFailure::PostmarkMismatch, |r, s| {
            r.headers.postmarks[0] = postmark("other", &s.id, &s.body_digest)
        }),
        (AttemptFailure::IndexVersionMismatch, |r, _| r.headers.index_version = Some("w2".into())),
        (AttemptFailure::MalformedReply, |r, _| r.body.truncate(9)),
        (AttemptFailure::Misdirected, |r, _| r.status = 421),
        (AttemptFailure::Rejected, |r, _| r.headers.rejected = true),
        (AttemptFailure::RecordsOutOfOrder, |r, _| {
            let records = json!([{ "id": "a", "score": 1 }, { "id": "b", "score": 2 }]);
            r.body = json!({ "records": records }).to_string().into_bytes();
        }),
    ];
    for (kind, corrupt) in corruptions {
        let mut engine = engine_with(two_shard_view("w1", "z"));
        let now = BOOT + SECOND;
        let attempts = sent_attempts(search(&mut engine, now, 1));
        let mut invalid_reply = valid_reply(&attempts[0], &[3]);
        corrupt(&mut invalid_reply, &attempts[0]);
        let retries = sent_attempts(reply(&mut engine, now + 5, &attempts[0], Ok(invalid_reply)));
        expect_that!(retries.len(), eq(1), "{kind}");
        expect_that!(retries[0].service, eq(&attempts[0].service));
        expect_that!(retries[0].leaf, not(eq(&attempts[0].leaf)));
        expect_that!(engine.statistics.failures.get(&kind), some(eq(&1)));
    }
}

#[googletest::test]
fn a_query_ends_at_quorum_after_its_share_of_the_timeout() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    let now = BOOT + SECOND;
    let attempts = sent_attempts(search(&mut engine, now, 1));
    reply(&mut engine, now + ms(5), &attempts[0], Ok(valid_reply(&attempts[0], &[3])));
    // The wait is 20 % of a second; then a hedge is sent to the other zone.
    expect_that!(engine.next_due(), some(eq(now + ms(200))));
    let second = sent_attempts(engine.step(now + ms(200), Event::Timer));
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].leaf, eq("w1-1-b"));
    let end = engine.step(now + ms(500), Event::Timer);
    let Some(Outcome::Answered(response)) = outcome_of(&end) else { panic!("no answer at quorum") };
    expect_that!((response.missing, response.shards.len()), eq((1, 1)));
    // Both attempts for the missing shard are cancelled.
    expect_that!(end.iter().filter(|c| matches!(c, Command::CancelAttempt { .. })).count(), eq(2));
}

#[googletest::test]
fn a_query_that_cannot_reach_quorum_is_rejected_at_once() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    // After the first window of the retry budget, so that its slack may be used too.
    let now = BOOT + 11 * SECOND;
    let attempts = sent_attempts(search(&mut engine, now, 1));
    let mut commands = Vec::new();
    for s in &attempts {
        let retries =
            sent_attempts(reply(&mut engine, now + 5, s, Err(AttemptFailure::Unreachable)));
        commands = reply(&mut engine, now + 9, &retries[0], Err(AttemptFailure::Unreachable));
    }
    let Some(Outcome::Rejected(rejection)) = outcome_of(&commands) else {
        panic!("no outcome at 9 µs")
    };
    expect_that!(rejection.reason, eq(RejectionReason::BelowQuorum));
}

#[googletest::test]
fn a_query_keeps_its_index_version_but_avoids_a_drained_zone() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    let now = BOOT + SECOND;
    let attempts = sent_attempts(search(&mut engine, now, 1));
    // During the query the search moves to a new index version and zone b is drained.
    engine.step(now + 10, Event::ClusterView(Arc::new(two_shard_view("w2", "b"))));
    let commands = reply(&mut engine, now + 20, &attempts[0], Err(AttemptFailure::Truncated));
    expect_that!(sent_attempts(commands).len(), eq(0), "the only other leaf is in zone b");
    let end = reply(&mut engine, now + 30, &attempts[1], Ok(valid_reply(&attempts[1], &[1])));
    let Some(Outcome::Answered(response)) = outcome_of(&end) else { panic!("no answer") };
    expect_that!((response.index_version.as_str(), response.missing), eq(("w1", 1)));
    let later = sent_attempts(search(&mut engine, now + 40, 2));
    expect_that!(later.iter().all(|s| s.service.starts_with("w2")), eq(true));
}

#[googletest::test]
fn attempts_are_cancelled_when_the_caller_disconnects() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    let attempts = sent_attempts(search(&mut engine, BOOT + SECOND, 1));
    let now = BOOT + SECOND + 5;
    let commands = engine.step(now, Event::CallerGone { call: 1 });
    expect_that!(commands.len(), eq(attempts.len()));
    // The leaf detects the closed connection a moment later; until then its slot counts as used.
    let in_flight = |engine: &QueryEngine| engine.leafs.values().map(|l| l.in_flight).sum::<u64>();
    expect_that!(in_flight(&engine), eq(attempts.len() as u64));
    let free_at = engine.next_due().unwrap();
    expect_that!(free_at, le(now + ms(10)));
    engine.step(free_at, Event::Timer);
    expect_that!(in_flight(&engine), eq(0));
}

#[googletest::test]
fn without_a_lease_no_query_is_accepted_and_no_attempt_sent() {
    let mut engine = engine_with(two_shard_view("w1", "z"));
    let now = BOOT + SECOND;
    let attempts = sent_attempts(search(&mut engine, now, 1));
    engine.step(now, Event::LeaseValidUntil(now + 50));
    let commands = reply(&mut engine, now + 60, &attempts[0], Err(AttemptFailure::Truncated));
    expect_that!(sent_attempts(commands).len(), eq(0));
    let commands = search(&mut engine, now + 70, 2);
    let Some(Outcome::Rejected(rejection)) = outcome_of(&commands) else {
        panic!("accepted without a lease")
    };
    expect_that!(rejection.reason, eq(RejectionReason::Isolated));
    // With a renewed lease, the query that waited continues.
    let commands = engine.step(now + 80, Event::LeaseValidUntil(Tick::MAX));
    expect_that!(sent_attempts(commands).len(), eq(1));
    engine.step(now + 90, Event::ServingState(ServingState::ShuttingDown));
    let commands = search(&mut engine, now + 91, 3);
    let Some(Outcome::Rejected(rejection)) = outcome_of(&commands) else {
        panic!("accepted during shutdown")
    };
    expect_that!(rejection.reason, eq(RejectionReason::ShuttingDown));
}

#[googletest::test]
fn allocations_of_all_threads_add_up_to_the_total() {
    let members: Vec<(String, u32)> = (0..7).map(|i| (format!("q{i}"), 1 + i % 3)).collect();
    let threads: Vec<(String, u32)> =
        members.iter().flat_map(|(m, n)| (0..*n).map(|t| (m.clone(), t))).collect();
    for total in [1u64, 2, 5, 13, 14, 40] {
        for thing in 0..20 {
            let sum: u64 = threads
                .iter()
                .map(|(m, t)| {
                    let s = QuotaShare::new(&members, m, *t);
                    s.allocation(s.rank(thing), total)
                })
                .sum();
            assert_eq!(sum, total);
        }
        // With balanced ranks over several leafs, every thread gets nearly the same sum.
        let rows: Vec<Vec<u64>> = threads
            .iter()
            .map(|(m, t)| {
                let s = QuotaShare::new(&members, m, *t);
                let ranks = s.balanced_ranks(5, &[total; 9]);
                ranks.iter().map(|r| s.allocation(*r, total)).collect()
            })
            .collect();
        for leaf in 0..9 {
            assert_eq!(rows.iter().map(|r| r[leaf]).sum::<u64>(), total);
        }
        let each: Vec<u64> = rows.iter().map(|r| r.iter().sum()).collect();
        assert!(each.iter().max().unwrap() - each.iter().min().unwrap() <= 1, "{each:?}");
    }
}
