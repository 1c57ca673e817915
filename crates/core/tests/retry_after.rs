//! When bounced callers are told to come back.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::query::request::RejectionReason;
use grebepath_core::query::retry_after::LoadPressure;
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, ms};

/// Least and most of what 200 callers are told, after `n` calls of which each
/// `each`th was sent away.
fn told(n: u64, each: u64, why: RejectionReason, rest: u64, after: u64) -> (u64, u64) {
    let mut s = LoadPressure::default();
    let mut random = Random::new(5);
    for i in 0..n {
        s.record(ms(1_000 + i), i % each == 0);
    }
    let now = ms(1_000 + n) + after;
    let all: Vec<u64> =
        (0..200).map(|_| s.retry_after_seconds(now, why, rest, &mut random)).collect();
    (*all.iter().min().unwrap(), *all.iter().max().unwrap())
}

#[googletest::test]
fn callers_come_back_when_there_is_room_and_not_all_at_once() {
    // A tenth sent away: soon; a half: twice the time; all of them: the cap.
    expect_that!(told(1_000, 10, RejectionReason::ConcurrencyLimit, 0, 0), eq((2, 4)));
    expect_that!(told(1_000, 2, RejectionReason::NoCapacity, 0, 0), eq((2, 4)));
    expect_that!(told(1_000, 1, RejectionReason::NoCapacity, 0, 0), eq((30, 30)));
    // Half a minute later nothing is left of the strain.
    expect_that!(told(1_000, 2, RejectionReason::ConcurrencyLimit, 0, 30 * SECOND).1, le(4));
    expect_that!(told(1_000, 2, RejectionReason::ConcurrencyLimit, 0, 60 * SECOND), eq((1, 2)));
}

#[googletest::test]
fn callers_come_back_when_a_needed_leaf_is_asked_again() {
    expect_that!(told(10, 20, RejectionReason::BelowQuorum, 0, 0), eq((1, 2)));
    expect_that!(told(10, 20, RejectionReason::BelowQuorum, 4 * SECOND + 1, 0), eq((5, 10)));
    // Another node serves meanwhile: soon, whatever befell this one.
    expect_that!(told(1_000, 1, RejectionReason::Isolated, 9 * SECOND, 0), eq((1, 2)));
}
