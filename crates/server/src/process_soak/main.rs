//! Runs real processes under random faults and checks them from outside, by what leafs, callers,
//! operators and the platform's list observe. A run is determined by its seed, except for the
//! machine's timing.

mod checks;
mod cli;
mod cluster_run;
mod long_calls;
mod operator;
mod record;
mod schedule;

use std::path::Path;

use serde_json::{Value, json};

use crate::cli::Args;
use crate::record::Record;
use crate::schedule::Schedule;

fn main() {
    let args = cli::read();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, run_seeds(&args)) {
        Ok(0) => {}
        Ok(_) => std::process::exit(1),
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(text: &str) {
    eprintln!("process-soak: {text}");
    std::process::exit(2);
}

/// Runs all seeds. Returns the number of seeds with violations.
async fn run_seeds(args: &Args) -> Result<usize, Box<dyn std::error::Error>> {
    let (mut broken, mut report) = (0, Vec::new());
    for seed in args.seed..args.seed + args.seeds {
        let schedule = Schedule::generate(seed, args.queriers, args.length_ms());
        let record = cluster_run::run_seed(args, seed, &schedule).await?;
        let violations = checks::check(&record);
        println!(
            "seed {seed}: {} actions, {} runs judged, {} of leafs shown as leaving, {} zones drained, {}",
            schedule.actions.len(),
            record.runs.len(),
            record.leaving.len(),
            record.zone_operations.iter().filter(|operation| operation.drained).count(),
            if violations.is_empty() {
                "held".into()
            } else {
                format!("{} BROKEN", violations.len())
            },
        );
        if !violations.is_empty() {
            broken += 1;
            print_failure(&schedule, &record, &violations);
        }
        report.push(seed_report(seed, &schedule, &record, &violations));
    }
    if let Some(path) = &args.json {
        std::fs::write(Path::new(path), Value::Array(report).to_string())?;
    }
    Ok(broken)
}

/// Returns the report on a seed's run.
fn seed_report(seed: u64, schedule: &Schedule, record: &Record, violations: &[String]) -> Value {
    let actions = schedule.actions.iter();
    let actions: Vec<Value> = actions
        .map(|action| json!({ "at_ms": action.at_ms, "do": format!("{:?}", action.kind) }))
        .collect();
    let events: Vec<Value> = record
        .events
        .iter()
        .map(|event| json!({ "at_ms": event.at_ms, "text": event.text }))
        .collect();
    json!({
        "seed": seed, "runs": record.runs.len(), "schedule": actions, "events": events,
        "violations": violations,
    })
}

/// Prints the schedule, the events in order of time and the violations of a failed seed.
fn print_failure(schedule: &Schedule, record: &Record, violations: &[String]) {
    println!("  schedule (its effects depend on the machine's timing):");
    for action in &schedule.actions {
        println!("    {:>6} ms  {:?}", action.at_ms, action.kind);
    }
    println!("  events:");
    for event in &record.events {
        println!("    {:>6} ms  {}", event.at_ms, event.text);
    }
    for text in violations.iter().take(10) {
        println!("  BROKEN {text}");
    }
}
