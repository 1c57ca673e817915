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
        Event::Ask { call, ask } => {
            let q = plan(d, now, call, ask);
            start(d, now, call, q, &mut out);
        }
        Event::Hand { call, parcel } => {
            let q = plan_forwarded(d, now, call, parcel);
            start(d, now, call, q, &mut out);
        }
        Event::Reply { dispatch, got } => reply(d, now, dispatch, got, &mut out),
        Event::Gone { call } => gone(d, call, &mut out),
        Event::ClusterView(view) => {
            view_changed(d, now, view);
            sweep(d, now, &mut out);
        }
        Event::Share(share) => {
            share_changed(d, share);
            sweep(d, now, &mut out);
        }
        Event::Peers(peers) => {
            d.peers = peers;
            wired(d);
        }
        Event::Rate(rate) => {
            service_retry_budget::rated(&mut d.quota, rate, d.share.slots.len() as u64)
        }
        Event::Door(door) => d.door = door,
        Event::Grip(until) => {
            d.grip = until;
            sweep(d, now, &mut out);
        }
        Event::Wake => sweep(d, now, &mut out),
    }
    // Given-up dispatches leave room behind that waiting queries can use.
    if out.iter().any(|c| matches!(c, Command::Drop { .. })) {
        sweep(d, now, &mut out);
    }
    out
}
