//! Plays a scenario from the start of the fleet to the checks of the end.

use grebepath_core::time::{SECOND, ms};

use super::Scenario;
use crate::world::{self, World};

/// Runs a scenario to its end.
pub fn play(s: &Scenario, seed: u64, broken: Option<world::Broken>) -> World {
    play_weighed(s, seed, broken, false)
}

/// `play`, with messages weighed from the moment the fleet has come up.
pub fn play_weighed(s: &Scenario, seed: u64, broken: Option<world::Broken>, weigh: bool) -> World {
    let mut w = come_up(s, seed, broken);
    w.net.weights = weigh.then(Default::default);
    play_on(&mut w, s);
    w
}

/// `play`, with faults at numbered events of the controllers. Their window is
/// given in time of the scenario.
pub fn play_deviating(
    s: &Scenario,
    seed: u64,
    broken: Option<world::Broken>,
    deviations: world::Deviations,
) -> World {
    let mut w = come_up(s, seed, broken);
    let began = world::since_begin(&w);
    let (from, to) = deviations.window;
    w.deviations = world::Deviations { window: (began + from, began + to), ..deviations };
    play_on(&mut w, s);
    w
}

/// `play_deviating`, with the hash of all messages kept from the moment the fleet
/// has come up.
pub fn play_traced(s: &Scenario, seed: u64, deviations: world::Deviations) -> World {
    let mut w = come_up(s, seed, None);
    w.net.trace = Some(0);
    let began = world::since_begin(&w);
    let (from, to) = deviations.window;
    w.deviations = world::Deviations { window: (began + from, began + to), ..deviations };
    play_on(&mut w, s);
    w
}

/// A fleet that has come up, before anything happens.
pub(super) fn come_up(s: &Scenario, seed: u64, broken: Option<world::Broken>) -> World {
    let mut w = world::world(&s.spec, s.core.clone(), s.queriers, seed);
    w.broken = broken;
    w.backs.ages = s.ages;
    world::order(&mut w, ms(200), world::whole(&s.config));
    world::until(&mut w, 20 * SECOND, |w| {
        world::settled(w) && !w.orders.is_empty() && w.orders[0].done.is_some()
    });
    world::run(&mut w, 2 * SECOND);
    w
}

/// Lets the scenario happen to a fleet that has come up.
pub(super) fn play_on(w: &mut World, s: &Scenario) {
    let troubles = s.troubles.clone();
    world::plan(w, troubles);
    world::begin_calls(w, s.factor);
    world::run(w, s.seconds * SECOND);
    w.calls_end = w.now;
    world::run(w, 3 * SECOND);
    world::finish(w);
}
