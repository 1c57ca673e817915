//! Forwarded requests in the query engine, driven event by event.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::consts;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, ReplyHeaders};
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::{Command, Event, OutgoingAttempt};
use grebepath_core::query::forwarded_request::{
    ForwardedReply, ForwardedRequest, MergedReply, merge_records,
};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::request::{Outcome, Rejection, RejectionReason};
use grebepath_core::random::Random;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, SECOND, Tick, ms};
use serde_json::{Value, json};

const NOW: Tick = BOOT + SECOND;

/// The contents of a cluster view: services with their numbers of leafs, which are in zones a
/// and b alternately.
struct TestView {
    services: Vec<(&'static str, usize)>,
    searches: Vec<Value>,
    slots: u32,
    drained: &'static str,
    leaving: Vec<String>,
}

fn test_view(services: &[(&'static str, usize)], searches: Vec<Value>) -> TestView {
    let (slots, drained) = (4, "none");
    TestView { services: services.to_vec(), searches, slots, drained, leaving: Vec::new() }
}

/// Builds the cluster view.
fn cluster_view(view: &TestView) -> ClusterView {
    let pools: Vec<Value> = view
        .services
        .iter()
        .map(|(s, _)| {
            json!({ "name": s, "service": s, "labels": { "pool": s }, "ramp_ms": 0,
                "steer": "seen" })
        })
        .collect();
    let conf = json!({ "pools": pools, "searches": view.searches,
        "zones": [{ "name": view.drained, "state": "drained" }] });
    let conf = Config::from_json(conf.to_string().as_bytes()).unwrap();
    let mut leafs = Vec::new();
    for (s, n) in &view.services {
        for i in 0..*n {
            let (leaf, zone) = (format!("{s}-{i}"), if i % 2 == 0 { "a" } else { "b" });
            leafs.push(LeafInfo {
                leaving: view.leaving.contains(&leaf),
                leaf,
                service: s.to_string(),
                addr: format!("127.0.0.1:{}", 100 + leafs.len()),
                labels: [("zone".to_string(), zone.to_string())].into(),
                age_ms: 3_600_000,
                slots: view.slots,
                cold: false,
            });
        }
    }
    ClusterView::new(7, Arc::new(RoutingTable::build(&conf).unwrap()), leafs)
}

/// Returns an engine with a filled retry budget for every service.
fn new_engine(view: &TestView) -> QueryEngine {
    let mut engine = QueryEngine::new("q", "a", 1, BOOT);
    engine.step(BOOT, Event::ClusterView(Arc::new(cluster_view(view))));
    engine.step(BOOT, Event::QuotaShare(QuotaShare::new(&[("q".into(), 1)], "q", 0)));
    engine.step(BOOT, Event::LeaseValidUntil(Tick::MAX));
    for (s, _) in &view.services {
        for _ in 0..200 {
            engine.service_retry_budget.record_first_attempt(s);
        }
    }
    engine
}

/// Returns a search that forwards to one service, with fields replaced by `more`.
fn forward_search(more: Value) -> Value {
    let mut out = json!({ "name": "s", "host": "h.example", "path": "/x/", "form": "pass",
        "promise_ms": 1000, "target_ms": 100, "attempts": 2,
        "plan": "from pool = \"p\" by pool; send wide; prefer local" });
    for (k, v) in more.as_object().unwrap() {
        out[k] = v.clone();
    }
    out
}

/// Returns a search that merges the shard results of services a, b, c and d.
fn merge_search(more: Value) -> Value {
    let plan = "from pool in (\"a\", \"b\", \"c\", \"d\") by pool; send wide; prefer local";
    let mut out = forward_search(
        json!({ "form": "join", "top": 5, "width": 16, "quorum": 0.5, "plan": plan }),
    );
    for (k, v) in more.as_object().unwrap() {
        out[k] = v.clone();
    }
    out
}

const FOUR_SERVICES: [(&str, usize); 4] = [("a", 3), ("b", 3), ("c", 3), ("d", 3)];

fn forwarded_request(host: &str, path: &str) -> ForwardedRequest {
    ForwardedRequest {
        id: "id-1".into(),
        method: "POST".into(),
        host: host.into(),
        path: path.into(),
        path_and_query: format!("{path}?q=%20"),
        headers: vec![("x-own".into(), b"v\xff".to_vec())],
        body: b"body".to_vec(),
        timeout: Some(ms(800)),
    }
}

fn forward(engine: &mut QueryEngine, now: Tick, call: u64, host: &str, path: &str) -> Vec<Command> {
    engine.step(now, Event::Forward { call, request: Arc::new(forwarded_request(host, path)) })
}

/// Forwards a request of `h.example` and returns the attempts that the engine sends.
fn forward_default(engine: &mut QueryEngine, now: Tick, call: u64) -> Vec<OutgoingAttempt> {
    sends(forward(engine, now, call, "h.example", "/x/y"))
}

/// Returns the attempts that commands send.
fn sends(commands: Vec<Command>) -> Vec<OutgoingAttempt> {
    commands
        .into_iter()
        .filter_map(|c| if let Command::Send(s) = c { Some(s) } else { None })
        .collect()
}

/// Returns the first response among commands.
fn response_of(commands: &[Command]) -> Option<&Outcome> {
    commands
        .iter()
        .find_map(|c| if let Command::Respond { outcome, .. } = c { Some(outcome) } else { None })
}

fn rejection(commands: &[Command]) -> Rejection {
    match response_of(commands) {
        Some(Outcome::Rejected(b)) => b.clone(),
        other => panic!("not a rejection: {other:?}"),
    }
}

fn forwarded_reply(commands: &[Command]) -> ForwardedReply {
    match response_of(commands) {
        Some(Outcome::Forwarded(p)) => p.clone(),
        other => panic!("not a forwarded reply: {other:?}"),
    }
}

fn merged_reply(commands: &[Command]) -> MergedReply {
    match response_of(commands) {
        Some(Outcome::Merged(j)) => j.clone(),
        other => panic!("not a merged reply: {other:?}"),
    }
}

fn leaf_reply(status: u16, stamps: &[&str], body: &[u8]) -> LeafReply {
    let postmarks = stamps.iter().map(|s| s.to_string()).collect();
    let heads = ReplyHeaders { postmarks, ..ReplyHeaders::default() };
    LeafReply { status, headers: heads, body: body.to_vec() }
}

fn good_reply(s: &OutgoingAttempt) -> LeafReply {
    leaf_reply(200, &[&format!("stamp-{}", s.leaf)], s.service.repeat(16).as_bytes())
}

fn not_executed(status: u16) -> LeafReply {
    let mut out = leaf_reply(status, &[], b"");
    out.headers.rejected = true;
    out
}

/// Turns a good reply into a bad one.
type Corruption = fn(&mut LeafReply);
type AttemptResult = std::result::Result<LeafReply, AttemptFailure>;

fn reply(
    engine: &mut QueryEngine,
    now: Tick,
    s: &OutgoingAttempt,
    got: AttemptResult,
) -> Vec<Command> {
    engine.step(now, Event::AttemptEnded { attempt: s.attempt, result: got })
}

fn wake(engine: &mut QueryEngine, now: Tick) -> Vec<Command> {
    engine.step(now, Event::Timer)
}

#[googletest::test]
fn a_request_is_routed_to_the_longest_matching_path_of_its_host() {
    // Guards against requests that reach the service of another search.
    let to = |name: &str, host: &str, path: &str, pool: &str| {
        forward_search(json!({ "name": name, "host": host, "path": path,
            "plan": format!("from pool = \"{pool}\" by pool; send wide") }))
    };
    let view = test_view(
        &[("p", 1), ("q", 1), ("r", 1), ("t", 1)],
        vec![
            to("1", "h.example", "/x/", "p"),
            to("2", "h.example", "/x/y/", "q"),
            to("3", "H2.Example", "/x/", "r"),
            to("4", "h.example", "/", "t"),
            to("5", "port.example:81", "/", "r"),
        ],
    );
    for (host, path, want) in [
        ("h.example", "/x/", Some("p")),
        ("h.example", "/x/y", Some("p")),
        ("h.example", "/x/y/", Some("q")),
        ("h.example", "/x/y/z", Some("q")),
        ("h.example", "/x", Some("t")),
        ("h.example", "/X/", Some("t")),
        ("H.EXAMPLE", "/x/1", Some("p")),
        ("h.example:8726", "/x/1", Some("p")),
        ("h2.example", "/x/1", Some("r")),
        ("h2.example", "/y/1", None),
        ("h2.example.", "/x/1", None),
        ("nobody.example", "/x/", None),
        ("", "/x/", None),
        ("port.example:81", "/", Some("r")),
        ("port.example:82", "/", None),
    ] {
        let mut engine = new_engine(&view);
        let commands = forward(&mut engine, NOW, 1, host, path);
        match want {
            None => expect_that!(
                rejection(&commands).reason,
                eq(RejectionReason::UnknownRoute),
                "{host}{path}"
            ),
            Some(pool) => {
                let list = sends(commands);
                expect_that!(list.len(), eq(1), "{host}{path}");
                expect_that!(list[0].service, eq(pool), "{host}{path}");
            }
        }
    }
}

#[googletest::test]
fn requests_and_replies_are_forwarded_unchanged() {
    let mut engine = new_engine(&test_view(&[("p", 2)], vec![forward_search(json!({}))]));
    let list = forward_default(&mut engine, NOW, 9);
    let p = list[0].forwarded.clone().unwrap();
    let want = forwarded_request("h.example", "/x/y");
    expect_that!(
        (&p.id, &p.method, &p.path_and_query),
        eq((&want.id, &want.method, &want.path_and_query))
    );
    expect_that!((&p.headers, &p.body), eq((&want.headers, &want.body)));
    // The timeout never exceeds the caller's remaining time or the search's deadline.
    expect_that!(list[0].timeout, le(ms(800)));
    expect_that!(list[0].timeout, ge(ms(700)));
    for (status, stamps) in [(200, vec!["st"]), (404, vec![]), (302, vec![]), (204, vec!["st"])] {
        let mut engine = new_engine(&test_view(&[("p", 2)], vec![forward_search(json!({}))]));
        let list = forward_default(&mut engine, NOW, 9);
        let mut raw = leaf_reply(status, &stamps, b"\x00any\xff");
        raw.headers.end_to_end = vec![("x".into(), b"\xfe".to_vec()), ("x".into(), b"2".to_vec())];
        let commands = reply(&mut engine, NOW + 5, &list[0], Ok(raw.clone()));
        let got = forwarded_reply(&commands);
        expect_that!(got.id, eq("id-1"));
        expect_that!((got.reply.status, &got.reply.body), eq((status, &raw.body)));
        expect_that!(got.reply.headers.end_to_end, eq(&raw.headers.end_to_end));
        expect_that!(commands.len(), eq(1));
        expect_that!(engine.queries.len() + engine.attempts.len(), eq(0));
        // A late duplicate of the reply causes nothing.
        expect_that!(reply(&mut engine, NOW + 6, &list[0], Ok(raw)).len(), eq(0));
    }
}

#[googletest::test]
fn a_failed_attempt_is_retried_on_another_leaf_and_returned_only_if_all_fail() {
    let mut engine = new_engine(&test_view(&[("p", 3)], vec![forward_search(json!({}))]));
    let first = forward_default(&mut engine, NOW, 1);
    let again = sends(reply(&mut engine, NOW + 5, &first[0], Ok(leaf_reply(500, &["st"], b"one"))));
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].leaf, not(eq(&first[0].leaf)));
    let commands = reply(&mut engine, NOW + 9, &again[0], Ok(good_reply(&again[0])));
    expect_that!(forwarded_reply(&commands).reply.status, eq(200));
    // If both attempts fail, the leaf's reply says more than a rejection by the engine.
    let first = forward_default(&mut engine, NOW, 2);
    let again = sends(reply(&mut engine, NOW + 5, &first[0], Ok(leaf_reply(500, &[], b"one"))));
    let commands = reply(&mut engine, NOW + 9, &again[0], Ok(leaf_reply(502, &[], b"two")));
    expect_that!(forwarded_reply(&commands).reply.status, eq(502));
    // A failure without a complete reply is never returned as a reply.
    let first = forward_default(&mut engine, NOW, 3);
    let again = sends(reply(&mut engine, NOW + 5, &first[0], Err(AttemptFailure::Truncated)));
    let commands = reply(&mut engine, NOW + 9, &again[0], Err(AttemptFailure::ReplyTooLarge));
    let b = rejection(&commands);
    expect_that!((b.reason, b.executed), eq((RejectionReason::BelowQuorum, true)));
}

#[googletest::test]
fn replies_that_do_not_belong_to_the_request_are_never_forwarded() {
    // Guards against the reply to another request, or an incomplete one, returned as a success.
    let corruptions: Vec<(&str, Corruption)> = vec![
        ("no stamp", |r| r.headers.postmarks.clear()),
        ("two stamps", |r| r.headers.postmarks.push("other".into())),
        ("foreign", |r| r.headers.is_mismatched = true),
        ("foreign failure", |r| (r.headers.is_mismatched, r.status) = (true, 404)),
        ("foreign reply that denies execution", |r| {
            (r.headers.is_mismatched, r.headers.rejected, r.status) = (true, true, 503);
        }),
    ];
    for (name, corrupt) in corruptions {
        for once in [false, true] {
            let mut engine =
                new_engine(&test_view(&[("p", 3)], vec![forward_search(json!({ "once": once }))]));
            let list = forward_default(&mut engine, NOW, 1);
            let mut got = good_reply(&list[0]);
            corrupt(&mut got);
            let commands = reply(&mut engine, NOW + 5, &list[0], Ok(got));
            if once {
                expect_that!(rejection(&commands).executed, eq(true), "{name}");
            } else {
                expect_that!(response_of(&commands).is_none(), eq(true), "{name}");
                expect_that!(sends(commands).len(), eq(1), "{name}");
            }
        }
    }
    // The platform's list now names the leaf under another service.
    let mut view = test_view(&[("p", 1), ("q", 1)], vec![forward_search(json!({}))]);
    let mut engine = new_engine(&view);
    let list = forward_default(&mut engine, NOW, 1);
    view.services = vec![("q", 1), ("p", 0)];
    let mut v = cluster_view(&view);
    let moved = LeafInfo { leaf: "p-0".into(), ..(*v.leafs["q-0"]).clone() };
    v.leafs.insert("p-0".into(), Arc::new(moved));
    engine.step(NOW + 1, Event::ClusterView(Arc::new(v)));
    let commands = reply(&mut engine, NOW + 5, &list[0], Ok(good_reply(&list[0])));
    expect_that!(matches!(response_of(&commands), Some(Outcome::Forwarded(_))), eq(false));
}

#[googletest::test]
fn a_misdirected_reply_to_another_request_proves_nothing_about_this_one() {
    // Guards against an at-most-once request that is executed twice, because a surplus reply to
    // another request says that it was not executed.
    let mut engine = new_engine(&test_view(
        &[("p", 3)],
        vec![forward_search(json!({ "once": true, "attempts": 3 }))],
    ));
    let list = forward_default(&mut engine, NOW, 1);
    let mut got = leaf_reply(421, &[], b"");
    got.headers.is_mismatched = true;
    let commands = reply(&mut engine, NOW + 5, &list[0], Ok(got));
    expect_that!(rejection(&commands).executed, eq(true));
    expect_that!(sends(commands).len(), eq(0));
}

#[googletest::test]
fn an_error_status_alone_does_not_prove_that_the_request_was_not_executed() {
    // Guards against callers that retry a request that was executed.
    for status in [408, 429, 503] {
        for once in [false, true] {
            let search = forward_search(json!({ "once": once, "attempts": 1 }));
            let mut engine = new_engine(&test_view(&[("p", 2)], vec![search]));
            let list = forward_default(&mut engine, NOW, 1);
            let commands =
                reply(&mut engine, NOW + 5, &list[0], Ok(leaf_reply(status, &["st"], b"")));
            expect_that!(rejection(&commands).executed, eq(true), "{status}");
        }
    }
}

/// Draws the result of an attempt, and returns whether the leaf may have executed the request.
fn any_reply(random: &mut Random, s: &OutgoingAttempt) -> (AttemptResult, bool) {
    match random.below(14) {
        0 | 1 => (Ok(good_reply(s)), true),
        2 => (Err(AttemptFailure::Truncated), true),
        3 => (Err(AttemptFailure::DeadlineExceeded), true),
        4 => (Err(AttemptFailure::ReplyTooLarge), true),
        5 => (Ok(leaf_reply(500, &["st"], b"")), true),
        6 => (Ok(leaf_reply(503, &[], b"")), true),
        7 => (Ok(leaf_reply(429, &[], b"")), true),
        8 => (Ok(leaf_reply(200, &[], b"")), true),
        9 => (Ok(not_executed(503)), false),
        10 => (Ok(not_executed(429)), false),
        11 => (Ok(leaf_reply(421, &[], b"")), false),
        _ => (Err(AttemptFailure::Unreachable), false),
    }
}

#[googletest::test]
fn an_at_most_once_request_is_never_sent_again_after_it_may_have_been_executed() {
    // Guards against requests that are executed twice.
    let (mut retried, mut not_executed_count) = (0, 0);
    for seed in 0..3_000 {
        let mut random = Random::new(seed);
        let attempts = 1 + random.below(4);
        let n = 1 + random.below(6) as usize;
        let search = forward_search(json!({ "once": true, "attempts": attempts }));
        let mut engine = new_engine(&test_view(&[("p", n)], vec![search]));
        let mut now = NOW;
        let mut out = forward_default(&mut engine, now, 1);
        let (mut executed, mut send_count, mut leafs) = (false, 0, Vec::new());
        let mut end = None;
        while let Some(s) = out.pop() {
            assert!(out.is_empty(), "seed {seed}: two attempts at once");
            assert!(
                s.at_most_once && !executed,
                "seed {seed}: sent again after it may have been executed"
            );
            assert!(!leafs.contains(&s.leaf), "seed {seed}: the same leaf twice");
            leafs.push(s.leaf.clone());
            send_count += 1;
            // No other attempt is made while the leaf is silent, however long that is.
            for _ in 0..random.below(5) {
                now += ms(random.below(200));
                let commands = wake(&mut engine, now);
                end = response_of(&commands).cloned().or(end);
                assert!(sends(commands).is_empty(), "seed {seed}: an attempt beside the first");
            }
            if end.is_some() {
                executed = true;
                break;
            }
            let (got, may_have_executed) = any_reply(&mut random, &s);
            executed |= may_have_executed;
            let commands = reply(&mut engine, now, &s, got);
            end = response_of(&commands).cloned();
            out = sends(commands);
        }
        while end.is_none() {
            let due = engine.next_due().unwrap();
            let commands = wake(&mut engine, due);
            end = response_of(&commands).cloned();
            assert!(sends(commands).is_empty(), "seed {seed}: sent late");
        }
        retried += u64::from(send_count > 1);
        if let Some(Outcome::Rejected(b)) = end {
            assert_eq!(b.executed, executed, "seed {seed}: {:?}", b.reason);
            not_executed_count += u64::from(!b.executed);
        }
    }
    // Both cases are frequent enough for the test to be meaningful.
    assert!(
        retried > 300 && not_executed_count > 100,
        "{retried} retried, {not_executed_count} rejected unexecuted"
    );
}

#[googletest::test]
fn requests_follow_the_weights_and_never_go_to_a_weight_of_zero() {
    for weights in [json!({ "a": 3, "b": 1, "c": 0 }), json!({ "a": 0, "b": 1, "c": 3 })] {
        let plan = "from pool in (\"a\", \"b\", \"c\") by pool; send one by weight";
        let search =
            forward_search(json!({ "plan": plan, "weights": weights, "needs": ["a", "b", "c"] }));
        let mut engine = new_engine(&test_view(&FOUR_SERVICES, vec![search]));
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for i in 0..8_000 {
            let list = forward_default(&mut engine, NOW, i);
            *counts.entry(list[0].service.clone()).or_default() += 1;
            reply(&mut engine, NOW + 1, &list[0], Ok(good_reply(&list[0])));
        }
        for (name, weight) in weights.as_object().unwrap() {
            let (got, want) =
                (counts.get(name).copied().unwrap_or(0), weight.as_u64().unwrap() * 2_000);
            // The tolerance is four standard deviations of 8,000 draws.
            assert!(got.abs_diff(want) <= 160 && (want > 0 || got == 0), "{weights}: {counts:?}");
        }
    }
}

#[googletest::test]
fn a_retry_of_a_weighted_request_stays_with_the_drawn_service() {
    let plan = "from pool in (\"a\", \"b\") by pool; send one by weight";
    let search = forward_search(json!({ "plan": plan, "weights": { "a": 1, "b": 1 } }));
    let view = test_view(&FOUR_SERVICES, vec![search]);
    let mut drawn = Vec::new();
    for i in 0..60 {
        let mut engine = new_engine(&view);
        engine.random = Random::new(i);
        let list = forward_default(&mut engine, NOW, i);
        drawn.push(list[0].service.clone());
        let again = sends(reply(&mut engine, NOW + 1, &list[0], Err(AttemptFailure::Unreachable)));
        expect_that!(again[0].service, eq(&list[0].service));
    }
    expect_that!(drawn.iter().any(|s| s == "a") && drawn.iter().any(|s| s == "b"), eq(true));
}

#[googletest::test]
fn only_complete_successes_with_one_postmark_count_as_shard_results() {
    // Guards against postmarks in a merged reply that no shard result belongs to.
    let corruptions: Vec<(&str, Corruption)> = vec![
        ("no stamp", |r| r.headers.postmarks.clear()),
        ("two stamps", |r| r.headers.postmarks.push("other".into())),
        ("foreign", |r| r.headers.is_mismatched = true),
        ("a failure with a stamp", |r| r.status = 500),
        ("not found with a stamp", |r| r.status = 404),
        ("moved with a stamp", |r| r.status = 302),
        ("unrun", |r| (r.headers.rejected, r.status) = (true, 503)),
        ("misdirected", |r| r.status = 421),
    ];
    for (name, corrupt) in corruptions {
        let mut engine =
            new_engine(&test_view(&FOUR_SERVICES, vec![merge_search(json!({ "attempts": 1 }))]));
        let list = forward_default(&mut engine, NOW, 1);
        expect_that!(list.len(), eq(4));
        let mut commands = Vec::new();
        for s in &list {
            let mut got = good_reply(s);
            if s.service == "b" {
                corrupt(&mut got);
            }
            commands = reply(&mut engine, NOW + 5, s, Ok(got));
        }
        let j = merged_reply(&commands);
        expect_that!((j.missing, j.postmarks.len()), eq((1, 3)), "{name}");
        expect_that!(j.postmarks.iter().any(|s| s.contains("stamp-b")), eq(false), "{name}");
        // The body holds the records of these shard results only.
        expect_that!(j.body, eq(["d", "c", "a"].map(|s| s.repeat(16)).concat().as_bytes()));
    }
}

#[googletest::test]
fn a_merged_reply_below_its_quorum_is_never_a_success() {
    for (quorum, partitions, is_success) in [
        (0.5, 2, true),
        (0.5, 1, false),
        (0.9, 3, false),
        (0.9, 4, true),
        (0.01, 1, true),
        (0.0, 0, false),
    ] {
        let search = merge_search(json!({ "quorum": quorum, "attempts": 1 }));
        let mut engine = new_engine(&test_view(&FOUR_SERVICES, vec![search]));
        let list = forward_default(&mut engine, NOW, 1);
        let mut end = None;
        for (i, s) in list.iter().enumerate() {
            let got =
                if i < partitions { Ok(good_reply(s)) } else { Ok(leaf_reply(500, &["st"], b"")) };
            let commands = reply(&mut engine, NOW + 5, s, got);
            end = end.or(response_of(&commands).cloned());
        }
        match end.unwrap() {
            Outcome::Merged(j) => {
                expect_that!(
                    (is_success, j.missing, j.postmarks.len()),
                    eq((true, 4 - partitions, partitions))
                );
            }
            Outcome::Rejected(b) => expect_that!((is_success, b.executed), eq((false, true))),
            other => panic!("{other:?}"),
        }
    }
}

#[googletest::test]
fn a_quorum_is_returned_at_the_latency_target_with_the_missing_shards() {
    let mut engine =
        new_engine(&test_view(&FOUR_SERVICES, vec![merge_search(json!({ "attempts": 1 }))]));
    let list = forward_default(&mut engine, NOW, 1);
    for s in &list[..3] {
        expect_that!(
            response_of(&reply(&mut engine, NOW + 5, s, Ok(good_reply(s)))).is_none(),
            eq(true)
        );
    }
    let at = engine.next_due().unwrap();
    expect_that!(at, lt(NOW + ms(100)), "there must be time for the response to reach the caller");
    expect_that!(at, ge(NOW + ms(80)));
    expect_that!(response_of(&wake(&mut engine, at - 1)).is_none(), eq(true));
    let j = merged_reply(&wake(&mut engine, at));
    expect_that!((j.missing, j.postmarks.len()), eq((1, 3)));
    // An attempt in flight is not cancelled immediately, and counts until it has ended.
    expect_that!(engine.attempts.len(), eq(1));
    expect_that!(engine.leafs[&list[3].leaf].in_flight, eq(1));
    reply(&mut engine, at + 9, &list[3], Ok(good_reply(&list[3])));
    expect_that!(engine.leafs[&list[3].leaf].in_flight, eq(0));
    // Two of four are a quorum, but the engine waits past the target for the missing shards.
    let list = forward_default(&mut engine, NOW, 2);
    for s in &list[..2] {
        reply(&mut engine, NOW + 5, s, Ok(good_reply(s)));
    }
    expect_that!(response_of(&wake(&mut engine, NOW + ms(99))).is_none(), eq(true));
    let commands = wake(&mut engine, NOW + ms(800));
    expect_that!(merged_reply(&commands).missing, eq(2));
}

#[googletest::test]
fn merged_bodies_are_the_greatest_records_of_all_shards() {
    // Guards against lost, duplicated, misplaced or incomplete records.
    for seed in 0..2_000 {
        let mut random = Random::new(seed);
        let width = [1usize, 3, 16, 16, 16][random.below(5) as usize];
        let top = random.below(30) as usize;
        // There are few different bytes, so that equal records are frequent.
        let kinds = 1 + random.below(4);
        let mut all: Vec<Vec<u8>> = Vec::new();
        let mut partitions: Vec<Vec<u8>> = Vec::new();
        for _ in 0..random.below(6) {
            let mut partition = Vec::new();
            for _ in 0..random.below(20) {
                let rec: Vec<u8> = (0..width).map(|_| (random.below(kinds) * 85) as u8).collect();
                partition.extend(&rec);
                all.push(rec);
            }
            // An incomplete record at the end, made of the greatest bytes.
            partition.extend(vec![0xff; random.below(width as u64) as usize]);
            partitions.push(partition);
        }
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(top);
        let refs: Vec<&[u8]> = partitions.iter().map(Vec::as_slice).collect();
        assert_eq!(merge_records(&refs, width, top), all.concat(), "seed {seed}");
    }
}

#[googletest::test]
fn a_silent_leaf_is_hedged_on_another_leaf_after_the_learned_delay() {
    let mut engine =
        new_engine(&test_view(&[("p", 4)], vec![forward_search(json!({ "attempts": 2 }))]));
    // Before the first sample, the hedge delay is a share of the latency target.
    let list = forward_default(&mut engine, NOW, 1);
    expect_that!(engine.next_due(), some(eq(NOW + ms(100) * consts::HEDGE_DELAY_TARGET_PCT / 100)));
    reply(&mut engine, NOW + ms(2), &list[0], Ok(good_reply(&list[0])));
    for i in 0..400 {
        let list = forward_default(&mut engine, NOW + i, 10 + i);
        reply(&mut engine, NOW + i + ms(4), &list[0], Ok(good_reply(&list[0])));
    }
    let at = NOW + SECOND;
    let first = forward_default(&mut engine, at, 2);
    let due = engine.next_due().unwrap();
    expect_that!(due, gt(at + ms(4)));
    expect_that!(due, lt(at + ms(20)));
    expect_that!(sends(wake(&mut engine, due - 1)).len(), eq(0));
    let second = sends(wake(&mut engine, due));
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].leaf, not(eq(&first[0].leaf)));
    // The number of attempts is limited: no third one, however long both leafs are silent.
    for k in 1..60 {
        expect_that!(sends(wake(&mut engine, due + ms(10 * k))).len(), eq(0));
    }
    let commands = reply(&mut engine, due + ms(600), &second[0], Ok(good_reply(&second[0])));
    expect_that!(forwarded_reply(&commands).reply.status, eq(200));
    // The other attempt is not cancelled immediately: its leaf still works on it, and it counts
    // as in flight.
    expect_that!(cancelled(&commands), is_empty());
    expect_that!(engine.leafs[&first[0].leaf].in_flight, eq(1));
    expect_that!(engine.statistics.failures.get(&AttemptFailure::Overtaken), some(eq(&1)));
    expect_that!(
        reply(&mut engine, due + ms(650), &first[0], Ok(good_reply(&first[0]))).len(),
        eq(0)
    );
    expect_that!(engine.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
}

