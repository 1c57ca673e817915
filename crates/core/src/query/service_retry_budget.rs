//! Second tries towards one service, over all nodes of the fleet: a share of
//! the calls for it, and a slack that is divided over the nodes.
//!
//! Each node earns a share of a second try with each of its own calls for the
//! service, and saves up at most its part of the slack. So in any window at
//! all a node sends at most that part and the share of the calls in the
//! window, and the sum over the nodes keeps the fleet's rule with no word
//! between them. A node that starts has saved nothing: what its former life
//! spent and what it spends add up to no more.

use indexmap::IndexMap;

use crate::consts;

/// The fleet's rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRate {
    /// Second tries for each thousand calls.
    pub per_thousand: u64,
    /// Second tries beyond that, over the whole fleet.
    pub fleet_slack: u64,
}

impl RetryRate {
    /// The project's own rule (`consts`).
    pub fn standard() -> RetryRate {
        RetryRate { per_thousand: consts::RETRY_PCT * 10, fleet_slack: consts::RETRY_SLACK }
    }
}

/// What is saved up for each service.
///
/// Invariant: no service has saved more than `most`, in thousandths of a try.
pub struct ServiceRetryBudget {
    rate: RetryRate,
    credit_limit: u64,
    credits: IndexMap<String, u64>,
}

impl ServiceRetryBudget {
    /// A quota with nothing saved, for a node that knows of no other.
    pub fn new(rate: RetryRate) -> ServiceRetryBudget {
        ServiceRetryBudget { rate, credit_limit: 1_000, credits: IndexMap::new() }
    }

    /// Another rule holds from now on.
    pub fn set_rate(&mut self, rate: RetryRate, threads: u64) {
        self.rate = rate;
        self.set_thread_count(threads);
    }

    /// The fleet has so many threads that share the slack.
    pub fn set_thread_count(&mut self, threads: u64) {
        // Without a place in the membership nobody knows what others spend.
        let threads = if threads == 0 { u64::MAX } else { threads };
        let part = self.rate.fleet_slack * 1_000 * consts::RETRY_BUDGET_USE_PCT / 100 / threads;
        // Less than a whole try could never be spent.
        self.credit_limit = part.max(1_000);
        for saved in self.credits.values_mut() {
            *saved = (*saved).min(self.credit_limit);
        }
    }

    /// A call for a service has come and goes to a leaf.
    pub fn record_first_attempt(&mut self, service: &str) {
        let earned = self.rate.per_thousand * consts::RETRY_BUDGET_USE_PCT / 100;
        match self.credits.get_mut(service) {
            Some(saved) => *saved = (*saved + earned).min(self.credit_limit),
            None => {
                self.credits.insert(service.to_string(), earned);
            }
        }
    }

    /// Takes leave for a second try.
    pub fn try_retry(&mut self, service: &str) -> bool {
        match self.credits.get_mut(service) {
            Some(saved) if *saved >= 1_000 => {
                *saved -= 1_000;
                true
            }
            _ => false,
        }
    }

    /// Forgets services that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.credits.retain(|service, _| known(service));
    }
}
