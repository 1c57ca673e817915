//! Sends an attempt to a leaf and reads what comes back, unjudged.

use std::net::SocketAddr;

use bytes::Bytes;
use grebepath_core::consts::{MAX_REPLY_BYTES, PROBE_TIMEOUT};
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

/// Bytes of a probe's response that are read at most.
const PROBE_REPLY_LIMIT: usize = 64 * 1024;

/// Sends an attempt, to this very leaf or to nobody.
pub async fn send(pool: &LeafPool, sending: OutgoingAttempt) -> Result<LeafReply, AttemptFailure> {
    let leaf = address(&sending)?;
    let request = |request: hyper::http::request::Builder| {
        request
            .header(hyper::header::HOST, &sending.addr)
            .header(leaf::EXPECT_LEAF, &sending.leaf)
            .header(leaf::EXPECT_SERVICE, &sending.service)
    };
    let work = request(Request::post(leaf::PATH))
        .header(leaf::QUERY_ID, &sending.id)
        .header(leaf::QUESTION_DIGEST, &sending.body_digest)
        .header(leaf::BUDGET, (sending.timeout / MILLI).max(1).to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(&sending.body)))
        .map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || request(Request::get(leaf::SELF_PATH)).body(Full::default());
    greeting().map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || greeting().unwrap_or_default();
    // A leaf that leaves, or another identity, gets no work.
    let fits = |response: &Response<Bytes>| {
        response.status().as_u16() == 200 && !leaf::self_report(&heads(response.headers())).draining
    };
    let sent = pool.exchange(leaf, greeting, fits, work, MAX_REPLY_BYTES);
    match tokio::time::timeout(duration(sending.timeout), sent).await {
        Ok(Ok(Exchange::Answered(response))) => Ok(raw(response)),
        Ok(Ok(Exchange::Declined(response))) => {
            let mut raw = raw(response);
            // It is the leaf, and it leaves: no work was sent.
            raw.headers.rejected |= raw.status == 200;
            Ok(raw)
        }
        Ok(Err(error)) => Err(trouble(&error)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

/// Sends an attempt of a request that is forwarded.
pub async fn forward(
    pool: &LeafPool,
    sending: OutgoingAttempt,
    api: &'static PlatformApi,
) -> Result<LeafReply, AttemptFailure> {
    let leaf = address(&sending)?;
    let work = (api.write_attempt)(&sending).ok_or(AttemptFailure::Unreachable)?;
    let fits = |response: &Response<Bytes>| {
        !(api.read_reply)(&sending, response.clone()).headers.is_mismatched
    };
    let options = ForwardOptions {
        reply_limit: MAX_REPLY_BYTES,
        once: sending.at_most_once,
        keep: sending.keep_connection,
    };
    let sent = pool.forward(leaf, work, options, fits);
    match tokio::time::timeout(duration(sending.timeout), sent).await {
        Ok(Ok(response)) => Ok((api.read_reply)(&sending, response)),
        Ok(Err(error)) => Err(trouble(&error)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

fn address(sending: &OutgoingAttempt) -> Result<LeafAddress, AttemptFailure> {
    let address: SocketAddr = sending.addr.parse().map_err(|_| AttemptFailure::Unreachable)?;
    Ok(LeafAddress { address, leaf: sending.leaf.clone() })
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
    let request = Request::get(format!("http://{}{}", info.addr, leaf::SELF_PATH))
        .header(leaf::EXPECT_LEAF, &info.leaf)
        .header(leaf::EXPECT_SERVICE, &info.service)
        .body(Full::default())
        .ok()?;
    let timeout = duration(PROBE_TIMEOUT);
    let response = http.call_within(request, PROBE_REPLY_LIMIT, timeout).await.ok()?;
    let mut report = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
    match response.status().as_u16() {
        leaf::MISDIRECTED => report.gone = true,
        200 => {
            let said = leaf::self_report(&heads(response.headers()));
            report.leaving = said.draining;
            report.age_ms = said.age_ms.unwrap_or(0);
        }
        _ => return None,
    }
    Some(report)
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
        index_version: one(leaf::INDEX_VERSION),
        rejected: map.contains_key(leaf::REJECTED),
        ..ReplyHeaders::default()
    }
}
