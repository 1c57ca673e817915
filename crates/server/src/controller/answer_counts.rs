//! How operators' requests were answered, for the metrics: a call that nothing serves, one that is
//! redirected and one that waits in vain differ by their status.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

/// Answers by HTTP status.
#[derive(Default)]
pub struct AnswerCounts {
    by_status: Mutex<BTreeMap<u16, u64>>,
}

impl AnswerCounts {
    /// Counts an answer.
    pub fn record(&self, status: u16) {
        if let Ok(mut by_status) = self.by_status.lock() {
            *by_status.entry(status).or_default() += 1;
        }
    }

    /// The counts as text for Prometheus.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let Ok(by_status) = self.by_status.lock() else { return text };
        for (status, count) in by_status.iter() {
            let _ = writeln!(text, "grebe_operator_answers_total{{status=\"{status}\"}} {count}");
        }
        text
    }
}
