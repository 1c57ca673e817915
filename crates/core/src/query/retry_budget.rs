//! The cluster-wide retry budget of searches, enforced by each thread for its own traffic.
//!
//! Retries and hedges have two bounds. Within a window of 10 s they are at most a fifth of the
//! first attempts of that window. To prevent a burst after traffic has stopped, they also need
//! credit, which each first attempt raises by a fifth, capped at one second's worth. Both bounds
//! are raised by the thread's part of a small cluster-wide slack. Since each thread keeps the
//! bounds, their sum does too, without communication.

use std::collections::VecDeque;

use crate::consts::{RETRY_BURST_WINDOW, RETRY_PCT, RETRY_WINDOW};
use crate::time::{Tick, since};

/// The recent attempts of a thread.
///
/// Invariants: `first_attempts` and `retries` are in time order and hold nothing older than the
/// window; `credit` is in hundredths of a retry. A new budget has no credit and no slack, so
/// that a restart gains none.
#[derive(Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<Tick>,
    /// Each retry or hedge, and whether it used credit (else it used slack).
    retries: VecDeque<(Tick, bool)>,
    credit: u64,
    slack: u64,
    /// No slack before this time: what the previous incarnation of this process spent must
    /// have left the window.
    slack_from: Tick,
}

impl RetryBudget {
    /// Returns the budget of a thread that starts now.
    pub fn new(now: Tick) -> RetryBudget {
        RetryBudget { slack_from: now + RETRY_WINDOW, ..RetryBudget::default() }
    }

    /// Sets the thread's part of the cluster-wide slack.
    pub fn set_slack(&mut self, slack: u64) {
        self.slack = slack;
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: Tick) {
        self.prune(now);
        self.first_attempts.push_back(now);
        let burst = self
            .first_attempts
            .iter()
            .rev()
            .take_while(|t| since(**t, now) < RETRY_BURST_WINDOW)
            .count();
        self.credit = (self.credit + RETRY_PCT).min(burst as u64 * RETRY_PCT + 100);
    }

    /// Spends budget for a retry or hedge; returns false if there is none left.
    pub fn try_retry(&mut self, now: Tick) -> bool {
        self.prune(now);
        let slack = if now >= self.slack_from { self.slack } else { 0 };
        let limit = self.first_attempts.len() as u64 * RETRY_PCT / 100 + slack;
        let spent = self.retries.len() as u64;
        // Slack covers a retry for which the credit is not sufficient.
        let uses_credit = self.credit >= 100;
        let slack_used = self.retries.iter().filter(|s| !s.1).count() as u64;
        if spent >= limit || (!uses_credit && slack_used >= slack) {
            return false;
        }
        if uses_credit {
            self.credit -= 100;
        }
        self.retries.push_back((now, uses_credit));
        true
    }

    /// Drops what is older than the window.
    fn prune(&mut self, now: Tick) {
        let is_expired = |t: Option<&Tick>| t.is_some_and(|t| since(*t, now) >= RETRY_WINDOW);
        while is_expired(self.first_attempts.front()) {
            self.first_attempts.pop_front();
        }
        while is_expired(self.retries.front().map(|s| &s.0)) {
            self.retries.pop_front();
        }
    }
}
