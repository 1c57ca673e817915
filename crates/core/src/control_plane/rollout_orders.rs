//! Operators' orders about rollouts, judged by the leader of the configuration.

use crate::config::stored::{Entry, edition};
use crate::config::types::Config;
use crate::control_plane::operations::{Judged, Request, judge_copy};
use crate::control_plane::order_memory::{self, Fingerprint};
use crate::control_plane::rollout_clock::RolloutClock;
use crate::diagnostic::Diagnostic;
use crate::protocol::operation::OperationResult;
use crate::replication::partition::Partition;
use crate::rollout::order::RolloutOrder;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, RolloutState, rollout_of};
use crate::time::Tick;

/// Judges an order that starts a rollout. The one that goes on, ordered again, is acknowledged
/// again; so is one that has ended, while its term lasts: a copy that comes late must not try a
/// bad version again.
pub(super) fn judge_start(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    order: &RolloutOrder,
    clock: &RolloutClock,
) -> Judged {
    let RolloutOrder { service, target, term_ms } = order;
    let words = format!("start rollout {service} {target} {term_ms}");
    let fingerprint = order_memory::fingerprint(&request.id, false, words.as_bytes());
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

/// Judges an order that ends a rollout.
pub(super) fn judge_abort(
    configuration: &Partition,
    now: Tick,
    request: &Request,
    service: &str,
    clock: &RolloutClock,
) -> Judged {
    let words = format!("abort rollout {service}");
    let fingerprint = order_memory::fingerprint(&request.id, false, words.as_bytes());
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
                &rollout.with_phase(phase, reason, elapsed_ms, revision),
            )
        }
        RolloutPhase::Back | RolloutPhase::Returned => {
            Judged::Made { revision: rollout.phase_revision }
        }
        RolloutPhase::Delivered => Judged::Refused(OperationResult::Rollout(Some(rollout))),
    }
}

/// Whether an order asks for a rollout that stands already.
fn is_repeated(former: &Rollout, order: &RolloutOrder, elapsed_ms: u64) -> bool {
    let is_aborted = former.reason() == RolloutReason::Aborted;
    let counts = match former.state() {
        RolloutState::InProgress => former.phase() != RolloutPhase::Back || !is_aborted,
        RolloutState::Delivered => true,
        RolloutState::Returned => !is_aborted && elapsed_ms < former.term_ms,
    };
    counts && former.is_ordered_by(order)
}

/// Whether the rollout has changed since the revision that an order builds on. What else has
/// changed in the configuration is nothing to it.
fn has_moved(request: &Request, rollout: Option<&Rollout>) -> bool {
    let changed = rollout.map_or(0, |rollout| rollout.phase_revision);
    request.expected_revision.is_some_and(|expected| expected < changed)
}

fn conflict(configuration: &Partition) -> Judged {
    Judged::Refused(OperationResult::Conflict { revision: configuration.state.revision })
}

fn invalid(problems: &[Diagnostic]) -> OperationResult {
    let told = problems.iter().map(|problem| (problem.location.clone(), problem.text()));
    OperationResult::Invalid(told.collect())
}

/// The change that writes a rollout and remembers its order.
fn change(configuration: &Partition, order: &Fingerprint, rollout: &Rollout) -> Judged {
    let (map, revision) = (&configuration.state.entries, configuration.state.revision + 1);
    let mut entries: Vec<Entry> = vec![rollout.to_entry()];
    entries.extend(order_memory::remember(map, order, revision, edition(map)));
    Judged::Change(entries)
}
