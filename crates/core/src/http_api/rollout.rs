//! Rollout orders and rollout states in grebepath's JSON form.

use serde_json::{Value, json};

use crate::rollout::order::RolloutOrder;
use crate::rollout::record::{FormerRollout, Rollout, RolloutState};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Path of all rollouts; followed by a slash and the name of a service, the path of its rollout.
pub const ROLLOUTS: &str = "/v1/rollouts";

/// Error in the body of a rollout order.
#[derive(Debug, thiserror::Error)]
pub enum RolloutBodyError {
    /// The body is not JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing or has an invalid value.
    #[error("field `{field}` must be {expected}")]
    WrongField {
        /// The field's name.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

impl RolloutBodyError {
    /// Returns the location of the error.
    pub fn field(&self) -> &'static str {
        match self {
            RolloutBodyError::NotJson(_) => "$",
            RolloutBodyError::WrongField { field, .. } => field,
        }
    }
}

/// Names of the fields of a rollout order.
pub struct OrderFields {
    /// The service to roll out to.
    pub service: &'static str,
    /// The version to move to.
    pub target: &'static str,
    /// The time limit of the rollout, in seconds.
    pub time_limit_s: &'static str,
}

/// The field names of grebepath's own form.
const NATIVE_FIELDS: OrderFields =
    OrderFields { service: "service", target: "version", time_limit_s: "over_s" };

/// Parses a rollout order in grebepath's own form.
pub fn read_order(body: &[u8]) -> Result<RolloutOrder, RolloutBodyError> {
    read_order_with(body, &NATIVE_FIELDS)
}

/// Parses a rollout order with these field names.
pub fn read_order_with(
    body: &[u8],
    fields: &OrderFields,
) -> Result<RolloutOrder, RolloutBodyError> {
    let value: Value = serde_json::from_slice(body)?;
    let text = |field: &'static str| match value.get(field).and_then(Value::as_str) {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(RolloutBodyError::WrongField { field, expected: "a text that is not empty" }),
    };
    let seconds = value.get(fields.time_limit_s).and_then(Value::as_f64).filter(|s| *s > 0.0);
    let time_limit_s = seconds.ok_or(RolloutBodyError::WrongField {
        field: fields.time_limit_s,
        expected: "a number of seconds above 0",
    })?;
    Ok(RolloutOrder {
        service: text(fields.service)?,
        target: text(fields.target)?,
        time_limit_ms: (time_limit_s * MILLIS_PER_SECOND).ceil() as u64,
    })
}

/// Formats a rollout in grebepath's own form.
pub fn to_json(rollout: &Rollout) -> Value {
    json!({
        "service": rollout.service,
        "version": rollout.target,
        "state": state_name(rollout.state()),
        "phase": rollout.phase().name(),
        "reason": rollout.reason().name(),
        "over_ms": rollout.time_limit_ms,
        "elapsed_ms": rollout.elapsed_ms,
        "id": rollout.ordered_revision,
        "term": rollout.leader_term,
        "history": rollout.history.iter().map(former_to_json).collect::<Vec<_>>(),
    })
}

fn former_to_json(former: &FormerRollout) -> Value {
    json!({
        "version": former.target,
        "id": former.ordered_revision,
        "phase": former.phase().name(),
        "reason": former.reason().name(),
        "elapsed_ms": former.elapsed_ms,
    })
}

fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::InProgress => "in-progress",
        RolloutState::Delivered => "delivered",
        RolloutState::Returned => "returned",
    }
}
