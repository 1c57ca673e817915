//! What leafs are sent and what they send back.

use serde_json::{Value, json};

use crate::digest::digest;
use crate::query::observed_load::ReportedLoad;
use crate::query::request::Record;

/// Path of the one call a leaf takes.
pub const PATH: &str = "/query";
/// Path under which a leaf speaks of itself alone, without work.
pub const SELF_PATH: &str = "/self";
/// Request header: the identity of the leaf that is meant. A leaf of another
/// identity turns the request away unrun with `MISDIRECTED`.
pub const EXPECT_LEAF: &str = "expect-leaf";
/// Request header: the service that the leaf is meant to belong to.
pub const EXPECT_SERVICE: &str = "expect-service";
/// Request header: the dispatch's own id, `<query>.<dispatch>`.
pub const QUERY_ID: &str = "query-id";
/// Request header: digest of the exact body.
pub const QUESTION_DIGEST: &str = "question-digest";
/// Request header: time left, in milliseconds.
pub const BUDGET: &str = "budget-ms";
/// Reply header: `<leaf> <query-id> <digest>` of what was truly run.
pub const POSTMARK: &str = "postmark";
/// Reply header: share of the leaf that is busy, 0.0 to 1.0.
pub const BUSY: &str = "busy";
/// Reply header: milliseconds since this leaf started.
pub const LEAF_AGE: &str = "leaf-age-ms";
/// Reply header: `leaving` when the leaf wants no new work.
pub const LEAF_STATE: &str = "leaf-state";
/// Reply header: the cut of the index that the leaf holds.
pub const CUT: &str = "cut";
/// Reply header on a request that was turned away before it ran.
pub const UNRUN: &str = "unrun";
/// Status of a leaf that is not the one expected.
pub const MISDIRECTED: u16 = 421;

/// Why a dispatch brought nothing. Each kind has its own counter.
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
    /// A second try elsewhere answered first.
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

/// Heads of a reply that matter, as they came; `postmarks` may be several.
#[derive(Clone, Debug, Default)]
pub struct ReplyHeaders {
    pub postmarks: Vec<String>,
    pub busy: Option<String>,
    pub age: Option<String>,
    pub state: Option<String>,
    pub index_version: Option<String>,
    pub rejected: bool,
    /// What it says of its load, where it tells that in numbers.
    pub load: Option<ReportedLoad>,
    /// The reply is not one to this dispatch.
    pub foreign: bool,
    /// Every head that may go back to a caller, as it came.
    pub end_to_end: Vec<(String, Vec<u8>)>,
}

/// A reply as it came off the connection.
#[derive(Clone, Debug)]
pub struct LeafReply {
    pub status: u16,
    pub headers: ReplyHeaders,
    pub body: Vec<u8>,
}

/// What a leaf says about itself with every reply, run or unrun.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// Thousandths of the leaf that are busy.
    pub busy_permille: Option<u32>,
    pub age_ms: Option<u64>,
    pub draining: bool,
}

/// The body of a dispatch: the exact question, the same for every leaf.
pub fn body(mapping: &str, cut: &str, question: &Value, key: Option<&str>, limit: u32) -> Vec<u8> {
    json!({ "mapping": mapping, "cut": cut, "question": question, "key": key, "limit": limit })
        .to_string()
        .into_bytes()
}

/// The postmark a true reply carries.
pub fn postmark(leaf: &str, query: &str, digest: &str) -> String {
    format!("{leaf} {query} {digest}")
}

/// Digest of a dispatch's body.
pub fn question_digest(body: &[u8]) -> String {
    digest(body)
}

/// What the leaf says of itself, read leniently: it is advice, not proof.
pub fn self_word(heads: &ReplyHeaders) -> SelfReport {
    let busy = heads.busy.as_ref().and_then(|b| b.trim().parse::<f64>().ok());
    SelfReport {
        busy_permille: busy.filter(|b| b.is_finite()).map(|b| (b.clamp(0.0, 1.0) * 1000.0) as u32),
        age_ms: heads.age.as_ref().and_then(|a| a.trim().parse().ok()),
        draining: heads.state.as_deref() == Some("leaving"),
    }
}

/// What was expected of a reply.
pub struct ExpectedReply<'a> {
    pub leaf: &'a str,
    pub attempt: &'a str,
    pub digest: &'a str,
    pub index_version: &'a str,
    pub record_limit: u32,
}

/// Checks a reply; only a reply that passes may stand for a shard.
pub fn check(raw: &LeafReply, want: &ExpectedReply) -> Result<Vec<Record>, AttemptFailure> {
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
        [one] if *one == postmark(want.leaf, want.attempt, want.digest) => {}
        [_] => return Err(AttemptFailure::PostmarkMismatch),
        _ => return Err(AttemptFailure::DuplicatePostmark),
    }
    if raw
        .headers
        .index_version
        .as_deref()
        .is_some_and(|c| !want.index_version.is_empty() && c != want.index_version)
    {
        return Err(AttemptFailure::IndexVersionMismatch);
    }
    records(&raw.body, want.record_limit)
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
        // Adding zero folds -0.0 into 0.0, so equal scores are equal bits.
        let score = score + 0.0;
        let data = item.remove("data").unwrap_or(Value::Null);
        let rec = Record { id, score, shard: String::new(), data };
        if let Some(last) = out.last() {
            use std::cmp::Ordering::*;
            match crate::query::merge::compare_records(last, &rec) {
                Less => {}
                Equal | Greater => return Err(AttemptFailure::RecordsOutOfOrder),
            }
        }
        out.push(rec);
    }
    Ok(out)
}
