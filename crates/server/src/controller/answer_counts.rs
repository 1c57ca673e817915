//! Counts the responses to operators' requests by status, for the metrics. The status distinguishes
//! requests to unknown paths, redirected requests and requests that timed out.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

/// Number of responses by HTTP status.
#[derive(Default)]
pub struct AnswerCounts {
    by_status: Mutex<BTreeMap<u16, u64>>,
}

impl AnswerCounts {
    /// Counts a response.
    pub fn record(&self, status: u16) {
        if let Ok(mut by_status) = self.by_status.lock() {
            *by_status.entry(status).or_default() += 1;
        }
    }

    /// Returns the counts in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let Ok(by_status) = self.by_status.lock() else { return text };
        for (status, count) in by_status.iter() {
            let _ = writeln!(text, "grebe_operator_answers_total{{status=\"{status}\"}} {count}");
        }
        text
    }
}
