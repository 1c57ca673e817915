//! Operators: their orders, how these end, and the checks of the end.

use std::collections::BTreeSet;

use grebepath_core::config::{change, types::Config};
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::random::below;
use grebepath_core::time::{SECOND, Span, ms};
use serde_json::{Value, json};

use super::events::{ScheduledEvent, push};
use super::nodes::{OperatorRequest, has_voter_slot};
use super::status::running_voters;
use super::{BEGIN, THREADS, World};
use crate::rules;

/// Sends an operator's order after a while.
pub fn submit(world: &mut World, after: Span, order: OperatorRequest) -> usize {
    world.operator_requests.push(order);
    let id = world.operator_requests.len() - 1;
    push(world, after, ScheduledEvent::OperatorRequest { request: id });
    id
}

/// An order that sets a whole configuration.
pub fn whole(conf: &Value) -> OperatorRequest {
    unmarked(Operation::Replace(conf.to_string().into_bytes()))
}

/// An order that changes some of it.
pub fn patch(val: &Value) -> OperatorRequest {
    unmarked(Operation::Patch(val.to_string().into_bytes()))
}

pub(super) fn unmarked(operation: Operation) -> OperatorRequest {
    let request = None;
    OperatorRequest {
        request,
        operation,
        at: 0,
        controller: None,
        result: None,
        zone: None,
        marker: None,
        expect: None,
    }
}

/// An order that adds pools with much text: a large configuration.
pub fn grown(pools: u64, bytes: usize) -> OperatorRequest {
    let list: Vec<Value> = (0..pools)
        .map(|i| {
            json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                    "labels": { "note": "x".repeat(bytes) } })
        })
        .collect();
    patch(&json!({ "pools": list }))
}

/// An order that empties or fills a zone.
pub fn drain(zone: &str, on: bool) -> OperatorRequest {
    let state = if on { "drained" } else { "open" };
    let mut request = patch(&json!({ "zones": [{ "name": zone, "state": state }] }));
    request.zone = Some((zone.to_string(), on));
    request
}

/// An order whose trace can be looked for at the end.
pub fn marked(n: usize) -> OperatorRequest {
    let name = format!("mark-{n}");
    let mut request = patch(&json!({ "zones": [{ "name": name, "state": "open" }] }));
    request.marker = Some(name);
    request
}

/// Operators send whole and partial changes at the same moment, to any seat.
/// Who sends a whole one has read the configuration and says which it was, so
/// nothing that is accepted in between may be lost.
pub fn race(world: &mut World, count: u64) {
    let fits = |controller: &usize| {
        world.controllers[*controller].up && has_voter_slot(&world.controllers[*controller])
    };
    let seats: Vec<usize> = (0..world.controllers.len()).filter(fits).collect();
    for i in 0..count {
        let n = world.operator_requests.len();
        let mut request = marked(n);
        if i % 2 == 0 {
            let Some(controller) = seats.get(below(&mut world.random, seats.len() as u64) as usize)
            else {
                return;
            };
            let part = &world.controllers[*controller].state.partitions[0];
            let Ok(conf) = change::config(&part.committed) else { return };
            let mut val = grebepath_core::config::show::json(&conf);
            if let Some(zones) = val["zones"].as_array_mut() {
                zones.push(json!({ "name": format!("mark-{n}"), "state": "open" }));
            }
            (request.operation, request.expect) =
                (whole(&val).operation, Some(part.committed_revision));
        }
        submit(world, 0, request);
    }
}

pub(super) fn send_operator_request(world: &mut World, id: usize) {
    let up: Vec<usize> = (0..world.controllers.len())
        .filter(|controller| world.controllers[*controller].up)
        .collect();
    if up.is_empty() {
        // Nobody to ask; the operator tries again, as grebectl does.
        return push(world, ms(500), ScheduledEvent::OperatorRequest { request: id });
    }
    let controller = world.operator_requests[id]
        .controller
        .filter(|controller| up.contains(controller))
        .unwrap_or_else(|| up[below(&mut world.random, up.len() as u64) as usize]);
    if world.operator_requests[id].at == 0 {
        world.operator_requests[id].at = world.now;
    }
    // Once filling is asked it may come to be before its outcome is told.
    if let Some((zone, false)) = &world.operator_requests[id].zone {
        world.rules.drained.remove(zone);
    }
    rules::tell(&mut world.rules, world.now - BEGIN, || {
        format!("order {id} sent to controller {controller}")
    });
    let life = world.controllers[controller].life;
    let event = CoreEvent::Operate {
        op: id as u64,
        request: world.operator_requests[id]
            .request
            .clone()
            .unwrap_or_else(|| format!("order-{id}")),
        expect: world.operator_requests[id].expect,
        deed: world.operator_requests[id].operation.clone(),
    };
    push(world, ms(1), ScheduledEvent::ControllerEvent { controller, life, event });
}

