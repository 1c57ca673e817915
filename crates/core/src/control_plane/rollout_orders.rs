//! Evaluates the operator requests that start or abort a rollout, at the leader of the
//! configuration partition.

use crate::config::stored::{Entry, edition};
use crate::config::types::Config;
use crate::control_plane::operations::{Evaluation, Request, evaluate_duplicate};
use crate::control_plane::request_dedup::{self, Fingerprint};
use crate::control_plane::rollout_clock::RolloutClock;
use crate::diagnostic::Diagnostic;
use crate::protocol::operation::OperationResult;
use crate::replication::partition::Partition;
use crate::rollout::order::RolloutOrder;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, RolloutState, rollout_of};
use crate::time::Tick;

/// Evaluates an order that starts a rollout. A repeated order for the current rollout is
/// acknowledged again. So is one for a rollout that has ended, until its time limit: a
/// delayed copy must not start another trial of a bad version.
pub(super) fn evaluate_start(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    order: &RolloutOrder,
    clock: &RolloutClock,
) -> Evaluation {
    let RolloutOrder { service, target, time_limit_ms } = order;
    let text = format!("start rollout {service} {target} {time_limit_ms}");
    let fingerprint = request_dedup::fingerprint(&request.id, false, text.as_bytes());
    if let Some(evaluation) = evaluate_duplicate(configuration, request, &fingerprint) {
        return evaluation;
    }
    let entries = &configuration.state.entries;
    let problems = match Config::from_entries(entries) {
        Ok(config) => order.problems(&config),
        Err(error) => vec![Diagnostic::new("stored configuration", error)],
    };
    if !problems.is_empty() {
        return Evaluation::Refused(invalid(&problems));
    }
    let previous = rollout_of(entries, service);
    if let Some(previous) = &previous {
        if is_repeated(previous, order, clock.elapsed_ms(now, previous)) {
            return Evaluation::AlreadyAccepted { revision: previous.ordered_revision };
        }
        if previous.state() == RolloutState::InProgress {
            let target = previous.target.clone();
            return Evaluation::Refused(OperationResult::RolloutInProgress { target });
        }
    }
    if has_moved(request, previous.as_ref()) {
        return conflict(configuration);
    }
    let leader_term = configuration.state.written_term.as_u64();
    let revision = configuration.state.revision + 1;
    let rollout = Rollout::start(order, previous, leader_term, revision);
    evaluated_change(configuration, &fingerprint, &rollout)
}

/// Evaluates a request that aborts a rollout.
pub(super) fn evaluate_abort(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    service: &str,
    clock: &RolloutClock,
) -> Evaluation {
    let text = format!("abort rollout {service}");
    let fingerprint = request_dedup::fingerprint(&request.id, false, text.as_bytes());
    if let Some(evaluation) = evaluate_duplicate(configuration, request, &fingerprint) {
        return evaluation;
    }
    let Some(rollout) = rollout_of(&configuration.state.entries, service) else {
        return Evaluation::Refused(OperationResult::Rollout(None));
    };
    if has_moved(request, Some(&rollout)) {
        return conflict(configuration);
    }
    match rollout.phase() {
        RolloutPhase::Trial | RolloutPhase::Forward => {
            let elapsed_ms = clock.elapsed_ms(now, &rollout);
            let revision = configuration.state.revision + 1;
            let (phase, reason) = (RolloutPhase::Back, RolloutReason::Aborted);
            evaluated_change(
                configuration,
                &fingerprint,
                &rollout.with_phase(phase, reason, elapsed_ms, revision),
            )
        }
        RolloutPhase::Back | RolloutPhase::Returned => {
            Evaluation::AlreadyAccepted { revision: rollout.phase_revision }
        }
        RolloutPhase::Delivered => Evaluation::Refused(OperationResult::Rollout(Some(rollout))),
    }
}

/// Returns whether an order repeats the one that started the latest rollout.
fn is_repeated(previous: &Rollout, order: &RolloutOrder, elapsed_ms: u64) -> bool {
    let is_aborted = previous.reason() == RolloutReason::Aborted;
    let counts = match previous.state() {
        RolloutState::InProgress => previous.phase() != RolloutPhase::Back || !is_aborted,
        RolloutState::Delivered => true,
        RolloutState::Returned => !is_aborted && elapsed_ms < previous.time_limit_ms,
    };
    counts && previous.is_ordered_by(order)
}

/// Returns whether the rollout has changed since the revision that a request expects. Other
/// changes of the configuration do not matter here.
fn has_moved(request: &Request, rollout: Option<&Rollout>) -> bool {
    let changed = rollout.map_or(0, |rollout| rollout.phase_revision);
    request.expected_revision.is_some_and(|expected| expected < changed)
}

fn conflict(configuration: &Partition) -> Evaluation {
    Evaluation::Refused(OperationResult::Conflict { revision: configuration.state.revision })
}

fn invalid(problems: &[Diagnostic]) -> OperationResult {
    let list = problems.iter().map(|problem| (problem.location.clone(), problem.text()));
    OperationResult::Invalid(list.collect())
}

/// Returns the change that writes a rollout and records its request for deduplication.
fn evaluated_change(
    configuration: &Partition,
    fingerprint: &Fingerprint,
    rollout: &Rollout,
) -> Evaluation {
    let (map, revision) = (&configuration.state.entries, configuration.state.revision + 1);
    let mut entries: Vec<Entry> = vec![rollout.to_entry()];
    entries.extend(request_dedup::insert(map, fingerprint, revision, edition(map)));
    Evaluation::Change(entries)
}
