//! The records of a mock leaf. They are computed from the service, the
//! question and the key alone, so a checker can compute any shard's correct
//! answer without a request.

use grebepath_core::digest::hash;
use grebepath_core::random::mix;

/// Records that each service holds for any question.
const RECORDS_PER_SERVICE: u64 = 60;

/// A record of the oracle.
#[derive(Clone, Debug, PartialEq)]
pub struct OracleRecord {
    /// Its id.
    pub id: String,
    /// Its score.
    pub score: f64,
    /// The service that holds it.
    pub service: String,
}

/// Returns the best `limit` records of a service for a question, best first. Scores
/// are coarse, so that ties between records and shards are common.
pub fn records(
    service: &str,
    question: &str,
    key: Option<&str>,
    limit: usize,
) -> Vec<OracleRecord> {
    let seed = mix(hash(service) ^ hash(question).rotate_left(17) ^ key.map_or(0, hash));
    let mut all: Vec<OracleRecord> = (0..RECORDS_PER_SERVICE)
        .map(|i| OracleRecord {
            id: format!("{service}/{i:02}"),
            score: (mix(seed ^ i) % 64) as f64 / 4.0,
            service: service.to_string(),
        })
        .collect();
    sort(&mut all);
    all.truncate(limit);
    all
}

/// Sorts records, best first: higher score, then smaller id. Implemented separately, so that it
/// does not share a mistake with the querier. Ids begin with the service, so
/// no two records of different services tie on both.
pub fn sort(all: &mut [OracleRecord]) {
    all.sort_by(|a, b| {
        b.score.partial_cmp(&a.score).unwrap_or(std::cmp::Ordering::Equal).then(a.id.cmp(&b.id))
    });
}

/// Returns the correct merged answer over these services.
pub fn merged(
    services: &[&str],
    question: &str,
    key: Option<&str>,
    limit: usize,
) -> Vec<OracleRecord> {
    let mut all: Vec<OracleRecord> =
        services.iter().flat_map(|s| records(s, question, key, limit)).collect();
    sort(&mut all);
    all.truncate(limit);
    all
}