#[googletest::test]
fn retries_are_bounded_by_the_budget_of_their_own_service() {
    // Guards against failures of one service that use up the retry budget of the others.
    let to = |name: &str, path: &str, pool: &str| {
        forward_search(json!({ "name": name, "path": path, "attempts": 10,
            "plan": format!("from pool = \"{pool}\" by pool; send wide") }))
    };
    let view = test_view(&[("p", 9), ("q", 9)], vec![to("1", "/p/", "p"), to("2", "/q/", "q")]);
    let mut engine = new_engine(&view);
    let budget = (consts::RETRY_SLACK * consts::RETRY_BUDGET_USE_PCT / 100) as usize;
    let mut retries = 0;
    let mut calls = 0;
    while retries < budget && calls < 100 {
        calls += 1;
        let mut out = sends(forward(&mut engine, NOW, calls, "h.example", "/p/"));
        while let Some(s) = out.pop() {
            out = sends(reply(&mut engine, NOW, &s, Err(AttemptFailure::Truncated)));
            retries += out.len();
        }
    }
    expect_that!(retries, ge(budget));
    // Each further request earns a fifth of a retry, and no more.
    let mut further_retries = 0;
    for i in 0..50 {
        let mut out = sends(forward(&mut engine, NOW, 1_000 + i, "h.example", "/p/"));
        while let Some(s) = out.pop() {
            out = sends(reply(&mut engine, NOW, &s, Err(AttemptFailure::Truncated)));
            further_retries += out.len();
        }
    }
    expect_that!(further_retries, le(10));
    expect_that!(engine.statistics.retries_denied, gt(0));
    let first = sends(forward(&mut engine, NOW, 5_000, "h.example", "/q/"));
    let again = sends(reply(&mut engine, NOW, &first[0], Err(AttemptFailure::Truncated)));
    expect_that!(again.len(), eq(1), "the other service's budget is unused");
}

