//! The records that a mock leaf has. They follow from the service, the
//! question and the key alone, so a checker can tell what any shard's true
//! answer is without asking anyone.

use grebepath_core::digest::hash;
use grebepath_core::random::mix;

/// Records that each service holds for any question.
const HELD: u64 = 60;

/// A record as the oracle knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Its id.
    pub id: String,
    /// Its score.
    pub score: f64,
    /// The service that holds it.
    pub service: String,
}

/// The best `limit` records of a service for a question, best first. Scores
/// are coarse, so that ties between records and shards are common.
pub fn records(service: &str, question: &str, key: Option<&str>, limit: usize) -> Vec<Known> {
    let seed = mix(hash(service) ^ hash(question).rotate_left(17) ^ key.map_or(0, hash));
    let mut all: Vec<Known> = (0..HELD)
        .map(|i| Known {
            id: format!("{service}/{i:02}"),
            score: (mix(seed ^ i) % 64) as f64 / 4.0,
            service: service.to_string(),
        })
        .collect();
    sort(&mut all);
    all.truncate(limit);
    all
}

/// Best first: higher score, then smaller id. Written here anew, so that it
/// does not share a mistake with the querier. Ids begin with the service, so
/// no two records of different services tie on both.
pub fn sort(all: &mut [Known]) {
    all.sort_by(|a, b| {
        b.score.partial_cmp(&a.score).unwrap_or(std::cmp::Ordering::Equal).then(a.id.cmp(&b.id))
    });
}

/// What a merged answer over these services must be.
pub fn merged(services: &[&str], question: &str, key: Option<&str>, limit: usize) -> Vec<Known> {
    let mut all: Vec<Known> =
        services.iter().flat_map(|s| records(s, question, key, limit)).collect();
    sort(&mut all);
    all.truncate(limit);
    all
}
