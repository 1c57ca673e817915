//! Sends attempts to leafs and returns their replies without validating them.

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

/// Maximum size of a probe's response body (bytes).
const PROBE_REPLY_LIMIT: usize = 64 * 1024;

/// Sends an attempt after checking that the leaf at the address is the intended one.
pub async fn send(pool: &LeafPool, attempt: OutgoingAttempt) -> Result<LeafReply, AttemptFailure> {
    let leaf = address(&attempt)?;
    let request = |request: hyper::http::request::Builder| {
        request
            .header(hyper::header::HOST, &attempt.addr)
            .header(leaf::EXPECT_LEAF, &attempt.leaf)
            .header(leaf::EXPECT_SERVICE, &attempt.service)
    };
    let work = request(Request::post(leaf::PATH))
        .header(leaf::QUERY_ID, &attempt.id)
        .header(leaf::QUESTION_DIGEST, &attempt.body_digest)
        .header(leaf::BUDGET, (attempt.timeout / MILLI).max(1).to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::copy_from_slice(&attempt.body)))
        .map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || request(Request::get(leaf::SELF_PATH)).body(Full::default());
    greeting().map_err(|_| AttemptFailure::Unreachable)?;
    let greeting = || greeting().unwrap_or_default();
    // No request is sent to a leaf that is draining or has another identity.
    let accepts = |response: &Response<Bytes>| {
        response.status().as_u16() == 200
            && !leaf::self_report(&reply_headers(response.headers())).draining
    };
    let sent = pool.exchange(leaf, greeting, accepts, work, MAX_REPLY_BYTES);
    match tokio::time::timeout(duration(attempt.timeout), sent).await {
        Ok(Ok(Exchange::Answered(response))) => Ok(leaf_reply(response)),
        Ok(Ok(Exchange::Declined(response))) => {
            let mut leaf_reply = leaf_reply(response);
            // The right leaf answered, but it is draining: the request was not sent.
            leaf_reply.headers.rejected |= leaf_reply.status == 200;
            Ok(leaf_reply)
        }
        Ok(Err(error)) => Err(attempt_failure(&error)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

/// Sends an attempt of a forwarded request.
pub async fn forward(
    pool: &LeafPool,
    attempt: OutgoingAttempt,
    api: &'static PlatformApi,
) -> Result<LeafReply, AttemptFailure> {
    let leaf = address(&attempt)?;
    let work = (api.write_attempt)(&attempt).ok_or(AttemptFailure::Unreachable)?;
    let accepts = |response: &Response<Bytes>| {
        !(api.read_reply)(&attempt, response.clone()).headers.is_mismatched
    };
    let options = ForwardOptions {
        reply_limit: MAX_REPLY_BYTES,
        once: attempt.at_most_once,
        keep: attempt.keep_connection,
    };
    let sent = pool.forward(leaf, work, options, accepts);
    match tokio::time::timeout(duration(attempt.timeout), sent).await {
        Ok(Ok(response)) => Ok((api.read_reply)(&attempt, response)),
        Ok(Err(error)) => Err(attempt_failure(&error)),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

fn address(attempt: &OutgoingAttempt) -> Result<LeafAddress, AttemptFailure> {
    let address: SocketAddr = attempt.addr.parse().map_err(|_| AttemptFailure::Unreachable)?;
    Ok(LeafAddress { address, leaf: attempt.leaf.clone() })
}

/// Maps the error of an exchange to the attempt's failure.
fn attempt_failure(error: &HttpError) -> AttemptFailure {
    match error {
        HttpError::Unreachable(_) | HttpError::ConnectTimedOut => AttemptFailure::Unreachable,
        HttpError::Interrupted(_) | HttpError::BodyInterrupted(_) | HttpError::Unframed => {
            AttemptFailure::Truncated
        }
        HttpError::TooLarge => AttemptFailure::ReplyTooLarge,
        HttpError::TimedOut => AttemptFailure::DeadlineExceeded,
    }
}

fn leaf_reply(response: Response<Bytes>) -> LeafReply {
    let reply_headers = reply_headers(response.headers());
    LeafReply {
        status: response.status().as_u16(),
        headers: reply_headers,
        body: response.body().to_vec(),
    }
}

/// Queries a leaf's state. Returns `None` if the leaf could not be reached.
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
            let self_report = leaf::self_report(&reply_headers(response.headers()));
            report.leaving = self_report.draining;
            report.age_ms = self_report.age_ms.unwrap_or(0);
        }
        _ => return None,
    }
    Some(report)
}

fn reply_headers(header_map: &HeaderMap) -> ReplyHeaders {
    let header_text =
        |name: &str| header_map.get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    ReplyHeaders {
        postmarks: header_map
            .get_all(leaf::POSTMARK)
            .iter()
            .map(|v| v.to_str().unwrap_or_default().to_string())
            .collect(),
        busy: header_text(leaf::BUSY),
        age: header_text(leaf::LEAF_AGE),
        state: header_text(leaf::LEAF_STATE),
        index_version: header_text(leaf::INDEX_VERSION),
        rejected: header_map.contains_key(leaf::REJECTED),
        ..ReplyHeaders::default()
    }
}
