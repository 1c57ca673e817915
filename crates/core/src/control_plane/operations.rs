//! Operators' requests at the leader of the configuration: each is judged by the
//! newest state, in the order in which they come. A change is made at once; all
//! else waits for the proof that we still lead (`pending_operations`).

use crate::command::Command;
use crate::config::route::RoutingTable;
use crate::config::stored::Entry;
use crate::config::types::{ChangeHeader, Config, Patch};
use crate::control_plane::order_memory;
use crate::control_plane::order_memory::{
    Fingerprint, Horizon, OrderBase, Recall, may_be_forgotten,
};
use crate::control_plane::rejection::Rejection;
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

/// An operator's request without its origin.
pub struct Request {
    /// The id under which it may be sent again.
    pub id: String,
    /// The revision that it expects to change.
    pub expected_revision: Option<u64>,
    /// What is asked.
    pub operation: Operation,
}

impl Request {
    /// Whether nothing tells a copy of it that comes late from a new request: it changes the
    /// configuration, and has neither an id nor a revision that it builds on. Its sender may
    /// have sent others since, so no leader carries it out; it is told which revision stands.
    pub fn is_unconditional(&self) -> bool {
        self.operation.is_change() && self.id.is_empty() && self.expected_revision.is_none()
    }
}

/// Rejects a request if too many wait at the leader; tells whether it did.
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

/// Judges a request about the configuration, as its leader.
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
        // What an operator forgets is up to `forgotten_members`.
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

/// Carries out what an order was judged to come to.
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
            let answer = PendingAnswer::Rejection(done);
            configuration.add_pending(now, group, origin, answer, commands);
        }
        Judged::Made { revision } => {
            configuration.wait_for_repeated_change(
                now,
                origin,
                revision,
                ChangeAcceptance::Applied,
            );
            configuration.request_round(now, group, commands);
            configuration.complete_operations(now, group, commands);
        }
        Judged::Change(entries) => {
            configuration.propose(now, group, entries, commands);
            let revision = configuration.state.revision;
            configuration.wait_for_change(now, origin, revision, ChangeAcceptance::Applied);
            configuration.complete_operations(now, group, commands);
        }
    }
}

/// What an order comes to by our newest state.
pub(super) enum Judged {
    /// It changes these entries.
    Change(Vec<Entry>),
    /// It was made as this revision when it came before.
    Made { revision: u64 },
    /// It changes nothing; this is told once it is proved.
    Refused(OperationResult),
}

/// Judges a change by our newest state.
fn judge(p: &Partition, request: &Request, whole: bool, text: &[u8]) -> Judged {
    let map = &p.state.entries;
    let order = order_memory::fingerprint(&request.id, whole, text);
    if let Some(judged) = judge_copy(p, request, &order) {
        return judged;
    }
    if request.expected_revision.is_some_and(|want| want != p.state.revision) {
        let base = OrderBase { revision: request.expected_revision, ..OrderBase::default() };
        let moved = OperationResult::Conflict { revision: p.state.revision };
        return Judged::Refused(forgotten(map, &base).unwrap_or(moved));
    }
    let (mut entries, edition) = match planned(map, request.expected_revision, whole, text) {
        Ok(Planned::Entries(entries, edition)) => (entries, edition),
        Ok(Planned::Refused(done)) => return Judged::Refused(done),
        Err(all) => {
            let list = all.into_iter().map(|f| (f.location.clone(), f.text())).collect();
            return Judged::Refused(OperationResult::Invalid(list));
        }
    };
    entries.extend(order_memory::remember(map, &order, p.state.revision + 1, edition));
    Judged::Change(entries)
}

/// What an order comes to that nothing tells from a copy which comes late, or that came before.
pub(super) fn judge_copy(p: &Partition, request: &Request, order: &Fingerprint) -> Option<Judged> {
    if request.is_unconditional() {
        return Some(Judged::Refused(OperationResult::Conflict { revision: p.state.revision }));
    }
    match order_memory::recall(&p.state.entries, &request.id, order) {
        Recall::Accepted { revision } => Some(Judged::Made { revision }),
        Recall::OtherText => {
            let text = "this request id was used for another request".to_string();
            Some(Judged::Refused(OperationResult::Invalid(vec![("request".into(), text)])))
        }
        Recall::Absent => None,
    }
}

/// What a request comes to.
enum Planned {
    /// The entries that it changes, and the edition that stands then.
    Entries(Vec<Entry>, u64),
    /// It does not build on the edition that stands.
    Refused(OperationResult),
}

/// The entries that a request changes, or all that is wrong with it. A request
/// that names the edition it builds on is held to it, and one that names its
/// own must go beyond the one that stands.
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
    let ChangeHeader { after, edition, .. } = new.change_header;
    let base = OrderBase { revision: expect, edition: after, next_edition: edition };
    if base.edition.is_some_and(|n| n != old.client_limits.edition) {
        let moved = OperationResult::Conflict { revision: old.client_limits.edition };
        return Ok(Planned::Refused(forgotten(map, &base).unwrap_or(moved)));
    }
    if base.next_edition.is_some_and(|n| n <= old.client_limits.edition) {
        if let Some(done) = forgotten(map, &base) {
            return Ok(Planned::Refused(done));
        }
        let text = format!("must be above {}, the one that stands", old.client_limits.edition);
        return Err(vec![Diagnostic::new("terms.edition", text)]);
    }
    RoutingTable::build(&new)?;
    Ok(Planned::Entries(old.changes_to(&new), new.client_limits.edition))
}

/// No clear answer, if an order that would be refused may have been accepted
/// and forgotten.
fn forgotten(map: &EntryMap, base: &OrderBase) -> Option<OperationResult> {
    let horizon = order_memory::horizon(map);
    let Horizon { revision, edition } = horizon;
    may_be_forgotten(&horizon, base).then_some(OperationResult::Forgotten { revision, edition })
}
