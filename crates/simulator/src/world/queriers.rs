//! Queriers' machines: starts, deaths, and what their watch and desks want done.

use grebepath_core::consts;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::http_api::list;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::{LeafReport, Message};
use grebepath_core::query::dispatch as dstep;
use grebepath_core::query::engine;
use grebepath_core::query::engine::{Door, desk};
use grebepath_core::random::{below, draw};
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, MILLI, ms};

use super::build::{machine, member};
use super::callers::{finish_call, tally};
use super::controllers::start_delay;
use super::events::{AttemptKey, FollowUp, ScheduledEvent, later, push, push_at};
use super::faulty_variant::FaultyVariant;
use super::leafs::dispatch;
use super::nodes::querier_runs;
use super::{BEGIN, THREADS, World};
use crate::mock_backends;
use crate::mock_backends::Alive;
use crate::net::{Node, send, weigh};
use crate::rules;

/// Starts a querier, which knows nothing.
pub fn start_querier(world: &mut World, querier: usize) {
    let seed = draw(&mut world.random);
    let node = &mut world.queriers[querier];
    node.life += 1;
    node.up = true;
    node.ready = false;
    node.paused = 0;
    node.polling = false;
    node.began = world.now;
    node.watch = wat::watch(member(&node.name, &node.zone, querier, node.life), BOOT);
    node.desks = (0..THREADS)
        .map(|thread| {
            let name = format!("{}-{thread}-{:x}", node.name, node.life);
            let mut desk = desk(&name, &node.zone, seed ^ u64::from(thread), BOOT);
            desk.slot = grebepath_core::query::quota::slot(&node.name, thread);
            desk
        })
        .collect();
    node.wakes = vec![0; THREADS as usize];
    let life = node.life;
    push(world, start_delay(seed, 50), ScheduledEvent::QuerierTimer { querier, life });
}

/// Ends a querier at once.
pub fn kill_querier(world: &mut World, querier: usize) {
    let life = world.queriers[querier].life;
    world.queriers[querier].up = false;
    world.queriers[querier].ready = false;
    world.queriers[querier].life += 1;
    let connection = ((querier as u64) << 32) | life;
    for controller in 0..world.controllers.len() {
        let life = world.controllers[controller].life;
        push(
            world,
            ms(2),
            ScheduledEvent::ControllerEvent {
                controller,
                life,
                event: CoreEvent::ConnectionClosed { connection },
            },
        );
    }
    let gone: Vec<u64> = world
        .calls
        .iter()
        .filter(|(_, c)| c.querier == querier && c.life == life)
        .map(|(id, _)| *id)
        .collect();
    for id in gone {
        if let Some(c) = world.calls.remove(&id) {
            tally(world, c.kind).unreachable += 1;
        }
    }
    let runs: Vec<AttemptKey> =
        world.runs_by_attempt.keys().filter(|k| k.0 == querier && k.1 == life).copied().collect();
    for key in runs {
        push(world, ms(1), ScheduledEvent::LeafDisconnect { key });
    }
}

pub(super) fn step_node_agent(world: &mut World, querier: usize, event: wat::Event) {
    let local = world.now - world.queriers[querier].began + BOOT;
    let todo = qstep::step(&mut world.queriers[querier].watch, local, event);
    if world.faulty_variant == Some(FaultyVariant::RevertsConfiguration)
        && world.queriers[querier].watch.built_revision > 0
    {
        world.queriers[querier].watch.sure = true;
    }
    for command in todo {
        run_node_agent_command(world, querier, command);
    }
    let held = &world.queriers[querier].watch.held;
    let places: Vec<(u32, u64)> = held.iter().map(|(p, h)| (p.0, h.revision)).collect();
    for (part, revision) in places {
        if revision > 0 && !seen(world, querier, part, revision) {
            let sum = grebepath_core::replication::leader::sum(
                &world.queriers[querier].watch.held[&PartitionId(part)].map,
            );
            rules::same(&mut world.rules, world.now - BEGIN, part, revision, sum);
        }
    }
}