#[googletest::test]
fn unreachable_leafs_cost_neither_an_attempt_nor_retry_budget() {
    let mut engine = new_engine(&test_view(
        &[("p", 8)],
        vec![forward_search(json!({ "attempts": 1, "once": true }))],
    ));
    engine.service_retry_budget.retain(|_| false);
    let mut out = forward_default(&mut engine, NOW, 1);
    let mut leafs = Vec::new();
    for _ in 0..consts::MAX_UNREACHABLE_LEAFS {
        let s = out.pop().unwrap();
        leafs.push(s.leaf.clone());
        out = sends(reply(&mut engine, NOW, &s, Err(AttemptFailure::Unreachable)));
        expect_that!(out.len(), eq(1));
        expect_that!(leafs.contains(&out[0].leaf), eq(false));
    }
    let commands = reply(&mut engine, NOW, &out[0], Ok(good_reply(&out[0])));
    expect_that!(forwarded_reply(&commands).reply.status, eq(200));
    expect_that!(engine.statistics.retries, eq(0));
    // A pool whose leafs are all unreachable does not hold a request forever.
    let mut out = forward_default(&mut engine, NOW, 2);
    let mut n = 0;
    let mut end = None;
    while let Some(s) = out.pop() {
        n += 1;
        let commands = reply(&mut engine, NOW, &s, Err(AttemptFailure::Unreachable));
        end = response_of(&commands).cloned();
        out = sends(commands);
    }
    expect_that!(n, eq(consts::MAX_UNREACHABLE_LEAFS + 1));
    let Some(Outcome::Rejected(b)) = end else { panic!("no outcome") };
    expect_that!(b.executed, eq(false), "no leaf received the request");
}

