//! The cluster-wide retry budget of forwarded calls, by service: a fraction of the calls for a
//! service, and a slack that is partitioned among the threads.
//!
//! Each thread earns a fraction of a retry with each of its calls for the service, and saves at
//! most its part of the slack. So in any window a thread sends at most that part and the
//! fraction of its calls in the window, and the sum over all threads keeps the cluster-wide
//! limit without communication. A thread starts with no credit, so that a restart gains none.

use indexmap::IndexMap;

use crate::consts;

/// The cluster-wide retry rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRate {
    /// Retries and hedges for each thousand calls.
    pub per_thousand: u64,
    /// Retries and hedges beyond that, in the whole cluster.
    pub cluster_slack: u64,
}

impl RetryRate {
    /// Returns the default rate, from `consts`.
    pub fn standard() -> RetryRate {
        RetryRate { per_thousand: consts::RETRY_PCT * 10, cluster_slack: consts::RETRY_SLACK }
    }
}

/// The retry credits of one thread.
///
/// Invariant: no service's credit exceeds `credit_limit`, in thousandths of a retry.
pub struct ServiceRetryBudget {
    rate: RetryRate,
    credit_limit: u64,
    credits: IndexMap<String, u64>,
}

impl ServiceRetryBudget {
    /// Returns a budget without credit, for a thread that knows of no other thread.
    pub fn new(rate: RetryRate) -> ServiceRetryBudget {
        ServiceRetryBudget { rate, credit_limit: 1_000, credits: IndexMap::new() }
    }

    /// Replaces the retry rate, which is shared by this number of threads.
    pub fn set_rate(&mut self, rate: RetryRate, threads: u64) {
        self.rate = rate;
        self.set_thread_count(threads);
    }

    /// Sets the number of threads that share the slack.
    pub fn set_thread_count(&mut self, threads: u64) {
        // Outside the membership the number of threads that share the slack is unknown.
        let threads = if threads == 0 { u64::MAX } else { threads };
        let slack = self.rate.cluster_slack * 1_000 * consts::RETRY_BUDGET_USE_PCT / 100 / threads;
        // A limit below one retry would allow none.
        self.credit_limit = slack.max(1_000);
        for credit in self.credits.values_mut() {
            *credit = (*credit).min(self.credit_limit);
        }
    }

    /// Records the first attempt of a call for a service, which earns credit.
    pub fn record_first_attempt(&mut self, service: &str) {
        let earned = self.rate.per_thousand * consts::RETRY_BUDGET_USE_PCT / 100;
        match self.credits.get_mut(service) {
            Some(credit) => *credit = (*credit + earned).min(self.credit_limit),
            None => {
                self.credits.insert(service.to_string(), earned);
            }
        }
    }

    /// Spends credit for a retry or hedge; returns false if there is not enough.
    pub fn try_retry(&mut self, service: &str) -> bool {
        match self.credits.get_mut(service) {
            Some(credit) if *credit >= 1_000 => {
                *credit -= 1_000;
                true
            }
            _ => false,
        }
    }

    /// Removes the credits of services that no longer exist.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.credits.retain(|service, _| known(service));
    }
}