/// Whether this querier's holding of a revision was compared already.
pub(super) fn seen(world: &mut World, querier: usize, part: u32, revision: u64) -> bool {
    let key = (1_000 + part + 100 * querier as u32, 0);
    world.rules.truth.insert(key, revision) == Some(revision)
}

pub(super) fn run_node_agent_command(world: &mut World, querier: usize, command: wat::Command) {
    let life = world.queriers[querier].life;
    let zone = world.queriers[querier].zone.clone();
    match command {
        wat::Command::ToSeat { slot: seat, message } => {
            let Some(h) = world.queriers[querier].watch.table.slots.get(usize::from(seat)) else {
                return;
            };
            let Some(controller) = machine(world, &h.addr) else { return };
            send_from_querier(world, querier, controller, message);
        }
        wat::Command::ToAll { message } => {
            for controller in world.control_plane.seeds.clone() {
                send_from_querier(world, querier, controller, message.clone());
            }
        }
        wat::Command::Seats => {}
        wat::Command::ToMember { message: Message::LeafReports { .. }, .. }
            if world.faulty_variant == Some(FaultyVariant::NoLeafReports) => {}
        wat::Command::ToMember { name, message, .. } => {
            weigh(&mut world.net, "querier-querier", &message);
            let Some(to) = world.queriers.iter().position(|node| node.name == name) else { return };
            let tozone = world.queriers[to].zone.clone();
            let from = (Node::Querier(querier), zone.as_str());
            let at = send(
                &mut world.net,
                world.now,
                from,
                (Node::Querier(to), &tozone),
                &mut world.random,
            );
            if let Some(at) = at {
                let event =
                    wat::Event::FromMember { name: world.queriers[querier].name.clone(), message };
                let life = world.queriers[to].life;
                push_at(world, at, ScheduledEvent::NodeAgentEvent { querier: to, life, event });
            }
        }
        wat::Command::ClusterView(view) => {
            rules::views(&mut world.rules, world.now - BEGIN, querier, view.revision);
            if world.faulty_variant == Some(FaultyVariant::KeepsStaleSnapshot)
                && querier == 0
                && view.revision > 1
            {
                return;
            }
            let mut view = view;
            if world.faulty_variant == Some(FaultyVariant::IgnoresDrainedZones)
                || world.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs)
            {
                let mut own = (*view).clone();
                if world.faulty_variant == Some(FaultyVariant::IgnoresDrainedZones) {
                    let mut built = (*own.built).clone();
                    built.drained.clear();
                    own.built = std::sync::Arc::new(built);
                } else {
                    hide_leaving(&mut own);
                }
                view = std::sync::Arc::new(own);
            }
            for thread in 0..THREADS as usize {
                let event = engine::Event::ClusterView(view.clone());
                push(world, 20, ScheduledEvent::QueryEngineEvent { querier, life, thread, event });
            }
        }
        wat::Command::Shares(list) => {
            for thread in 0..THREADS {
                let name = world.queriers[querier].name.clone();
                let mut share = grebepath_core::query::quota::share(&list, &name, thread);
                if world.faulty_variant == Some(FaultyVariant::NoAllocation)
                    && !share.slots.is_empty()
                {
                    share.slots = vec![share.mine];
                }
                let event = engine::Event::Share(share);
                push(
                    world,
                    20,
                    ScheduledEvent::QueryEngineEvent {
                        querier,
                        life,
                        thread: thread as usize,
                        event,
                    },
                );
            }
        }
        wat::Command::Peers(list) => {
            let peers = grebepath_core::query::quota::peers(&list);
            for thread in 0..THREADS as usize {
                push(
                    world,
                    20,
                    ScheduledEvent::QueryEngineEvent {
                        querier,
                        life,
                        thread,
                        event: engine::Event::Peers(peers.clone()),
                    },
                );
            }
        }
        wat::Command::Door(door) => {
            for thread in 0..THREADS as usize {
                push(
                    world,
                    20,
                    ScheduledEvent::QueryEngineEvent {
                        querier,
                        life,
                        thread,
                        event: engine::Event::Door(door),
                    },
                );
            }
            if door == Door::Stopping {
                later(world, ms(20), FollowUp::EndDrainedQuerier(querier, life));
            }
        }
        wat::Command::Grip(until) => {
            for thread in 0..THREADS as usize {
                push(
                    world,
                    20,
                    ScheduledEvent::QueryEngineEvent {
                        querier,
                        life,
                        thread,
                        event: engine::Event::Grip(until),
                    },
                );
            }
        }
        wat::Command::Ready(ready) => world.queriers[querier].ready = ready,
        wat::Command::PollList => {
            if !world.queriers[querier].polling {
                world.queriers[querier].polling = true;
                let from = (Node::Querier(querier), zone.as_str());
                match send(&mut world.net, world.now, from, (Node::List, "a"), &mut world.random) {
                    Some(at) => push_at(world, at, ScheduledEvent::ListRequest { querier, life }),
                    None => list_timed_out(world, querier, life),
                }
            }
        }
        wat::Command::Probe(list) => {
            for info in list {
                let after = below(&mut world.random, ms(50)) + ms(1);
                push(world, after, ScheduledEvent::Probe { querier, life, info });
            }
        }
        wat::Command::Alarm(text) => {
            let name = world.queriers[querier].name.clone();
            rules::tell(&mut world.rules, world.now - BEGIN, || format!("{name}: {text}"));
            *world.alarms.entry(text).or_default() += 1;
        }
    }
}

