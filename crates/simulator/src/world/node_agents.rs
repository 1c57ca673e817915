//! Runs the commands of the queriers' node agents: messages to controllers and to each
//! other, and updates for the threads that answer queries.

use std::sync::Arc;

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::membership::node_agent;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::engine::ServingState;
use grebepath_core::query::event as query_event;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::{LeafInfo, leafs_in};
use grebepath_core::time::{Span, ms};

use super::events::{FollowUp, QueryEngineId, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::{BEGIN, THREADS, World};
use crate::connection_id::Opener;

/// One-way delay between a node agent and the threads of its process (us).
pub(super) const THREAD_DELAY: Span = 20;

impl World {
    /// Runs a command of a querier's node agent.
    pub(super) fn run_node_agent_command(&mut self, querier: usize, command: node_agent::Command) {
        let incarnation = self.queriers[querier].incarnation;
        match command {
            node_agent::Command::ToVoter { slot, message } => {
                let table = &self.queriers[querier].node_agent.voter_set;
                let Some(voter) = table.slots.get(usize::from(slot)) else { return };
                let Some(controller) = self.machine(&voter.addr) else { return };
                self.send_from_querier(querier, controller, message);
            }
            node_agent::Command::Broadcast { message } => {
                for controller in self.control_plane.seeds.clone() {
                    self.send_from_querier(querier, controller, message.clone());
                }
            }
            node_agent::Command::VoterSetChanged => {}
            node_agent::Command::ToMember { name, message, .. } => {
                self.send_to_member(querier, &name, message);
            }
            node_agent::Command::ClusterView(view) => self.publish_snapshot(querier, view),
            node_agent::Command::QuotaMembers(members) => {
                let list: Vec<_> = members.into_iter().map(|m| (m.name, m.threads)).collect();
                let name = self.queriers[querier].name.clone();
                for thread in 0..THREADS {
                    let mut share =
                        grebepath_core::query::quota::QuotaShare::new(&list, &name, thread);
                    if self.faulty_variant == Some(FaultyVariant::NoAllocation)
                        && !share.threads.is_empty()
                    {
                        share.threads = vec![share.own_thread];
                    }
                    let engine = QueryEngineId { querier, incarnation, thread: thread as usize };
                    let event = query_event::Event::QuotaShare(share);
                    self.push(THREAD_DELAY, ScheduledEvent::QueryEngineEvent { engine, event });
                }
            }
            node_agent::Command::LeafClients(clients) => {
                let list: Vec<_> =
                    clients.into_iter().map(|c| (c.name, c.threads, c.zone)).collect();
                let peers = grebepath_core::query::quota::peers(&list);
                self.send_to_threads(querier, || query_event::Event::Peers(peers.clone()));
            }
            node_agent::Command::Admission(state) => {
                self.send_to_threads(querier, || query_event::Event::ServingState(state));
                if state == ServingState::ShuttingDown {
                    self.later(ms(20), FollowUp::EndDrainedQuerier(querier, incarnation));
                }
            }
            node_agent::Command::ServingUntil(until) => {
                self.send_to_threads(querier, || query_event::Event::LeaseValidUntil(until));
            }
            node_agent::Command::TrialsUntil(until) => {
                self.send_to_threads(querier, || query_event::Event::TrialsUntil(until));
            }
            node_agent::Command::Ready(ready) => self.queriers[querier].ready = ready,
            node_agent::Command::PollLeafList => self.poll_list(querier),
            node_agent::Command::ProbeLeafs(list) => {
                for info in list {
                    let after = self.random.below(ms(50)) + ms(1);
                    self.push(after, ScheduledEvent::Probe { querier, incarnation, info });
                }
            }
            node_agent::Command::Alarm(text) => {
                let name = self.queriers[querier].name.clone();
                self.rules.note(self.now - BEGIN, || format!("{name}: {text}"));
                *self.alarms.entry(text).or_default() += 1;
            }
        }
    }

    /// Sends an event to each thread of a querier.
    fn send_to_threads(&mut self, querier: usize, event: impl Fn() -> query_event::Event) {
        let incarnation = self.queriers[querier].incarnation;
        for thread in 0..THREADS as usize {
            let engine = QueryEngineId { querier, incarnation, thread };
            let event = event();
            self.push(THREAD_DELAY, ScheduledEvent::QueryEngineEvent { engine, event });
        }
    }

    /// Sends a message to another querier.
    fn send_to_member(&mut self, querier: usize, name: &str, message: Message) {
        if self.faulty_variant == Some(FaultyVariant::NoLeafReports)
            && matches!(message, Message::LeafReports { .. })
        {
            return;
        }
        self.net.record("querier-querier", &message);
        let Some(to) = self.queriers.iter().position(|node| node.name == name) else { return };
        let from = self.queriers[querier].endpoint(querier);
        let receiver = self.queriers[to].endpoint(to);
        let at = self.net.send(self.now, from, receiver, &mut self.random);
        if let Some(at) = at {
            let name = self.queriers[querier].name.clone();
            let event = node_agent::Event::FromMember { name, message };
            let incarnation = self.queriers[to].incarnation;
            self.push_at(at, ScheduledEvent::NodeAgentEvent { querier: to, incarnation, event });
        }
    }

    /// Sends a new snapshot of configuration and leafs to the threads of a querier.
    fn publish_snapshot(&mut self, querier: usize, view: Arc<ClusterView>) {
        self.rules.check_snapshot(self.now - BEGIN, querier, view.revision);
        let view = match self.faulty_variant {
            Some(FaultyVariant::KeepsStaleSnapshot) if querier == 0 && view.revision > 1 => return,
            Some(FaultyVariant::IgnoresDrainedZones) => {
                let mut own = (*view).clone();
                let mut routing_table = (*own.routing_table).clone();
                routing_table.drained.clear();
                own.routing_table = Arc::new(routing_table);
                Arc::new(own)
            }
            Some(FaultyVariant::IgnoresLeavingLeafs) => {
                let mut own = (*view).clone();
                hide_leaving(&mut own);
                Arc::new(own)
            }
            Some(FaultyVariant::IgnoresVersions) => {
                let leafs = all_leafs(&self.queriers[querier].node_agent);
                Arc::new(ClusterView::new(view.revision, view.routing_table.clone(), leafs))
            }
            _ => view,
        };
        self.send_to_threads(querier, || query_event::Event::ClusterView(view.clone()));
    }

    fn send_from_querier(&mut self, querier: usize, controller: usize, message: Message) {
        if self.faulty_variant == Some(FaultyVariant::NeverReturns)
            && matches!(message, Message::RolloutVote { .. })
        {
            return;
        }
        self.net.record("querier-controller", &message);
        let from = self.queriers[querier].endpoint(querier);
        let receiver = self.controllers[controller].endpoint(controller);
        let at = self.net.send(self.now, from, receiver, &mut self.random);
        if let Some(at) = at {
            let connection = Opener::Querier {
                number: querier,
                incarnation: self.queriers[querier].incarnation,
            }
            .connection();
            let incarnation = self.controllers[controller].incarnation;
            self.push_at(
                at,
                ScheduledEvent::ControllerEvent {
                    controller,
                    incarnation,
                    event: CoreEvent::FromConnection { connection, message },
                },
            );
        }
    }
}

/// Clears the leaving state of all leafs in a view.
fn hide_leaving(view: &mut ClusterView) {
    let hide = |leaf: &Arc<LeafInfo>| {
        let mut own = (**leaf).clone();
        own.leaving = false;
        Arc::new(own)
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

/// Returns all leafs that a querier knows of, of any version.
fn all_leafs(agent: &node_agent::NodeAgent) -> Vec<LeafInfo> {
    let partitions = agent.partitions.values();
    partitions.flat_map(|state| leafs_in(&state.entries).into_values()).collect()
}
