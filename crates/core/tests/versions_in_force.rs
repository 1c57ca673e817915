//! Tests that only leafs of the version in force get requests, and that this version follows from
//! replicated state.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::rollout::first_version::{first_versions, missing_first_versions};
use grebepath_core::rollout::order::RolloutOrder;
use grebepath_core::rollout::record::{Rollout, RolloutPhase, RolloutReason, rollouts_in};
use grebepath_core::rollout::versions::VersionsInForce;
use grebepath_core::snapshot::leafs::{LeafInfo, VERSION_LABEL};
use grebepath_core::storage::record::apply_entries;

fn leaf(name: &str, service: &str, version: &str) -> LeafInfo {
    let labels = (!version.is_empty()).then(|| (VERSION_LABEL.to_string(), version.to_string()));
    LeafInfo {
        leaf: name.into(),
        service: service.into(),
        addr: "127.0.0.1:1".into(),
        labels: labels.into_iter().collect(),
        leaving: false,
        age_ms: 0,
        slots: 0,
        cold: false,
    }
}

fn names(leafs: &[LeafInfo]) -> Vec<&str> {
    leafs.iter().map(|leaf| leaf.leaf.as_str()).collect()
}

/// Returns the leafs of the versions in force, given the recorded first versions and the rollouts.
fn in_force(first: &EntryMap, rollouts: &EntryMap, leafs: &[LeafInfo]) -> Vec<String> {
    let rollouts: Vec<Rollout> = rollouts_in(rollouts).collect();
    let versions = VersionsInForce::new(first_versions(first), rollouts.iter());
    let split = versions.split_leafs(leafs.to_vec());
    assert_eq!(split.in_force.len() + split.others.len(), leafs.len());
    names(&split.in_force).into_iter().map(String::from).collect()
}

fn recorded(leafs: &[LeafInfo]) -> EntryMap {
    let mut map = EntryMap::new();
    let entries = missing_first_versions(&map, leafs.iter());
    apply_entries(&mut map, &entries);
    map
}

fn rollout(phase: RolloutPhase) -> EntryMap {
    let order = RolloutOrder { service: "s".into(), target: "v2".into(), time_limit_ms: 1_000 };
    let started = Rollout::start(&order, None, 1, 1);
    let rollout_in_phase = started.with_phase(phase, RolloutReason::FoundGood, 0, 2);
    let mut map = EntryMap::new();
    apply_entries(&mut map, &[rollout_in_phase.to_entry()]);
    map
}

#[googletest::test]
fn the_first_version_is_that_of_most_leafs_and_recorded_once() {
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v1"), leaf("c", "s", "v0")];
    let map = recorded(&leafs);
    expect_that!(first_versions(&map).collect::<Vec<_>>(), elements_are![eq(&("s", "v1"))]);
    // Versions that the list contains later do not change the record.
    let later = [leaf("d", "s", "v2"), leaf("e", "s", "v2")];
    expect_that!(missing_first_versions(&map, later.iter()), is_empty());
}

#[googletest::test]
fn services_without_versions_are_served_and_have_none_recorded() {
    let leafs = [leaf("a", "s", ""), leaf("b", "s", "")];
    let map = recorded(&leafs);
    expect_that!(map, eq(&EntryMap::new()));
    expect_that!(in_force(&map, &EntryMap::new(), &leafs), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn leafs_of_a_version_that_no_order_named_get_no_requests() {
    let first = recorded(&[leaf("a", "s", "v1")]);
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v2"), leaf("c", "s", "")];
    expect_that!(in_force(&first, &EntryMap::new(), &leafs), elements_are![eq("a")]);
    // Not even if there are no other leafs.
    expect_that!(in_force(&first, &EntryMap::new(), &leafs[1..]), is_empty());
}

#[googletest::test]
fn without_a_recorded_version_no_leaf_of_several_versions_is_in_force() {
    let none = EntryMap::new();
    let one = [leaf("a", "s", "v1"), leaf("b", "s", "v1")];
    expect_that!(in_force(&none, &none, &one), elements_are![eq("a"), eq("b")]);
    let several = [leaf("a", "s", "v1"), leaf("b", "s", "v2"), leaf("c", "t", "v9")];
    expect_that!(in_force(&none, &none, &several), elements_are![eq("c")]);
}

#[googletest::test]
fn exactly_one_version_is_in_force_in_each_phase() {
    let first = recorded(&[leaf("a", "s", "v1")]);
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v2")];
    let in_force_in = |phase| in_force(&first, &rollout(phase), &leafs);
    expect_that!(in_force_in(RolloutPhase::Trial), elements_are![eq("a")]);
    expect_that!(in_force_in(RolloutPhase::Forward), elements_are![eq("b")]);
    expect_that!(in_force_in(RolloutPhase::Back), elements_are![eq("a")]);
    expect_that!(in_force_in(RolloutPhase::Delivered), elements_are![eq("b")]);
    expect_that!(in_force_in(RolloutPhase::Returned), elements_are![eq("a")]);
}

#[googletest::test]
fn a_delivered_version_stays_in_force_when_a_later_rollout_is_returned() {
    let first = recorded(&[leaf("a", "s", "v1")]);
    let order = RolloutOrder { service: "s".into(), target: "v3".into(), time_limit_ms: 1_000 };
    let delivered = rollouts_in(&rollout(RolloutPhase::Delivered)).next().unwrap();
    let later = Rollout::start(&order, Some(delivered), 1, 3);
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v2"), leaf("c", "s", "v3")];
    for phase in [RolloutPhase::Trial, RolloutPhase::Back, RolloutPhase::Returned] {
        let rollout_in_phase = later.with_phase(phase, RolloutReason::FoundBad, 0, 4);
        let mut map = EntryMap::new();
        apply_entries(&mut map, &[rollout_in_phase.to_entry()]);
        expect_that!(in_force(&first, &map, &leafs), elements_are![eq("b")], "{phase:?}");
    }
}
