//! Calls that are handed over, at the owner of queries, event by event.

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

/// A world: leafs of each service `(name, leafs)`, in zones a and b by turns.
struct World {
    services: Vec<(&'static str, usize)>,
    searches: Vec<Value>,
    slots: u32,
    drained: &'static str,
    leaving: Vec<String>,
}

fn world(services: &[(&'static str, usize)], searches: Vec<Value>) -> World {
    let (slots, drained) = (4, "none");
    World { services: services.to_vec(), searches, slots, drained, leaving: Vec::new() }
}

fn seen(w: &World) -> ClusterView {
    let pools: Vec<Value> = w
        .services
        .iter()
        .map(|(s, _)| {
            json!({ "name": s, "service": s, "labels": { "pool": s }, "ramp_ms": 0,
                "steer": "seen" })
        })
        .collect();
    let conf = json!({ "pools": pools, "searches": w.searches,
        "zones": [{ "name": w.drained, "state": "drained" }] });
    let conf = Config::from_json(conf.to_string().as_bytes()).unwrap();
    let mut leafs = Vec::new();
    for (s, n) in &w.services {
        for i in 0..*n {
            let (leaf, zone) = (format!("{s}-{i}"), if i % 2 == 0 { "a" } else { "b" });
            leafs.push(LeafInfo {
                leaving: w.leaving.contains(&leaf),
                leaf,
                service: s.to_string(),
                addr: format!("127.0.0.1:{}", 100 + leafs.len()),
                labels: [("zone".to_string(), zone.to_string())].into(),
                age_ms: 3_600_000,
                slots: w.slots,
                cold: false,
            });
        }
    }
    ClusterView::new(7, Arc::new(RoutingTable::build(&conf).unwrap()), leafs)
}

/// An engine with a saved quota of second tries for every service.
fn open(w: &World) -> QueryEngine {
    let mut d = QueryEngine::new("q", "a", 1, BOOT);
    d.step(BOOT, Event::ClusterView(Arc::new(seen(w))));
    d.step(BOOT, Event::QuotaShare(QuotaShare::new(&[("q".into(), 1)], "q", 0)));
    d.step(BOOT, Event::LeaseValidUntil(Tick::MAX));
    for (s, _) in &w.services {
        for _ in 0..200 {
            d.service_retry_budget.record_first_attempt(s);
        }
    }
    d
}

/// A search of one service, its fields changed by `more`.
fn pass(more: Value) -> Value {
    let mut out = json!({ "name": "s", "host": "h.example", "path": "/x/", "form": "pass",
        "promise_ms": 1000, "target_ms": 100, "attempts": 2,
        "plan": "from pool = \"p\" by pool; send wide; prefer local" });
    for (k, v) in more.as_object().unwrap() {
        out[k] = v.clone();
    }
    out
}

/// A search that joins the parts of services a, b, c and d.
fn joined(more: Value) -> Value {
    let plan = "from pool in (\"a\", \"b\", \"c\", \"d\") by pool; send wide; prefer local";
    let mut out =
        pass(json!({ "form": "join", "top": 5, "width": 16, "quorum": 0.5, "plan": plan }));
    for (k, v) in more.as_object().unwrap() {
        out[k] = v.clone();
    }
    out
}

const FOUR: [(&str, usize); 4] = [("a", 3), ("b", 3), ("c", 3), ("d", 3)];

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

fn hand(d: &mut QueryEngine, now: Tick, call: u64, host: &str, path: &str) -> Vec<Command> {
    d.step(now, Event::Forward { call, request: Arc::new(forwarded_request(host, path)) })
}

fn call(d: &mut QueryEngine, now: Tick, call: u64) -> Vec<OutgoingAttempt> {
    sent(hand(d, now, call, "h.example", "/x/y"))
}

fn sent(todo: Vec<Command>) -> Vec<OutgoingAttempt> {
    todo.into_iter().filter_map(|c| if let Command::Send(s) = c { Some(s) } else { None }).collect()
}

fn told(todo: &[Command]) -> Option<&Outcome> {
    todo.iter()
        .find_map(|c| if let Command::Respond { outcome, .. } = c { Some(outcome) } else { None })
}

fn rejection(todo: &[Command]) -> Rejection {
    match told(todo) {
        Some(Outcome::Rejected(b)) => b.clone(),
        other => panic!("no rejection: {other:?}"),
    }
}

fn passed(todo: &[Command]) -> ForwardedReply {
    match told(todo) {
        Some(Outcome::Forwarded(p)) => p.clone(),
        other => panic!("nothing passed: {other:?}"),
    }
}

fn of_parts(todo: &[Command]) -> MergedReply {
    match told(todo) {
        Some(Outcome::Merged(j)) => j.clone(),
        other => panic!("nothing joined: {other:?}"),
    }
}

fn raw(status: u16, stamps: &[&str], body: &[u8]) -> LeafReply {
    let postmarks = stamps.iter().map(|s| s.to_string()).collect();
    let heads = ReplyHeaders { postmarks, ..ReplyHeaders::default() };
    LeafReply { status, headers: heads, body: body.to_vec() }
}

fn good(s: &OutgoingAttempt) -> LeafReply {
    raw(200, &[&format!("stamp-{}", s.leaf)], s.service.repeat(16).as_bytes())
}

fn unrun(status: u16) -> LeafReply {
    let mut out = raw(status, &[], b"");
    out.headers.rejected = true;
    out
}

/// Makes a good reply a bad one.
type Spoil = fn(&mut LeafReply);
type Got = std::result::Result<LeafReply, AttemptFailure>;

fn reply(d: &mut QueryEngine, now: Tick, s: &OutgoingAttempt, got: Got) -> Vec<Command> {
    d.step(now, Event::AttemptEnded { attempt: s.attempt, result: got })
}

fn wake(d: &mut QueryEngine, now: Tick) -> Vec<Command> {
    d.step(now, Event::Timer)
}

#[googletest::test]
fn a_request_is_routed_to_the_longest_matching_path_of_its_host() {
    // Guards against calls that reach the service of another search.
    let to = |name: &str, host: &str, path: &str, pool: &str| {
        pass(json!({ "name": name, "host": host, "path": path,
            "plan": format!("from pool = \"{pool}\" by pool; send wide") }))
    };
    let w = world(
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
        let mut d = open(&w);
        let todo = hand(&mut d, NOW, 1, host, path);
        match want {
            None => expect_that!(
                rejection(&todo).reason,
                eq(RejectionReason::UnknownRoute),
                "{host}{path}"
            ),
            Some(pool) => {
                let list = sent(todo);
                expect_that!(list.len(), eq(1), "{host}{path}");
                expect_that!(list[0].service, eq(pool), "{host}{path}");
            }
        }
    }
}

#[googletest::test]
fn requests_and_replies_are_forwarded_unchanged() {
    let mut d = open(&world(&[("p", 2)], vec![pass(json!({}))]));
    let list = call(&mut d, NOW, 9);
    let p = list[0].forwarded.clone().unwrap();
    let want = forwarded_request("h.example", "/x/y");
    expect_that!(
        (&p.id, &p.method, &p.path_and_query),
        eq((&want.id, &want.method, &want.path_and_query))
    );
    expect_that!((&p.headers, &p.body), eq((&want.headers, &want.body)));
    // Never more time than the caller and the promise leave.
    expect_that!(list[0].timeout, le(ms(800)));
    expect_that!(list[0].timeout, ge(ms(700)));
    for (status, stamps) in [(200, vec!["st"]), (404, vec![]), (302, vec![]), (204, vec!["st"])] {
        let mut d = open(&world(&[("p", 2)], vec![pass(json!({}))]));
        let list = call(&mut d, NOW, 9);
        let mut raw = raw(status, &stamps, b"\x00any\xff");
        raw.headers.end_to_end = vec![("x".into(), b"\xfe".to_vec()), ("x".into(), b"2".to_vec())];
        let todo = reply(&mut d, NOW + 5, &list[0], Ok(raw.clone()));
        let got = passed(&todo);
        expect_that!(got.id, eq("id-1"));
        expect_that!((got.reply.status, &got.reply.body), eq((status, &raw.body)));
        expect_that!(got.reply.headers.end_to_end, eq(&raw.headers.end_to_end));
        expect_that!(todo.len(), eq(1));
        expect_that!(d.queries.len() + d.attempts.len(), eq(0));
        // A late copy tells nobody anything.
        expect_that!(reply(&mut d, NOW + 6, &list[0], Ok(raw)).len(), eq(0));
    }
}

#[googletest::test]
fn a_failed_attempt_is_retried_on_another_leaf_and_returned_only_if_all_fail() {
    let mut d = open(&world(&[("p", 3)], vec![pass(json!({}))]));
    let first = call(&mut d, NOW, 1);
    let again = sent(reply(&mut d, NOW + 5, &first[0], Ok(raw(500, &["st"], b"one"))));
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].leaf, not(eq(&first[0].leaf)));
    let todo = reply(&mut d, NOW + 9, &again[0], Ok(good(&again[0])));
    expect_that!(passed(&todo).reply.status, eq(200));
    // Both fail: the leaf's own word says more than ours.
    let first = call(&mut d, NOW, 2);
    let again = sent(reply(&mut d, NOW + 5, &first[0], Ok(raw(500, &[], b"one"))));
    let todo = reply(&mut d, NOW + 9, &again[0], Ok(raw(502, &[], b"two")));
    expect_that!(passed(&todo).reply.status, eq(502));
    // A failure that is no answer at all never goes back as one.
    let first = call(&mut d, NOW, 3);
    let again = sent(reply(&mut d, NOW + 5, &first[0], Err(AttemptFailure::Truncated)));
    let todo = reply(&mut d, NOW + 9, &again[0], Err(AttemptFailure::ReplyTooLarge));
    let b = rejection(&todo);
    expect_that!((b.reason, b.executed), eq((RejectionReason::BelowQuorum, true)));
}

#[googletest::test]
fn replies_that_do_not_belong_to_the_request_are_never_forwarded() {
    // Guards against another call's answer, or half of one, told as a success.
    let spoils: Vec<(&str, Spoil)> = vec![
        ("no stamp", |r| r.headers.postmarks.clear()),
        ("two stamps", |r| r.headers.postmarks.push("other".into())),
        ("foreign", |r| r.headers.foreign = true),
        ("foreign failure", |r| (r.headers.foreign, r.status) = (true, 404)),
        ("foreign word that it did not run", |r| {
            (r.headers.foreign, r.headers.rejected, r.status) = (true, true, 503);
        }),
    ];
    for (name, spoil) in spoils {
        for once in [false, true] {
            let mut d = open(&world(&[("p", 3)], vec![pass(json!({ "once": once }))]));
            let list = call(&mut d, NOW, 1);
            let mut got = good(&list[0]);
            spoil(&mut got);
            let todo = reply(&mut d, NOW + 5, &list[0], Ok(got));
            if once {
                expect_that!(rejection(&todo).executed, eq(true), "{name}");
            } else {
                expect_that!(told(&todo).is_none(), eq(true), "{name}");
                expect_that!(sent(todo).len(), eq(1), "{name}");
            }
        }
    }
    // The platform's list names the leaf under another service by now.
    let mut w = world(&[("p", 1), ("q", 1)], vec![pass(json!({}))]);
    let mut d = open(&w);
    let list = call(&mut d, NOW, 1);
    w.services = vec![("q", 1), ("p", 0)];
    let mut v = seen(&w);
    let moved = LeafInfo { leaf: "p-0".into(), ..(*v.leafs["q-0"]).clone() };
    v.leafs.insert("p-0".into(), Arc::new(moved));
    d.step(NOW + 1, Event::ClusterView(Arc::new(v)));
    let todo = reply(&mut d, NOW + 5, &list[0], Ok(good(&list[0])));
    expect_that!(matches!(told(&todo), Some(Outcome::Forwarded(_))), eq(false));
}

#[googletest::test]
fn a_misdirected_reply_to_another_request_proves_nothing_about_this_one() {
    // Guards against a once-only call that runs twice because a surplus answer
    // says that another call has not run.
    let mut d = open(&world(&[("p", 3)], vec![pass(json!({ "once": true, "attempts": 3 }))]));
    let list = call(&mut d, NOW, 1);
    let mut got = raw(421, &[], b"");
    got.headers.foreign = true;
    let todo = reply(&mut d, NOW + 5, &list[0], Ok(got));
    expect_that!(rejection(&todo).executed, eq(true));
    expect_that!(sent(todo).len(), eq(0));
}

#[googletest::test]
fn an_error_status_alone_does_not_prove_that_the_request_was_not_executed() {
    // Guards against callers who try work again that has run.
    for status in [408, 429, 503] {
        for once in [false, true] {
            let search = pass(json!({ "once": once, "attempts": 1 }));
            let mut d = open(&world(&[("p", 2)], vec![search]));
            let list = call(&mut d, NOW, 1);
            let todo = reply(&mut d, NOW + 5, &list[0], Ok(raw(status, &["st"], b"")));
            expect_that!(rejection(&todo).executed, eq(true), "{status}");
        }
    }
}

/// What a reply to a once-only call may be, and whether the leaf may have run it.
fn any_reply(random: &mut Random, s: &OutgoingAttempt) -> (Got, bool) {
    match random.below(14) {
        0 | 1 => (Ok(good(s)), true),
        2 => (Err(AttemptFailure::Truncated), true),
        3 => (Err(AttemptFailure::DeadlineExceeded), true),
        4 => (Err(AttemptFailure::ReplyTooLarge), true),
        5 => (Ok(raw(500, &["st"], b"")), true),
        6 => (Ok(raw(503, &[], b"")), true),
        7 => (Ok(raw(429, &[], b"")), true),
        8 => (Ok(raw(200, &[], b"")), true),
        9 => (Ok(unrun(503)), false),
        10 => (Ok(unrun(429)), false),
        11 => (Ok(raw(421, &[], b"")), false),
        _ => (Err(AttemptFailure::Unreachable), false),
    }
}

#[googletest::test]
fn an_at_most_once_request_is_never_sent_again_after_it_may_have_been_executed() {
    // Guards against work that is done twice.
    let (mut again, mut promised) = (0, 0);
    for seed in 0..3_000 {
        let mut random = Random::new(seed);
        let attempts = 1 + random.below(4);
        let n = 1 + random.below(6) as usize;
        let search = pass(json!({ "once": true, "attempts": attempts }));
        let mut d = open(&world(&[("p", n)], vec![search]));
        let mut now = NOW;
        let mut out = call(&mut d, now, 1);
        let (mut ran, mut sends, mut leafs) = (false, 0, Vec::new());
        let mut end = None;
        while let Some(s) = out.pop() {
            assert!(out.is_empty(), "seed {seed}: two at once");
            assert!(s.at_most_once && !ran, "seed {seed}: sent again after it may have run");
            assert!(!leafs.contains(&s.leaf), "seed {seed}: the same leaf twice");
            leafs.push(s.leaf.clone());
            sends += 1;
            // However long the leaf is silent, nobody else is asked meanwhile.
            for _ in 0..random.below(5) {
                now += ms(random.below(200));
                let todo = wake(&mut d, now);
                end = told(&todo).cloned().or(end);
                assert!(sent(todo).is_empty(), "seed {seed}: a second beside the first");
            }
            if end.is_some() {
                ran = true;
                break;
            }
            let (got, may) = any_reply(&mut random, &s);
            ran |= may;
            let todo = reply(&mut d, now, &s, got);
            end = told(&todo).cloned();
            out = sent(todo);
        }
        while end.is_none() {
            let due = d.next_due().unwrap();
            let todo = wake(&mut d, due);
            end = told(&todo).cloned();
            assert!(sent(todo).is_empty(), "seed {seed}: sent late");
        }
        again += u64::from(sends > 1);
        if let Some(Outcome::Rejected(b)) = end {
            assert_eq!(b.executed, ran, "seed {seed}: {:?}", b.reason);
            promised += u64::from(!b.executed);
        }
    }
    // Both happen often enough for this to be worth something.
    assert!(again > 300 && promised > 100, "{again} again, {promised} promised");
}

#[googletest::test]
fn requests_follow_the_weights_and_never_go_to_a_weight_of_zero() {
    for weights in [json!({ "a": 3, "b": 1, "c": 0 }), json!({ "a": 0, "b": 1, "c": 3 })] {
        let plan = "from pool in (\"a\", \"b\", \"c\") by pool; send one by weight";
        let search = pass(json!({ "plan": plan, "weights": weights, "needs": ["a", "b", "c"] }));
        let mut d = open(&world(&FOUR, vec![search]));
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for i in 0..8_000 {
            let list = call(&mut d, NOW, i);
            *counts.entry(list[0].service.clone()).or_default() += 1;
            reply(&mut d, NOW + 1, &list[0], Ok(good(&list[0])));
        }
        for (name, weight) in weights.as_object().unwrap() {
            let (got, want) =
                (counts.get(name).copied().unwrap_or(0), weight.as_u64().unwrap() * 2_000);
            // Four standard deviations of 8,000 draws.
            assert!(got.abs_diff(want) <= 160 && (want > 0 || got == 0), "{weights}: {counts:?}");
        }
    }
}

#[googletest::test]
fn a_retry_of_a_weighted_request_stays_with_the_drawn_service() {
    let plan = "from pool in (\"a\", \"b\") by pool; send one by weight";
    let search = pass(json!({ "plan": plan, "weights": { "a": 1, "b": 1 } }));
    let w = world(&FOUR, vec![search]);
    let mut drawn = Vec::new();
    for i in 0..60 {
        let mut d = open(&w);
        d.random = Random::new(i);
        let list = call(&mut d, NOW, i);
        drawn.push(list[0].service.clone());
        let again = sent(reply(&mut d, NOW + 1, &list[0], Err(AttemptFailure::Unreachable)));
        expect_that!(again[0].service, eq(&list[0].service));
    }
    expect_that!(drawn.iter().any(|s| s == "a") && drawn.iter().any(|s| s == "b"), eq(true));
}

#[googletest::test]
fn only_complete_successes_with_one_postmark_count_as_shard_results() {
    // Guards against stamps in an answer that stand for no part.
    let spoils: Vec<(&str, Spoil)> = vec![
        ("no stamp", |r| r.headers.postmarks.clear()),
        ("two stamps", |r| r.headers.postmarks.push("other".into())),
        ("foreign", |r| r.headers.foreign = true),
        ("a failure with a stamp", |r| r.status = 500),
        ("not found with a stamp", |r| r.status = 404),
        ("moved with a stamp", |r| r.status = 302),
        ("unrun", |r| (r.headers.rejected, r.status) = (true, 503)),
        ("misdirected", |r| r.status = 421),
    ];
    for (name, spoil) in spoils {
        let mut d = open(&world(&FOUR, vec![joined(json!({ "attempts": 1 }))]));
        let list = call(&mut d, NOW, 1);
        expect_that!(list.len(), eq(4));
        let mut todo = Vec::new();
        for s in &list {
            let mut got = good(s);
            if s.service == "b" {
                spoil(&mut got);
            }
            todo = reply(&mut d, NOW + 5, s, Ok(got));
        }
        let j = of_parts(&todo);
        expect_that!((j.missing, j.postmarks.len()), eq((1, 3)), "{name}");
        expect_that!(j.postmarks.iter().any(|s| s.contains("stamp-b")), eq(false), "{name}");
        // The body holds the records of just these parts.
        expect_that!(j.body, eq(["d", "c", "a"].map(|s| s.repeat(16)).concat().as_bytes()));
    }
}

#[googletest::test]
fn a_merged_reply_below_its_quorum_is_never_a_success() {
    for (quorum, partitions, fine) in [
        (0.5, 2, true),
        (0.5, 1, false),
        (0.9, 3, false),
        (0.9, 4, true),
        (0.01, 1, true),
        (0.0, 0, false),
    ] {
        let search = joined(json!({ "quorum": quorum, "attempts": 1 }));
        let mut d = open(&world(&FOUR, vec![search]));
        let list = call(&mut d, NOW, 1);
        let mut end = None;
        for (i, s) in list.iter().enumerate() {
            let got = if i < partitions { Ok(good(s)) } else { Ok(raw(500, &["st"], b"")) };
            let todo = reply(&mut d, NOW + 5, s, got);
            end = end.or(told(&todo).cloned());
        }
        match end.unwrap() {
            Outcome::Merged(j) => {
                expect_that!(
                    (fine, j.missing, j.postmarks.len()),
                    eq((true, 4 - partitions, partitions))
                );
            }
            Outcome::Rejected(b) => expect_that!((fine, b.executed), eq((false, true))),
            other => panic!("{other:?}"),
        }
    }
}

#[googletest::test]
fn a_quorum_is_returned_at_the_latency_target_with_the_missing_shards() {
    let mut d = open(&world(&FOUR, vec![joined(json!({ "attempts": 1 }))]));
    let list = call(&mut d, NOW, 1);
    for s in &list[..3] {
        expect_that!(told(&reply(&mut d, NOW + 5, s, Ok(good(s)))).is_none(), eq(true));
    }
    let at = d.next_due().unwrap();
    expect_that!(at, lt(NOW + ms(100)), "there must be time for the way home");
    expect_that!(at, ge(NOW + ms(80)));
    expect_that!(told(&wake(&mut d, at - 1)).is_none(), eq(true));
    let j = of_parts(&wake(&mut d, at));
    expect_that!((j.missing, j.postmarks.len()), eq((1, 3)));
    // What is still out is not broken off at once, and counts until it has ended.
    expect_that!(d.attempts.len(), eq(1));
    expect_that!(d.leafs[&list[3].leaf].in_flight, eq(1));
    reply(&mut d, at + 9, &list[3], Ok(good(&list[3])));
    expect_that!(d.leafs[&list[3].leaf].in_flight, eq(0));
    // Two of four are a quorum here, but worth more whole and a little late.
    let list = call(&mut d, NOW, 2);
    for s in &list[..2] {
        reply(&mut d, NOW + 5, s, Ok(good(s)));
    }
    expect_that!(told(&wake(&mut d, NOW + ms(99))).is_none(), eq(true));
    let todo = wake(&mut d, NOW + ms(800));
    expect_that!(of_parts(&todo).missing, eq(2));
}

#[googletest::test]
fn merged_bodies_are_the_greatest_records_of_all_shards() {
    // Guards against lost, doubled or misplaced records, and half ones.
    for seed in 0..2_000 {
        let mut random = Random::new(seed);
        let width = [1usize, 3, 16, 16, 16][random.below(5) as usize];
        let top = random.below(30) as usize;
        // Few different bytes, so that equal records are common.
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
            // A rest that is no record, made of the greatest bytes.
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
    let mut d = open(&world(&[("p", 4)], vec![pass(json!({ "attempts": 2 }))]));
    // Before anything is learned, the wait is a share of the target.
    let list = call(&mut d, NOW, 1);
    expect_that!(d.next_due(), some(eq(NOW + ms(100) * consts::HEDGE_DELAY_TARGET_PCT / 100)));
    reply(&mut d, NOW + ms(2), &list[0], Ok(good(&list[0])));
    for i in 0..400 {
        let list = call(&mut d, NOW + i, 10 + i);
        reply(&mut d, NOW + i + ms(4), &list[0], Ok(good(&list[0])));
    }
    let at = NOW + SECOND;
    let first = call(&mut d, at, 2);
    let due = d.next_due().unwrap();
    expect_that!(due, gt(at + ms(4)));
    expect_that!(due, lt(at + ms(20)));
    expect_that!(sent(wake(&mut d, due - 1)).len(), eq(0));
    let second = sent(wake(&mut d, due));
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].leaf, not(eq(&first[0].leaf)));
    // Attempts bound it: no third, however long both are silent.
    for k in 1..60 {
        expect_that!(sent(wake(&mut d, due + ms(10 * k))).len(), eq(0));
    }
    let todo = reply(&mut d, due + ms(600), &second[0], Ok(good(&second[0])));
    expect_that!(passed(&todo).reply.status, eq(200));
    // The loser is not dropped at once: its leaf works on it, and that counts.
    expect_that!(cancelled(&todo), is_empty());
    expect_that!(d.leafs[&first[0].leaf].in_flight, eq(1));
    expect_that!(d.statistics.failures.get(&AttemptFailure::Overtaken), some(eq(&1)));
    expect_that!(reply(&mut d, due + ms(650), &first[0], Ok(good(&first[0]))).len(), eq(0));
    expect_that!(d.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
}

#[googletest::test]
fn retries_are_bounded_by_the_budget_of_their_own_service() {
    // Guards against one service's trouble that eats the others' quota.
    let to = |name: &str, path: &str, pool: &str| {
        pass(json!({ "name": name, "path": path, "attempts": 10,
            "plan": format!("from pool = \"{pool}\" by pool; send wide") }))
    };
    let w = world(&[("p", 9), ("q", 9)], vec![to("1", "/p/", "p"), to("2", "/q/", "q")]);
    let mut d = open(&w);
    let saved = (consts::RETRY_SLACK * consts::RETRY_BUDGET_USE_PCT / 100) as usize;
    let mut seconds = 0;
    let mut calls = 0;
    while seconds < saved && calls < 100 {
        calls += 1;
        let mut out = sent(hand(&mut d, NOW, calls, "h.example", "/p/"));
        while let Some(s) = out.pop() {
            out = sent(reply(&mut d, NOW, &s, Err(AttemptFailure::Truncated)));
            seconds += out.len();
        }
    }
    expect_that!(seconds, ge(saved));
    // Each further call earns a fifth of a try, and no more.
    let mut more = 0;
    for i in 0..50 {
        let mut out = sent(hand(&mut d, NOW, 1_000 + i, "h.example", "/p/"));
        while let Some(s) = out.pop() {
            out = sent(reply(&mut d, NOW, &s, Err(AttemptFailure::Truncated)));
            more += out.len();
        }
    }
    expect_that!(more, le(10));
    expect_that!(d.statistics.retries_denied, gt(0));
    let first = sent(hand(&mut d, NOW, 5_000, "h.example", "/q/"));
    let again = sent(reply(&mut d, NOW, &first[0], Err(AttemptFailure::Truncated)));
    expect_that!(again.len(), eq(1), "the other service's quota is whole");
}

#[googletest::test]
fn unreachable_leafs_cost_neither_an_attempt_nor_retry_budget() {
    let mut d = open(&world(&[("p", 8)], vec![pass(json!({ "attempts": 1, "once": true }))]));
    d.service_retry_budget.retain(|_| false);
    let mut out = call(&mut d, NOW, 1);
    let mut leafs = Vec::new();
    for _ in 0..consts::MAX_UNREACHABLE_LEAFS {
        let s = out.pop().unwrap();
        leafs.push(s.leaf.clone());
        out = sent(reply(&mut d, NOW, &s, Err(AttemptFailure::Unreachable)));
        expect_that!(out.len(), eq(1));
        expect_that!(leafs.contains(&out[0].leaf), eq(false));
    }
    let todo = reply(&mut d, NOW, &out[0], Ok(good(&out[0])));
    expect_that!(passed(&todo).reply.status, eq(200));
    expect_that!(d.statistics.retries, eq(0));
    // But a whole pool that can't be reached does not keep a call for ever.
    let mut out = call(&mut d, NOW, 2);
    let mut n = 0;
    let mut end = None;
    while let Some(s) = out.pop() {
        n += 1;
        let todo = reply(&mut d, NOW, &s, Err(AttemptFailure::Unreachable));
        end = told(&todo).cloned();
        out = sent(todo);
    }
    expect_that!(n, eq(consts::MAX_UNREACHABLE_LEAFS + 1));
    let Some(Outcome::Rejected(b)) = end else { panic!("no outcome") };
    expect_that!(b.executed, eq(false), "nothing arrived anywhere");
}

#[googletest::test]
fn leaving_leafs_and_drained_zones_get_no_retries() {
    // Guards against work for leafs that were told off after the call came.
    for (drained, leaving) in [("b", vec![]), ("none", vec!["p-1".to_string()])] {
        let mut w = world(&[("p", 2)], vec![pass(json!({}))]);
        let mut d = open(&w);
        let list = call(&mut d, NOW, 1);
        expect_that!(list[0].leaf, eq("p-0"), "the local zone is preferred");
        (w.drained, w.leaving) = (drained, leaving);
        d.step(NOW + 1, Event::ClusterView(Arc::new(seen(&w))));
        expect_that!(sent(wake(&mut d, NOW + ms(50))).len(), eq(0));
        let todo = reply(&mut d, NOW + ms(60), &list[0], Err(AttemptFailure::Truncated));
        expect_that!(rejection(&todo).executed, eq(true));
        expect_that!(sent(todo).len(), eq(0));
    }
}

/// Fills every leaf of a world of `n` leafs with one slot each.
fn full(d: &mut QueryEngine) -> Vec<OutgoingAttempt> {
    let mut out = Vec::new();
    for i in 0..1_000 {
        let list = call(d, NOW, 100 + i);
        if list.is_empty() {
            d.step(NOW, Event::CallerGone { call: 100 + i });
            return out;
        }
        out.extend(list);
    }
    panic!("leafs without bounds");
}

#[googletest::test]
fn queued_requests_never_go_to_leaving_leafs_or_drained_zones() {
    for (drained, leaving) in [("b", vec![]), ("none", vec!["p-1".to_string()])] {
        let mut w = world(&[("p", 2)], vec![pass(json!({ "attempts": 1 }))]);
        w.slots = 1;
        let mut d = open(&w);
        let out = full(&mut d);
        expect_that!(call(&mut d, NOW, 1).len(), eq(0));
        (w.drained, w.leaving) = (drained, leaving);
        let mut todo = d.step(NOW + 1, Event::ClusterView(Arc::new(seen(&w))));
        for s in out.iter().filter(|s| s.leaf == "p-1") {
            todo.extend(reply(&mut d, NOW + 2, s, Ok(good(s))));
        }
        expect_that!(sent(todo).len(), eq(0), "there is room only where nobody may go");
        let own = out.iter().find(|s| s.leaf == "p-0").unwrap();
        let list = sent(reply(&mut d, NOW + 3, own, Ok(good(own))));
        expect_that!(list.len(), eq(1));
        expect_that!(list[0].leaf, eq("p-0"));
    }
}

#[googletest::test]
fn a_request_that_finds_no_capacity_in_time_is_rejected_unexecuted() {
    let mut w = world(&[("p", 2)], vec![pass(json!({ "once": true }))]);
    w.slots = 1;
    let mut d = open(&w);
    let out = full(&mut d);
    expect_that!(out.len(), ge(2));
    expect_that!(call(&mut d, NOW, 1).len(), eq(0));
    let hold = NOW + ms(100) * consts::QUEUE_TIMEOUT_PCT / 100;
    expect_that!(d.next_due(), some(eq(hold)));
    expect_that!(told(&wake(&mut d, hold - 1)).is_none(), eq(true));
    let todo = wake(&mut d, hold);
    let b = rejection(&todo);
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoCapacity, false)));
    expect_that!(b.retry_after, some(gt(0)));
    expect_that!(sent(todo).len(), eq(0));
    // Room that comes in time is used.
    expect_that!(call(&mut d, NOW, 2).len(), eq(0));
    let list = sent(reply(&mut d, NOW + ms(5), &out[0], Ok(good(&out[0]))));
    expect_that!(list.len(), eq(1));
    expect_that!(list[0].leaf, eq(&out[0].leaf));
}

