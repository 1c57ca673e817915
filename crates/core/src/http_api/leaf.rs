//! Requests to leafs and their replies.

use serde_json::{Value, json};

use crate::digest::digest;
use crate::query::observed_load::ReportedLoad;
use crate::query::request::Record;

/// Path of the query request, the only one that does work at a leaf.
pub const PATH: &str = "/query";
/// Path under which a leaf returns its self-report without doing work.
pub const SELF_PATH: &str = "/self";
/// Request header: the identity of the intended leaf. A leaf with another identity rejects the
/// request with `MISDIRECTED` and does not execute it.
pub const EXPECT_LEAF: &str = "expect-leaf";
/// Request header: the service that the intended leaf belongs to.
pub const EXPECT_SERVICE: &str = "expect-service";
/// Request header: the id of the attempt, `<query>.<attempt>`.
pub const QUERY_ID: &str = "query-id";
/// Request header: digest of the body's bytes.
pub const QUESTION_DIGEST: &str = "question-digest";
/// Request header: remaining time, in milliseconds.
pub const BUDGET: &str = "budget-ms";
/// Reply header: `<leaf> <query-id> <digest>` of the request that was executed.
pub const POSTMARK: &str = "postmark";
/// Reply header: utilization of the leaf, 0.0 to 1.0.
pub const BUSY: &str = "busy";
/// Reply header: milliseconds since this leaf started.
pub const LEAF_AGE: &str = "leaf-age-ms";
/// Reply header: `leaving` if the leaf wants no new requests.
pub const LEAF_STATE: &str = "leaf-state";
/// Reply header: the index version that the leaf holds.
pub const INDEX_VERSION: &str = "cut";
/// Reply header of a request that was rejected without being executed.
pub const REJECTED: &str = "unrun";
/// Status of a leaf that is not the one expected.
pub const MISDIRECTED: u16 = 421;

/// Reason for the failure of an attempt. Each reason has its own counter.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub enum AttemptFailure {
    Unreachable,
    Truncated,
    ReplyTooLarge,
    DeadlineExceeded,
    Misdirected,
    Rejected,
    ErrorStatus,
    MissingPostmark,
    DuplicatePostmark,
    PostmarkMismatch,
    IndexVersionMismatch,
    MalformedReply,
    RecordsOutOfOrder,
    ServiceMismatch,
    /// Another attempt for the same shard was answered first.
    Overtaken,
}

impl std::fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::Truncated => "cut-short",
            AttemptFailure::ReplyTooLarge => "overlong",
            AttemptFailure::DeadlineExceeded => "out-of-time",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Rejected => "unrun",
            AttemptFailure::ErrorStatus => "status",
            AttemptFailure::MissingPostmark => "no-postmark",
            AttemptFailure::DuplicatePostmark => "two-postmarks",
            AttemptFailure::PostmarkMismatch => "wrong-postmark",
            AttemptFailure::IndexVersionMismatch => "wrong-cut",
            AttemptFailure::MalformedReply => "garbage",
            AttemptFailure::RecordsOutOfOrder => "disorder",
            AttemptFailure::ServiceMismatch => "wrong-service",
            AttemptFailure::Overtaken => "overtaken",
        })
    }
}

/// The evaluated headers of a reply, unparsed; there may be several `postmarks`.
#[derive(Clone, Debug, Default)]
pub struct ReplyHeaders {
    pub postmarks: Vec<String>,
    pub busy: Option<String>,
    pub age: Option<String>,
    pub state: Option<String>,
    pub index_version: Option<String>,
    pub rejected: bool,
    /// The leaf's load in numbers, if it reports them.
    pub reported_load: Option<ReportedLoad>,
    /// Whether the reply does not belong to this attempt.
    pub is_mismatched: bool,
    /// All end-to-end headers, which may be returned to the caller unchanged.
    pub end_to_end: Vec<(String, Vec<u8>)>,
}

/// A reply as received.
#[derive(Clone, Debug)]
pub struct LeafReply {
    pub status: u16,
    pub headers: ReplyHeaders,
    pub body: Vec<u8>,
}

/// The state that a leaf reports about itself with every reply, also with a rejection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// Utilization of the leaf, in thousandths.
    pub busy_permille: Option<u32>,
    pub age_ms: Option<u64>,
    pub draining: bool,
}

