//! How long a dispatch of a search usually takes: a running quantile, after
//! which a second try is worth its price.

use indexmap::IndexMap;

use crate::consts;
use crate::time::{MILLI, Span};

/// The learned quantile of each search.
#[derive(Default)]
pub struct LatencyEstimate {
    by_route: IndexMap<String, Span>,
}

impl LatencyEstimate {
    /// Notes how long a dispatch took. The mark moves up by much for each one
    /// above it and down by little for each below, in the ratio at which just the
    /// wanted part of them lies below.
    pub fn record(&mut self, search: &str, took: Span) {
        let q = consts::HEDGE_QUANTILE_PER_MILLE;
        match self.by_route.get_mut(search) {
            None => {
                self.by_route.insert(search.to_string(), took.max(MILLI) * 2);
            }
            Some(mark) => {
                let stride = (*mark / 16).max(MILLI / 10);
                if took > *mark {
                    *mark += stride * q / 1_000;
                } else {
                    *mark = mark.saturating_sub(stride * (1_000 - q) / 1_000).max(MILLI);
                }
            }
        }
    }

    /// The wait before a second try of a search, with its target if it has one.
    pub fn hedge_delay(&self, search: &str, target: Option<Span>) -> Option<Span> {
        match (self.by_route.get(search), target) {
            (Some(mark), _) => {
                let stretched = mark * consts::HEDGE_DELAY_PCT / 100 + consts::HEDGE_DELAY_MARGIN;
                Some(stretched.max(consts::HEDGE_DELAY_MIN))
            }
            (None, Some(target)) => {
                Some((target * consts::HEDGE_DELAY_TARGET_PCT / 100).max(consts::HEDGE_DELAY_MIN))
            }
            (None, None) => None,
        }
    }

    /// Forgets searches that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_route.retain(|s, _| known(s));
    }
}