#[googletest::test]
fn a_rejection_says_whether_other_shards_may_have_executed() {
    // Guards against the promise that nothing ran while leafs still work.
    let mut w =
        world(&[("a", 1), ("b", 1), ("c", 1), ("d", 0)], vec![joined(json!({ "quorum": 1.0 }))]);
    let mut d = open(&w);
    let todo = hand(&mut d, NOW, 1, "h.example", "/x/");
    let b = rejection(&todo);
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoLeaf, true)));
    // Their leafs are at work, and are not called off.
    expect_that!(d.attempts.len(), eq(3));
    // With no leaf at all nothing can have run.
    w.services = vec![("a", 0), ("b", 0), ("c", 0), ("d", 0)];
    let mut d = open(&w);
    let b = rejection(&hand(&mut d, NOW, 1, "h.example", "/x/"));
    expect_that!((b.reason, b.executed), eq((RejectionReason::NoLeaf, false)));
    // A leaf that is silent until the end may have run it.
    let mut d = open(&world(&[("p", 1)], vec![pass(json!({}))]));
    call(&mut d, NOW, 1);
    let todo = wake(&mut d, NOW + ms(800));
    let b = rejection(&todo);
    expect_that!((b.reason, b.executed), eq((RejectionReason::DeadlineExceeded, true)));
}

