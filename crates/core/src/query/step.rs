//! `step` of the query engine: takes one event and says what to do.

use super::engine::QueryEngine;
use super::event::{Command, Event};

use crate::time::Tick;

impl QueryEngine {
    /// Takes one event and says what to do.
    pub fn step(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Search { call, request: ask } => {
                let q = self.plan_search(now, call, ask);
                self.start_query(now, call, q, &mut out);
            }
            Event::Forward { call, request: parcel } => {
                let q = self.plan_forwarded(now, call, parcel);
                self.start_query(now, call, q, &mut out);
            }
            Event::AttemptEnded { attempt: dispatch, result: got } => {
                self.attempt_ended(now, dispatch, got, &mut out)
            }
            Event::CallerGone { call } => self.caller_gone(call, &mut out),
            Event::ClusterView(view) => {
                self.replace_view(now, view);
                self.advance_queries(now, &mut out);
            }
            Event::QuotaShare(share) => {
                self.replace_quota_share(share);
                self.advance_queries(now, &mut out);
            }
            Event::Peers(peers) => {
                self.peers = peers;
                self.assign_connections();
            }
            Event::RetryRate(rate) => {
                self.service_retry_budget.set_rate(rate, self.quota_share.threads.len() as u64)
            }
            Event::ServingState(door) => self.serving_state = door,
            Event::LeaseValidUntil(until) => {
                self.lease_valid_until = until;
                self.advance_queries(now, &mut out);
            }
            Event::Timer => self.advance_queries(now, &mut out),
        }
        // Given-up dispatches leave room behind that waiting queries can use.
        if out.iter().any(|c| matches!(c, Command::CancelAttempt { .. })) {
            self.advance_queries(now, &mut out);
        }
        out
    }
}