#[googletest::test]
fn leaving_leafs_and_drained_zones_get_no_retries() {
    // Guards against retries on leafs that began to leave, or whose zone was drained, after the
    // request arrived.
    for (drained, leaving) in [("b", vec![]), ("none", vec!["p-1".to_string()])] {
        let mut view = test_view(&[("p", 2)], vec![forward_search(json!({}))]);
        let mut engine = new_engine(&view);
        let list = forward_default(&mut engine, NOW, 1);
        expect_that!(list[0].leaf, eq("p-0"), "the local zone is preferred");
        (view.drained, view.leaving) = (drained, leaving);
        engine.step(NOW + 1, Event::ClusterView(Arc::new(cluster_view(&view))));
        expect_that!(sends(wake(&mut engine, NOW + ms(50))).len(), eq(0));
        let commands = reply(&mut engine, NOW + ms(60), &list[0], Err(AttemptFailure::Truncated));
        expect_that!(rejection(&commands).executed, eq(true));
        expect_that!(sends(commands).len(), eq(0));
    }
}

/// Sends requests until every leaf has reached its capacity, and returns the attempts.
fn fill_leafs(engine: &mut QueryEngine) -> Vec<OutgoingAttempt> {
    let mut out = Vec::new();
    for i in 0..1_000 {
        let list = forward_default(engine, NOW, 100 + i);
        if list.is_empty() {
            engine.step(NOW, Event::CallerGone { call: 100 + i });
            return out;
        }
        out.extend(list);
    }
    panic!("the leafs have unlimited capacity");
}

