//! The rules that each run is checked against, one for each statement in the documentation. The
//! numbers are those of the documentation, and no code of the product is used here.

use crate::record::{Machine, Record, Run};

/// A leaf receives no request later than this after the list shows that it is leaving (ms).
const DRAIN_TIMEOUT_MS: u64 = 3_000;
/// A zone receives no request later than this after the drain operation was acknowledged (ms).
const ZONE_DRAIN_TIMEOUT_MS: u64 = 5_000;
/// Time after a fault of a querier or a controller before the querier is checked again (ms).
const UNDISTURBED_MS: u64 = 4_000;

/// Returns a description of each violation of a rule.
pub fn check(record: &Record) -> Vec<String> {
    let mut violations = check_drain(record);
    violations.extend(check_drained_zones(record));
    violations.extend(check_final_states(record));
    violations.extend(check_zone_reads(record));
    violations.extend(record.wrong_answers.iter().map(|text| format!("MIXED: {text}")));
    violations.extend(record.process_faults.iter().cloned());
    violations
}

/// Whether no fault affected the querier of a run, or a controller, in the time before the run.
fn is_undisturbed_at(record: &Record, run: &Run) -> bool {
    let counts = |machine: Machine| match machine {
        Machine::Querier(querier) => querier == run.querier,
        Machine::Controller(_) => true,
    };
    !record.disturbances.iter().any(|disturbance| {
        let until_ms = disturbance.until_ms.unwrap_or(u64::MAX);
        counts(disturbance.machine)
            && disturbance.from_ms <= run.at_ms
            && run.at_ms <= until_ms.saturating_add(UNDISTURBED_MS)
    })
}

/// DRAIN: a request of an undisturbed querier reaches a leaf too late after the list showed that
/// the leaf is leaving.
fn check_drain(record: &Record) -> Vec<String> {
    let mut violations = Vec::new();
    for leaving in &record.leaving {
        let is_late = |run: &&Run| {
            run.leaf == leaving.leaf && run.at_ms > leaving.shown_ms + DRAIN_TIMEOUT_MS
        };
        for run in record.runs.iter().filter(is_late).filter(|run| is_undisturbed_at(record, run)) {
            violations.push(format!(
                "DRAIN: a request of querier {} runs at {} at {} ms, {} ms after the list showed it",
                run.querier,
                run.leaf,
                run.at_ms,
                run.at_ms - leaving.shown_ms
            ));
        }
    }
    violations
}

/// EVAC: a request of an undisturbed querier reaches a leaf in a zone too late after the operation
/// to drain the zone was acknowledged, and before the drain is reverted.
fn check_drained_zones(record: &Record) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, operation) in record.zone_operations.iter().enumerate() {
        let (true, Some(acknowledged_ms)) = (operation.drained, operation.acknowledged_ms) else {
            continue;
        };
        let later =
            record.zone_operations[number + 1..].iter().find(|next| next.zone == operation.zone);
        let ends_ms = later.map_or(u64::MAX, |next| next.sent_ms);
        let is_wrong = |run: &&Run| {
            run.zone == operation.zone
                && run.at_ms > acknowledged_ms + ZONE_DRAIN_TIMEOUT_MS
                && run.at_ms < ends_ms
        };
        for run in record.runs.iter().filter(is_wrong).filter(|run| is_undisturbed_at(record, run))
        {
            violations.push(format!(
                "EVAC: a request of querier {} runs in zone {} at {} ms, acknowledged at {} ms",
                run.querier, operation.zone, run.at_ms, acknowledged_ms
            ));
        }
    }
    violations
}

/// LOST: the state of a zone at the end differs from its newest operation, which was acknowledged.
fn check_final_states(record: &Record) -> Vec<String> {
    let mut violations = Vec::new();
    for (zone, is_drained) in &record.zones_at_end {
        let Some(last) =
            record.zone_operations.iter().rev().find(|operation| operation.zone == *zone)
        else {
            continue;
        };
        if last.acknowledged_ms.is_some() && last.drained != *is_drained {
            let state = if *is_drained { "drained" } else { "open" };
            violations.push(format!(
                "LOST: zone {zone} is {state} at the end, contrary to its newest operation"
            ));
        }
    }
    violations
}

/// LOST: the state of a zone, read during the run, differs from its newest operation at that time,
/// which was acknowledged.
fn check_zone_reads(record: &Record) -> Vec<String> {
    let mut violations = Vec::new();
    for read in &record.zone_reads {
        let operation = &record.zone_operations[read.operation];
        if operation.acknowledged_ms.is_some() && operation.drained != read.is_drained {
            violations.push(format!(
                "LOST: zone {} is read as drained {} at {} ms, contrary to its newest operation",
                operation.zone, read.is_drained, read.at_ms
            ));
        }
    }
    violations
}
