//! Rollouts as operators order and read them, in our own JSON form.

use serde_json::{Value, json};

use crate::rollout::order::RolloutOrder;
use crate::rollout::record::{FormerRollout, Rollout, RolloutState};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Path of all rollouts; that of one service's has the service's name behind it.
pub const ROLLOUTS: &str = "/v1/rollouts";

/// Why an order can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RolloutBodyError {
    /// The body is no JSON.
    #[error("the body is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing, or of another kind.
    #[error("field `{field}` must be {expected}")]
    WrongField {
        /// The field's name.
        field: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

impl RolloutBodyError {
    /// The place of what is wrong.
    pub fn field(&self) -> &'static str {
        match self {
            RolloutBodyError::NotJson(_) => "$",
            RolloutBodyError::WrongField { field, .. } => field,
        }
    }
}

/// Names of an order's fields.
pub struct OrderFields {
    /// The service.
    pub service: &'static str,
    /// The version to move to.
    pub target: &'static str,
    /// The term, in seconds.
    pub term_s: &'static str,
}

/// The names in our own form.
const NATIVE_FIELDS: OrderFields =
    OrderFields { service: "service", target: "version", term_s: "over_s" };

/// Reads an order in our own form.
pub fn read_order(body: &[u8]) -> Result<RolloutOrder, RolloutBodyError> {
    read_order_with(body, &NATIVE_FIELDS)
}

/// Reads an order whose fields have these names.
pub fn read_order_with(
    body: &[u8],
    fields: &OrderFields,
) -> Result<RolloutOrder, RolloutBodyError> {
    let value: Value = serde_json::from_slice(body)?;
    let text = |field: &'static str| match value.get(field).and_then(Value::as_str) {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(RolloutBodyError::WrongField { field, expected: "a text that is not empty" }),
    };
    let seconds = value.get(fields.term_s).and_then(Value::as_f64).filter(|s| *s > 0.0);
    let term_s = seconds.ok_or(RolloutBodyError::WrongField {
        field: fields.term_s,
        expected: "a number of seconds above 0",
    })?;
    Ok(RolloutOrder {
        service: text(fields.service)?,
        target: text(fields.target)?,
        term_ms: (term_s * MILLIS_PER_SECOND).ceil() as u64,
    })
}

/// A rollout in our own form.
pub fn to_json(rollout: &Rollout) -> Value {
    json!({
        "service": rollout.service,
        "version": rollout.target,
        "state": state_name(rollout.state()),
        "phase": rollout.phase().name(),
        "reason": rollout.reason().name(),
        "over_ms": rollout.term_ms,
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