pub(super) fn acknowledge(world: &mut World, id: usize, result: OperationResult) {
    if id >= world.operator_requests.len() {
        // A request that a controller without a seat had handed on, and whose
        // connection is gone: as in the daemon, nobody waits for the outcome.
        return;
    }
    let now = world.now - BEGIN;
    rules::tell(&mut world.rules, now, || {
        let text = match &result {
            OperationResult::Accepted { revision, copies, .. } => {
                format!("accepted as {revision}, {copies} copies")
            }
            OperationResult::Rejected { why } => format!("bounced: {why}"),
            OperationResult::Unknown { why } => format!("unknown: {why}"),
            _ => "told".into(),
        };
        format!("order {id} {text}")
    });
    if let OperationResult::Accepted { revision, .. } = &result {
        world.rules.accepted.push((now, *revision));
        for back in world.rules.restarts.iter_mut().filter(|b| b.order == Some(id)) {
            back.accepted = Some(now);
        }
        let asked = world.operator_requests[id].at - BEGIN;
        let zone = world.operator_requests[id].zone.clone().filter(|(zone, _)| {
            let last = world.rules.zone_rev.entry(zone.clone()).or_insert(0);
            let newer = *revision > *last;
            *last = (*last).max(*revision);
            newer
        });
        match zone {
            Some((zone, true)) => {
                let from = (asked + 5 * SECOND).max(now + 3 * SECOND);
                world.rules.drained.insert(zone, from);
            }
            Some((zone, false)) => {
                world.rules.drained.remove(&zone);
            }
            None => {}
        }
    }
    world.acknowledged_at.insert(id, world.now);
    world.operator_requests[id].result = Some(result);
}

/// The configuration that most seats have committed.
pub fn committed(world: &World) -> Config {
    let best = running_voters(world)
        .max_by_key(|controller| controller.state.partitions[0].committed_revision);
    best.and_then(|controller| change::config(&controller.state.partitions[0].committed).ok())
        .unwrap_or_default()
}

/// Ends a run: the checks that only the end allows.
pub fn finish(world: &mut World) {
    let now = world.now - BEGIN;
    let conf = committed(world);
    let top = running_voters(world)
        .map(|controller| controller.state.partitions[0].committed_revision)
        .max()
        .unwrap_or(0);
    for id in 0..world.operator_requests.len() {
        let (Some(result), mark) =
            (&world.operator_requests[id].result, &world.operator_requests[id].marker)
        else {
            continue;
        };
        match result {
            OperationResult::Accepted { revision, .. } => {
                if *revision > top {
                    let text = format!("order {id} was accepted as {revision}, the end is {top}");
                    rules::violated(&mut world.rules, now, 12, text);
                } else if let Some(mark) = mark
                    && !conf.zones.contains_key(mark)
                {
                    let text = format!("order {id} was accepted as {revision} and is lost");
                    rules::violated(&mut world.rules, now, 12, text);
                }
            }
            OperationResult::Rejected { .. } => {
                if let Some(mark) = mark
                    && conf.zones.contains_key(mark)
                {
                    let text = format!("order {id} was said not to be applied, but it is");
                    rules::violated(&mut world.rules, now, 12, text);
                }
            }
            _ => {}
        }
    }
    let threads = world.queriers.len() * THREADS as usize;
    rules::finish(&mut world.rules, now, threads);
}

/// Zones that the committed configuration empties.
pub fn drained(world: &World) -> BTreeSet<String> {
    committed(world).zones.values().filter(|z| z.drained).map(|z| z.name.clone()).collect()
}
