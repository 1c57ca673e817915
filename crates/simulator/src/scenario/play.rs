//! Runs a scenario from the start of the cluster to the final checks.

use grebepath_core::time::{SECOND, ms};

use super::Scenario;
use crate::world::{self, OperatorRequest, World};

/// Runs a scenario to its end and returns the world.
pub fn play(scenario: &Scenario, seed: u64, faulty_variant: Option<world::FaultyVariant>) -> World {
    play_counting_messages(scenario, seed, faulty_variant, false)
}

/// Runs a scenario like `play`, and counts messages from the moment the cluster has started.
pub fn play_counting_messages(
    scenario: &Scenario,
    seed: u64,
    faulty_variant: Option<world::FaultyVariant>,
    count_messages: bool,
) -> World {
    let mut world = start_cluster(scenario, seed, faulty_variant);
    world.net.message_counts = count_messages.then(Default::default);
    run_scenario(&mut world, scenario);
    world
}

/// Runs a scenario like `play`, with faults at numbered events of the controllers. Their window is
/// given in time of the scenario.
pub fn play_with_faults(
    scenario: &Scenario,
    seed: u64,
    faulty_variant: Option<world::FaultyVariant>,
    injected: world::FaultInjection,
) -> World {
    let mut world = start_cluster(scenario, seed, faulty_variant);
    let began = world.since_begin();
    let (from, to) = injected.window;
    world.injected = world::FaultInjection { window: (began + from, began + to), ..injected };
    run_scenario(&mut world, scenario);
    world
}

/// Runs a scenario like `play_with_faults`, and hashes all messages from the moment the cluster
/// has started.
pub fn play_traced(scenario: &Scenario, seed: u64, injected: world::FaultInjection) -> World {
    let mut world = start_cluster(scenario, seed, None);
    world.net.trace = Some(0);
    let began = world.since_begin();
    let (from, to) = injected.window;
    world.injected = world::FaultInjection { window: (began + from, began + to), ..injected };
    run_scenario(&mut world, scenario);
    world
}

/// Starts a cluster and runs it until it has settled, before the scenario begins.
pub(super) fn start_cluster(
    scenario: &Scenario,
    seed: u64,
    faulty_variant: Option<world::FaultyVariant>,
) -> World {
    let mut world =
        World::new(&scenario.spec, scenario.control_plane.clone(), scenario.queriers, seed);
    world.faulty_variant = faulty_variant;
    world.drain_notice = scenario.drain_notice;
    world.backends.reports_age = scenario.reports_age;
    world.backends.set_reports_leaving(scenario.reports_leaving);
    world.submit(ms(200), OperatorRequest::replace(&scenario.config));
    world.until(20 * SECOND, |world| {
        world.settled()
            && !world.operator_requests.is_empty()
            && world.operator_requests[0].result.is_some()
    });
    world.run(2 * SECOND);
    world
}

/// Runs the scenario on a cluster that has started.
pub(super) fn run_scenario(world: &mut World, scenario: &Scenario) {
    let faults = scenario.faults.clone();
    world.plan(faults);
    world.start_calls(scenario.factor);
    world.run(scenario.seconds * SECOND);
    world.calls_end_at = world.now;
    world.run(3 * SECOND);
    world.finish();
}
