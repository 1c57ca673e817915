//! Evaluates the operator requests that start or abort a rollout, at the leader of the
//! configuration partition.

use crate::config::stored::{Entry, edition};
use crate::config::types::Config;
use crate::control_plane::operations::{Judged, Request, judge_copy};
use crate::control_plane::request_dedup::{self, Fingerprint};
use crate::control_plane::rollout_clock::RolloutClock;
use crate::diagnostic::Diagnostic;
use crate::protocol::operation::OperationResult;
use crate::replication::partition::Partition;
use crate::rollout::order::RolloutOrder;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, RolloutState, rollout_of};
use crate::time::Tick;

/// Evaluates an order that starts a rollout. A repeated order for the current rollout is
/// acknowledged again. So is one for a rollout that has ended, while its term lasts: a
/// delayed copy must not start another trial of a bad version.
pub(super) fn judge_start(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    order: &RolloutOrder,
    clock: &RolloutClock,
) -> Judged {
    let RolloutOrder { service, target, term_ms } = order;
    let words = format!("start rollout {service} {target} {term_ms}");
    let fingerprint = request_dedup::fingerprint(&request.id, false, words.as_bytes());
    if let Some(judged) = judge_copy(configuration, request, &fingerprint) {
        return judged;
    }
    let entries = &configuration.state.entries;
    let problems = match Config::from_entries(entries) {
        Ok(config) => order.problems(&config),
        Err(error) => vec![Diagnostic::new("stored configuration", error)],
    };
    if !problems.is_empty() {
        return Judged::Refused(invalid(&problems));
    }
    let former = rollout_of(entries, service);
    if let Some(former) = &former {
        if is_repeated(former, order, clock.elapsed_ms(now, former)) {
            return Judged::Made { revision: former.ordered_revision };
        }
        if former.state() == RolloutState::InProgress {
            let target = former.target.clone();
            return Judged::Refused(OperationResult::RolloutInProgress { target });
        }
    }
    if has_moved(request, former.as_ref()) {
        return conflict(configuration);
    }
    let leader_term = configuration.state.written_term.as_u64();
    let revision = configuration.state.revision + 1;
    let rollout = Rollout::start(order, former, leader_term, revision);
    change(configuration, &fingerprint, &rollout)
}

/// Evaluates a request that aborts a rollout.
pub(super) fn judge_abort(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    service: &str,
    clock: &RolloutClock,
) -> Judged {
    let words = format!("abort rollout {service}");
    let fingerprint = request_dedup::fingerprint(&request.id, false, words.as_bytes());
    if let Some(judged) = judge_copy(configuration, request, &fingerprint) {
        return judged;
    }
    let Some(rollout) = rollout_of(&configuration.state.entries, service) else {
        return Judged::Refused(OperationResult::Rollout(None));
    };
    if has_moved(request, Some(&rollout)) {
        return conflict(configuration);
    }
    match rollout.phase() {
        RolloutPhase::Trial | RolloutPhase::Forward => {
            let elapsed_ms = clock.elapsed_ms(now, &rollout);
            let revision = configuration.state.revision + 1;
            let (phase, reason) = (RolloutPhase::Back, RolloutReason::Aborted);
            change(
                configuration,
                &fingerprint,
                &rollout.turned(phase, reason, elapsed_ms, revision),
            )
        }
        RolloutPhase::Back | RolloutPhase::Returned => {
            Judged::Made { revision: rollout.phase_revision }
        }
        RolloutPhase::Delivered => Judged::Refused(OperationResult::Rollout(Some(rollout))),
    }
}

/// Returns whether an order repeats the one that started the latest rollout.
fn is_repeated(former: &Rollout, order: &RolloutOrder, elapsed_ms: u64) -> bool {
    let is_aborted = former.reason() == RolloutReason::Aborted;
    let counts = match former.state() {
        RolloutState::InProgress => former.phase() != RolloutPhase::Back || !is_aborted,
        RolloutState::Delivered => true,
        RolloutState::Returned => !is_aborted && elapsed_ms < former.term_ms,
    };
    counts && former.is_ordered_by(order)
}

/// Returns whether the rollout has changed since the revision that a request expects. Other
/// changes of the configuration do not matter here.
fn has_moved(request: &Request, rollout: Option<&Rollout>) -> bool {
    let changed = rollout.map_or(0, |rollout| rollout.phase_revision);
    request.expected_revision.is_some_and(|expected| expected < changed)
}

fn conflict(configuration: &Partition) -> Judged {
    Judged::Refused(OperationResult::Conflict { revision: configuration.state.revision })
}

fn invalid(problems: &[Diagnostic]) -> OperationResult {
    let told = problems.iter().map(|problem| (problem.place.clone(), problem.text()));
    OperationResult::Invalid(told.collect())
}

/// Returns the change that writes a rollout and records its request for deduplication.
fn change(configuration: &Partition, order: &Fingerprint, rollout: &Rollout) -> Judged {
    let (map, revision) = (&configuration.state.entries, configuration.state.revision + 1);
    let mut entries: Vec<Entry> = vec![rollout.to_entry()];
    entries.extend(request_dedup::insert(map, order, revision, edition(map)));
    Judged::Change(entries)
}
