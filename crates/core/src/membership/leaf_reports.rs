//! Reports of leafs on themselves: received from the traffic threads, from health checks and
//! from members, applied to this querier's own view at once, and sent to the voters until the
//! update stream contains them.

use std::collections::BTreeMap;

use crate::consts;
use crate::identifiers::{PartitionId, service_partition};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::membership::pending_report::PendingLeafReport;
use crate::protocol::message::{LeafReport, Message};
use crate::protocol::message_shapes::LEAF_INFO;
use crate::protocol::shape::decode;
use crate::snapshot::leafs::{LeafInfo, key};
use crate::time::{Span, Tick, ms, since};

/// Retry interval of a leaf report that the update stream does not contain.
const REPORT_RETRY: Span = ms(500);

/// Reports by partition.
type ReportsByPartition = BTreeMap<PartitionId, Vec<LeafReport>>;

impl NodeAgent {
    /// Handles a report that a leaf sent to this querier or to another member.
    pub(super) fn on_leaf_report(&mut self, now: Tick, service: String, report: LeafReport) {
        if report.gone {
            self.last_leaf_gone_at = now;
        }
        if self.known_leaf(&service, &report.leaf).is_none_or(|info| covers_report(&info, &report))
        {
            return;
        }
        let pending = self
            .leaf_reports
            .entry(report.leaf.clone())
            .or_insert_with(|| PendingLeafReport::new(service, report.leaf.clone()));
        self.view_is_stale |= pending.add(&report);
        self.reports_need_check = true;
    }

    /// Handles leaf reports that another member forwards. The voters have most likely received
    /// them too; this member sends them later if the update stream does not contain them by
    /// then.
    pub(super) fn on_member_leaf_reports(
        &mut self,
        now: Tick,
        partition: PartitionId,
        reports: Vec<LeafReport>,
    ) {
        for report in reports {
            let Some(info) = self.leaf_of(partition, &report.leaf) else { continue };
            let leaf = report.leaf.clone();
            let state = |p: &PendingLeafReport| (p.report.leaving, p.report.gone);
            let before = self.leaf_reports.get(&leaf).map(state);
            self.on_leaf_report(now, info.service, report);
            let Some(pending) = self.leaf_reports.get_mut(&leaf) else { continue };
            if before != Some(state(pending)) {
                pending.sent_at = now.max(1);
                self.counters.leaf_reports_from_members += 1;
            }
        }
    }

    /// Returns a leaf of a service from the entries of its partition.
    fn known_leaf(&self, service: &str, leaf: &str) -> Option<LeafInfo> {
        self.leaf_of(service_partition(service), leaf)
    }

    fn leaf_of(&self, partition: PartitionId, leaf: &str) -> Option<LeafInfo> {
        let entry = self.partitions.get(&partition)?.entries.get(&key(leaf))?;
        decode(&LEAF_INFO, entry).ok()
    }

    /// Sends leaf reports to the voters until the update stream contains them, and urgent ones
    /// to the neighbours, which forward what is new to them: every member must receive them even
    /// while the controllers are out of reach.
    pub(super) fn send_leaf_reports(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if std::mem::take(&mut self.reports_need_check) {
            self.drop_confirmed_reports();
        }
        let (to_voters, to_members) = self.take_due_reports(now);
        for (partition, reports) in to_voters {
            // Sent to every voter, since the one that renews the lease may have lost the leader.
            self.send_to_voters(&Message::LeafReports { partition, reports }, commands);
        }
        for name in &self.ring.neighbours {
            for (partition, reports) in &to_members {
                let message =
                    Message::LeafReports { partition: *partition, reports: reports.clone() };
                self.send_to_member(name, message, commands);
            }
        }
    }

    /// Sends another member all urgent reports that the update stream does not contain yet.
    pub(super) fn forward_urgent_reports(&self, name: &str, commands: &mut Vec<Command>) {
        let mut by_partition = ReportsByPartition::new();
        for pending in self.leaf_reports.values().filter(|pending| pending.is_urgent()) {
            let reports = by_partition.entry(service_partition(&pending.service)).or_default();
            reports.push(pending.report.clone());
        }
        for (partition, reports) in by_partition {
            self.send_to_member(name, Message::LeafReports { partition, reports }, commands);
        }
    }

    fn drop_confirmed_reports(&mut self) {
        let mut pending = std::mem::take(&mut self.leaf_reports);
        pending.retain(|leaf, pending| {
            self.known_leaf(&pending.service, leaf)
                .is_some_and(|info| !covers_report(&info, &pending.report))
        });
        self.leaf_reports = pending;
    }

    /// Returns the reports that are due to be sent to the voters and to the neighbours, and
    /// records that they are sent now.
    fn take_due_reports(&mut self, now: Tick) -> (ReportsByPartition, ReportsByPartition) {
        let (mut to_voters, mut to_members) =
            (ReportsByPartition::new(), ReportsByPartition::new());
        let ages_are_due = now >= self.age_reports_at;
        if ages_are_due {
            self.age_reports_at = now + REPORT_RETRY;
        }
        let is_due = |at: Tick| at == 0 || since(at, now) >= REPORT_RETRY;
        for pending in self.leaf_reports.values_mut() {
            let partition = service_partition(&pending.service);
            if is_due(pending.sent_at) && (pending.is_urgent() || ages_are_due) {
                pending.sent_at = now.max(1);
                to_voters.entry(partition).or_default().push(pending.report.clone());
            }
            if pending.is_urgent() && is_due(pending.sent_to_members_at) {
                pending.sent_to_members_at = now.max(1);
                to_members.entry(partition).or_default().push(pending.report.clone());
            }
        }
        (to_voters, to_members)
    }
}

/// Whether a leaf's entry already contains everything of a report that matters.
fn covers_report(info: &LeafInfo, report: &LeafReport) -> bool {
    let age_is_shown = info.age_ms >= consts::MAX_REPORTED_LEAF_AGE_MS
        || report.age_ms
            < info.age_ms * consts::LEAF_AGE_REPORT_FACTOR + consts::MIN_REPORTED_LEAF_AGE_MS;
    (info.leaving || !(report.leaving || report.gone)) && age_is_shown
}