/// Hides that leafs leave.
pub(super) fn hide_leaving(view: &mut grebepath_core::snapshot::cluster_view::ClusterView) {
    let hide = |leaf: &std::sync::Arc<LeafInfo>| {
        let mut own = (**leaf).clone();
        own.leaving = false;
        std::sync::Arc::new(own)
    };
    for leaf in view.leafs.values_mut() {
        *leaf = hide(leaf);
    }
    for list in view.services.values_mut() {
        for leaf in list {
            *leaf = hide(leaf);
        }
    }
}

pub(super) fn list_timed_out(world: &mut World, querier: usize, life: u64) {
    let event = wat::Event::List(Err("no answer in time".into()));
    push(world, consts::LIST_PATIENCE, ScheduledEvent::NodeAgentEvent { querier, life, event });
}

pub(super) fn answer_list_request(world: &mut World, querier: usize, life: u64) {
    let now = world.now;
    let Some(text) = mock_backends::list(&mut world.backends, now) else {
        return list_timed_out(world, querier, life);
    };
    let got = match list::read(text.as_bytes()) {
        Ok((list, _)) => {
            for leaf in list.iter().filter(|leaf| leaf.leaving) {
                learn(world, &leaf.leaf.clone());
            }
            Ok(list)
        }
        Err(f) => Err(f.to_string()),
    };
    let pair = (Node::List, Node::Querier(querier));
    let zone = world.queriers[querier].zone.clone();
    match send(&mut world.net, now, (pair.0, "a"), (pair.1, &zone), &mut world.random) {
        Some(at) => push_at(
            world,
            at,
            ScheduledEvent::NodeAgentEvent { querier, life, event: wat::Event::List(got) },
        ),
        None => list_timed_out(world, querier, life),
    }
}

/// One of our nodes is being told that a leaf leaves.
pub(super) fn learn(world: &mut World, leaf: &str) {
    let now = world.now;
    if let Some(leaf) = world.backends.leafs.get_mut(leaf)
        && leaf.known_leaving.is_none()
    {
        leaf.known_leaving = Some(now + ms(2));
    }
}

