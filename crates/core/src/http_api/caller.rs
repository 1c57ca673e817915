//! Requests and responses of callers.

use serde_json::{Value, json};

use crate::consts;
use crate::query::request::{Outcome, Rejection, RejectionReason, SearchAnswer, SearchRequest};
use crate::time::ms;

/// Request header with the time that the caller waits, in milliseconds.
pub const BUDGET: &str = "budget-ms";
/// Response header with the number of planned shards that the answer lacks.
pub const MISSING_SHARDS: &str = "missing-parts";
/// Response header with the time after which a rejected caller may retry, in seconds.
pub const RETRY_AFTER: &str = "retry-after";

/// A response to a caller, independent of the HTTP library.
pub struct CallerResponse {
    pub status: u16,
    pub missing_shards: Option<usize>,
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

/// Parses a GET call, with `q`, `key` and `limit` as query parameters.
pub fn read_get(
    route: &str,
    budget: Option<&str>,
    params: &[(String, String)],
) -> Result<SearchRequest, Rejection> {
    let mut map = serde_json::Map::new();
    for (key, val) in params {
        let val = match key.as_str() {
            "q" => ("question", Value::String(val.clone())),
            "key" => ("key", Value::String(val.clone())),
            "limit" => match val.parse::<u64>() {
                Ok(n) => ("limit", Value::from(n)),
                Err(_) => return Err(bad("`limit` is not a whole number")),
            },
            other => return Err(bad(format!("unknown parameter `{other}`"))),
        };
        if map.insert(val.0.to_string(), val.1).is_some() {
            return Err(bad(format!("parameter `{key}` stands twice")));
        }
    }
    read(route, budget, map)
}

/// Parses a POST call, with the fields in its JSON body.
pub fn read_post(
    route: &str,
    budget: Option<&str>,
    body: &[u8],
) -> Result<SearchRequest, Rejection> {
    if body.len() > consts::MAX_QUERY_BYTES {
        return Err(Rejection::new(
            RejectionReason::TooLarge,
            "the question is larger than 64 KiB",
        ));
    }
    match serde_json::from_slice(body) {
        Ok(Value::Object(map)) => read(route, budget, map),
        Ok(_) => Err(bad("the body is not a JSON object")),
        Err(e) => Err(bad(format!("the body is not JSON: {e}"))),
    }
}

fn read(
    route: &str,
    budget: Option<&str>,
    map: serde_json::Map<String, Value>,
) -> Result<SearchRequest, Rejection> {
    let Some(text) = budget else {
        return Err(bad("the header Budget-Ms is missing: say how long you will wait"));
    };
    let budget = match text.trim().parse::<u64>() {
        Ok(n) if (1..=consts::MAX_BUDGET_MS).contains(&n) => ms(n),
        _ => {
            let max = consts::MAX_BUDGET_MS;
            return Err(bad(format!("Budget-Ms must be a whole number from 1 to {max}")));
        }
    };
    for key in map.keys() {
        if !["question", "key", "limit"].contains(&key.as_str()) {
            return Err(bad(format!("unknown field `{key}`; known are question, key, limit")));
        }
    }
    let Some(question) = map.get("question").cloned() else {
        return Err(bad("the field `question` is missing"));
    };
    let key = match map.get("key") {
        None => None,
        Some(Value::String(s)) if !s.is_empty() => Some(s.clone()),
        Some(_) => return Err(bad("`key` must be a text that is not empty")),
    };
    let limit = match map.get("limit") {
        None => consts::DEFAULT_RECORD_LIMIT,
        Some(val) => match val.as_u64() {
            Some(n) if (1..=u64::from(consts::MAX_RECORD_LIMIT)).contains(&n) => n as u32,
            _ => {
                let max = consts::MAX_RECORD_LIMIT;
                return Err(bad(format!("`limit` must be a whole number from 1 to {max}")));
            }
        },
    };
    if question.to_string().len() > consts::MAX_QUERY_BYTES {
        return Err(Rejection::new(
            RejectionReason::TooLarge,
            "the question is larger than 64 KiB",
        ));
    }
    Ok(SearchRequest {
        route: route.to_string(),
        question,
        key,
        record_limit: limit,
        timeout: budget,
    })
}

fn bad(text: impl Into<String>) -> Rejection {
    Rejection::new(RejectionReason::InvalidRequest, text)
}

/// Returns the HTTP status for a rejection.
pub fn status(reason: RejectionReason) -> u16 {
    match reason {
        RejectionReason::InvalidRequest | RejectionReason::MissingKey => 400,
        RejectionReason::UnknownRoute => 404,
        RejectionReason::TooLarge => 413,
        RejectionReason::ConcurrencyLimit => 429,
        RejectionReason::NoCapacity
        | RejectionReason::ShuttingDown
        | RejectionReason::Isolated
        | RejectionReason::NoSnapshot => 503,
        RejectionReason::BelowQuorum | RejectionReason::NoLeaf => 503,
        RejectionReason::DeadlineExceeded => 504,
    }
}

/// Formats the outcome of a query as a response.
pub fn write(out: &Outcome) -> CallerResponse {
    match out {
        Outcome::Answered(answer) => write_answer(answer),
        // Calls that are forwarded arrive at another listener.
        Outcome::Forwarded(_) | Outcome::Merged(_) => {
            let rejection = Rejection::new(
                RejectionReason::UnknownRoute,
                "this search is called by host and path",
            );
            write(&Outcome::Rejected(rejection))
        }
        Outcome::Rejected(rejection) => {
            let code = status(rejection.reason);
            let body = json!({
                "error": rejection.reason.to_string(), "text": rejection.text,
                "query": rejection.query,
            });
            // A response to a temporary rejection has a retry-after time.
            let seconds = rejection.retry_after_seconds.unwrap_or(consts::RETRY_AFTER_MIN_S);
            let retry_after = (code == 429 || code >= 500).then_some(seconds);
            CallerResponse {
                status: code,
                missing_shards: None,
                retry_after,
                body: body.to_string().into_bytes(),
            }
        }
    }
}

fn write_answer(answer: &SearchAnswer) -> CallerResponse {
    let records: Vec<Value> = answer
        .records
        .iter()
        .map(|r| json!({ "id": r.id, "score": r.score, "shard": r.shard, "data": r.data }))
        .collect();
    let body = json!({
        "query": answer.query, "mapping": answer.route, "cut": answer.index_version,
        "revision": answer.revision, "shards": answer.shards, "missing": answer.missing,
        "records": records,
    });
    CallerResponse {
        status: 200,
        missing_shards: Some(answer.missing),
        retry_after: None,
        body: body.to_string().into_bytes(),
    }
}
