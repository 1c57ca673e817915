//! An operator's order to move a service to another version.

use nanoserde::{DeBin, SerBin};

use crate::config::types::Config;
use crate::diagnostic::Diagnostic;

/// Longest term of a rollout (ms): a week.
const LONGEST_TERM_MS: u64 = 7 * 24 * 3_600_000;
/// Longest name of a version (bytes).
const LONGEST_VERSION: usize = 128;

/// An order to move a service's traffic onto the leafs of a version.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version to move to.
    pub target: String,
    /// Time within which the rollout is to end (ms).
    pub term_ms: u64,
}

/// What is wrong with an order.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RolloutOrderError {
    /// No pool takes its leafs from the service.
    #[error("no pool has a service `{found}`")]
    UnknownService {
        /// The name in the order.
        found: String,
    },
    /// The version is no name.
    #[error("a version has 1 to {LONGEST_VERSION} printable ASCII characters without blanks")]
    WrongVersion,
    /// The term is none.
    #[error("a rollout takes above 0 and at most {LONGEST_TERM_MS} ms, not {found_ms} ms")]
    WrongTerm {
        /// The term in the order (ms).
        found_ms: u64,
    },
}

impl RolloutOrder {
    /// What is wrong with it under a configuration, each with the field's place.
    pub fn problems(&self, config: &Config) -> Vec<Diagnostic> {
        let mut problems = Vec::new();
        if !config.pools.values().any(|pool| pool.service == self.service) {
            let error = RolloutOrderError::UnknownService { found: self.service.clone() };
            problems.push(Diagnostic::new("service", error));
        }
        let is_name = !self.target.is_empty()
            && self.target.len() <= LONGEST_VERSION
            && self.target.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_name {
            problems.push(Diagnostic::new("target", RolloutOrderError::WrongVersion));
        }
        if self.term_ms == 0 || self.term_ms > LONGEST_TERM_MS {
            let error = RolloutOrderError::WrongTerm { found_ms: self.term_ms };
            problems.push(Diagnostic::new("term", error));
        }
        problems
    }
}
