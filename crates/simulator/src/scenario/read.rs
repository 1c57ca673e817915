//! Reads a scenario from JSON, with a diagnostic for each error.

use grebepath_core::diagnostic::{Diagnostic, push_diagnostic};
use grebepath_core::time::ms;
use serde_json::Value;

use super::values::{MachineCounts, disk_health, leaf_mode, list_mode};
use super::{Scenario, ScheduledFault};
use crate::files::FileError;
use crate::spec::{self, Spec, SpecError};
use crate::version_fault::VersionFault;
use crate::world;

/// The actions of scenarios, each with the fields it may have besides `at_s`.
const ACTIONS: &[(&str, &[&str])] = &[
    ("kill-seat", &["which", "for_s", "power", "lose"]),
    ("stop-seat", &["which", "for_s"]),
    ("kill-querier", &["which", "for_s"]),
    ("stop-querier", &["which", "for_s"]),
    ("restart-all", &["power", "for_s", "down", "lose"]),
    ("start-seat", &["which"]),
    ("add-seat", &["zone"]),
    ("seeds", &["list"]),
    ("pause-seat", &["which", "for_s"]),
    ("pause-querier", &["which", "for_s"]),
    ("disk", &["which", "health", "ms"]),
    ("flip", &["which"]),
    ("cut", &["a", "b", "one_way"]),
    ("heal", &[]),
    ("loss", &["per_mille"]),
    ("slow-net", &["ms"]),
    ("leafs", &["service", "zone", "count", "mode", "ms", "every"]),
    ("weaken-leafs", &["service", "zone", "count", "pct"]),
    ("kill-leafs", &["service", "zone", "count", "vanish"]),
    ("restart-leafs", &["service", "zone", "count"]),
    ("leave-leafs", &["service", "zone", "count"]),
    ("reuse", &["service", "zone", "count", "by"]),
    ("list", &["mode"]),
    ("drain", &["zone"]),
    ("undrain", &["zone"]),
    ("apply", &["config"]),
    ("patch", &["config"]),
    ("grow", &["pools", "bytes"]),
    ("storm", &["count", "gap_ms"]),
    ("race", &["count"]),
    ("orders-without-id", &["zone", "count"]),
    (
        "rollout",
        &[
            "service",
            "version",
            "over_s",
            "how",
            "per_mille",
            "after_ms",
            "load",
            "search",
            "times",
        ],
    ),
    ("hold-seat", &["which", "for_s"]),
    ("add-leafs", &["service", "zone", "count"]),
    ("mend-all", &["factor"]),
    ("load", &["factor"]),
];

/// All fields of a scenario.
const FIELDS: [&str; 12] = [
    "name",
    "seconds",
    "queriers",
    "factor",
    "deployment",
    "config",
    "troubles",
    "ages",
    "tells_leaving",
    "drain_notice_ms",
    "seats",
    "controllers",
];

/// Loads a deployment's file by its name.
pub type LoadFile<'a> = &'a dyn Fn(&str) -> Result<Value, FileError>;

/// Reads a scenario, or returns all its errors.
pub fn read(text: &[u8], load: LoadFile) -> Result<Scenario, Vec<Diagnostic>> {
    let mut diagnostics = Vec::new();
    let value: Value = match serde_json::from_slice(text) {
        Ok(value) => value,
        Err(e) => {
            let place = format!("$:{}:{}", e.line(), e.column());
            push_diagnostic(&mut diagnostics, place, format!("not JSON: {e}"));
            return Err(diagnostics);
        }
    };
    for key in value.as_object().into_iter().flat_map(|fields| fields.keys()) {
        if !FIELDS.contains(&key.as_str()) {
            push_diagnostic(
                &mut diagnostics,
                key,
                format!("unknown field; known are {}", FIELDS.join(", ")),
            );
        }
    }
    let deployment = load_deployment(&value, load, &mut diagnostics);
    let seconds = read_integer(&value, "seconds", 1, 86_400, &mut diagnostics);
    let queriers = read_integer(&value, "queriers", 1, 200, &mut diagnostics) as usize;
    let factor = value["factor"].as_f64().unwrap_or(1.0);
    if !(0.001..=100.0).contains(&factor) {
        push_diagnostic(&mut diagnostics, "factor", "expected a number from 0.001 to 100");
    }
    let control_plane = control_plane(&value, &mut diagnostics);
    let faults = read_faults(&value, queriers, control_plane.machines, &mut diagnostics);
    match deployment {
        Some((spec, config)) if diagnostics.is_empty() => Ok(Scenario {
            name: value["name"].as_str().unwrap_or("unnamed").to_string(),
            seconds,
            queriers,
            factor,
            spec,
            config,
            faults,
            reports_age: value["ages"].as_bool().unwrap_or(true),
            drain_notice: value["drain_notice_ms"].as_u64().map(ms),
            reports_leaving: value["tells_leaving"].as_bool().unwrap_or(true),
            control_plane,
        }),
        _ => Err(diagnostics),
    }
}

/// Loads the spec of the leafs and the configuration that a scenario names.
fn load_deployment(
    value: &Value,
    load: LoadFile,
    diagnostics: &mut Vec<Diagnostic>,
) -> Option<(Spec, Value)> {
    let name = value["deployment"].as_str().unwrap_or("mohalla");
    let spec = load(&format!("{name}.standins.json"))
        .map_err(SpecError::from)
        .and_then(|value| spec::parse(&value))
        .map_err(|error| push_diagnostic(diagnostics, "deployment", error.to_string()));
    let config = match value.get("config") {
        Some(config) => Ok(config.clone()),
        None => load(&format!("{name}.json"))
            .map_err(|error| push_diagnostic(diagnostics, "deployment", error.to_string())),
    };
    Some((spec.ok()?, config.ok()?))
}

