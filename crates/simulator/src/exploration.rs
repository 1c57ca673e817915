//! Runs `grebepath_simulator::explore` from the command line.

use grebepath_simulator::explore::{Failure, Pairs, Scope, explore, play_once};
use grebepath_simulator::scenario::Scenario;
use grebepath_simulator::world::{FAULTS, Fault, InjectedFault};

use crate::{Args, EXIT_BROKEN, EXIT_USAGE};

/// Failures that are printed with their logs (count).
const SHOWN: usize = 5;

/// Explores each scenario and returns the exit code.
pub fn run(args: &Args, window: &str, scenarios: &[Scenario]) -> i32 {
    let Some(window) = read_window(window) else {
        eprintln!("simulator: --explore takes two times in seconds, like 0.5:0.9");
        return EXIT_USAGE;
    };
    let Some(once) = args.faults.as_deref().map(read_faults).unwrap_or(Some(Vec::new())) else {
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
        broken |=
            if once.is_empty() { explored(&scope, args.pairs) } else { replayed(&scope, &once) };
    }
    if broken { EXIT_BROKEN } else { 0 }
}

fn explored(scope: &Scope, pairs: usize) -> bool {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let began = std::time::Instant::now();
    let report = explore(scope, Pairs::Sampled(pairs), threads);
    println!(
        "{}: {} events, {} runs in {:.1} s, {} of them beyond what is tolerated, {} broken",
        scope.scenario.name,
        report.events,
        report.plays,
        began.elapsed().as_secs_f64(),
        report.beyond,
        report.failures.len()
    );
    report.failures.iter().take(SHOWN).for_each(show);
    !report.failures.is_empty()
}

fn replayed(scope: &Scope, injected: &[InjectedFault]) -> bool {
    let played = play_once(scope, injected.to_vec());
    match &played.failure {
        Some(failure) => show(failure),
        None if played.beyond => println!("beyond what is tolerated: not checked"),
        None => println!("nothing broken"),
    }
    played.failure.is_some()
}

fn show(failure: &Failure) {
    let list: Vec<String> = failure
        .injected
        .iter()
        .map(|d| format!("{}:{}", d.event, format!("{:?}", d.fault).to_lowercase()))
        .collect();
    println!("  --faults {}", list.join(","));
    for line in failure.story.iter().chain(&failure.wrong) {
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
