//! The loop that lets virtual time pass and hands each event to whom it is for.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::engine;
use grebepath_core::time::{SECOND, Span, ms};
use grebepath_core::voter_set::seat_of;

use super::callers::{call_arrives, start_call, tally};
use super::controllers::{
    as_seen_by_faulty_voter, end_controller, open_connection, start_controller, step_controller,
};
use super::events::{FollowUp, ScheduledEvent, later, push, push_at};
use super::faulty_variant::FaultyVariant;
use super::injected_faults;
use super::leafs::{end_run, leaf_done, leaf_gets};
use super::nodes::{controller_runs, querier_runs};
use super::operators::{marked, send_operator_request, submit};
use super::queriers::{
    answer_list_request, answer_probe, kill_querier, start_querier, step_node_agent,
    step_query_engine,
};
use super::{BEGIN, World};
use crate::rules;
use crate::simulated_disk;
use crate::simulated_disk::Health;

/// Lets `span` pass.
pub fn run(world: &mut World, span: Span) {
    let end = world.now + span;
    while let Some(entry) = world.queue.first_entry() {
        let at = entry.key().0;
        if at > end {
            break;
        }
        let event = entry.remove();
        world.now = world.now.max(at);
        world.events += 1;
        handle(world, event);
    }
    world.now = end;
}

/// Lets time pass until `done`, at most `span`; tells whether it came to be.
pub fn until(world: &mut World, span: Span, done: impl Fn(&World) -> bool) -> bool {
    let end = world.now + span;
    while world.now < end {
        if done(world) {
            return true;
        }
        run(world, ms(20));
    }
    done(world)
}