/// Reads the faults of a scenario, in the order in which it lists them.
fn read_faults(
    value: &Value,
    queriers: usize,
    machines: usize,
    diagnostics: &mut Vec<Diagnostic>,
) -> Vec<ScheduledFault> {
    let Some(list) = value["troubles"].as_array() else { return Vec::new() };
    let added = list.iter().filter(|fault| fault["do"] == "add-seat").count();
    let machine_counts = MachineCounts { queriers, controllers: machines + added };
    let listed = list.iter().enumerate();
    listed
        .filter_map(|(i, fault)| {
            read_fault(&format!("troubles[{i}]"), fault, machine_counts, diagnostics)
        })
        .collect()
}

/// Reads the control plane: three controllers with assigned voter slots, unless the
/// scenario sets the number of slots or of controllers.
fn control_plane(value: &Value, diagnostics: &mut Vec<Diagnostic>) -> world::ControlPlaneSetup {
    if value.get("seats").is_none() && value.get("controllers").is_none() {
        return world::three_voters();
    }
    let voter_slots = read_integer(value, "seats", 1, 9, diagnostics) as usize;
    let machines = read_integer(value, "controllers", 1, 12, diagnostics) as usize;
    if voter_slots.is_multiple_of(2) || machines < voter_slots {
        push_diagnostic(
            diagnostics,
            "seats",
            "expected an odd number of voter slots and a controller for each",
        );
    }
    world::ControlPlaneSetup {
        voter_slots,
        machines,
        slots_assigned: false,
        seeds: (0..machines.min(3)).collect(),
    }
}

/// Reads an integer within bounds; returns the lower bound if it is invalid.
fn read_integer(
    value: &Value,
    key: &str,
    low: u64,
    high: u64,
    diagnostics: &mut Vec<Diagnostic>,
) -> u64 {
    match value[key].as_u64() {
        Some(n) if (low..=high).contains(&n) => n,
        _ => {
            push_diagnostic(
                diagnostics,
                key,
                format!("expected a whole number from {low} to {high}"),
            );
            low
        }
    }
}

/// Reads the fault at a JSON path of the scenario.
fn read_fault(
    at: &str,
    value: &Value,
    machine_counts: MachineCounts,
    diagnostics: &mut Vec<Diagnostic>,
) -> Option<ScheduledFault> {
    let before = diagnostics.len();
    let action = value["do"].as_str().unwrap_or_default().to_string();
    let Some((_, fields)) = ACTIONS.iter().find(|known| known.0 == action) else {
        let names: Vec<&str> = ACTIONS.iter().map(|known| known.0).collect();
        push_diagnostic(
            diagnostics,
            format!("{at}.do"),
            format!("expected one of {}", names.join(", ")),
        );
        return None;
    };
    let Some(at_s) = value["at_s"].as_f64().filter(|seconds| (0.0..=86_400.0).contains(seconds))
    else {
        push_diagnostic(diagnostics, format!("{at}.at_s"), "expected a time in seconds");
        return None;
    };
    for key in value.as_object().into_iter().flat_map(|fields| fields.keys()) {
        if key != "do" && key != "at_s" && !fields.contains(&key.as_str()) {
            push_diagnostic(
                diagnostics,
                format!("{at}.{key}"),
                format!("`{action}` has no such field"),
            );
        }
    }
    check_values(at, &action, value, machine_counts, diagnostics);
    (diagnostics.len() == before).then(|| ScheduledFault {
        at_ms: (at_s * 1000.0) as u64,
        action,
        parameters: value.clone(),
    })
}

/// Checks the values of a fault's fields.
fn check_values(
    at: &str,
    action: &str,
    value: &Value,
    machine_counts: MachineCounts,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let has =
        |field: &str| ACTIONS.iter().any(|known| known.0 == action && known.1.contains(&field));
    if has("which") {
        let top = if action.ends_with("querier") {
            machine_counts.queriers
        } else {
            machine_counts.controllers
        };
        if value["which"].as_u64().is_none_or(|number| number as usize >= top) {
            push_diagnostic(
                diagnostics,
                format!("{at}.which"),
                format!("expected a number below {top}"),
            );
        }
    }
    if action == "leafs" && leaf_mode(value).is_none() {
        push_diagnostic(diagnostics, format!("{at}.mode"), "unknown mode of leafs");
    }
    if action == "rollout" && VersionFault::read(value).is_none() {
        push_diagnostic(diagnostics, format!("{at}.how"), "unknown fault of a version");
    }
    if action == "list" && list_mode(value).is_none() {
        push_diagnostic(
            diagnostics,
            format!("{at}.mode"),
            "expected good, empty, garbage, dead or stale",
        );
    }
    if action == "disk" && disk_health(value).is_none() {
        push_diagnostic(
            diagnostics,
            format!("{at}.health"),
            "expected good, slow, full or stalled",
        );
    }
    if action == "cut" {
        for side in ["a", "b"] {
            for word in value[side].as_array().into_iter().flatten() {
                if word.as_str().is_none_or(|word| machine_counts.nodes_named(word).is_empty()) {
                    push_diagnostic(
                        diagnostics,
                        format!("{at}.{side}"),
                        format!("{word} names no machine"),
                    );
                }
            }
        }
    }
}

/// Converts a fault from a generator, which is always valid.
pub fn generated_fault(value: &Value) -> ScheduledFault {
    ScheduledFault {
        at_ms: (value["at_s"].as_f64().unwrap_or(0.0) * 1000.0) as u64,
        action: value["do"].as_str().unwrap_or_default().to_string(),
        parameters: value.clone(),
    }
}
