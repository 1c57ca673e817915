//! Executes operator requests at the leader of the configuration partition. Requests are
//! evaluated against the newest state in the order of their arrival. A change is proposed
//! at once; any other request waits until this node has proved that it still leads
//! (`pending_operations`).

use crate::command::Command;
use crate::config::route::RoutingTable;
use crate::config::stored::Entry;
use crate::config::types::{ChangeHeader, Config, Patch};
use crate::control_plane::rejection::Rejection;
use crate::control_plane::request_dedup;
use crate::control_plane::request_dedup::{
    Fingerprint, Horizon, LookupResult, RequestBase, may_be_evicted,
};
use crate::control_plane::rollout_clock::RolloutClock;
use crate::control_plane::rollout_orders;
use crate::diagnostic::Diagnostic;
use crate::protocol::operation::{Operation, OperationResult};
use crate::protocol::replica::EntryMap;
use crate::replication::leader::Leader;
use crate::replication::operations::{ChangeAcceptance, OperationOrigin, PendingAnswer};
use crate::replication::partition::Partition;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// An operator request without its origin.
pub struct Request {
    /// Request id (idempotency key), under which the request may be sent again.
    pub id: String,
    /// The revision that the request expects to change.
    pub expected_revision: Option<u64>,
    /// The requested operation.
    pub operation: Operation,
}

impl Request {
    /// Returns whether a delayed copy of this request is indistinguishable from a new
    /// request: it changes the configuration and has neither an id nor an expected
    /// revision. Its sender may have sent other requests since, so no leader executes it;
    /// the response carries the current revision.
    pub fn is_unconditional(&self) -> bool {
        self.operation.is_change() && self.id.is_empty() && self.expected_revision.is_none()
    }
}

/// Rejects a request if too many requests wait at the leader. Returns whether it did.
pub fn reject_if_full(
    configuration: &Partition,
    origin: OperationOrigin,
    commands: &mut Vec<Command>,
) -> bool {
    let is_full = configuration.leader().is_none_or(Leader::is_full);
    if is_full {
        let why = Rejection::TooManyRequests.to_string();
        origin.respond(OperationResult::Rejected { why }, commands);
    }
    is_full
}

/// Executes a request about the configuration, as the leader of its partition.
pub fn execute(
    configuration: &mut Partition,
    now: Tick,
    group: VoterGroup,
    origin: OperationOrigin,
    request: &Request,
    clock: &RolloutClock,
    commands: &mut Vec<Command>,
) {
    let answer = match &request.operation {
        Operation::Read => PendingAnswer::Read,
        // `forgotten_members` executes `ForgetMember`.
        Operation::Status | Operation::ForgetMember(_) => PendingAnswer::Status,
        Operation::ReadRollout(service) => PendingAnswer::Rollout(service.clone()),
        Operation::Replace(text) => {
            let evaluation = evaluate_change(configuration, request, true, text);
            return apply_evaluation(configuration, now, group, origin, evaluation, commands);
        }
        Operation::Patch(text) => {
            let evaluation = evaluate_change(configuration, request, false, text);
            return apply_evaluation(configuration, now, group, origin, evaluation, commands);
        }
        Operation::StartRollout(order) => {
            let evaluation =
                rollout_orders::evaluate_start(configuration, now, request, order, clock);
            return apply_evaluation(configuration, now, group, origin, evaluation, commands);
        }
        Operation::AbortRollout(service) => {
            let evaluation =
                rollout_orders::evaluate_abort(configuration, now, request, service, clock);
            return apply_evaluation(configuration, now, group, origin, evaluation, commands);
        }
    };
    configuration.add_pending(now, group, origin, answer, commands);
}

/// Proposes an evaluated change, or adds its result to the pending operations.
fn apply_evaluation(
    configuration: &mut Partition,
    now: Tick,
    group: VoterGroup,
    origin: OperationOrigin,
    evaluation: Evaluation,
    commands: &mut Vec<Command>,
) {
    match evaluation {
        Evaluation::Refused(result) => {
            let answer = PendingAnswer::Rejection(result);
            configuration.add_pending(now, group, origin, answer, commands);
        }
        Evaluation::AlreadyAccepted { revision } => {
            configuration.wait_for_repeated_change(
                now,
                origin,
                revision,
                ChangeAcceptance::Applied,
            );
            configuration.request_round(now, group, commands);
            configuration.complete_operations(now, group, commands);
        }
        Evaluation::Change(entries) => {
            configuration.propose(now, group, entries, commands);
            let revision = configuration.state.revision;
            configuration.wait_for_change(now, origin, revision, ChangeAcceptance::Applied);
            configuration.complete_operations(now, group, commands);
        }
    }
}