/// Returns the body of an attempt, which is the same for every leaf.
pub fn body(
    route: &str,
    index_version: &str,
    question: &Value,
    key: Option<&str>,
    limit: u32,
) -> Vec<u8> {
    json!({
        "mapping": route, "cut": index_version, "question": question, "key": key, "limit": limit,
    })
    .to_string()
    .into_bytes()
}

/// Returns the postmark that the reply to a request must carry.
pub fn postmark(leaf: &str, query: &str, digest: &str) -> String {
    format!("{leaf} {query} {digest}")
}

/// Returns the digest of an attempt's body.
pub fn question_digest(body: &[u8]) -> String {
    digest(body)
}

/// Parses the leaf's self-report. Invalid values are ignored, since the report only serves as a
/// hint.
pub fn self_report(headers: &ReplyHeaders) -> SelfReport {
    let busy = headers.busy.as_ref().and_then(|b| b.trim().parse::<f64>().ok());
    SelfReport {
        busy_permille: busy.filter(|b| b.is_finite()).map(|b| (b.clamp(0.0, 1.0) * 1000.0) as u32),
        age_ms: headers.age.as_ref().and_then(|a| a.trim().parse().ok()),
        draining: headers.state.as_deref() == Some("leaving"),
    }
}

/// Expected properties of a reply.
pub struct ExpectedReply<'a> {
    pub leaf: &'a str,
    pub attempt: &'a str,
    pub digest: &'a str,
    pub index_version: &'a str,
    pub record_limit: u32,
}

/// Validates a reply. Only a valid reply is used as a shard result.
pub fn check(raw: &LeafReply, expected: &ExpectedReply) -> Result<Vec<Record>, AttemptFailure> {
    if raw.status == MISDIRECTED {
        return Err(AttemptFailure::Misdirected);
    }
    if raw.headers.rejected {
        return Err(AttemptFailure::Rejected);
    }
    if raw.status != 200 {
        return Err(AttemptFailure::ErrorStatus);
    }
    match raw.headers.postmarks.as_slice() {
        [] => return Err(AttemptFailure::MissingPostmark),
        [one] if *one == postmark(expected.leaf, expected.attempt, expected.digest) => {}
        [_] => return Err(AttemptFailure::PostmarkMismatch),
        _ => return Err(AttemptFailure::DuplicatePostmark),
    }
    if raw
        .headers
        .index_version
        .as_deref()
        .is_some_and(|c| !expected.index_version.is_empty() && c != expected.index_version)
    {
        return Err(AttemptFailure::IndexVersionMismatch);
    }
    records(&raw.body, expected.record_limit)
}

fn records(body: &[u8], limit: u32) -> Result<Vec<Record>, AttemptFailure> {
    let val: Value = serde_json::from_slice(body).map_err(|_| AttemptFailure::MalformedReply)?;
    let Value::Object(mut map) = val else { return Err(AttemptFailure::MalformedReply) };
    let Some(Value::Array(list)) = map.remove("records") else {
        return Err(AttemptFailure::MalformedReply);
    };
    if list.len() > limit as usize {
        return Err(AttemptFailure::RecordsOutOfOrder);
    }
    let mut out: Vec<Record> = Vec::with_capacity(list.len());
    for item in list {
        let Value::Object(mut item) = item else { return Err(AttemptFailure::MalformedReply) };
        let Some(Value::String(id)) = item.remove("id") else {
            return Err(AttemptFailure::MalformedReply);
        };
        let score =
            item.get("score").and_then(Value::as_f64).ok_or(AttemptFailure::MalformedReply)?;
        // Adding zero turns -0.0 into 0.0, so that equal scores have equal bits.
        let score = score + 0.0;
        let data = item.remove("data").unwrap_or(Value::Null);
        let record = Record { id, score, shard: String::new(), data };
        if let Some(last) = out.last() {
            use std::cmp::Ordering::*;
            match crate::query::merge::compare_records(last, &record) {
                Less => {}
                Equal | Greater => return Err(AttemptFailure::RecordsOutOfOrder),
            }
        }
        out.push(record);
    }
    Ok(out)
}
