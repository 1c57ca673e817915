//! The query engines of queriers: one per thread.

use grebepath_core::membership::node_agent;
use grebepath_core::query::event as query_event;
use grebepath_core::rollout::trial::ExposureLimit;
use grebepath_core::time::{BOOT, Tick};

use super::World;
use super::events::{AttemptKey, QueryEngineId, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::node_agents::THREAD_DELAY;

/// Requests above their share that may reach versions on trial, over the whole cluster.
const EXPOSURE_SLACK: u64 = 50;

/// Returns the exposure limit of versions on trial; some faulty variants have none.
fn exposure_limit(variant: Option<FaultyVariant>) -> ExposureLimit {
    let sound = ExposureLimit { slack: EXPOSURE_SLACK, ..ExposureLimit::default() };
    match variant {
        Some(FaultyVariant::NoExposureLimit) => ExposureLimit { per_thousand: 1_000, ..sound },
        Some(FaultyVariant::NeverReturns) => {
            ExposureLimit { per_thousand: 1_000, max_bad_answers: u32::MAX, ..sound }
        }
        _ => sound,
    }
}

impl World {
    /// Fires a query engine's timer, unless it has been reset since.
    pub(super) fn wake_query_engine(&mut self, engine: QueryEngineId, at: Tick) {
        let wakes = &mut self.queriers[engine.querier].wake_at[engine.thread];
        if *wakes == at {
            *wakes = 0;
            self.step_query_engine(engine.querier, engine.thread, query_event::Event::Timer);
        }
    }

    pub(super) fn step_query_engine(
        &mut self,
        querier: usize,
        thread: usize,
        event: query_event::Event,
    ) {
        let local = self.now - self.queriers[querier].began + BOOT;
        let hides_leaving = self.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs);
        let node = &mut self.queriers[querier];
        if self.faulty_variant == Some(FaultyVariant::NoRetryBudget) {
            node.query_engines[thread].retry_budget.set_slack(1_000_000);
        }
        node.query_engines[thread].trials.limit = exposure_limit(self.faulty_variant);
        let commands = node.query_engines[thread].step(local, event);
        if hides_leaving {
            for leaf in node.query_engines[thread].leafs.values_mut() {
                leaf.draining = false;
            }
        }
        let (incarnation, began) = (node.incarnation, node.began);
        if let Some(at) = node.query_engines[thread].next_due() {
            let at = (at + began).saturating_sub(BOOT).max(self.now + 1);
            let known = node.wake_at[thread];
            if known == 0 || at < known || known <= self.now {
                node.wake_at[thread] = at;
                self.push_at(
                    at,
                    ScheduledEvent::QueryEngineTimer {
                        engine: QueryEngineId { querier, incarnation, thread },
                        at,
                    },
                );
            }
        }
        for command in commands {
            self.run_query_engine_command(querier, thread, command);
        }
    }

    pub(super) fn run_query_engine_command(
        &mut self,
        querier: usize,
        thread: usize,
        command: query_event::Command,
    ) {
        let incarnation = self.queriers[querier].incarnation;
        match command {
            query_event::Command::Send(outgoing) => {
                self.send_attempt(QueryEngineId { querier, incarnation, thread }, outgoing)
            }
            query_event::Command::CancelAttempt { attempt } => {
                let engine = QueryEngineId { querier, incarnation, thread };
                self.close_attempt(AttemptKey { engine, attempt });
            }
            query_event::Command::Respond { call, outcome } => self.finish_call(call, outcome),
            query_event::Command::ReportTrial(evidence) => {
                let thread = self.queriers[querier].query_engines[thread].thread_id;
                let event = node_agent::Event::TrialEvidence { thread, evidence };
                self.push(
                    THREAD_DELAY,
                    ScheduledEvent::NodeAgentEvent { querier, incarnation, event },
                );
            }
            query_event::Command::ReportLeaf { service, report } => {
                if self.faulty_variant != Some(FaultyVariant::IgnoresLeavingLeafs) {
                    self.push(
                        THREAD_DELAY,
                        ScheduledEvent::NodeAgentEvent {
                            querier,
                            incarnation,
                            event: node_agent::Event::LeafReport { service, report },
                        },
                    );
                }
            }
        }
    }
}