#[googletest::test]
fn queued_requests_never_go_to_leaving_leafs_or_drained_zones() {
    for (drained, leaving) in [("b", vec![]), ("none", vec!["p-1".to_string()])] {
        let mut view = test_view(&[("p", 2)], vec![forward_search(json!({ "attempts": 1 }))]);
        view.slots = 1;
        let mut engine = new_engine(&view);
        let out = fill_leafs(&mut engine);
        expect_that!(forward_default(&mut engine, NOW, 1).len(), eq(0));
        (view.drained, view.leaving) = (drained, leaving);
        let mut commands = engine.step(NOW + 1, Event::ClusterView(Arc::new(cluster_view(&view))));
        for s in out.iter().filter(|s| s.leaf == "p-1") {
            commands.extend(reply(&mut engine, NOW + 2, s, Ok(good_reply(s))));
        }
        expect_that!(sends(commands).len(), eq(0), "only leafs that may not be used have capacity");
        let own = out.iter().find(|s| s.leaf == "p-0").unwrap();
        let list = sends(reply(&mut engine, NOW + 3, own, Ok(good_reply(own))));
        expect_that!(list.len(), eq(1));
        expect_that!(list[0].leaf, eq("p-0"));
    }
}

#[googletest::test]
fn a_request_that_finds_no_capacity_in_time_is_rejected_unexecuted() {
    let mut view = test_view(&[("p", 2)], vec![forward_search(json!({ "once": true }))]);
    view.slots = 1;
    let mut engine = new_engine(&view);
    let out = fill_leafs(&mut engine);
    expect_that!(out.len(), ge(2));
    expect_that!(forward_default(&mut engine, NOW, 1).len(), eq(0));
    let queue_deadline = NOW + ms(100) * consts::QUEUE_TIMEOUT_PCT / 100;
    expect_that!(engine.next_due(), some(eq(queue_deadline)));
    expect_that!(response_of(&wake(&mut engine, queue_deadline - 1)).is_none(), eq(true));
    let commands = wake(&mut engine, queue_deadline);
    let b = rejection(&commands);
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoCapacity, false)));
    expect_that!(b.retry_after, some(gt(0)));
    expect_that!(sends(commands).len(), eq(0));
    // Capacity that becomes free in time is used.
    expect_that!(forward_default(&mut engine, NOW, 2).len(), eq(0));
    let list = sends(reply(&mut engine, NOW + ms(5), &out[0], Ok(good_reply(&out[0]))));
    expect_that!(list.len(), eq(1));
    expect_that!(list[0].leaf, eq(&out[0].leaf));
}

