//! What a query of many shards costs a front's own thread: the daemon's desk,
//! its dispatches and the replies to them, without the connections to leafs.

use std::fmt::Write;
use std::sync::Arc;

use grebepath_core::config::{build, read};
use grebepath_core::http_api::leaf::{LeafReply, ReplyHeaders, postmark};
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::{Command, Event, OutgoingAttempt};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::request::{Outcome, SearchRequest};
use grebepath_core::snapshot::cluster_view;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, MILLI, SECOND, Tick};
use serde_json::json;

use crate::scale_model::cost::timed;
use crate::scale_model::plan;

/// Queries that are measured (count), after as many that are not.
const QUERIES: u64 = 20;
/// Records in each reply (count): what a caller gets who names no limit.
const RECORDS: usize = grebepath_core::consts::RECORDS_DEFAULT as usize;

/// What was found.
#[derive(Default)]
pub struct Fan {
    pub shards: usize,
    pub of: usize,
    pub queries: u64,
    pub full: u64,
    pub dispatches: u64,
    /// Bytes of all questions and replies, without heads.
    pub asked: u64,
    pub replied: u64,
    /// Processor time in asking and in taking replies (ns).
    pub ask_ns: u64,
    pub take_ns: u64,
}

/// A thread among `of` of equal share, with a view of this many shards.
fn open(shards: usize, of: usize) -> QueryEngine {
    let leafs = shards * plan::LEAFS_A_SHARD;
    let conf = plan::config(leafs).to_string();
    let conf = read::whole(conf.as_bytes()).and_then(|c| build::build(&c)).unwrap_or_default();
    let leaf = |n: usize| LeafInfo { age_ms: plan::OLD_MS, ..plan::leaf(n, leafs) };
    let view = cluster_view::view(1, Arc::new(conf), (0..leafs).map(leaf).collect());
    let mut d = QueryEngine::new("front", &plan::name(0), 1, BOOT);
    let members: Vec<(String, u32)> = (0..of).map(|n| (format!("front-{n}"), 1)).collect();
    d.step(BOOT, Event::ClusterView(Arc::new(view)));
    d.step(BOOT, Event::QuotaShare(QuotaShare::new(&members, "front-0", 0)));
    d.step(BOOT, Event::LeaseValidUntil(Tick::MAX));
    d.step(BOOT, Event::ServingState(grebepath_core::query::engine::ServingState::Serving));
    d
}

fn reply(s: &OutgoingAttempt) -> LeafReply {
    let record = |n: usize| json!({ "id": format!("{}-{n:04}", s.service), "score": 1_000 - n });
    let list: Vec<_> = (0..RECORDS).map(record).collect();
    let heads = ReplyHeaders {
        postmarks: vec![postmark(&s.leaf, &s.id, &s.body_digest)],
        ..ReplyHeaders::default()
    };
    LeafReply {
        status: 200,
        headers: heads,
        body: json!({ "records": list }).to_string().into_bytes(),
    }
}

/// Asks wide queries one after the other.
pub fn fan(shards: usize, of: usize) -> Fan {
    let mut d = open(shards, of);
    let mut f = Fan { shards, of, queries: QUERIES, ..Fan::default() };
    for call in 0..2 * QUERIES {
        if call == QUERIES {
            f = Fan { shards, of, queries: QUERIES, ..Fan::default() };
        }
        let now = BOOT + (call + 1) * SECOND;
        let ask = SearchRequest {
            route: "wide".into(),
            question: json!({ "text": "a question of some words" }),
            key: None,
            record_limit: RECORDS as u32,
            timeout: 400 * MILLI,
        };
        let todo = timed(&mut f.ask_ns, || d.step(now, Event::Search { call, request: ask }));
        for command in todo {
            let Command::Send(s) = command else { continue };
            f.dispatches += 1;
            f.asked += s.body.len() as u64;
            let got = reply(&s);
            f.replied += got.body.len() as u64;
            let event = Event::AttemptEnded { attempt: s.attempt, result: Ok(got) };
            let done = timed(&mut f.take_ns, || d.step(now + 20 * MILLI, event));
            let full =
                |c: &Command| matches!(c, Command::Respond { outcome: Outcome::Answered(_), .. });
            f.full += done.iter().filter(|c| full(c)).count() as u64;
        }
        let late = now + 450 * MILLI;
        timed(&mut f.take_ns, || d.step(late, Event::Timer));
    }
    f
}

/// The lines of one fan.
pub fn text(f: &Fan) -> String {
    let mut out = String::new();
    let n = f.dispatches.max(1);
    let _ = writeln!(out, "== {} shards a query, a thread of {} ==", f.shards, f.of);
    let _ = writeln!(
        out,
        "{} queries, {} answered in full, {} dispatches",
        f.queries, f.full, f.dispatches
    );
    let _ =
        writeln!(out, "a dispatch: question {} bytes, reply {} bytes", f.asked / n, f.replied / n);
    let _ = writeln!(
        out,
        "~ a query {:.2} ms: asking {:.2} us and taking {:.2} us a dispatch",
        (f.ask_ns + f.take_ns) as f64 / 1e6 / f.queries as f64,
        f.ask_ns as f64 / 1e3 / n as f64,
        f.take_ns as f64 / 1e3 / n as f64,
    );
    out
}
