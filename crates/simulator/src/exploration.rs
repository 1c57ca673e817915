//! Runs `grebepath_simulator::explore` from the command line.

use grebepath_simulator::explore::{Failure, Pairs, Scope, explore, run_once};
use grebepath_simulator::scenario::Scenario;
use grebepath_simulator::world::{FAULTS, Fault, InjectedFault};

use crate::{Args, EXIT_BROKEN, EXIT_USAGE};

/// Failures that are printed with their logs (count).
const MAX_PRINTED_FAILURES: usize = 5;

/// Explores each scenario and returns the exit code.
pub fn run(args: &Args, window: &str, scenarios: &[Scenario]) -> i32 {
    let Some(window) = read_window(window) else {
        eprintln!("simulator: --explore takes two times in seconds, like 0.5:0.9");
        return EXIT_USAGE;
    };
    let Some(replayed_faults) = args.faults.as_deref().map(read_faults).unwrap_or(Some(Vec::new()))
    else {
        eprintln!("simulator: --faults takes a list like 12:power,40:gone");
        return EXIT_USAGE;
    };
    let mut broken = false;
    for scenario in scenarios {
        let scope = Scope {
            scenario: scenario.clone(),
            window,
            faults: FAULTS.to_vec(),
            seed: args.seed,
            tolerates: args.tolerates,
            faulty_variant: None,
        };
        broken |= if replayed_faults.is_empty() {
            explore_scope(&scope, args.pairs)
        } else {
            replay_faults(&scope, &replayed_faults)
        };
    }
    if broken { EXIT_BROKEN } else { 0 }
}

fn explore_scope(scope: &Scope, pairs: usize) -> bool {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let began = std::time::Instant::now();
    let report = explore(scope, Pairs::Sampled(pairs), threads);
    println!(
        "{}: {} events, {} runs in {:.1} s, {} of them beyond what is tolerated, {} broken",
        scope.scenario.name,
        report.events,
        report.runs,
        began.elapsed().as_secs_f64(),
        report.beyond_tolerance,
        report.failures.len()
    );
    report.failures.iter().take(MAX_PRINTED_FAILURES).for_each(print_failure);
    !report.failures.is_empty()
}

fn replay_faults(scope: &Scope, injected: &[InjectedFault]) -> bool {
    let result = run_once(scope, injected.to_vec());
    match &result.failure {
        Some(failure) => print_failure(failure),
        None if result.beyond_tolerance => println!("beyond what is tolerated: not checked"),
        None => println!("nothing broken"),
    }
    result.failure.is_some()
}

fn print_failure(failure: &Failure) {
    let list: Vec<String> = failure
        .injected
        .iter()
        .map(|d| format!("{}:{}", d.event, format!("{:?}", d.fault).to_lowercase()))
        .collect();
    println!("  --faults {}", list.join(","));
    for line in failure.event_log.iter().chain(&failure.errors) {
        println!("    {line}");
    }
}

fn read_window(text: &str) -> Option<(f64, f64)> {
    let (from, to) = text.split_once(':')?;
    let (from, to) = (from.parse().ok()?, to.parse().ok()?);
    (from < to).then_some((from, to))
}

fn read_faults(text: &str) -> Option<Vec<InjectedFault>> {
    text.split(',')
        .map(|item| {
            let (event, word) = item.split_once(':')?;
            let named = |fault: &&Fault| format!("{fault:?}").to_lowercase() == word;
            let fault = FAULTS.iter().find(named).copied()?;
            Some(InjectedFault { event: event.parse().ok()?, fault })
        })
        .collect()
}