/// Whether an attempt's reply would still be of use to its query.
fn has_open_call(d: &QueryEngine, sending: &OutgoingAttempt) -> bool {
    d.queries
        .values()
        .flat_map(|query| &query.shards)
        .any(|shard| shard.in_flight.contains(&sending.attempt))
}

/// The attempts that commands cancel.
fn cancelled(commands: &[Command]) -> Vec<u64> {
    let attempt = |command: &Command| match command {
        Command::CancelAttempt { attempt } => Some(*attempt),
        _ => None,
    };
    commands.iter().filter_map(attempt).collect()
}

#[googletest::test]
fn a_superseded_attempt_is_cancelled_within_a_tenth_of_a_second() {
    // Guards against leafs that work for nobody: a hedge has won, the leaf hangs.
    let mut d = open(&world(&[("p", 3)], vec![pass(json!({ "attempts": 2 }))]));
    let first = call(&mut d, NOW, 1);
    let due = d.next_due().unwrap();
    let second = sent(wake(&mut d, due));
    let won = due + ms(5);
    passed(&reply(&mut d, won, &second[0], Ok(good(&second[0]))));
    let at = d.next_due().unwrap();
    expect_that!(at, le(won + ms(100)));
    expect_that!(cancelled(&wake(&mut d, at - 1)), is_empty());
    expect_that!(cancelled(&wake(&mut d, at)), elements_are![eq(&first[0].attempt)]);
    expect_that!(d.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
    expect_that!(d.statistics.cancelled, eq(1));
}

#[googletest::test]
fn attempts_beyond_a_quorum_are_cancelled_and_count_as_failures_of_silent_leafs() {
    let mut d = open(&world(&FOUR, vec![joined(json!({ "attempts": 1 }))]));
    // Their usual time is known: 5 ms.
    for i in 0..20 {
        let list = call(&mut d, NOW + i, 10 + i);
        for s in &list {
            reply(&mut d, NOW + i + ms(5), s, Ok(good(s)));
        }
    }
    let at = NOW + SECOND;
    let list = call(&mut d, at, 1);
    for s in &list[..3] {
        reply(&mut d, at + ms(5), s, Ok(good(s)));
    }
    let told_at = d.next_due().unwrap();
    expect_that!(of_parts(&wake(&mut d, told_at)).missing, eq(1));
    let todo = wake(&mut d, told_at + ms(100));
    expect_that!(cancelled(&todo), elements_are![eq(&list[3].attempt)]);
    expect_that!(d.leafs[&list[3].leaf].consecutive_failures, eq(1));
}

#[googletest::test]
fn a_disconnected_caller_cancels_its_attempts_except_at_most_once_ones() {
    for (once, count) in [(false, 1), (true, 0)] {
        let mut d = open(&world(&[("p", 2)], vec![pass(json!({ "once": once }))]));
        let list = call(&mut d, NOW, 1);
        let todo = d.step(NOW + ms(1), Event::CallerGone { call: 1 });
        expect_that!(cancelled(&todo).len(), eq(count));
        let still: u64 = d.leafs.values().map(|l| l.in_flight).sum();
        expect_that!(still, eq(1 - count as u64));
        // A late end of it changes nothing more.
        reply(&mut d, NOW + ms(2), &list[0], Ok(good(&list[0])));
        expect_that!(d.leafs.values().map(|l| l.in_flight).sum::<u64>(), eq(0));
    }
}

#[googletest::test]
fn each_request_gets_exactly_one_response_in_time_under_random_events() {
    // Guards against calls that are lost, told twice or held beyond their end,
    // and against leafs that count work which nobody has.
    for seed in 0..150 {
        let mut random = Random::new(seed);
        let mut w = world(
            &[("p", 4), ("a", 2), ("b", 2), ("c", 1), ("d", 2)],
            vec![
                pass(json!({ "path": "/p/", "attempts": 3 })),
                pass(json!({ "name": "once", "path": "/o/", "once": true, "attempts": 3 })),
                joined(json!({ "name": "join", "path": "/j/" })),
            ],
        );
        w.slots = 1 + random.below(3) as u32;
        let mut d = open(&w);
        let mut now = NOW;
        let mut out: Vec<OutgoingAttempt> = Vec::new();
        let mut open: BTreeMap<u64, Tick> = BTreeMap::new();
        let mut calls = 0;
        let mut steps = 0;
        while steps < 600 || !open.is_empty() {
            steps += 1;
            let event = match random.below(10) {
                0..3 if steps < 600 => {
                    calls += 1;
                    let path = ["/p/", "/o/", "/j/"][random.below(3) as usize];
                    let mut p = forwarded_request("h.example", path);
                    p.timeout = Some(ms(1 + random.below(900)));
                    open.insert(calls, now + p.timeout.unwrap());
                    Event::Forward { call: calls, request: Arc::new(p) }
                }
                3..7 if !out.is_empty() => {
                    let s = out.swap_remove(random.below(out.len() as u64) as usize);
                    Event::AttemptEnded { attempt: s.attempt, result: any_reply(&mut random, &s).0 }
                }
                7 if random.chance(1, 8) => {
                    w.drained = ["none", "a", "b"][random.below(3) as usize];
                    Event::ClusterView(Arc::new(seen(&w)))
                }
                8 if random.chance(1, 8) && !open.is_empty() => {
                    let i = random.next_u64() as usize % open.len();
                    let gone = *open.keys().nth(i).unwrap();
                    open.remove(&gone);
                    Event::CallerGone { call: gone }
                }
                _ => {
                    // Time goes on, but never past what the engine waits for.
                    let due = d.next_due().unwrap_or(Tick::MAX);
                    now = (now + ms(random.below(30))).min(due.max(now));
                    Event::Timer
                }
            };
            for command in d.step(now, event) {
                match command {
                    Command::Send(s) => out.push(s),
                    Command::Respond { call, .. } => {
                        let end = open.remove(&call);
                        assert!(end.is_some_and(|e| now <= e), "seed {seed}: call {call}, {end:?}");
                    }
                    Command::CancelAttempt { attempt } => {
                        let position = out.iter().position(|s| s.attempt == attempt);
                        let s = out.swap_remove(position.expect("it was sent and has not ended"));
                        assert!(!s.at_most_once, "seed {seed}: what runs once was broken off");
                        // Its call is over, or another attempt answered for its shard.
                        let has_ended = !has_open_call(&d, &s);
                        assert!(has_ended, "seed {seed}: work that is waited for was broken off");
                    }
                    Command::ReportLeaf { .. } | Command::ReportTrial(_) => {}
                }
            }
            for (name, leaf) in &d.leafs {
                let live = out.iter().filter(|s| s.leaf == *name).count();
                assert_eq!(leaf.in_flight, live as u64, "seed {seed}: {name}");
            }
            assert!(steps < 100_000, "seed {seed}: {open:?}");
        }
        expect_that!(d.queries.len(), eq(0));
    }
}
