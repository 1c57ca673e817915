//! Which queriers have contact with the control plane: rules with a time limit hold for these
//! only. Derived from the applied faults alone, never from what the cluster reports.

use std::collections::BTreeMap;

use grebepath_core::time::{SECOND, Span, Tick};
use serde_json::Value;

use super::World;
use crate::mock_backends::ListMode;
use crate::scenario::ScheduledFault;

/// Time after the end of a fault until a querier counts as connected again.
const CONTACT_DELAY: Span = 4 * SECOND;
/// The same after a fault that ends all controllers.
const CONTACT_DELAY_AFTER_RESTART: Span = 2 * CONTACT_DELAY;
/// Duration of a fault whose scenario gives none.
const DEFAULT_FAULT_DURATION: Span = 5 * SECOND;

/// Faults of the control plane, the network and the platform's list, and of single queriers.
#[derive(Default)]
pub(super) struct Disturbances {
    /// Until when the control plane, the network or the list is disturbed.
    control_plane_until: Tick,
    /// Whether a fault of the network, of a disk or of the list lasts until it is repaired.
    lasts: bool,
    /// Until when each querier is disturbed.
    queriers_until: BTreeMap<usize, Tick>,
    /// Since when the platform's list has been served without interruption.
    list_correct_since: Tick,
}

impl World {
    /// Records that a fault is applied now.
    pub(crate) fn note_disturbance(&mut self, fault: &ScheduledFault) {
        let now = self.now;
        let parameters = &fault.parameters;
        let lasts = duration(parameters);
        let disturbances = &mut self.disturbances;
        let mut disturb_control_plane = |span: Span| {
            disturbances.control_plane_until = disturbances.control_plane_until.max(now + span);
        };
        match fault.action.as_str() {
            "kill-seat" | "stop-seat" | "pause-seat" | "hold-seat" => {
                disturb_control_plane(lasts + CONTACT_DELAY)
            }
            "start-seat" | "add-seat" | "seeds" | "flip" => disturb_control_plane(CONTACT_DELAY),
            "restart-all" => disturb_control_plane(lasts + CONTACT_DELAY_AFTER_RESTART),
            "disk" | "cut" | "loss" | "slow-net" => disturbances.lasts = true,
            "heal" | "mend-all" => {
                disturb_control_plane(CONTACT_DELAY_AFTER_RESTART);
                disturbances.lasts = false;
                disturbances.list_correct_since = now;
            }
            "list" => {
                let is_correct = parameters["mode"] == "good";
                disturbances.list_correct_since = if is_correct { now } else { Tick::MAX };
            }
            "kill-querier" | "stop-querier" | "pause-querier" => {
                let querier = parameters["which"].as_u64().unwrap_or(0) as usize;
                let until = disturbances.queriers_until.entry(querier).or_default();
                *until = (*until).max(now + lasts + CONTACT_DELAY);
            }
            _ => {}
        }
    }

    /// Records that a fault is injected into a controller now.
    pub(super) fn note_injected_fault(&mut self) {
        self.disturbances.control_plane_until = self.now + DEFAULT_FAULT_DURATION + CONTACT_DELAY;
    }

    /// Returns whether a querier has contact with the control plane.
    pub(super) fn has_control_plane_contact(&self, querier: usize) -> bool {
        let disturbances = &self.disturbances;
        let until = disturbances.queriers_until.get(&querier).copied().unwrap_or(0);
        !disturbances.lasts && self.now >= disturbances.control_plane_until && self.now >= until
    }

    /// Returns how long a correctly served list has shown that a leaf is leaving.
    pub(super) fn shown_leaving_for(&self, leaf: &str) -> Option<Span> {
        let shown = self.backends.leafs.get(leaf)?.shown_leaving?;
        let is_served = self.backends.list_mode == ListMode::Good;
        let since = shown.max(self.disturbances.list_correct_since);
        (is_served && since <= self.now).then(|| self.now - since)
    }
}

fn duration(parameters: &Value) -> Span {
    let seconds = parameters["for_s"].as_f64();
    seconds.map_or(DEFAULT_FAULT_DURATION, |seconds| (seconds * SECOND as f64) as Span)
}