pub(super) fn handle(world: &mut World, event: ScheduledEvent) {
    // A paused process does nothing; all of it comes at once when it wakes.
    let until = match &event {
        ScheduledEvent::ControllerTimer { controller, .. }
        | ScheduledEvent::ControllerEvent { controller, .. }
        | ScheduledEvent::DiskJobDone { controller, .. }
        | ScheduledEvent::VoterFileDone { controller, .. } => world.controllers[*controller].paused,
        ScheduledEvent::QuerierTimer { querier, .. }
        | ScheduledEvent::NodeAgentEvent { querier, .. }
        | ScheduledEvent::ControllerMessage { querier, .. }
        | ScheduledEvent::QueryEngineEvent { querier, .. }
        | ScheduledEvent::QueryEngineTimer { querier, .. } => world.queriers[*querier].paused,
        _ => 0,
    };
    if until > world.now {
        return push_at(world, until, event);
    }
    let Some(event) = injected_faults::inject(world, event) else { return };
    match event {
        ScheduledEvent::ControllerTimer { controller, life }
            if controller_runs(world, controller, life) =>
        {
            push(world, cstep::WAKE, ScheduledEvent::ControllerTimer { controller, life });
            step_controller(world, controller, CoreEvent::Wake);
        }
        ScheduledEvent::ControllerEvent { controller, life, event }
            if controller_runs(world, controller, life) =>
        {
            let Some(event) = as_seen_by_faulty_voter(world, controller, event) else { return };
            open_connection(world, controller, &event);
            step_controller(world, controller, event);
        }
        ScheduledEvent::DiskJobDone { controller, life, part, token }
            if controller_runs(world, controller, life) =>
        {
            if world.controllers[controller].disk.health == Health::Stalled {
                return;
            }
            let event =
                match simulated_disk::done(&mut world.controllers[controller].disk, part, token) {
                    Some(Ok(())) => CoreEvent::Synced { partition: part, token },
                    Some(Err(why)) => CoreEvent::DiskFailed { partition: part, why },
                    None => return,
                };
            if world.faulty_variant != Some(FaultyVariant::AcknowledgesBeforeSync)
                || matches!(event, CoreEvent::DiskFailed { .. })
            {
                step_controller(world, controller, event);
            }
        }
        ScheduledEvent::VoterFileDone { controller, life, token }
            if controller_runs(world, controller, life) =>
        {
            if world.controllers[controller].disk.health == Health::Stalled {
                return;
            }
            match simulated_disk::kept(&mut world.controllers[controller].disk, token) {
                Some(Ok(())) => {
                    step_controller(world, controller, CoreEvent::VoterFileWritten { token })
                }
                Some(Err(why)) => {
                    step_controller(world, controller, CoreEvent::VoterFileFailed { why })
                }
                None => {}
            }
        }
        ScheduledEvent::QuerierTimer { querier, life } if querier_runs(world, querier, life) => {
            push(world, qstep::WAKE, ScheduledEvent::QuerierTimer { querier, life });
            step_node_agent(world, querier, wat::Event::Wake);
        }
        ScheduledEvent::NodeAgentEvent { querier, life, event }
            if querier_runs(world, querier, life) =>
        {
            if matches!(event, wat::Event::List(_)) {
                world.queriers[querier].polling = false;
            }
            step_node_agent(world, querier, event);
        }
        ScheduledEvent::ControllerMessage { querier, life, holder, message }
            if querier_runs(world, querier, life) =>
        {
            let event = match message {
                Message::VoterSetUpdate { table, .. } => wat::Event::Seats(table),
                message => match seat_of(&world.queriers[querier].watch.table, holder) {
                    Some(seat) => wat::Event::FromSeat { slot: seat, message },
                    None => return,
                },
            };
            step_node_agent(world, querier, event);
        }
        ScheduledEvent::QueryEngineEvent { querier, life, thread, event }
            if querier_runs(world, querier, life) =>
        {
            step_query_engine(world, querier, thread, event)
        }
        ScheduledEvent::QueryEngineTimer { querier, life, thread, at }
            if querier_runs(world, querier, life)
                && world.queriers[querier].wakes[thread] == at =>
        {
            world.queriers[querier].wakes[thread] = 0;
            step_query_engine(world, querier, thread, engine::Event::Wake);
        }
        ScheduledEvent::LeafRequest { querier, life, thread, sending } => {
            leaf_gets(world, (querier, life, thread), *sending)
        }
        ScheduledEvent::LeafResponse { run } => leaf_done(world, run),
        ScheduledEvent::LeafDisconnect { key } => {
            if let Some(run) = world.runs_by_attempt.remove(&key) {
                end_run(world, run);
            }
        }
        ScheduledEvent::Probe { querier, life, info } => answer_probe(world, querier, life, &info),
        ScheduledEvent::ListRequest { querier, life } => answer_list_request(world, querier, life),
        ScheduledEvent::NewCall { kind } => start_call(world, kind),
        ScheduledEvent::CallArrival { call } => call_arrives(world, call),
        ScheduledEvent::CallTimeout { call } => {
            if let Some(c) = world.calls.remove(&call) {
                let name = world.call_kinds[c.kind].search.clone();
                let now = world.now - BEGIN;
                rules::ends(&mut world.rules, c.began - BEGIN, now, &name, false);
                tally(world, c.kind).timed_out += 1;
            }
        }
        ScheduledEvent::ReadinessPoll => {
            world.ready_queriers = (0..world.queriers.len())
                .filter(|querier| world.queriers[*querier].up && world.queriers[*querier].ready)
                .collect();
            push(world, SECOND, ScheduledEvent::ReadinessPoll);
        }
        ScheduledEvent::OperatorRequest { request } => send_operator_request(world, request),
        ScheduledEvent::Fault { at } => {
            let fault = world.faults[at].clone();
            rules::tell(&mut world.rules, world.now - BEGIN, || format!("fault: {fault}"));
            rules::disturb(&mut world.rules, world.now - BEGIN);
            crate::scenario::apply_fault(world, &fault);
        }
        ScheduledEvent::FollowUp { key } => follow_up(world, key),
        _ => {}
    }
}

pub(super) fn follow_up(world: &mut World, key: FollowUp) {
    match key {
        FollowUp::StartController(controller) if !world.controllers[controller].up => {
            start_controller(world, controller)
        }
        FollowUp::Fault { controller, fault } => {
            injected_faults::end_process(world, controller, fault)
        }
        FollowUp::ForceStop { controller, life } if controller_runs(world, controller, life) => {
            end_controller(world, controller);
        }
        FollowUp::StartQuerier(querier) if !world.queriers[querier].up => {
            start_querier(world, querier)
        }
        FollowUp::EndDrainedQuerier(querier, life) if querier_runs(world, querier, life) => {
            if world.queriers[querier].desks.iter().any(|d| !d.queries.is_empty()) {
                return later(world, ms(20), key);
            }
            step_node_agent(world, querier, wat::Event::Drained);
            kill_querier(world, querier);
        }
        FollowUp::ChangeAfterRestart { restart } => {
            let n = world.operator_requests.len();
            submit(world, 0, marked(n));
            if let Some(back) = world.rules.restarts.get_mut(restart) {
                back.order = Some(n);
            }
        }
        FollowUp::RequestStorm { left, gap } => {
            let n = world.operator_requests.len();
            submit(world, 0, marked(n));
            if left > 1 {
                push(
                    world,
                    gap,
                    ScheduledEvent::FollowUp {
                        key: FollowUp::RequestStorm { left: left - 1, gap },
                    },
                );
            }
        }
        _ => {}
    }
}
