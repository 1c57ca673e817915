//! `step` of the query engine: takes one event and says what to do.

use super::cancellation::gone;
use super::cluster_update::{share_changed, view_changed, wired};
use super::engine::QueryEngine;
use super::event::{Command, Event};
use super::planning::{plan, plan_forwarded};
use super::progress::{start, sweep};
use super::replies::reply;
use super::service_retry_budget;
use crate::time::Tick;

/// Takes one event and says what to do.
pub fn step(d: &mut QueryEngine, now: Tick, event: Event) -> Vec<Command> {
    let mut out = Vec::new();
    match event {
        Event::Search { call, request: ask } => {
            let q = plan(d, now, call, ask);
            start(d, now, call, q, &mut out);
        }
        Event::Forward { call, request: parcel } => {
            let q = plan_forwarded(d, now, call, parcel);
            start(d, now, call, q, &mut out);
        }
        Event::AttemptEnded { attempt: dispatch, result: got } => {
            reply(d, now, dispatch, got, &mut out)
        }
        Event::CallerGone { call } => gone(d, call, &mut out),
        Event::ClusterView(view) => {
            view_changed(d, now, view);
            sweep(d, now, &mut out);
        }
        Event::QuotaShare(share) => {
            share_changed(d, share);
            sweep(d, now, &mut out);
        }
        Event::Peers(peers) => {
            d.peers = peers;
            wired(d);
        }
        Event::RetryRate(rate) => service_retry_budget::rated(
            &mut d.service_retry_budget,
            rate,
            d.quota_share.threads.len() as u64,
        ),
        Event::ServingState(door) => d.serving_state = door,
        Event::LeaseValidUntil(until) => {
            d.lease_valid_until = until;
            sweep(d, now, &mut out);
        }
        Event::Timer => sweep(d, now, &mut out),
    }
    // Given-up dispatches leave room behind that waiting queries can use.
    if out.iter().any(|c| matches!(c, Command::CancelAttempt { .. })) {
        sweep(d, now, &mut out);
    }
    out
}
