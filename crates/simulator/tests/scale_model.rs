//! The scale model at small sizes: it starts up, is reproducible, and its costs grow as expected.

use googletest::prelude::*;
use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::time::SECOND;
use grebepath_simulator::scale_model::measure::{Findings, Measurements, measure};
use grebepath_simulator::scale_model::report;
use grebepath_simulator::scale_model::topology;
use grebepath_simulator::scale_model::topology::Size;
use grebepath_simulator::scale_model::world::World;

fn run_model(members: usize, leafs: usize, seed: u64) -> Findings {
    let measurements = Measurements { idle: 4 * SECOND, single: true, restarts: true };
    measure(Size { members, leafs }, seed, measurements)
}

/// Returns the lines that a seed reproduces.
fn counted(f: &Findings) -> Vec<String> {
    report::text(f).lines().filter(|l| !l.starts_with('~')).map(str::to_string).collect()
}

#[gtest]
fn a_seed_reproduces_a_run_and_all_nodes_recover() {
    let (a, b) = (run_model(6, 24, 7), run_model(6, 24, 7));
    expect_that!(counted(&a), eq(&counted(&b)));
    expect_that!(counted(&run_model(6, 24, 8)), not(eq(&counted(&a))));
    expect_that!(a.start, some(lt(12 * SECOND)));
    for (name, event) in &a.events {
        expect_that!(event.last, some(lt(12 * SECOND)), "{name}");
    }
    expect_that!(a.events[0].1.accepted, some(lt(8 * SECOND)));
}

#[gtest]
fn a_member_costs_no_more_in_a_larger_membership_and_state_grows_with_leafs() {
    let (few, many) = (run_model(12, 48, 3), run_model(24, 480, 3));
    let bytes = |f: &Findings| {
        let sent: u64 = f.idle.sum.queriers.iter().map(|m| m.sent.bytes).sum();
        sent as f64 / f.idle.sum.queriers.len() as f64
    };
    expect_that!(bytes(&many), lt(bytes(&few) * 1.1));
    let state = |f: &Findings| f.idle.querier_state as f64;
    expect_that!(state(&many) / state(&few), gt(6.0));
    expect_that!(state(&many) / state(&few), lt(12.0));
}

#[gtest]
fn every_message_is_counted_by_sender_and_recipient() {
    let f = run_model(10, 40, 5);
    let sum = &f.idle.sum;
    let traffic: u64 = sum.traffic.values().map(|c| c.bytes).sum();
    let sent: u64 = sum.queriers.iter().chain(&sum.controllers).map(|m| m.sent.bytes).sum();
    let received: u64 = sum.queriers.iter().chain(&sum.controllers).map(|m| m.received.bytes).sum();
    expect_that!(sent, eq(traffic));
    // The number of messages in flight at either end of the interval is small.
    expect_that!((sent as f64 - received as f64).abs(), lt(sent as f64 / 50.0));
}

#[gtest]
fn the_topology_has_the_zones_and_shards_of_the_size() {
    let zones: std::collections::BTreeSet<String> =
        (0..topology::ZONES).map(|z| topology::name(topology::zone(z))).collect();
    expect_that!(zones.len(), eq(14));
    let regions: std::collections::BTreeSet<usize> =
        (0..topology::ZONES).map(topology::region).collect();
    expect_that!(regions.len(), eq(5));
    let conf = topology::config(5_300).to_string();
    let conf = Config::from_json(conf.as_bytes()).unwrap();
    let built = RoutingTable::build(&conf).unwrap();
    expect_that!(built.routes["wide"].shards.len(), eq(1_300));
    let w = World::new(Size { members: 3, leafs: 30 }, 1);
    let (list, wrong) = grebepath_core::http_api::list::read(w.list.as_bytes()).unwrap();
    expect_that!(list.len(), eq(30));
    expect_that!(wrong.len(), eq(0));
}
