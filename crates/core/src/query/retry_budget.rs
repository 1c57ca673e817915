//! The fleet's retry rule, kept by each thread for its own traffic.
//!
//! Two bounds, both on second tries: within the window of 10 s at most a
//! fifth of the first dispatches of that window, and as a guard against a
//! burst after traffic has stopped, a credit that each first dispatch raises
//! by a fifth, capped at a second's worth. Both add the thread's part of the
//! fleet's small slack. Sums over threads keep both bounds without asking.

use std::collections::VecDeque;

use crate::consts::{RETRY_BURST, RETRY_PCT, RETRY_WINDOW};
use crate::time::{Tick, since};

/// What a thread has sent lately.
///
/// Invariants: `firsts` and `seconds` are in time order and hold nothing
/// older than the window; `credit` is in hundredths of a second try. A fresh
/// rule has no credit and no slack: a restart brings none.
#[derive(Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<Tick>,
    /// Each second try, and whether credit paid for it (else the slack did).
    retries: VecDeque<(Tick, bool)>,
    credit: u64,
    slack: u64,
    /// No slack before this time: what a former life spent must be past.
    slack_from: Tick,
}

/// A rule for a thread that starts now.
pub fn rule(now: Tick) -> RetryBudget {
    RetryBudget { slack_from: now + RETRY_WINDOW, ..RetryBudget::default() }
}

/// Sets the thread's part of the small slack.
pub fn slack(rule: &mut RetryBudget, part: u64) {
    rule.slack = part;
}

/// Notes a first dispatch.
pub fn first(rule: &mut RetryBudget, now: Tick) {
    prune(rule, now);
    rule.first_attempts.push_back(now);
    let burst =
        rule.first_attempts.iter().rev().take_while(|t| since(**t, now) < RETRY_BURST).count();
    rule.credit = (rule.credit + RETRY_PCT).min(burst as u64 * RETRY_PCT + 100);
}

/// Takes leave for a second try; false when the rule has none to give.
pub fn second(rule: &mut RetryBudget, now: Tick) -> bool {
    prune(rule, now);
    let slack = if now >= rule.slack_from { rule.slack } else { 0 };
    let room = rule.first_attempts.len() as u64 * RETRY_PCT / 100 + slack;
    let spent = rule.retries.len() as u64;
    // Slack carries a try that the credit alone would not.
    let paid = rule.credit >= 100;
    let lent = rule.retries.iter().filter(|s| !s.1).count() as u64;
    if spent >= room || (!paid && lent >= slack) {
        return false;
    }
    if paid {
        rule.credit -= 100;
    }
    rule.retries.push_back((now, paid));
    true
}

fn prune(rule: &mut RetryBudget, now: Tick) {
    let old = |t: Option<&Tick>| t.is_some_and(|t| since(*t, now) >= RETRY_WINDOW);
    while old(rule.first_attempts.front()) {
        rule.first_attempts.pop_front();
    }
    while old(rule.retries.front().map(|s| &s.0)) {
        rule.retries.pop_front();
    }
}
