//! A leaf report that is being sent to the voters.

use crate::protocol::message::LeafReport;
use crate::time::Tick;

/// A leaf report that the update stream does not contain yet.
pub struct PendingLeafReport {
    /// The leaf's service.
    pub service: String,
    /// Everything that the leaf reported, merged.
    pub report: LeafReport,
    /// When it was last sent to the voters; zero before the first time.
    pub sent_at: Tick,
    /// When it was last sent to the neighbours; zero before the first time.
    pub sent_to_members_at: Tick,
}

impl PendingLeafReport {
    pub(super) fn new(service: String, leaf: String) -> PendingLeafReport {
        PendingLeafReport {
            service,
            report: LeafReport { leaf, ..LeafReport::default() },
            sent_at: 0,
            sent_to_members_at: 0,
        }
    }

    /// Whether the report must be sent at once: a leaf that is leaving or gone is urgent, an age
    /// is not.
    pub(super) fn is_urgent(&self) -> bool {
        self.report.leaving || self.report.gone
    }

    /// Merges a report. Returns whether it adds something that must be sent at once.
    pub(super) fn add(&mut self, report: &LeafReport) -> bool {
        let is_new = (report.leaving && !self.report.leaving) || (report.gone && !self.report.gone);
        if is_new {
            self.sent_at = 0;
            self.sent_to_members_at = 0;
        }
        self.report.leaving |= report.leaving;
        self.report.gone |= report.gone;
        self.report.age_ms = self.report.age_ms.max(report.age_ms);
        is_new
    }
}