#[googletest::test]
fn a_rejection_says_whether_other_shards_may_have_executed() {
    // Guards against a rejection that denies execution while leafs still work on the request.
    let mut view = test_view(
        &[("a", 1), ("b", 1), ("c", 1), ("d", 0)],
        vec![merge_search(json!({ "quorum": 1.0 }))],
    );
    let mut engine = new_engine(&view);
    let commands = forward(&mut engine, NOW, 1, "h.example", "/x/");
    let b = rejection(&commands);
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoLeaf, true)));
    // The leafs of the other shards work on it, and their attempts are not cancelled.
    expect_that!(engine.attempts.len(), eq(3));
    // Without any leaf, nothing can have been executed.
    view.services = vec![("a", 0), ("b", 0), ("c", 0), ("d", 0)];
    let mut engine = new_engine(&view);
    let b = rejection(&forward(&mut engine, NOW, 1, "h.example", "/x/"));
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoLeaf, false)));
    // A leaf that is silent until the deadline may have executed it.
    let mut engine = new_engine(&test_view(&[("p", 1)], vec![forward_search(json!({}))]));
    forward_default(&mut engine, NOW, 1);
    let commands = wake(&mut engine, NOW + ms(800));
    let b = rejection(&commands);
    expect_that!((b.reason, b.executed), eq((RejectionReason::DeadlineExceeded, true)));
}

