//! Queriers' machines: starts, deaths, and what their watch and desks want done.

use grebepath_core::consts;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::http_api::list;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::{LeafReport, Message};
use grebepath_core::query::engine::{Door, desk};
use grebepath_core::query::event;
use grebepath_core::query::progress;
use grebepath_core::query::step as dstep;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, MILLI, ms};

use super::build::member;
use super::controllers::start_delay;
use super::events::{AttemptKey, FollowUp, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::{BEGIN, THREADS, World};
use crate::mock_backends;
use crate::mock_backends::Alive;
use crate::net::Node;

impl World {
    /// Starts a querier, which knows nothing.
    pub fn start_querier(&mut self, querier: usize) {
        let seed = self.random.next_u64();
        let node = &mut self.queriers[querier];
        node.life += 1;
        node.up = true;
        node.ready = false;
        node.paused = 0;
        node.polling = false;
        node.began = self.now;
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
        self.push(start_delay(seed, 50), ScheduledEvent::QuerierTimer { querier, life });
    }

    /// Ends a querier at once.
    pub fn kill_querier(&mut self, querier: usize) {
        let life = self.queriers[querier].life;
        self.queriers[querier].up = false;
        self.queriers[querier].ready = false;
        self.queriers[querier].life += 1;
        let connection = ((querier as u64) << 32) | life;
        for controller in 0..self.controllers.len() {
            let life = self.controllers[controller].life;
            self.push(
                ms(2),
                ScheduledEvent::ControllerEvent {
                    controller,
                    life,
                    event: CoreEvent::ConnectionClosed { connection },
                },
            );
        }
        let gone: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.querier == querier && c.life == life)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(c) = self.calls.remove(&id) {
                self.tally(c.kind).unreachable += 1;
            }
        }
        let runs: Vec<AttemptKey> = self
            .runs_by_attempt
            .keys()
            .filter(|k| k.0 == querier && k.1 == life)
            .copied()
            .collect();
        for key in runs {
            self.push(ms(1), ScheduledEvent::LeafDisconnect { key });
        }
    }

    pub(super) fn step_node_agent(&mut self, querier: usize, event: wat::Event) {
        let local = self.now - self.queriers[querier].began + BOOT;
        let todo = qstep::step(&mut self.queriers[querier].watch, local, event);
        if self.faulty_variant == Some(FaultyVariant::RevertsConfiguration)
            && self.queriers[querier].watch.configuration_revision > 0
        {
            self.queriers[querier].watch.is_caught_up = true;
        }
        for command in todo {
            self.run_node_agent_command(querier, command);
        }
        let held = &self.queriers[querier].watch.partitions;
        let places: Vec<(u32, u64)> = held.iter().map(|(p, h)| (p.0, h.revision)).collect();
        for (part, revision) in places {
            if revision > 0 && !self.seen(querier, part, revision) {
                let sum = grebepath_core::storage::record::checksum(
                    &self.queriers[querier].watch.partitions[&PartitionId(part)].entries,
                );
                self.rules.same(self.now - BEGIN, part, revision, sum);
            }
        }
    }

    /// Whether this querier's holding of a revision was compared already.
    pub(super) fn seen(&mut self, querier: usize, part: u32, revision: u64) -> bool {
        let key = (1_000 + part + 100 * querier as u32, 0);
        self.rules.truth.insert(key, revision) == Some(revision)
    }

    pub(super) fn run_node_agent_command(&mut self, querier: usize, command: wat::Command) {
        let life = self.queriers[querier].life;
        let zone = self.queriers[querier].zone.clone();
        match command {
            wat::Command::ToVoter { slot: seat, message } => {
                let Some(h) = self.queriers[querier].watch.voter_set.slots.get(usize::from(seat))
                else {
                    return;
                };
                let Some(controller) = self.machine(&h.addr) else { return };
                self.send_from_querier(querier, controller, message);
            }
            wat::Command::Broadcast { message } => {
                for controller in self.control_plane.seeds.clone() {
                    self.send_from_querier(querier, controller, message.clone());
                }
            }
            wat::Command::VoterSetChanged => {}
            wat::Command::ToMember { message: Message::LeafReports { .. }, .. }
                if self.faulty_variant == Some(FaultyVariant::NoLeafReports) => {}
            wat::Command::ToMember { name, message, .. } => {
                self.net.weigh("querier-querier", &message);
                let Some(to) = self.queriers.iter().position(|node| node.name == name) else {
                    return;
                };
                let tozone = self.queriers[to].zone.clone();
                let from = (Node::Querier(querier), zone.as_str());
                let at =
                    self.net.send(self.now, from, (Node::Querier(to), &tozone), &mut self.random);
                if let Some(at) = at {
                    let event = wat::Event::FromMember {
                        name: self.queriers[querier].name.clone(),
                        message,
                    };
                    let life = self.queriers[to].life;
                    self.push_at(at, ScheduledEvent::NodeAgentEvent { querier: to, life, event });
                }
            }
            wat::Command::ClusterView(view) => {
                self.rules.views(self.now - BEGIN, querier, view.revision);
                if self.faulty_variant == Some(FaultyVariant::KeepsStaleSnapshot)
                    && querier == 0
                    && view.revision > 1
                {
                    return;
                }
                let mut view = view;
                if self.faulty_variant == Some(FaultyVariant::IgnoresDrainedZones)
                    || self.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs)
                {
                    let mut own = (*view).clone();
                    if self.faulty_variant == Some(FaultyVariant::IgnoresDrainedZones) {
                        let mut built = (*own.built).clone();
                        built.drained.clear();
                        own.built = std::sync::Arc::new(built);
                    } else {
                        hide_leaving(&mut own);
                    }
                    view = std::sync::Arc::new(own);
                }
                for thread in 0..THREADS as usize {
                    let event = event::Event::ClusterView(view.clone());
                    self.push(
                        20,
                        ScheduledEvent::QueryEngineEvent { querier, life, thread, event },
                    );
                }
            }
            wat::Command::QuotaMembers(list) => {
                for thread in 0..THREADS {
                    let name = self.queriers[querier].name.clone();
                    let mut share = grebepath_core::query::quota::share(&list, &name, thread);
                    if self.faulty_variant == Some(FaultyVariant::NoAllocation)
                        && !share.slots.is_empty()
                    {
                        share.slots = vec![share.mine];
                    }
                    let event = event::Event::Share(share);
                    self.push(
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
            wat::Command::LeafClients(list) => {
                let peers = grebepath_core::query::quota::peers(&list);
                for thread in 0..THREADS as usize {
                    self.push(
                        20,
                        ScheduledEvent::QueryEngineEvent {
                            querier,
                            life,
                            thread,
                            event: event::Event::Peers(peers.clone()),
                        },
                    );
                }
            }
            wat::Command::Admission(door) => {
                for thread in 0..THREADS as usize {
                    self.push(
                        20,
                        ScheduledEvent::QueryEngineEvent {
                            querier,
                            life,
                            thread,
                            event: event::Event::Door(door),
                        },
                    );
                }
                if door == Door::Stopping {
                    self.later(ms(20), FollowUp::EndDrainedQuerier(querier, life));
                }
            }
            wat::Command::ServingUntil(until) => {
                for thread in 0..THREADS as usize {
                    self.push(
                        20,
                        ScheduledEvent::QueryEngineEvent {
                            querier,
                            life,
                            thread,
                            event: event::Event::Grip(until),
                        },
                    );
                }
            }
            wat::Command::Ready(ready) => self.queriers[querier].ready = ready,
            wat::Command::PollLeafList => {
                if !self.queriers[querier].polling {
                    self.queriers[querier].polling = true;
                    let from = (Node::Querier(querier), zone.as_str());
                    match self.net.send(self.now, from, (Node::List, "a"), &mut self.random) {
                        Some(at) => self.push_at(at, ScheduledEvent::ListRequest { querier, life }),
                        None => self.list_timed_out(querier, life),
                    }
                }
            }
            wat::Command::ProbeLeafs(list) => {
                for info in list {
                    let after = self.random.below(ms(50)) + ms(1);
                    self.push(after, ScheduledEvent::Probe { querier, life, info });
                }
            }
            wat::Command::Alarm(text) => {
                let name = self.queriers[querier].name.clone();
                self.rules.tell(self.now - BEGIN, || format!("{name}: {text}"));
                *self.alarms.entry(text).or_default() += 1;
            }
        }
    }

    pub(super) fn list_timed_out(&mut self, querier: usize, life: u64) {
        let event = wat::Event::LeafList(Err("no answer in time".into()));
        self.push(consts::LIST_PATIENCE, ScheduledEvent::NodeAgentEvent { querier, life, event });
    }

    pub(super) fn answer_list_request(&mut self, querier: usize, life: u64) {
        let now = self.now;
        let Some(text) = self.backends.list(now) else {
            return self.list_timed_out(querier, life);
        };
        let got = match list::read(text.as_bytes()) {
            Ok((list, _)) => {
                for leaf in list.iter().filter(|leaf| leaf.leaving) {
                    self.learn(&leaf.leaf.clone());
                }
                Ok(list)
            }
            Err(f) => Err(f.to_string()),
        };
        let pair = (Node::List, Node::Querier(querier));
        let zone = self.queriers[querier].zone.clone();
        match self.net.send(now, (pair.0, "a"), (pair.1, &zone), &mut self.random) {
            Some(at) => self.push_at(
                at,
                ScheduledEvent::NodeAgentEvent { querier, life, event: wat::Event::LeafList(got) },
            ),
            None => self.list_timed_out(querier, life),
        }
    }

    /// One of our nodes is being told that a leaf leaves.
    pub(super) fn learn(&mut self, leaf: &str) {
        let now = self.now;
        if let Some(leaf) = self.backends.leafs.get_mut(leaf)
            && leaf.known_leaving.is_none()
        {
            leaf.known_leaving = Some(now + ms(2));
        }
    }

    pub(super) fn answer_probe(&mut self, querier: usize, life: u64, info: &LeafInfo) {
        if !self.querier_runs(querier, life) {
            return;
        }
        let Some(leaf) =
            self.backends.at.get(&info.addr).and_then(|node| self.backends.leafs.get(node))
        else {
            return;
        };
        if leaf.alive != Alive::Up || leaf.mode == mock_backends::Mode::Dark {
            return;
        }
        let mut word = LeafReport { leaf: info.leaf.clone(), ..LeafReport::default() };
        if leaf.name == info.leaf {
            word.leaving =
                leaf.leaving && self.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs);
            if self.backends.ages {
                word.age_ms = grebepath_core::time::since(leaf.born, self.now) / MILLI;
            }
            if leaf.leaving {
                self.learn(&info.leaf.clone());
            }
        } else {
            word.gone = true;
        }
        let event = wat::Event::LeafReport { service: info.service.clone(), report: word };
        self.push(ms(1), ScheduledEvent::NodeAgentEvent { querier, life, event });
    }

    pub(super) fn step_query_engine(&mut self, querier: usize, thread: usize, event: event::Event) {
        let local = self.now - self.queriers[querier].began + BOOT;
        let deaf = self.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs);
        let node = &mut self.queriers[querier];
        if self.faulty_variant == Some(FaultyVariant::NoRetryBudget) {
            grebepath_core::query::retry_budget::slack(&mut node.desks[thread].rule, 1_000_000);
        }
        let todo = dstep::step(&mut node.desks[thread], local, event);
        if deaf {
            for leaf in node.desks[thread].leafs.values_mut() {
                leaf.leaving = false;
            }
        }
        let (life, began) = (node.life, node.began);
        if let Some(at) = progress::next(&node.desks[thread]) {
            let at = (at + began).saturating_sub(BOOT).max(self.now + 1);
            let known = node.wakes[thread];
            if known == 0 || at < known || known <= self.now {
                node.wakes[thread] = at;
                self.push_at(at, ScheduledEvent::QueryEngineTimer { querier, life, thread, at });
            }
        }
        for command in todo {
            self.run_query_engine_command(querier, thread, command);
        }
    }

    pub(super) fn run_query_engine_command(
        &mut self,
        querier: usize,
        thread: usize,
        command: event::Command,
    ) {
        let life = self.queriers[querier].life;
        match command {
            event::Command::Send(sending) => self.dispatch((querier, life, thread), sending),
            event::Command::Drop { dispatch } => {
                let after = ms(1);
                self.push(
                    after,
                    ScheduledEvent::LeafDisconnect { key: (querier, life, thread, dispatch) },
                );
            }
            event::Command::Tell { call, outcome } => self.finish_call(call, outcome),
            event::Command::Word { service, word } => {
                if self.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs) {
                    self.push(
                        20,
                        ScheduledEvent::NodeAgentEvent {
                            querier,
                            life,
                            event: wat::Event::LeafReport { service, report: word },
                        },
                    );
                }
            }
        }
    }

    /// Puts a wish to stop to a querier; it is down a moment after it drained.
    pub fn stop_querier(&mut self, querier: usize) {
        let life = self.queriers[querier].life;
        self.push(1, ScheduledEvent::NodeAgentEvent { querier, life, event: wat::Event::Stop });
    }

    fn send_from_querier(&mut self, querier: usize, controller: usize, message: Message) {
        self.net.weigh("querier-seat", &message);
        let zones =
            (self.queriers[querier].zone.clone(), self.controllers[controller].zone.clone());
        let ends = (Node::Querier(querier), Node::Controller(controller as u8));
        let at = self.net.send(self.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut self.random);
        if let Some(at) = at {
            let connection = ((querier as u64) << 32) | self.queriers[querier].life;
            let life = self.controllers[controller].life;
            self.push_at(
                at,
                ScheduledEvent::ControllerEvent {
                    controller,
                    life,
                    event: CoreEvent::FromConnection { connection, message },
                },
            );
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
