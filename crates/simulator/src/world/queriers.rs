//! Queriers' machines: starts, stops, and the steps of their node agents.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::membership::node_agent;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::time::{BOOT, ms};
use grebepath_core::voter_set::slot_of;

use super::build::member;
use super::controllers::start_delay;
use super::events::{AttemptKey, FollowUp, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::{BEGIN, THREADS, World};
use crate::connection_id::Opener;

impl World {
    /// Starts a querier's process with empty state.
    pub fn start_querier(&mut self, querier: usize) {
        let seed = self.random.next_u64();
        let node = &mut self.queriers[querier];
        node.incarnation += 1;
        node.up = true;
        node.ready = false;
        node.paused = 0;
        node.polling = false;
        node.began = self.now;
        node.node_agent = node_agent::NodeAgent::new(
            member(&node.name, &node.zone, querier, node.incarnation),
            BOOT,
        );
        node.query_engines = (0..THREADS)
            .map(|thread| {
                let name = format!("{}-{thread}-{:x}", node.name, node.incarnation);
                let mut engine =
                    QueryEngine::new(&name, &node.zone, seed ^ u64::from(thread), BOOT);
                engine.thread_id = grebepath_core::query::quota::thread_id(&node.name, thread);
                engine
            })
            .collect();
        node.wake_at = vec![0; THREADS as usize];
        let incarnation = node.incarnation;
        self.push(start_delay(seed, 50), ScheduledEvent::QuerierTimer { querier, incarnation });
    }

    /// Kills a querier's process.
    pub fn kill_querier(&mut self, querier: usize) {
        let incarnation = self.queriers[querier].incarnation;
        self.queriers[querier].up = false;
        self.queriers[querier].ready = false;
        self.queriers[querier].incarnation += 1;
        let connection = Opener::Querier { number: querier, incarnation }.connection();
        for controller in 0..self.controllers.len() {
            let incarnation = self.controllers[controller].incarnation;
            self.push(
                ms(2),
                ScheduledEvent::ControllerEvent {
                    controller,
                    incarnation,
                    event: CoreEvent::ConnectionClosed { connection },
                },
            );
        }
        let lost_calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.querier == querier && c.incarnation == incarnation)
            .map(|(id, _)| *id)
            .collect();
        for id in lost_calls {
            if let Some(c) = self.calls.remove(&id) {
                self.tally(c.kind).unreachable += 1;
            }
        }
        let runs: Vec<AttemptKey> = self
            .runs_by_attempt
            .keys()
            .chain(self.requests_in_flight.keys())
            .filter(|key| key.engine.querier == querier && key.engine.incarnation == incarnation)
            .copied()
            .collect();
        for key in runs {
            self.close_attempt(key);
        }
    }

    /// Asks a querier to stop, as SIGTERM does; it ends once it has drained.
    pub fn stop_querier(&mut self, querier: usize) {
        let incarnation = self.queriers[querier].incarnation;
        if let Some(notice) = self.drain_notice {
            self.queriers[querier].node_agent.drain_notice = notice;
        }
        self.push(
            1,
            ScheduledEvent::NodeAgentEvent { querier, incarnation, event: node_agent::Event::Stop },
        );
    }

    /// Ends a querier that was asked to stop, once no query is in progress.
    pub(super) fn end_drained_querier(&mut self, querier: usize, incarnation: u64) {
        if self.queriers[querier].query_engines.iter().any(|engine| !engine.queries.is_empty()) {
            return self.later(ms(20), FollowUp::EndDrainedQuerier(querier, incarnation));
        }
        self.step_node_agent(querier, node_agent::Event::Drained);
        self.kill_querier(querier);
    }

    /// Delivers an event to a querier's node agent.
    pub(super) fn deliver_to_node_agent(&mut self, querier: usize, event: node_agent::Event) {
        if matches!(event, node_agent::Event::LeafList(_)) {
            self.queriers[querier].polling = false;
        }
        self.step_node_agent(querier, event);
    }

    /// Delivers a message of the controller with this replica id to a querier.
    pub(super) fn deliver_from_controller(
        &mut self,
        querier: usize,
        holder: u64,
        message: Message,
    ) {
        let event = match message {
            Message::VoterSetUpdate { voter_set: table, .. } => node_agent::Event::VoterSet(table),
            Message::SubstituteListPoller { .. }
                if self.faulty_variant == Some(FaultyVariant::NoSubstituteListPollers) =>
            {
                return;
            }
            message => match slot_of(&self.queriers[querier].node_agent.voter_set, holder) {
                Some(slot) => node_agent::Event::FromVoter { slot, message },
                None => return,
            },
        };
        self.step_node_agent(querier, event);
    }

    pub(super) fn step_node_agent(&mut self, querier: usize, event: node_agent::Event) {
        let local = self.now - self.queriers[querier].began + BOOT;
        let commands = self.queriers[querier].node_agent.step(local, event);
        if self.faulty_variant == Some(FaultyVariant::RevertsConfiguration)
            && self.queriers[querier].node_agent.configuration_revision > 0
        {
            self.queriers[querier].node_agent.is_caught_up = true;
        }
        for command in commands {
            self.run_node_agent_command(querier, command);
        }
        let partitions = &self.queriers[querier].node_agent.partitions;
        let revisions: Vec<(u32, u64)> =
            partitions.iter().map(|(p, h)| (p.0, h.revision)).collect();
        for (partition, revision) in revisions {
            if revision > 0 && !self.already_compared(querier, partition, revision) {
                let sum = grebepath_core::storage::record::checksum(
                    &self.queriers[querier].node_agent.partitions[&PartitionId(partition)].entries,
                );
                self.rules.check_replica(self.now - BEGIN, partition, revision, sum);
            }
        }
    }

    /// Records that this querier's copy of a revision is compared; returns whether it already was.
    pub(super) fn already_compared(
        &mut self,
        querier: usize,
        partition: u32,
        revision: u64,
    ) -> bool {
        let key = (1_000 + partition + 100 * querier as u32, 0);
        self.rules.replica_sums.insert(key, revision) == Some(revision)
    }
}