/// Returns whether a query still waits for an attempt's reply.
fn is_awaited(engine: &QueryEngine, sending: &OutgoingAttempt) -> bool {
    engine
        .queries
        .values()
        .flat_map(|query| &query.shards)
        .any(|shard| shard.in_flight.contains(&sending.attempt))
}

/// Returns the attempts that commands cancel.
fn cancelled(commands: &[Command]) -> Vec<u64> {
    let attempt = |command: &Command| match command {
        Command::CancelAttempt { attempt } => Some(*attempt),
        _ => None,
    };
    commands.iter().filter_map(attempt).collect()
}

#[googletest::test]
fn a_superseded_attempt_is_cancelled_within_a_tenth_of_a_second() {
    // Guards against leafs that work on superseded attempts: a hedge has won, and the first leaf
    // hangs.
    let mut engine =
        new_engine(&test_view(&[("p", 3)], vec![forward_search(json!({ "attempts": 2 }))]));
    let first = forward_default(&mut engine, NOW, 1);
    let due = engine.next_due().unwrap();
    let second = sends(wake(&mut engine, due));
    let won_at = due + ms(5);
    forwarded_reply(&reply(&mut engine, won_at, &second[0], Ok(good_reply(&second[0]))));
    let at = engine.next_due().unwrap();
    expect_that!(at, le(won_at + ms(100)));
    expect_that!(cancelled(&wake(&mut engine, at - 1)), is_empty());
    expect_that!(cancelled(&wake(&mut engine, at)), elements_are![eq(&first[0].attempt)]);
    expect_that!(engine.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
    expect_that!(engine.statistics.cancelled, eq(1));
}

#[googletest::test]
fn attempts_beyond_a_quorum_are_cancelled_and_count_as_failures_of_silent_leafs() {
    let mut engine =
        new_engine(&test_view(&FOUR_SERVICES, vec![merge_search(json!({ "attempts": 1 }))]));
    // The engine learns that the usual latency is 5 ms.
    for i in 0..20 {
        let list = forward_default(&mut engine, NOW + i, 10 + i);
        for s in &list {
            reply(&mut engine, NOW + i + ms(5), s, Ok(good_reply(s)));
        }
    }
    let at = NOW + SECOND;
    let list = forward_default(&mut engine, at, 1);
    for s in &list[..3] {
        reply(&mut engine, at + ms(5), s, Ok(good_reply(s)));
    }
    let responded_at = engine.next_due().unwrap();
    expect_that!(merged_reply(&wake(&mut engine, responded_at)).missing, eq(1));
    let commands = wake(&mut engine, responded_at + ms(100));
    expect_that!(cancelled(&commands), elements_are![eq(&list[3].attempt)]);
    expect_that!(engine.leafs[&list[3].leaf].consecutive_failures, eq(1));
}

#[googletest::test]
fn a_disconnected_caller_cancels_its_attempts_except_at_most_once_ones() {
    for (once, count) in [(false, 1), (true, 0)] {
        let mut engine =
            new_engine(&test_view(&[("p", 2)], vec![forward_search(json!({ "once": once }))]));
        let list = forward_default(&mut engine, NOW, 1);
        let commands = engine.step(NOW + ms(1), Event::CallerGone { call: 1 });
        expect_that!(cancelled(&commands).len(), eq(count));
        let in_flight: u64 = engine.leafs.values().map(|l| l.in_flight).sum();
        expect_that!(in_flight, eq(1 - count as u64));
        // A late end of the attempt has no further effect.
        reply(&mut engine, NOW + ms(2), &list[0], Ok(good_reply(&list[0])));
        expect_that!(engine.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
    }
}

#[googletest::test]
fn each_request_gets_exactly_one_response_in_time_under_random_events() {
    // Guards against requests that get no response, two responses or a late one, and against
    // attempts that count as in flight on a leaf after they have ended.
    for seed in 0..150 {
        let mut random = Random::new(seed);
        let mut view = test_view(
            &[("p", 4), ("a", 2), ("b", 2), ("c", 1), ("d", 2)],
            vec![
                forward_search(json!({ "path": "/p/", "attempts": 3 })),
                forward_search(
                    json!({ "name": "once", "path": "/o/", "once": true, "attempts": 3 }),
                ),
                merge_search(json!({ "name": "join", "path": "/j/" })),
            ],
        );
        view.slots = 1 + random.below(3) as u32;
        let mut engine = new_engine(&view);
        let mut now = NOW;
        let mut out: Vec<OutgoingAttempt> = Vec::new();
        let mut deadlines: BTreeMap<u64, Tick> = BTreeMap::new();
        let mut calls = 0;
        let mut steps = 0;
        while steps < 600 || !deadlines.is_empty() {
            steps += 1;
            let event = match random.below(10) {
                0..3 if steps < 600 => {
                    calls += 1;
                    let path = ["/p/", "/o/", "/j/"][random.below(3) as usize];
                    let mut p = forwarded_request("h.example", path);
                    p.timeout = Some(ms(1 + random.below(900)));
                    deadlines.insert(calls, now + p.timeout.unwrap());
                    Event::Forward { call: calls, request: Arc::new(p) }
                }
                3..7 if !out.is_empty() => {
                    let s = out.swap_remove(random.below(out.len() as u64) as usize);
                    Event::AttemptEnded { attempt: s.attempt, result: any_reply(&mut random, &s).0 }
                }
                7 if random.chance(1, 8) => {
                    view.drained = ["none", "a", "b"][random.below(3) as usize];
                    Event::ClusterView(Arc::new(cluster_view(&view)))
                }
                8 if random.chance(1, 8) && !deadlines.is_empty() => {
                    let i = random.next_u64() as usize % deadlines.len();
                    let gone = *deadlines.keys().nth(i).unwrap();
                    deadlines.remove(&gone);
                    Event::CallerGone { call: gone }
                }
                _ => {
                    // Time advances, but not past the engine's next timer.
                    let due = engine.next_due().unwrap_or(Tick::MAX);
                    now = (now + ms(random.below(30))).min(due.max(now));
                    Event::Timer
                }
            };
            for command in engine.step(now, event) {
                match command {
                    Command::Send(s) => out.push(s),
                    Command::Respond { call, .. } => {
                        let end = deadlines.remove(&call);
                        assert!(end.is_some_and(|e| now <= e), "seed {seed}: call {call}, {end:?}");
                    }
                    Command::CancelAttempt { attempt } => {
                        let position = out.iter().position(|s| s.attempt == attempt);
                        let s = out
                            .swap_remove(position.expect("the attempt was sent and has not ended"));
                        assert!(
                            !s.at_most_once,
                            "seed {seed}: an at-most-once attempt was cancelled"
                        );
                        // Its query has ended, or another attempt has answered for its shard.
                        let is_unused = !is_awaited(&engine, &s);
                        assert!(is_unused, "seed {seed}: an awaited attempt was cancelled");
                    }
                    Command::ReportLeaf { .. } | Command::ReportTrial(_) => {}
                }
            }
            for (name, leaf) in &engine.leafs {
                let live = out.iter().filter(|s| s.leaf == *name).count();
                assert_eq!(leaf.in_flight, live as u64, "seed {seed}: {name}");
            }
            assert!(steps < 100_000, "seed {seed}: {deadlines:?}");
        }
        expect_that!(engine.queries.len(), eq(0));
    }
}
