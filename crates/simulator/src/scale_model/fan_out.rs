//! Measures what a query over many shards costs one querier thread: the query engine, its attempts
//! and their replies, without the connections to leafs.

use std::fmt::Write;
use std::sync::Arc;

use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::http_api::leaf::{LeafReply, ReplyHeaders, postmark};
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::{Command, Event, OutgoingAttempt};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::request::{Outcome, SearchRequest};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, MILLI, SECOND, Tick};
use serde_json::json;

use crate::scale_model::meter::timed;
use crate::scale_model::topology;

/// Measured queries (count), preceded by as many that are not measured.
const QUERIES: u64 = 20;
/// Records in each reply (count): the default limit of a query.
const RECORDS: usize = grebepath_core::consts::DEFAULT_RECORD_LIMIT as usize;

/// Result of the fan-out measurement.
#[derive(Default)]
pub struct FanOut {
    /// Shards per query.
    pub shards: usize,
    /// Threads among which the leafs' capacity is divided.
    pub of: usize,
    /// Measured queries.
    pub queries: u64,
    /// Queries with a complete answer.
    pub complete: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Bytes of all request bodies.
    pub request_bytes: u64,
    /// Bytes of all reply bodies.
    pub reply_bytes: u64,
    /// CPU time spent on starting queries (ns).
    pub start_query_ns: u64,
    /// CPU time spent on processing replies (ns).
    pub process_reply_ns: u64,
}

/// Returns the query engine of one of `of` threads with equal quota shares, with a view of this
/// many shards.
fn open_engine(shards: usize, of: usize) -> QueryEngine {
    let leafs = shards * topology::LEAFS_PER_SHARD;
    let conf = topology::config(leafs).to_string();
    let conf = Config::from_json(conf.as_bytes())
        .and_then(|c| RoutingTable::build(&c))
        .unwrap_or_default();
    let leaf =
        |n: usize| LeafInfo { age_ms: topology::MATURE_LEAF_AGE_MS, ..topology::leaf(n, leafs) };
    let view = ClusterView::new(1, Arc::new(conf), (0..leafs).map(leaf).collect());
    let mut engine = QueryEngine::new("front", &topology::name(0), 1, BOOT);
    let members: Vec<(String, u32)> = (0..of).map(|n| (format!("front-{n}"), 1)).collect();
    engine.step(BOOT, Event::ClusterView(Arc::new(view)));
    engine.step(BOOT, Event::QuotaShare(QuotaShare::new(&members, "front-0", 0)));
    engine.step(BOOT, Event::LeaseValidUntil(Tick::MAX));
    engine.step(BOOT, Event::ServingState(grebepath_core::query::engine::ServingState::Serving));
    engine
}

fn reply(s: &OutgoingAttempt) -> LeafReply {
    let record = |n: usize| json!({ "id": format!("{}-{n:04}", s.service), "score": 1_000 - n });
    let list: Vec<_> = (0..RECORDS).map(record).collect();
    let headers = ReplyHeaders {
        postmarks: vec![postmark(&s.leaf, &s.id, &s.body_digest)],
        ..ReplyHeaders::default()
    };
    LeafReply { status: 200, headers, body: json!({ "records": list }).to_string().into_bytes() }
}

/// Runs wide queries one after the other.
pub fn measure(shards: usize, of: usize) -> FanOut {
    let mut engine = open_engine(shards, of);
    let mut result = FanOut { shards, of, queries: QUERIES, ..FanOut::default() };
    for query in 0..2 * QUERIES {
        if query == QUERIES {
            result = FanOut { shards, of, queries: QUERIES, ..FanOut::default() };
        }
        let now = BOOT + (query + 1) * SECOND;
        let ask = SearchRequest {
            route: "wide".into(),
            question: json!({ "text": "a question of some words" }),
            key: None,
            record_limit: RECORDS as u32,
            timeout: 400 * MILLI,
        };
        let commands = timed(&mut result.start_query_ns, || {
            engine.step(now, Event::Search { call: query, request: ask })
        });
        for command in commands {
            let Command::Send(s) = command else { continue };
            result.attempts += 1;
            result.request_bytes += s.body.len() as u64;
            let received = reply(&s);
            result.reply_bytes += received.body.len() as u64;
            let event = Event::AttemptEnded { attempt: s.attempt, result: Ok(received) };
            let done = timed(&mut result.process_reply_ns, || engine.step(now + 20 * MILLI, event));
            let complete =
                |c: &Command| matches!(c, Command::Respond { outcome: Outcome::Answered(_), .. });
            result.complete += done.iter().filter(|c| complete(c)).count() as u64;
        }
        let late = now + 450 * MILLI;
        timed(&mut result.process_reply_ns, || engine.step(late, Event::Timer));
    }
    result
}

/// Formats the result as text.
pub fn text(result: &FanOut) -> String {
    let mut out = String::new();
    let n = result.attempts.max(1);
    let _ = writeln!(out, "== {} shards per query, one of {} threads ==", result.shards, result.of);
    let _ = writeln!(
        out,
        "{} queries, {} complete answers, {} attempts",
        result.queries, result.complete, result.attempts
    );
    let _ = writeln!(
        out,
        "per attempt: request {} bytes, reply {} bytes",
        result.request_bytes / n,
        result.reply_bytes / n
    );
    let _ = writeln!(
        out,
        "~ a query {:.2} ms: starting {:.2} us and processing {:.2} us per attempt",
        (result.start_query_ns + result.process_reply_ns) as f64 / 1e6 / result.queries as f64,
        result.start_query_ns as f64 / 1e3 / n as f64,
        result.process_reply_ns as f64 / 1e3 / n as f64,
    );
    out
}
