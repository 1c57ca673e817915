//! Which queriers are in touch with the control plane: the promises that are bound to a time
//! hold for these. Judged by the faults that were applied alone, never by what the fleet says.

use std::collections::BTreeMap;

use grebepath_core::time::{SECOND, Span, Tick};
use serde_json::Value;

use super::World;
use crate::mock_backends::ListMode;
use crate::scenario::ScheduledFault;

/// How long after the end of a fault a querier counts as in touch again.
const CONTACT: Span = 4 * SECOND;
/// The same after a fault that ends all controllers.
const CONTACT_AFTER_RESTART: Span = 2 * CONTACT;
/// How long a fault lasts that does not say.
const FAULT_DEFAULT: Span = 5 * SECOND;

/// Faults of the control plane, the net and the platform's list, and of single queriers.
#[derive(Default)]
pub(super) struct Disturbances {
    /// Until when the control plane, the net or the list are disturbed.
    core_until: Tick,
    /// A fault of the net, of a disk or of the list goes on until it is mended.
    lasts: bool,
    /// Until when each querier is disturbed.
    queriers_until: BTreeMap<usize, Tick>,
    /// Since when the platform's list has been served without a break.
    list_good_since: Tick,
}

impl World {
    /// Notes that a fault is applied now.
    pub(crate) fn note_disturbance(&mut self, fault: &ScheduledFault) {
        let now = self.now;
        let parameters = &fault.parameters;
        let lasts = duration(parameters);
        let disturbances = &mut self.disturbances;
        let mut core = |span: Span| {
            disturbances.core_until = disturbances.core_until.max(now + span);
        };
        match fault.action.as_str() {
            "kill-seat" | "stop-seat" | "pause-seat" | "hold-seat" => core(lasts + CONTACT),
            "start-seat" | "add-seat" | "seeds" | "flip" => core(CONTACT),
            "restart-all" => core(lasts + CONTACT_AFTER_RESTART),
            "disk" | "cut" | "loss" | "slow-net" => disturbances.lasts = true,
            "heal" | "mend-all" => {
                core(CONTACT_AFTER_RESTART);
                disturbances.lasts = false;
                disturbances.list_good_since = now;
            }
            "list" => {
                let is_good = parameters["mode"] == "good";
                disturbances.list_good_since = if is_good { now } else { Tick::MAX };
            }
            "kill-querier" | "stop-querier" | "pause-querier" => {
                let querier = parameters["which"].as_u64().unwrap_or(0) as usize;
                let until = disturbances.queriers_until.entry(querier).or_default();
                *until = (*until).max(now + lasts + CONTACT);
            }
            _ => {}
        }
    }

    /// Notes that an injected fault strikes a controller now.
    pub(super) fn note_injected_fault(&mut self) {
        self.disturbances.core_until = self.now + FAULT_DEFAULT + CONTACT;
    }

    /// Whether a querier is in touch.
    pub(super) fn is_in_touch(&self, querier: usize) -> bool {
        let disturbances = &self.disturbances;
        let until = disturbances.queriers_until.get(&querier).copied().unwrap_or(0);
        !disturbances.lasts && self.now >= disturbances.core_until && self.now >= until
    }

    /// How long the list, served as it should be, has shown that a leaf leaves.
    pub(super) fn shown_leaving_for(&self, leaf: &str) -> Option<Span> {
        let shown = self.backends.leafs.get(leaf)?.shown_leaving?;
        let is_served = self.backends.list_mode == ListMode::Good;
        let since = shown.max(self.disturbances.list_good_since);
        (is_served && since <= self.now).then(|| self.now - since)
    }
}

fn duration(parameters: &Value) -> Span {
    let seconds = parameters["for_s"].as_f64();
    seconds.map_or(FAULT_DEFAULT, |seconds| (seconds * SECOND as f64) as Span)
}
