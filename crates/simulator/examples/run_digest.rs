//! Plays a fixed set of simulated runs and prints a digest of each.
//!
//! A digest covers the bytes and the times of all messages between the processes, the outcomes and
//! latencies of every kind of call, and every operator's answer. It contains no names, so that a
//! change that only renames or moves code leaves all digests unchanged. `.ci/digests` compares them
//! with `scenarios/digests.txt`.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use grebepath_simulator::files::read_json;
use grebepath_simulator::net::traced;
use grebepath_simulator::scenario::{Scenario, play_traced, read};
use grebepath_simulator::world::{FAULTS, FaultInjection, InjectedFault, World};

/// Seeds of every run.
const SEEDS: [u64; 2] = [1, 2];
/// Window of the injected faults (microseconds of scenario time).
const EXPLORED: (u64, u64) = (500_000, 850_000);
/// Controller events between two injected faults (count).
const EXPLORED_STEP: u64 = 9;

/// The runs: a scenario, and the kind of faults added to it.
const RUNS: [(&str, Extra); 16] = [
    ("rough", Extra::Nothing),
    ("core-cut-off", Extra::Nothing),
    ("core-exchanged", Extra::Nothing),
    ("drain-in-trouble", Extra::Nothing),
    ("leaf-garbage", Extra::Nothing),
    ("leave-owner-change", Extra::Nothing),
    ("overload", Extra::Nothing),
    ("recut", Extra::Nothing),
    ("restart-all", Extra::Nothing),
    ("rot", Extra::Nothing),
    ("seat-moves", Extra::Nothing),
    ("handover", Extra::Nothing),
    ("handover", Extra::Explored),
    ("soak", Extra::Drawn),
    ("soak-seats", Extra::Drawn),
    ("soak-kahurangi", Extra::Drawn),
];

/// Faults that are added to those of the scenario.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Extra {
    Nothing,
    /// Random faults generated from the seed.
    Drawn,
    /// Two faults injected at controller events that the seed chooses.
    Explored,
}

/// One run of the set.
struct Run {
    name: String,
    scenario: Scenario,
    seed: u64,
    injected: FaultInjection,
}

fn main() {
    let runs = runs();
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(vec![String::new(); runs.len()]);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|workers| {
        for _ in 0..threads {
            workers.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(at) else { break };
                    let line = format!("{} seed {}: {:016x}", run.name, run.seed, digest(run));
                    lines.lock().unwrap_or_else(|e| e.into_inner())[at] = line;
                }
            });
        }
    });
    for line in lines.into_inner().unwrap_or_else(|e| e.into_inner()) {
        println!("{line}");
    }
}

fn runs() -> Vec<Run> {
    let mut out = Vec::new();
    for (name, extra) in RUNS {
        for seed in SEEDS {
            let mut scenario = load(name);
            let mut injected = FaultInjection::default();
            match extra {
                Extra::Nothing => {}
                Extra::Drawn => {
                    scenario.faults.extend(grebepath_simulator::chaos::chaos(seed, &scenario))
                }
                Extra::Explored => {
                    let at = |n: u64| InjectedFault {
                        event: (seed + n) * EXPLORED_STEP,
                        fault: FAULTS[(seed + n) as usize % FAULTS.len()],
                    };
                    let list = vec![at(0), at(3)];
                    injected = FaultInjection { window: EXPLORED, list, ..injected };
                }
            }
            let name = match extra {
                Extra::Nothing => name.to_string(),
                other => format!("{name} ({})", format!("{other:?}").to_lowercase()),
            };
            out.push(Run { name, scenario, seed, injected });
        }
    }
    out
}

fn digest(run: &Run) -> u64 {
    let injected = FaultInjection {
        window: run.injected.window,
        list: run.injected.list.clone(),
        ..FaultInjection::default()
    };
    let world = play_traced(&run.scenario, run.seed, injected);
    let mut hash = world.net.trace.expect("the run keeps the hash of its messages");
    for number in figures(&world) {
        hash = traced(hash, &number.to_le_bytes());
    }
    hash
}

/// Returns the results of a run as numbers.
fn figures(world: &World) -> Vec<u64> {
    let mut out = vec![world.now, world.events, world.net.sent, world.net.lost];
    for tally in world.tallies.values() {
        let rejected = tally.rejected.values().sum();
        out.extend([tally.full, tally.partial, rejected, tally.unreachable, tally.timed_out]);
        out.extend(&tally.latencies);
    }
    out.extend([world.rules.first_attempts.len() as u64, world.rules.retries.len() as u64]);
    for order in &world.operator_requests {
        out.extend([order.at, u64::from(order.result.is_some())]);
    }
    out.extend(world.acknowledged_at.values());
    out.extend(world.rules.violation_counts.values().copied());
    out
}

fn load(name: &str) -> Scenario {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let deployment = |name: &str| read_json(&format!("{root}/deploy/{name}"));
    let text = std::fs::read(format!("{root}/scenarios/{name}.json"))
        .expect("the scenario's file is there");
    match read(&text, &deployment) {
        Ok(scenario) => scenario,
        Err(all) => panic!("{name}: {}", grebepath_core::diagnostic::lines(&all)),
    }
}
