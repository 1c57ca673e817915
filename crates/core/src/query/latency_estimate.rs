//! Latency estimate of each search: a running quantile of its attempts, from which the hedge
//! delay is derived.

use indexmap::IndexMap;

use crate::consts;
use crate::time::{MILLI, Span};

/// Running latency quantiles by search.
#[derive(Default)]
pub struct LatencyEstimate {
    by_route: IndexMap<String, Span>,
}

impl LatencyEstimate {
    /// Records the latency of an attempt. The estimate moves up for each latency above it and
    /// down by less for each one below it, in a ratio at which it converges to the configured
    /// quantile.
    pub fn record(&mut self, search: &str, took: Span) {
        let q = consts::HEDGE_QUANTILE_PER_MILLE;
        match self.by_route.get_mut(search) {
            None => {
                self.by_route.insert(search.to_string(), took.max(MILLI) * 2);
            }
            Some(estimate) => {
                let step = (*estimate / 16).max(MILLI / 10);
                if took > *estimate {
                    *estimate += step * q / 1_000;
                } else {
                    *estimate = estimate.saturating_sub(step * (1_000 - q) / 1_000).max(MILLI);
                }
            }
        }
    }

    /// Returns the delay before an attempt of a search is hedged: from the estimate if there is
    /// one, else from the search's latency target.
    pub fn hedge_delay(&self, search: &str, target: Option<Span>) -> Option<Span> {
        match (self.by_route.get(search), target) {
            (Some(estimate), _) => {
                let delay = estimate * consts::HEDGE_DELAY_PCT / 100 + consts::HEDGE_DELAY_MARGIN;
                Some(delay.max(consts::HEDGE_DELAY_MIN))
            }
            (None, Some(target)) => {
                Some((target * consts::HEDGE_DELAY_TARGET_PCT / 100).max(consts::HEDGE_DELAY_MIN))
            }
            (None, None) => None,
        }
    }

    /// Removes the estimates of searches that no longer exist.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_route.retain(|s, _| known(s));
    }
}