/// The outcome of evaluating a request against the newest state.
pub(super) enum Evaluation {
    /// The request changes these entries.
    Change(Vec<Entry>),
    /// The request is a repetition of one that was accepted as this revision.
    AlreadyAccepted { revision: u64 },
    /// The request changes nothing. The result is sent once this node has proved that it
    /// leads.
    Refused(OperationResult),
}

/// Evaluates a change against the newest state.
fn evaluate_change(
    p: &Partition,
    request: &Request,
    is_replacement: bool,
    text: &[u8],
) -> Evaluation {
    let map = &p.state.entries;
    let fingerprint = request_dedup::fingerprint(&request.id, is_replacement, text);
    if let Some(evaluation) = evaluate_duplicate(p, request, &fingerprint) {
        return evaluation;
    }
    if request.expected_revision.is_some_and(|expected| expected != p.state.revision) {
        let base = RequestBase { revision: request.expected_revision, ..RequestBase::default() };
        let conflict = OperationResult::Conflict { revision: p.state.revision };
        return Evaluation::Refused(forgotten_result(map, &base).unwrap_or(conflict));
    }
    let (mut entries, edition) =
        match plan_change(map, request.expected_revision, is_replacement, text) {
            Ok(PlannedChange::Entries(entries, edition)) => (entries, edition),
            Ok(PlannedChange::Refused(result)) => return Evaluation::Refused(result),
            Err(all) => {
                let list = all.into_iter().map(|f| (f.location.clone(), f.text())).collect();
                return Evaluation::Refused(OperationResult::Invalid(list));
            }
        };
    entries.extend(request_dedup::insert(map, &fingerprint, p.state.revision + 1, edition));
    Evaluation::Change(entries)
}

/// Returns the outcome of a request that was accepted before, or that is indistinguishable
/// from a delayed copy of an earlier one.
pub(super) fn evaluate_duplicate(
    p: &Partition,
    request: &Request,
    fingerprint: &Fingerprint,
) -> Option<Evaluation> {
    if request.is_unconditional() {
        return Some(Evaluation::Refused(OperationResult::Conflict { revision: p.state.revision }));
    }
    match request_dedup::lookup(&p.state.entries, &request.id, fingerprint) {
        LookupResult::Accepted { revision } => Some(Evaluation::AlreadyAccepted { revision }),
        LookupResult::DifferentText => {
            let text = "this request id was used for another request".to_string();
            Some(Evaluation::Refused(OperationResult::Invalid(vec![("request".into(), text)])))
        }
        LookupResult::Absent => None,
    }
}

/// The outcome of planning a change.
enum PlannedChange {
    /// The changed entries, and the edition of the configuration after the change.
    Entries(Vec<Entry>, u64),
    /// The request does not build on the current edition.
    Refused(OperationResult),
}

/// Returns the entries that a request changes, or all errors in it. If the request names
/// the edition that it builds on, this must be the current one. If it names its own
/// edition, this must be higher than the current one.
fn plan_change(
    map: &EntryMap,
    expected_revision: Option<u64>,
    is_replacement: bool,
    text: &[u8],
) -> Result<PlannedChange, Vec<Diagnostic>> {
    let old = Config::from_entries(map)
        .map_err(|error| vec![Diagnostic::new("stored configuration", error)])?;
    let new = if is_replacement {
        old.replaced_by(Config::from_json(text)?)
    } else {
        old.clone().patched(&Patch::from_json(text)?)
    };
    let ChangeHeader { after, edition, .. } = new.change_header;
    let base = RequestBase { revision: expected_revision, edition: after, next_edition: edition };
    if base.edition.is_some_and(|named| named != old.client_limits.edition) {
        let conflict = OperationResult::Conflict { revision: old.client_limits.edition };
        return Ok(PlannedChange::Refused(forgotten_result(map, &base).unwrap_or(conflict)));
    }
    if base.next_edition.is_some_and(|named| named <= old.client_limits.edition) {
        if let Some(result) = forgotten_result(map, &base) {
            return Ok(PlannedChange::Refused(result));
        }
        let text = format!("must be above {}, the one that stands", old.client_limits.edition);
        return Err(vec![Diagnostic::new("terms.edition", text)]);
    }
    RoutingTable::build(&new)?;
    Ok(PlannedChange::Entries(old.changes_to(&new), new.client_limits.edition))
}

/// Returns `Forgotten` if a request that would be refused may have been accepted before and
/// since been dropped from the deduplication table.
fn forgotten_result(map: &EntryMap, base: &RequestBase) -> Option<OperationResult> {
    let horizon = request_dedup::horizon(map);
    let Horizon { revision, edition } = horizon;
    may_be_evicted(&horizon, base).then_some(OperationResult::Forgotten { revision, edition })
}