pub(super) fn answer_probe(world: &mut World, querier: usize, life: u64, info: &LeafInfo) {
    if !querier_runs(world, querier, life) {
        return;
    }
    let Some(leaf) =
        world.backends.at.get(&info.addr).and_then(|node| world.backends.leafs.get(node))
    else {
        return;
    };
    if leaf.alive != Alive::Up || leaf.mode == mock_backends::Mode::Dark {
        return;
    }
    let mut word = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
    if leaf.name == info.leaf {
        word.leaving =
            leaf.leaving && world.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs);
        if world.backends.ages {
            word.age_ms = grebepath_core::time::since(leaf.born, world.now) / MILLI;
        }
        if leaf.leaving {
            learn(world, &info.leaf.clone());
        }
    } else {
        word.gone = true;
    }
    let event = wat::Event::Word { service: info.service.clone(), word };
    push(world, ms(1), ScheduledEvent::NodeAgentEvent { querier, life, event });
}

pub(super) fn step_query_engine(
    world: &mut World,
    querier: usize,
    thread: usize,
    event: engine::Event,
) {
    let local = world.now - world.queriers[querier].began + BOOT;
    let deaf = world.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs);
    let node = &mut world.queriers[querier];
    if world.faulty_variant == Some(FaultyVariant::NoRetryBudget) {
        grebepath_core::query::retry_budget::slack(&mut node.desks[thread].rule, 1_000_000);
    }
    let todo = dstep::step(&mut node.desks[thread], local, event);
    if deaf {
        for leaf in node.desks[thread].leafs.values_mut() {
            leaf.leaving = false;
        }
    }
    let (life, began) = (node.life, node.began);
    if let Some(at) = dstep::next(&node.desks[thread]) {
        let at = (at + began).saturating_sub(BOOT).max(world.now + 1);
        let known = node.wakes[thread];
        if known == 0 || at < known || known <= world.now {
            node.wakes[thread] = at;
            push_at(world, at, ScheduledEvent::QueryEngineTimer { querier, life, thread, at });
        }
    }
    for command in todo {
        run_query_engine_command(world, querier, thread, command);
    }
}

pub(super) fn run_query_engine_command(
    world: &mut World,
    querier: usize,
    thread: usize,
    command: engine::Command,
) {
    let life = world.queriers[querier].life;
    match command {
        engine::Command::Send(sending) => dispatch(world, (querier, life, thread), sending),
        engine::Command::Drop { dispatch } => {
            let after = ms(1);
            push(
                world,
                after,
                ScheduledEvent::LeafDisconnect { key: (querier, life, thread, dispatch) },
            );
        }
        engine::Command::Tell { call, outcome } => finish_call(world, call, outcome),
        engine::Command::Word { service, word } => {
            if world.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs) {
                push(
                    world,
                    20,
                    ScheduledEvent::NodeAgentEvent {
                        querier,
                        life,
                        event: wat::Event::Word { service, word },
                    },
                );
            }
        }
    }
}

/// Puts a wish to stop to a querier; it is down a moment after it drained.
pub fn stop_querier(world: &mut World, querier: usize) {
    let life = world.queriers[querier].life;
    push(world, 1, ScheduledEvent::NodeAgentEvent { querier, life, event: wat::Event::Stop });
}

fn send_from_querier(world: &mut World, querier: usize, controller: usize, message: Message) {
    weigh(&mut world.net, "querier-seat", &message);
    let zones = (world.queriers[querier].zone.clone(), world.controllers[controller].zone.clone());
    let ends = (Node::Querier(querier), Node::Controller(controller as u8));
    let at =
        send(&mut world.net, world.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut world.random);
    if let Some(at) = at {
        let connection = ((querier as u64) << 32) | world.queriers[querier].life;
        let life = world.controllers[controller].life;
        push_at(
            world,
            at,
            ScheduledEvent::ControllerEvent {
                controller,
                life,
                event: CoreEvent::FromConnection { connection, message },
            },
        );
    }
}
