//! The rules by which a run is judged, each by its sentence in the users' pages. The numbers are
//! those of the pages, and nothing here comes from the product.

use crate::record::{Machine, Record, Run};

/// A leaf gets no request later than this after the list shows that it leaves (ms).
const DRAIN_TIMEOUT_MS: u64 = 3_000;
/// A zone gets no request later than this after the order to drain it was acknowledged (ms).
const ZONE_DRAIN_TIMEOUT_MS: u64 = 5_000;
/// A machine is in touch if nothing has disturbed it or the core for this long (ms).
const UNDISTURBED_MS: u64 = 4_000;

/// All that breaks a rule, in plain words.
pub fn check(record: &Record) -> Vec<String> {
    let mut violations = check_drain(record);
    violations.extend(check_drained_zones(record));
    violations.extend(check_final_states(record));
    violations.extend(check_zone_reads(record));
    violations.extend(record.wrong_answers.iter().map(|text| format!("MIXED: {text}")));
    violations.extend(record.process_faults.iter().cloned());
    violations
}

/// Whether the querier that sent a run was in touch throughout the time before.
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

/// DRAIN: a request, sent on by a machine in touch, reaches a leaf too late after the list showed
/// that it leaves.
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

/// EVAC: a request from a machine in touch reaches a leaf in a zone too long after the order to
/// drain it was acknowledged, and before it is taken back.
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

/// LOST: the newest acknowledged order of a zone is not what is read at the end.
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
            violations
                .push(format!("LOST: zone {zone} is {state} at the end, against its newest order"));
        }
    }
    violations
}

/// LOST: a zone that was read does not stand as its newest order says, which was acknowledged.
fn check_zone_reads(record: &Record) -> Vec<String> {
    let mut violations = Vec::new();
    for read in &record.zone_reads {
        let operation = &record.zone_operations[read.operation];
        if operation.acknowledged_ms.is_some() && operation.drained != read.is_drained {
            violations.push(format!(
                "LOST: zone {} is read as drained {} at {} ms, against its newest order",
                operation.zone, read.is_drained, read.at_ms
            ));
        }
    }
    violations
}
