//! Event handling of the query engine: one event in, a list of commands out.

use super::engine::QueryEngine;
use super::event::{Command, Event};

use crate::time::Tick;

impl QueryEngine {
    /// Handles one event and returns the commands that the caller must carry out, in order.
    pub fn step(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        let slots_released = self.release_closed(now);
        match event {
            Event::Search { call, request } => {
                let query = self.plan_search(now, call, request);
                self.start_query(now, call, query, &mut commands);
            }
            Event::Forward { call, request } => {
                let query = self.plan_forwarded(now, call, request);
                self.start_query(now, call, query, &mut commands);
            }
            Event::AttemptEnded { attempt, result } => {
                self.attempt_ended(now, attempt, result, &mut commands)
            }
            Event::CallerGone { call } => self.caller_gone(now, call, &mut commands),
            Event::ClusterView(view) => {
                self.replace_view(now, view);
                self.advance_queries(now, &mut commands);
            }
            Event::QuotaShare(share) => {
                self.replace_quota_share(share);
                self.advance_queries(now, &mut commands);
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.assign_connections();
            }
            Event::RetryRate(rate) => {
                self.service_retry_budget.set_rate(rate, self.quota_share.threads.len() as u64)
            }
            Event::TrialsUntil(until) => self.trials.valid_until = until,
            Event::ExposureLimit(limit) => self.trials.limit = limit,
            Event::ServingState(state) => self.serving_state = state,
            Event::LeaseValidUntil(until) => {
                self.lease_valid_until = until;
                self.advance_queries(now, &mut commands);
            }
            Event::Timer => self.advance_queries(now, &mut commands),
        }
        self.cancel_abandoned(now, &mut commands);
        self.report_trials(now, &mut commands);
        // Cancelled attempts free leaf capacity that queued shards can use.
        if slots_released || commands.iter().any(|c| matches!(c, Command::CancelAttempt { .. })) {
            self.advance_queries(now, &mut commands);
        }
        commands
    }
}
