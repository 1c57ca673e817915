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
    /// Returns whether a delayed copy of this request can't be told apart from a new
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
            let judged = judge(configuration, request, true, text);
            return carry_out(configuration, now, group, origin, judged, commands);
        }
        Operation::Patch(text) => {
            let judged = judge(configuration, request, false, text);
            return carry_out(configuration, now, group, origin, judged, commands);
        }
        Operation::StartRollout(order) => {
            let judged = rollout_orders::judge_start(configuration, now, request, order, clock);
            return carry_out(configuration, now, group, origin, judged, commands);
        }
        Operation::AbortRollout(service) => {
            let judged = rollout_orders::judge_abort(configuration, now, request, service, clock);
            return carry_out(configuration, now, group, origin, judged, commands);
        }
    };
    configuration.add_pending(now, group, origin, answer, commands);
}

/// Proposes an evaluated change, or adds its result to the pending operations.
fn carry_out(
    configuration: &mut Partition,
    now: Tick,
    group: VoterGroup,
    origin: OperationOrigin,
    judged: Judged,
    commands: &mut Vec<Command>,
) {
    match judged {
        Judged::Refused(done) => {
            let answer = PendingAnswer::Refusal(done);
            configuration.add_pending(now, group, origin, answer, commands);
        }
        Judged::Made { revision } => {
            configuration.wait_for_repeated_change(now, origin, revision, ChangeAcceptance::Obeyed);
            configuration.request_round(now, group, commands);
            configuration.complete_operations(now, group, commands);
        }
        Judged::Change(entries) => {
            configuration.propose(now, group, entries, commands);
            let revision = configuration.state.revision;
            configuration.wait_for_change(now, origin, revision, ChangeAcceptance::Obeyed);
            configuration.complete_operations(now, group, commands);
        }
    }
}

/// The outcome of evaluating a request against the newest state.
pub(super) enum Judged {
    /// The request changes these entries.
    Change(Vec<Entry>),
    /// The request is a repetition of one that was accepted as this revision.
    Made { revision: u64 },
    /// The request changes nothing. The result is sent once this node has proved that it
    /// leads.
    Refused(OperationResult),
}

/// Evaluates a change against the newest state.
fn judge(p: &Partition, request: &Request, whole: bool, text: &[u8]) -> Judged {
    let map = &p.state.entries;
    let order = request_dedup::fingerprint(&request.id, whole, text);
    if let Some(judged) = judge_copy(p, request, &order) {
        return judged;
    }
    if request.expected_revision.is_some_and(|want| want != p.state.revision) {
        let base = RequestBase { revision: request.expected_revision, ..RequestBase::default() };
        let moved = OperationResult::Conflict { revision: p.state.revision };
        return Judged::Refused(forgotten(map, &base).unwrap_or(moved));
    }
    let (mut entries, edition) = match planned(map, request.expected_revision, whole, text) {
        Ok(Planned::Entries(entries, edition)) => (entries, edition),
        Ok(Planned::Refused(done)) => return Judged::Refused(done),
        Err(all) => {
            let list = all.into_iter().map(|f| (f.place.clone(), f.text())).collect();
            return Judged::Refused(OperationResult::Invalid(list));
        }
    };
    entries.extend(request_dedup::insert(map, &order, p.state.revision + 1, edition));
    Judged::Change(entries)
}

/// Returns the outcome of a request that was accepted before, or that can't be told apart
/// from a delayed copy of an earlier one.
pub(super) fn judge_copy(p: &Partition, request: &Request, order: &Fingerprint) -> Option<Judged> {
    if request.is_unconditional() {
        return Some(Judged::Refused(OperationResult::Conflict { revision: p.state.revision }));
    }
    match request_dedup::lookup(&p.state.entries, &request.id, order) {
        LookupResult::Accepted { revision } => Some(Judged::Made { revision }),
        LookupResult::DifferentText => {
            let text = "this request id was used for another request".to_string();
            Some(Judged::Refused(OperationResult::Invalid(vec![("request".into(), text)])))
        }
        LookupResult::Absent => None,
    }
}

/// The outcome of planning a change.
enum Planned {
    /// The changed entries, and the edition of the configuration after the change.
    Entries(Vec<Entry>, u64),
    /// The request does not build on the current edition.
    Refused(OperationResult),
}

/// Returns the entries that a request changes, or all errors in it. If the request names
/// the edition that it builds on, this must be the current one. If it names its own
/// edition, this must be higher than the current one.
fn planned(
    map: &EntryMap,
    expect: Option<u64>,
    whole: bool,
    text: &[u8],
) -> Result<Planned, Vec<Diagnostic>> {
    let old = Config::from_entries(map)
        .map_err(|error| vec![Diagnostic::new("stored configuration", error)])?;
    let new = if whole {
        old.replaced_by(Config::from_json(text)?)
    } else {
        old.clone().patched(&Patch::from_json(text)?)
    };
    let ChangeHeader { after, edition, .. } = new.turn;
    let base = RequestBase { revision: expect, edition: after, next_edition: edition };
    if base.edition.is_some_and(|n| n != old.terms.edition) {
        let moved = OperationResult::Conflict { revision: old.terms.edition };
        return Ok(Planned::Refused(forgotten(map, &base).unwrap_or(moved)));
    }
    if base.next_edition.is_some_and(|n| n <= old.terms.edition) {
        if let Some(done) = forgotten(map, &base) {
            return Ok(Planned::Refused(done));
        }
        let text = format!("must be above {}, the current edition", old.terms.edition);
        return Err(vec![Diagnostic::new("terms.edition", text)]);
    }
    RoutingTable::build(&new)?;
    Ok(Planned::Entries(old.changes_to(&new), new.terms.edition))
}

/// Returns `Forgotten` if a request that would be refused may have been accepted before and
/// since been dropped from the deduplication table.
fn forgotten(map: &EntryMap, base: &RequestBase) -> Option<OperationResult> {
    let horizon = request_dedup::horizon(map);
    let Horizon { revision, edition } = horizon;
    may_be_evicted(&horizon, base).then_some(OperationResult::Forgotten { revision, edition })
}
