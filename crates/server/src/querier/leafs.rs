//! Sends a dispatch to a leaf and reads what comes back, unjudged.

use std::net::SocketAddr;

use bytes::Bytes;
use grebepath_core::consts::{PROBE_PATIENCE, REPLY_LIMIT};
use grebepath_core::http_api::leaf;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, ReplyHeaders};
use grebepath_core::protocol::message::LeafReport;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::MILLI;
use grebepath_runtime::clock::duration;
use grebepath_runtime::http::client::{HttpClient, HttpError};
use grebepath_runtime::leaf_connections::{Exchange, ForwardOptions, LeafAddress, LeafPool};
use grebepath_runtime::platform_api::PlatformApi;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response};

/// Sends one dispatch, to this very leaf or to nobody.
pub async fn send(pool: &LeafPool, s: OutgoingAttempt) -> Result<LeafReply, AttemptFailure> {
    let addr: SocketAddr = s.addr.parse().map_err(|_| AttemptFailure::Unreachable)?;
    let request = |req: hyper::http::request::Builder| {
        req.header(hyper::header::HOST, &s.addr)
            .header(leaf::EXPECT_LEAF, &s.leaf)
            .header(leaf::EXPECT_SERVICE, &s.service)
    };
    let work = request(Request::post(leaf::PATH))
        .header(leaf::QUERY_ID, &s.id)
        .header(leaf::QUESTION_DIGEST, &s.body_digest)
        .header(leaf::BUDGET, (s.timeout / MILLI).max(1).to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(&s.body)))
        .map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || request(Request::get(leaf::SELF_PATH)).body(Full::default());
    greeting().map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || greeting().unwrap_or_default();
    // A leaf that leaves, or another identity, gets no work.
    let fits = |r: &Response<Bytes>| {
        r.status().as_u16() == 200 && !leaf::self_word(&heads(r.headers())).draining
    };
    let leaf = LeafAddress { address: addr, leaf: s.leaf.clone() };
    let sent = pool.exchange(leaf, greeting, fits, work, REPLY_LIMIT);
    match tokio::time::timeout(duration(s.timeout), sent).await {
        Ok(Ok(Exchange::Answered(r))) => Ok(raw(r)),
        Ok(Ok(Exchange::Declined(r))) => {
            let mut raw = raw(r);
            // It is the leaf, and it leaves: no work was sent.
            raw.headers.rejected |= raw.status == 200;
            Ok(raw)
        }
        Ok(Err(e)) => Err(trouble(&e)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

/// Sends one dispatch of a call that is handed over.
pub async fn hand(
    pool: &LeafPool,
    s: OutgoingAttempt,
    dialect: &'static PlatformApi,
) -> Result<LeafReply, AttemptFailure> {
    let addr: SocketAddr = s.addr.parse().map_err(|_| AttemptFailure::Unreachable)?;
    let work = (dialect.write_attempt)(&s).ok_or(AttemptFailure::Unreachable)?;
    let leaf = LeafAddress { address: addr, leaf: s.leaf.clone() };
    let fits = |r: &Response<Bytes>| !(dialect.read_reply)(&s, r.clone()).headers.foreign;
    let options =
        ForwardOptions { reply_limit: REPLY_LIMIT, once: s.at_most_once, keep: s.keep_connection };
    let sent = pool.forward(leaf, work, options, fits);
    match tokio::time::timeout(duration(s.timeout), sent).await {
        Ok(Ok(resp)) => Ok((dialect.read_reply)(&s, resp)),
        Ok(Err(e)) => Err(trouble(&e)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

/// What a failed exchange means for the attempt.
fn trouble(error: &HttpError) -> AttemptFailure {
    match error {
        HttpError::Unreachable(_) | HttpError::ConnectTimedOut => AttemptFailure::Unreachable,
        HttpError::Interrupted(_) | HttpError::BodyInterrupted(_) | HttpError::Unframed => {
            AttemptFailure::Truncated
        }
        HttpError::TooLarge => AttemptFailure::ReplyTooLarge,
        HttpError::TimedOut => AttemptFailure::DeadlineExceeded,
    }
}

fn raw(resp: Response<Bytes>) -> LeafReply {
    let heads = heads(resp.headers());
    LeafReply { status: resp.status().as_u16(), headers: heads, body: resp.body().to_vec() }
}

/// Asks a leaf about itself; `None` when it could not be reached.
pub async fn probe(http: &HttpClient, info: &LeafInfo) -> Option<LeafReport> {
    let req = Request::get(format!("http://{}{}", info.addr, leaf::SELF_PATH))
        .header(leaf::EXPECT_LEAF, &info.leaf)
        .header(leaf::EXPECT_SERVICE, &info.service)
        .body(Full::default())
        .ok()?;
    let resp = http.call_within(req, 64 * 1024, duration(PROBE_PATIENCE)).await.ok()?;
    let mut word = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
    match resp.status().as_u16() {
        leaf::MISDIRECTED => word.gone = true,
        200 => {
            let said = leaf::self_word(&heads(resp.headers()));
            word.leaving = said.draining;
            word.age_ms = said.age_ms.unwrap_or(0);
        }
        _ => return None,
    }
    Some(word)
}

fn heads(map: &HeaderMap) -> ReplyHeaders {
    let one = |name: &str| map.get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    ReplyHeaders {
        postmarks: map
            .get_all(leaf::POSTMARK)
            .iter()
            .map(|v| v.to_str().unwrap_or_default().to_string())
            .collect(),
        busy: one(leaf::BUSY),
        age: one(leaf::LEAF_AGE),
        state: one(leaf::LEAF_STATE),
        index_version: one(leaf::CUT),
        rejected: map.contains_key(leaf::UNRUN),
        ..ReplyHeaders::default()
    }
}
