//! What leafs are sent and what they send back.

use serde_json::{Value, json};

use crate::digest::digest;
use crate::query::observed_load::Load;
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
pub enum Trouble {
    Unreachable,
    Cut,
    Overlong,
    OutOfTime,
    Misdirected,
    Unrun,
    Status,
    NoPostmark,
    TwoPostmarks,
    WrongPostmark,
    WrongCut,
    Garbage,
    Disorder,
    WrongService,
    /// A second try elsewhere answered first.
    Overtaken,
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Trouble::Unreachable => "unreachable",
            Trouble::Cut => "cut-short",
            Trouble::Overlong => "overlong",
            Trouble::OutOfTime => "out-of-time",
            Trouble::Misdirected => "misdirected",
            Trouble::Unrun => "unrun",
            Trouble::Status => "status",
            Trouble::NoPostmark => "no-postmark",
            Trouble::TwoPostmarks => "two-postmarks",
            Trouble::WrongPostmark => "wrong-postmark",
            Trouble::WrongCut => "wrong-cut",
            Trouble::Garbage => "garbage",
            Trouble::Disorder => "disorder",
            Trouble::WrongService => "wrong-service",
            Trouble::Overtaken => "overtaken",
        })
    }
}

/// Heads of a reply that matter, as they came; `postmarks` may be several.
#[derive(Clone, Debug, Default)]
pub struct Heads {
    pub postmarks: Vec<String>,
    pub busy: Option<String>,
    pub age: Option<String>,
    pub state: Option<String>,
    pub cut: Option<String>,
    pub unrun: bool,
    /// What it says of its load, where it tells that in numbers.
    pub load: Option<Load>,
    /// The reply is not one to this dispatch.
    pub foreign: bool,
    /// Every head that may go back to a caller, as it came.
    pub all: Vec<(String, Vec<u8>)>,
}

/// A reply as it came off the connection.
#[derive(Clone, Debug)]
pub struct Raw {
    pub status: u16,
    pub heads: Heads,
    pub body: Vec<u8>,
}

/// What a leaf says about itself with every reply, run or unrun.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SelfWord {
    /// Thousandths of the leaf that are busy.
    pub busy: Option<u32>,
    pub age_ms: Option<u64>,
    pub leaving: bool,
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
pub fn self_word(heads: &Heads) -> SelfWord {
    let busy = heads.busy.as_ref().and_then(|b| b.trim().parse::<f64>().ok());
    SelfWord {
        busy: busy.filter(|b| b.is_finite()).map(|b| (b.clamp(0.0, 1.0) * 1000.0) as u32),
        age_ms: heads.age.as_ref().and_then(|a| a.trim().parse().ok()),
        leaving: heads.state.as_deref() == Some("leaving"),
    }
}

/// What was expected of a reply.
pub struct Expect<'a> {
    pub leaf: &'a str,
    pub query: &'a str,
    pub digest: &'a str,
    pub cut: &'a str,
    pub limit: u32,
}

/// Checks a reply; only a reply that passes may stand for a shard.
pub fn check(raw: &Raw, want: &Expect) -> Result<Vec<Record>, Trouble> {
    if raw.status == MISDIRECTED {
        return Err(Trouble::Misdirected);
    }
    if raw.heads.unrun {
        return Err(Trouble::Unrun);
    }
    if raw.status != 200 {
        return Err(Trouble::Status);
    }
    match raw.heads.postmarks.as_slice() {
        [] => return Err(Trouble::NoPostmark),
        [one] if *one == postmark(want.leaf, want.query, want.digest) => {}
        [_] => return Err(Trouble::WrongPostmark),
        _ => return Err(Trouble::TwoPostmarks),
    }
    if raw.heads.cut.as_deref().is_some_and(|c| !want.cut.is_empty() && c != want.cut) {
        return Err(Trouble::WrongCut);
    }
    records(&raw.body, want.limit)
}

fn records(body: &[u8], limit: u32) -> Result<Vec<Record>, Trouble> {
    let val: Value = serde_json::from_slice(body).map_err(|_| Trouble::Garbage)?;
    let Value::Object(mut map) = val else { return Err(Trouble::Garbage) };
    let Some(Value::Array(list)) = map.remove("records") else { return Err(Trouble::Garbage) };
    if list.len() > limit as usize {
        return Err(Trouble::Disorder);
    }
    let mut out: Vec<Record> = Vec::with_capacity(list.len());
    for item in list {
        let Value::Object(mut item) = item else { return Err(Trouble::Garbage) };
        let Some(Value::String(id)) = item.remove("id") else { return Err(Trouble::Garbage) };
        let score = item.get("score").and_then(Value::as_f64).ok_or(Trouble::Garbage)?;
        // Adding zero folds -0.0 into 0.0, so equal scores are equal bits.
        let score = score + 0.0;
        let data = item.remove("data").unwrap_or(Value::Null);
        let rec = Record { id, score, shard: String::new(), data };
        if let Some(last) = out.last() {
            use std::cmp::Ordering::*;
            match crate::query::merge::order(last, &rec) {
                Less => {}
                Equal | Greater => return Err(Trouble::Disorder),
            }
        }
        out.push(rec);
    }
    Ok(out)
}
