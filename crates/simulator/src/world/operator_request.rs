//! What operators ask of the controllers.

use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::{Span, Tick};
use serde_json::{Value, json};

/// A change of a zone's state that an operator asks for.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    /// The zone's name.
    pub zone: String,
    /// Whether it is emptied; else it is opened.
    pub drained: bool,
}

/// An attempt of an operator that gives orders without ids (`zone_operators`).
#[derive(Clone, Copy, Debug)]
pub struct UnnamedOrder {
    /// The operator's number.
    pub operator: usize,
    /// How often this order's sender was redirected (count).
    pub redirections: u32,
}

/// An operator's request, and what became of it.
pub struct OperatorRequest {
    /// Its request id, if another request had it before: it is sent again.
    pub request: Option<String>,
    /// What it asks for.
    pub operation: Operation,
    /// When it was first sent; 0 before.
    pub at: Tick,
    /// The controller that is asked, if it is to be a certain one.
    pub controller: Option<usize>,
    /// How it ended.
    pub result: Option<OperationResult>,
    /// The zone that it empties or opens.
    pub zone: Option<ZoneChange>,
    /// An object that only this request sets, to look for at the end.
    pub marker: Option<String>,
    /// The revision that the operator read before.
    pub expect: Option<u64>,
    /// How long its connection holds it.
    pub held_for: Span,
    /// Whose order it is an attempt of, if its sender gives no ids.
    pub unnamed: Option<UnnamedOrder>,
    /// The operator of rollouts that waits for it.
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
            unnamed: None,
            rollout: None,
        }
    }

    /// Asks for something that is no change of the configuration.
    pub fn asking(operation: Operation) -> Self {
        Self::new(operation)
    }

    /// Replaces the configuration.
    pub fn replace(config: &Value) -> Self {
        Self::new(Operation::Replace(config.to_string().into_bytes()))
    }

    /// Changes some objects of the configuration.
    pub fn patch(objects: &Value) -> Self {
        Self::new(Operation::Patch(objects.to_string().into_bytes()))
    }

    /// Adds pools with long labels, for a large configuration.
    pub fn add_pools(pools: u64, label_bytes: usize) -> Self {
        let list: Vec<Value> = (0..pools)
            .map(|i| {
                json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                        "labels": { "note": "x".repeat(label_bytes) } })
            })
            .collect();
        Self::patch(&json!({ "pools": list }))
    }

    /// Empties a zone.
    pub fn drain(zone: &str) -> Self {
        Self::change_zone(zone, "drained", true)
    }

    /// Opens a zone again.
    pub fn undrain(zone: &str) -> Self {
        Self::change_zone(zone, "open", false)
    }

    fn change_zone(zone: &str, state: &str, drained: bool) -> Self {
        let mut request = Self::patch(&json!({ "zones": [{ "name": zone, "state": state }] }));
        request.zone = Some(ZoneChange { zone: zone.to_string(), drained });
        request
    }

    /// Sets an object whose trace can be looked for at the end.
    pub fn marked(number: usize) -> Self {
        let name = format!("mark-{number}");
        let mut request = Self::patch(&json!({ "zones": [{ "name": name, "state": "open" }] }));
        request.marker = Some(name);
        request
    }
}
