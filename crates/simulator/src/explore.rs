//! Exploration: a scope is a short scenario that is run once for every fault
//! at every event of the controllers within a window, and for pairs of them. The
//! events of a run are the same up to its first injected fault, so one fault at a
//! time is exhaustive; pairs are tried exhaustively or by a seeded sample.
//!
//! Every run is checked by the rules of all simulated runs (`crate::rules`) and
//! must end with all voter slots held by voting replicas, the same state on all of
//! them, and the last request accepted.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, Span, ms};

use crate::scenario::{Scenario, play_with_faults};
use crate::world::{Fault, FaultInjection, FaultyVariant, InjectedFault, OperatorRequest, World};

/// Time in which controllers apply new seeds and receive the voter set.
const SEEDS_APPLY_TIME: Span = ms(100);

/// The scenario and faults to explore.
pub struct Scope {
    /// The scenario that is run.
    pub scenario: Scenario,
    /// The window in which faults are injected, in seconds of the scenario.
    pub window: (f64, f64),
    /// The faults that are tried.
    pub faults: Vec<Fault>,
    /// The seed of every run, and of the pairs that are drawn.
    pub seed: u64,
    /// Replicas that may be lost permanently (count): a run that loses more is
    /// not checked.
    pub tolerates: usize,
    /// The fault that the cluster has on purpose.
    pub faulty_variant: Option<FaultyVariant>,
}

/// How pairs of faults are tried.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Pairs {
    /// No pairs.
    None,
    /// This many pairs, drawn by the seed.
    Sampled(usize),
    /// All pairs.
    All,
}

/// The results of an exploration.
pub struct Report {
    /// Events of the controllers within the window of a run without faults.
    pub events: u64,
    /// Runs of the scenario (count).
    pub runs: usize,
    /// Runs that lost more replicas than the scope tolerates (count).
    pub beyond_tolerance: usize,
    /// Failed runs; those with the fewest faults first.
    pub failures: Vec<Failure>,
}

/// A failed run, which can be replayed from its injected faults.
pub struct Failure {
    /// The faults that were injected.
    pub injected: Vec<InjectedFault>,
    /// A readable log of the injected faults.
    pub event_log: Vec<String>,
    /// The errors that were found.
    pub errors: Vec<String>,
}

/// Explores a scope on several threads.
pub fn explore(scope: &Scope, pairs: Pairs, threads: usize) -> Report {
    let base = run_once(scope, Vec::new());
    let events = base.events;
    let singles = singles(events, &scope.faults);
    let mut plans: Vec<Vec<InjectedFault>> = singles.iter().map(|one| vec![*one]).collect();
    plans.extend(drawn_pairs(&singles, pairs, scope.seed));
    let next = AtomicUsize::new(0);
    let beyond_tolerance = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::from_iter(base.failure));
    std::thread::scope(|workers| {
        for _ in 0..threads.max(1) {
            workers.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = run_once(scope, plan.clone());
                    beyond_tolerance
                        .fetch_add(usize::from(result.beyond_tolerance), Ordering::Relaxed);
                    let mut failures = failures.lock().unwrap_or_else(|e| e.into_inner());
                    failures.extend(result.failure);
                }
            });
        }
    });
    let mut failures = failures.into_inner().unwrap_or_else(|e| e.into_inner());
    failures.sort_by_key(|failure| {
        (failure.injected.len(), failure.injected.iter().map(|d| d.event).collect::<Vec<_>>())
    });
    Report {
        events,
        runs: plans.len() + 1,
        beyond_tolerance: beyond_tolerance.into_inner(),
        failures,
    }
}

/// Returns every fault at every event.
fn singles(events: u64, faults: &[Fault]) -> Vec<InjectedFault> {
    let at = |event| faults.iter().map(move |fault| InjectedFault { event, fault: *fault });
    (0..events).flat_map(at).collect()
}

fn drawn_pairs(singles: &[InjectedFault], pairs: Pairs, seed: u64) -> Vec<Vec<InjectedFault>> {
    let count = singles.len() as u64;
    match pairs {
        Pairs::None => Vec::new(),
        Pairs::All => {
            let behind =
                |node: usize| singles[node + 1..].iter().map(move |b| vec![singles[node], *b]);
            (0..singles.len()).flat_map(behind).collect()
        }
        Pairs::Sampled(wanted) => {
            let mut random = Random::new(seed);
            let mut one = || singles[random.below(count.max(1)) as usize];
            (0..wanted).map(|_| vec![one(), one()]).collect()
        }
    }
}

/// The result of one run of a scope.
pub struct RunResult {
    /// Events of the controllers within the window.
    pub events: u64,
    /// Whether it lost more replicas than the scope tolerates.
    pub beyond_tolerance: bool,
    /// The failure, if there was one.
    pub failure: Option<Failure>,
}

/// Runs a scope once with these injected faults.
pub fn run_once(scope: &Scope, injected: Vec<InjectedFault>) -> RunResult {
    let micros = |seconds: f64| (seconds * SECOND as f64) as u64;
    let window = (micros(scope.window.0), micros(scope.window.1));
    let list = FaultInjection { window, list: injected.clone(), ..FaultInjection::default() };
    let mut world = play_with_faults(&scope.scenario, scope.seed, scope.faulty_variant, list);
    let beyond_tolerance = world.injected.losses > scope.tolerates;
    let errors = if beyond_tolerance { Vec::new() } else { check_end(&mut world) };
    let events = world.injected.seen;
    let event_log = world.injected.event_log.clone();
    let failure = (!errors.is_empty()).then_some(Failure { injected, event_log, errors });
    RunResult { events, beyond_tolerance, failure }
}

/// Returns the errors of a run that has ended.
fn check_end(world: &mut World) -> Vec<String> {
    let recovered = world.until(12 * SECOND, |world| world.settled() && world.all_slots_voting());
    let mut errors: Vec<String> =
        world.rules.violations.iter().map(|found| format!("{found:?}")).collect();
    errors.extend(world.forgotten_memberships().iter().take(1).cloned());
    if !recovered {
        errors.push("not all voter slots are held by voting replicas".into());
        return errors;
    }
    // A machine that restarted with an empty disk and whose seeds are lost needs new seeds.
    world.renew_seeds();
    world.run(SEEDS_APPLY_TIME);
    let last = world.submit(0, OperatorRequest::marked(world.operator_requests.len()));
    let accepted = |world: &World| {
        matches!(world.operator_requests[last].result, Some(OperationResult::Accepted { .. }))
    };
    if !world.until(5 * SECOND, accepted) {
        errors.push(format!(
            "the last request ended with {:?}",
            world.operator_requests[last].result
        ));
    }
    if !world.until(5 * SECOND, all_replicas_equal) {
        errors.push("replicas of one revision differ, or one is behind".into());
    }
    errors
}

/// Returns whether all voters hold the same configuration.
fn all_replicas_equal(world: &World) -> bool {
    let mut states = world
        .controllers
        .iter()
        .filter(|node| node.up && node.has_voter_slot())
        .map(|node| &node.state.partitions[0].state);
    let Some(first) = states.next() else { return false };
    states.all(|state| {
        (state.written_term, state.revision) == (first.written_term, first.revision)
            && state.entries == first.entries
    })
}
