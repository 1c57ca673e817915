//! Operators' requests at the leader of the configuration: each is judged by the
//! newest state, in the order in which they come. A change is made at once; all
//! else waits for the proof that we still lead (`pending_operations`).

use crate::command::Command;
use crate::config::change::{Entry, changes, config, patched, replaced};
use crate::config::types::Turn;
use crate::config::{build, read};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::order_memory;
use crate::control_plane::order_memory::{Horizon, OrderBase, Recall, may_be_forgotten};
use crate::diagnostic::Diagnostic;
use crate::protocol::message::{EntryMap, Operation, OperationResult};
use crate::replication::leader;
use crate::replication::leader::{change, tell};
use crate::replication::partition::{OperationOrigin, Partition};
use crate::replication::pending_operations;
use crate::replication::pending_operations::PendingAnswer;
use crate::time::Tick;
use crate::voter_set::VoterGroup;
use crate::voters::voter_slots::here;

/// An operator's request without its origin.
pub struct Request {
    pub id: String,
    /// The revision that it expects to change.
    pub expect: Option<u64>,
    pub deed: Operation,
}

/// Judges a request as the leader of the configuration.
pub fn at_owner(
    core: &mut ControllerState,
    now: Tick,
    from: OperationOrigin,
    request: Request,
    out: &mut Vec<Command>,
) {
    let group = here(core);
    if crate::replication::partition::leader(&mut core.partitions[0])
        .is_none_or(|o| pending_operations::full(o))
    {
        let why = "too many requests wait at the leader".to_string();
        return tell(from, OperationResult::Rejected { why }, out);
    }
    let p = &mut core.partitions[0];
    match &request.deed {
        Operation::Read => pending_operations::add(p, now, group, from, PendingAnswer::Read, out),
        Operation::Status => {
            pending_operations::add(p, now, group, from, PendingAnswer::Status, out)
        }
        Operation::ForgetMember(name) => {
            crate::control_plane::forgotten_members::forget(core, now, from, name, out)
        }
        Operation::Replace(text) => {
            let judged = judge(p, &request, true, text);
            carry_out(p, now, group, from, judged, out);
        }
        Operation::Patch(text) => {
            let judged = judge(p, &request, false, text);
            carry_out(p, now, group, from, judged, out);
        }
    }
}

/// Carries out what an order was judged to come to.
fn carry_out(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    from: OperationOrigin,
    judged: Judged,
    out: &mut Vec<Command>,
) {
    match judged {
        Judged::Refused(done) => {
            pending_operations::add(p, now, g, from, PendingAnswer::Refusal(done), out);
        }
        Judged::Made { revision } => {
            leader::wait_again(p, now, from, revision, true);
            crate::replication::heartbeat_rounds::request(p, now, g, out);
            leader::settle(p, now, g, out);
        }
        Judged::Change(entries) => {
            change(p, now, g, entries, out);
            leader::wait(p, now, from, p.copy.revision, true);
            leader::settle(p, now, g, out);
        }
    }
}

/// What an order comes to by our newest state.
enum Judged {
    /// It changes these entries.
    Change(Vec<Entry>),
    /// It was made as this revision when it came before.
    Made { revision: u64 },
    /// It changes nothing; this is told once it is proved.
    Refused(OperationResult),
}

/// Judges a change by our newest state.
fn judge(p: &Partition, request: &Request, whole: bool, text: &[u8]) -> Judged {
    let map = &p.copy.map;
    let order = order_memory::fingerprint(&request.id, whole, text);
    match order_memory::recall(map, &request.id, &order) {
        Recall::Accepted { revision } => return Judged::Made { revision },
        Recall::OtherText => {
            let text = "this request id was used for another request".to_string();
            return Judged::Refused(OperationResult::Invalid(vec![("request".into(), text)]));
        }
        Recall::Absent => {}
    }
    if request.expect.is_some_and(|want| want != p.copy.revision) {
        let base = OrderBase { revision: request.expect, ..OrderBase::default() };
        let moved = OperationResult::Conflict { revision: p.copy.revision };
        return Judged::Refused(forgotten(map, &base).unwrap_or(moved));
    }
    let (mut entries, edition) = match planned(map, request.expect, whole, text) {
        Ok(Planned::Entries(entries, edition)) => (entries, edition),
        Ok(Planned::Refused(done)) => return Judged::Refused(done),
        Err(all) => {
            let list = all.into_iter().map(|f| (f.place, f.text)).collect();
            return Judged::Refused(OperationResult::Invalid(list));
        }
    };
    entries.extend(order_memory::remember(map, &order, p.copy.revision + 1, edition));
    Judged::Change(entries)
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
    let old = config(map)
        .map_err(|text| vec![Diagnostic { place: "stored configuration".into(), text }])?;
    let new = if whole {
        replaced(&old, read::whole(text)?)
    } else {
        patched(old.clone(), &read::patch(text)?)
    };
    let Turn { after, edition, .. } = new.turn;
    let base = OrderBase { revision: expect, edition: after, next_edition: edition };
    if base.edition.is_some_and(|n| n != old.terms.edition) {
        let moved = OperationResult::Conflict { revision: old.terms.edition };
        return Ok(Planned::Refused(forgotten(map, &base).unwrap_or(moved)));
    }
    if base.next_edition.is_some_and(|n| n <= old.terms.edition) {
        if let Some(done) = forgotten(map, &base) {
            return Ok(Planned::Refused(done));
        }
        let text = format!("must be above {}, the one that stands", old.terms.edition);
        return Err(vec![Diagnostic { place: "terms.edition".into(), text }]);
    }
    build::build(&new)?;
    Ok(Planned::Entries(changes(&old, &new), new.terms.edition))
}

/// No clear answer, if an order that would be refused may have been accepted
/// and forgotten.
fn forgotten(map: &EntryMap, base: &OrderBase) -> Option<OperationResult> {
    let horizon = order_memory::horizon(map);
    let Horizon { revision, edition } = horizon;
    may_be_forgotten(&horizon, base).then_some(OperationResult::Forgotten { revision, edition })
}
