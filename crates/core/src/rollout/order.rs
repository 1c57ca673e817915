//! An operator's order to move a service to another version.

use nanoserde::{DeBin, SerBin};

use crate::config::types::Config;
use crate::diagnostic::Diagnostic;

/// Maximum time limit of a rollout (ms): one week.
const MAX_TIME_LIMIT_MS: u64 = 7 * 24 * 3_600_000;
/// Maximum length of a version name (bytes).
const MAX_VERSION_LEN: usize = 128;

/// An order to move a service's traffic to the leafs of another version.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// The version to move to.
    pub target: String,
    /// Time limit for the rollout (ms).
    pub time_limit_ms: u64,
}

/// Why a rollout order is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RolloutOrderError {
    /// No pool uses the service.
    #[error("no pool has a service `{found}`")]
    UnknownService {
        /// The service in the order.
        found: String,
    },
    /// The version name is invalid.
    #[error("a version has 1 to {MAX_VERSION_LEN} printable ASCII characters without blanks")]
    InvalidVersion,
    /// The time limit is zero or too large.
    #[error("a rollout takes above 0 and at most {MAX_TIME_LIMIT_MS} ms, not {found_ms} ms")]
    InvalidTimeLimit {
        /// The time limit in the order (ms).
        found_ms: u64,
    },
}

impl RolloutOrder {
    /// Validates the order under a configuration and returns the errors, each with its field.
    pub fn problems(&self, config: &Config) -> Vec<Diagnostic> {
        let mut problems = Vec::new();
        if !config.pools.values().any(|pool| pool.service == self.service) {
            let error = RolloutOrderError::UnknownService { found: self.service.clone() };
            problems.push(Diagnostic::new("service", error));
        }
        let is_valid_version = !self.target.is_empty()
            && self.target.len() <= MAX_VERSION_LEN
            && self.target.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid_version {
            problems.push(Diagnostic::new("target", RolloutOrderError::InvalidVersion));
        }
        if self.time_limit_ms == 0 || self.time_limit_ms > MAX_TIME_LIMIT_MS {
            let error = RolloutOrderError::InvalidTimeLimit { found_ms: self.time_limit_ms };
            problems.push(Diagnostic::new("term", error));
        }
        problems
    }
}
