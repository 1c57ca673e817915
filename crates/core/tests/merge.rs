//! Tests of the order of merged records (rule 4) with ties, one id in several shards and extreme
//! scores, and of replies whose records can't be ordered.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::http_api::leaf::{
    AttemptFailure, ExpectedReply, LeafReply, ReplyHeaders, check, postmark,
};
use grebepath_core::query::merge::merge;
use grebepath_core::query::request::Record;
use grebepath_core::random::Random;
use serde_json::Value;

/// Scores that tie often, and scores at the limits of a float.
const SCORES: [f64; 9] = [0.0, 1.0, 1.0, 2.5, -3.0, 1e308, -1e308, 5e-324, f64::MAX];

/// Returns random records of a shard, best first by a comparison that is independent of the code
/// under test.
fn random_shard(random: &mut Random, name: &str) -> Vec<Record> {
    let mut all: Vec<Record> = (0..random.below(12))
        .map(|i| Record {
            // Few ids, so that the same id occurs in several shards.
            id: format!("id-{}", (i + random.below(3)) % 12),
            score: SCORES[random.below(SCORES.len() as u64) as usize],
            shard: name.to_string(),
            data: Value::Null,
        })
        .collect();
    sort(&mut all);
    all.dedup_by(|a, b| a.id == b.id && a.score == b.score);
    all
}

fn sort(all: &mut [Record]) {
    all.sort_by(|a, b| {
        let by_score = b.score.partial_cmp(&a.score).expect("no score is NaN");
        by_score.then_with(|| (&a.id, &a.shard).cmp(&(&b.id, &b.shard)))
    });
}

#[googletest::test]
fn merge_returns_the_best_records_whatever_the_ties() {
    let mut random = Random::new(3);
    let mut tied = 0;
    for round in 0..2_000 {
        let lists: Vec<_> =
            (0..1 + random.below(5)).map(|i| random_shard(&mut random, &i.to_string())).collect();
        let mut expected: Vec<Record> = lists.iter().flatten().cloned().collect();
        sort(&mut expected);
        tied +=
            expected.windows(2).filter(|w| w[0].score == w[1].score && w[0].id == w[1].id).count();
        let limit = random.below(20) as usize;
        expected.truncate(limit);
        // The result does not depend on the order of the shards.
        let mut rotated = lists.clone();
        rotated.rotate_left(round % lists.len());
        assert_eq!(merge(rotated, limit), expected, "round {round}");
    }
    expect_that!(tied, gt(500), "too few ties to test tie-breaking");
}

fn reply(records: &str) -> std::result::Result<Vec<Record>, AttemptFailure> {
    let request_postmark = postmark("l", "q", "d");
    let headers = ReplyHeaders { postmarks: vec![request_postmark], ..ReplyHeaders::default() };
    let body = format!("{{\"records\": [{records}]}}").into_bytes();
    let expected =
        ExpectedReply { leaf: "l", attempt: "q", digest: "d", index_version: "", record_limit: 3 };
    check(&LeafReply { status: 200, headers, body }, &expected)
}

#[googletest::test]
fn replies_with_records_that_cannot_be_ordered_are_rejected() {
    let record_json = |id: &str, score: &str| format!("{{\"id\": \"{id}\", \"score\": {score}}}");
    let pair = |a: (&str, &str), b: (&str, &str)| {
        format!("{},{}", record_json(a.0, a.1), record_json(b.0, b.1))
    };
    for score in ["NaN", "1e999", "-1e999", "Infinity", "\"9\"", "null"] {
        expect_that!(
            reply(&record_json("a", score)),
            err(eq(&AttemptFailure::MalformedReply)),
            "{score}"
        );
    }
    // Out of order, a tie in the wrong order, and the same record twice.
    expect_that!(reply(&pair(("a", "1"), ("b", "2"))), err(eq(&AttemptFailure::RecordsOutOfOrder)));
    expect_that!(reply(&pair(("b", "1"), ("a", "1"))), err(eq(&AttemptFailure::RecordsOutOfOrder)));
    expect_that!(reply(&pair(("a", "1"), ("a", "1"))), err(eq(&AttemptFailure::RecordsOutOfOrder)));
    expect_that!(
        reply(&pair(("b", "0.0"), ("a", "-0.0"))),
        err(eq(&AttemptFailure::RecordsOutOfOrder))
    );
    expect_that!(reply(&pair(("a", "-0.0"), ("b", "0.0"))), ok(len(eq(2))));
    expect_that!(reply(&pair(("a", "1e308"), ("b", "-1e308"))), ok(len(eq(2))));
}
