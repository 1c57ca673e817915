//! The requests of operators to the controllers.

use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::{Span, Tick};
use serde_json::{Value, json};

/// A change of a zone's state that an operator requests.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    /// The zone's name.
    pub zone: String,
    /// Whether the zone is drained; otherwise it is opened.
    pub drained: bool,
}

/// An attempt of an operator that sends requests without ids (`zone_operators`).
#[derive(Clone, Copy, Debug)]
pub struct AttemptWithoutId {
    /// The operator's number.
    pub operator: usize,
    /// Redirections of this operation so far (count).
    pub redirections: u32,
}

/// An operator's request and its result.
pub struct OperatorRequest {
    /// Its request id, if it isn't derived from its number, as for a resent request.
    pub request: Option<String>,
    /// The requested operation.
    pub operation: Operation,
    /// When it was first sent; 0 if it wasn't yet.
    pub at: Tick,
    /// The controller that it is sent to; any running one if unset.
    pub controller: Option<usize>,
    /// Its result, once known.
    pub result: Option<OperationResult>,
    /// The zone that it drains or opens.
    pub zone: Option<ZoneChange>,
    /// An object that only this request sets, which the check at the end looks for.
    pub marker: Option<String>,
    /// The base revision that the operator read.
    pub expect: Option<u64>,
    /// Additional delay of its connection.
    pub held_for: Span,
    /// The operation that it is an attempt of, if its sender uses no ids.
    pub without_id: Option<AttemptWithoutId>,
    /// The rollout operator that waits for its result.
    pub rollout: Option<usize>,
}

impl OperatorRequest {
    fn new(operation: Operation) -> Self {
        OperatorRequest {
            request: None,
            operation,
            at: 0,
            controller: None,
            result: None,
            zone: None,
            marker: None,
            expect: None,
            held_for: 0,
            without_id: None,
            rollout: None,
        }
    }

    /// Creates a request that doesn't change the configuration.
    pub fn asking(operation: Operation) -> Self {
        Self::new(operation)
    }

    /// Creates a request that replaces the configuration.
    pub fn replace(config: &Value) -> Self {
        Self::new(Operation::Replace(config.to_string().into_bytes()))
    }

    /// Creates a request that changes some objects of the configuration.
    pub fn patch(objects: &Value) -> Self {
        Self::new(Operation::Patch(objects.to_string().into_bytes()))
    }

    /// Creates a request that adds pools with long labels, for a large configuration.
    pub fn add_pools(pools: u64, label_bytes: usize) -> Self {
        let list: Vec<Value> = (0..pools)
            .map(|i| {
                json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                        "labels": { "note": "x".repeat(label_bytes) } })
            })
            .collect();
        Self::patch(&json!({ "pools": list }))
    }

    /// Creates a request that drains a zone.
    pub fn drain(zone: &str) -> Self {
        Self::change_zone(zone, "drained", true)
    }

    /// Creates a request that opens a zone again.
    pub fn undrain(zone: &str) -> Self {
        Self::change_zone(zone, "open", false)
    }

    fn change_zone(zone: &str, state: &str, drained: bool) -> Self {
        let mut request = Self::patch(&json!({ "zones": [{ "name": zone, "state": state }] }));
        request.zone = Some(ZoneChange { zone: zone.to_string(), drained });
        request
    }

    /// Creates a request that sets an object of its own, which the check at the end looks for.
    pub fn marked(number: usize) -> Self {
        let name = format!("mark-{number}");
        let mut request = Self::patch(&json!({ "zones": [{ "name": name, "state": "open" }] }));
        request.marker = Some(name);
        request
    }
}
