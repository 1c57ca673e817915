//! Tests of the time after which rejected callers may retry.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::query::request::RejectionReason;
use grebepath_core::query::retry_after::LoadPressure;
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, ms};

/// Returns the minimum and the maximum of the retry times (seconds) for 200 callers, after `calls`
/// calls of which every `rejection_interval`th was rejected, and a time `idle` without calls.
fn retry_after_range(
    calls: u64,
    rejection_interval: u64,
    reason: RejectionReason,
    ejection_left: u64,
    idle: u64,
) -> (u64, u64) {
    let mut pressure = LoadPressure::default();
    let mut random = Random::new(5);
    for i in 0..calls {
        pressure.record(ms(1_000 + i), i % rejection_interval == 0);
    }
    let now = ms(1_000 + calls) + idle;
    let all: Vec<u64> = (0..200)
        .map(|_| pressure.retry_after_seconds(now, reason, ejection_left, &mut random))
        .collect();
    (*all.iter().min().unwrap(), *all.iter().max().unwrap())
}

#[googletest::test]
fn retry_after_grows_with_the_load_and_is_jittered() {
    // A tenth rejected: soon; a half: twice the time; all of them: the maximum.
    expect_that!(retry_after_range(1_000, 10, RejectionReason::ConcurrencyLimit, 0, 0), eq((2, 4)));
    expect_that!(retry_after_range(1_000, 2, RejectionReason::NoCapacity, 0, 0), eq((2, 4)));
    expect_that!(retry_after_range(1_000, 1, RejectionReason::NoCapacity, 0, 0), eq((30, 30)));
    // Half a minute later the load pressure has decayed.
    expect_that!(
        retry_after_range(1_000, 2, RejectionReason::ConcurrencyLimit, 0, 30 * SECOND).1,
        le(4)
    );
    expect_that!(
        retry_after_range(1_000, 2, RejectionReason::ConcurrencyLimit, 0, 60 * SECOND),
        eq((1, 2))
    );
}

#[googletest::test]
fn retry_after_covers_the_ejection_of_a_needed_leaf() {
    expect_that!(retry_after_range(10, 20, RejectionReason::BelowQuorum, 0, 0), eq((1, 2)));
    expect_that!(
        retry_after_range(10, 20, RejectionReason::BelowQuorum, 4 * SECOND + 1, 0),
        eq((5, 10))
    );
    // Another node serves in the meantime: soon, whatever the state of this one.
    expect_that!(retry_after_range(1_000, 1, RejectionReason::Isolated, 9 * SECOND, 0), eq((1, 2)));
}
