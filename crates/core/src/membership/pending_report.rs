//! A leaf's report that is on its way to the voters.

use crate::protocol::message::LeafReport;
use crate::time::Tick;

/// A leaf's report that the update stream does not show yet.
pub struct PendingLeafReport {
    /// The leaf's service.
    pub service: String,
    /// All that the leaf reported, put together.
    pub report: LeafReport,
    /// When we last sent it to the voters; zero before the first time.
    pub sent_at: Tick,
    /// When we last passed it on to our neighbours; zero before the first time.
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

    /// An age can wait for others; that a leaf leaves or is gone can't.
    pub(super) fn is_urgent(&self) -> bool {
        self.report.leaving || self.report.gone
    }

    /// Adds what a report says; tells whether it must be sent at once.
    pub(super) fn add(&mut self, report: &LeafReport) -> bool {
        let is_news =
            (report.leaving && !self.report.leaving) || (report.gone && !self.report.gone);
        if is_news {
            self.sent_at = 0;
            self.sent_to_members_at = 0;
        }
        self.report.leaving |= report.leaving;
        self.report.gone |= report.gone;
        self.report.age_ms = self.report.age_ms.max(report.age_ms);
        is_news
    }
}
