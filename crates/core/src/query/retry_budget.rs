//! The fleet's retry rule, kept by each thread for its own traffic.
//!
//! Two bounds, both on second tries: within the window of 10 s at most a
//! fifth of the first dispatches of that window, and as a guard against a
//! burst after traffic has stopped, a credit that each first dispatch raises
//! by a fifth, capped at a second's worth. Both add the thread's part of the
//! fleet's small slack. Sums over threads keep both bounds without asking.

use std::collections::VecDeque;

use crate::consts::{RETRY_BURST_WINDOW, RETRY_PCT, RETRY_WINDOW};
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

impl RetryBudget {
    /// A rule for a thread that starts now.
    pub fn new(now: Tick) -> RetryBudget {
        RetryBudget { slack_from: now + RETRY_WINDOW, ..RetryBudget::default() }
    }

    /// Sets the thread's part of the small slack.
    pub fn set_slack(&mut self, part: u64) {
        self.slack = part;
    }

    /// Notes a first dispatch.
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

    /// Takes leave for a second try; false when the rule has none to give.
    pub fn try_retry(&mut self, now: Tick) -> bool {
        self.prune(now);
        let slack = if now >= self.slack_from { self.slack } else { 0 };
        let room = self.first_attempts.len() as u64 * RETRY_PCT / 100 + slack;
        let spent = self.retries.len() as u64;
        // Slack carries a try that the credit alone would not.
        let paid = self.credit >= 100;
        let lent = self.retries.iter().filter(|s| !s.1).count() as u64;
        if spent >= room || (!paid && lent >= slack) {
            return false;
        }
        if paid {
            self.credit -= 100;
        }
        self.retries.push_back((now, paid));
        true
    }

    fn prune(&mut self, now: Tick) {
        let old = |t: Option<&Tick>| t.is_some_and(|t| since(*t, now) >= RETRY_WINDOW);
        while old(self.first_attempts.front()) {
            self.first_attempts.pop_front();
        }
        while old(self.retries.front().map(|s| &s.0)) {
            self.retries.pop_front();
        }
    }
}
