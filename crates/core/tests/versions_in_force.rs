//! Only leafs of the version in force get requests, and which one that is comes from agreed state.

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

/// The leafs in force, by recorded first versions and rollouts.
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
    let turned = started.with_phase(phase, RolloutReason::FoundGood, 0, 2);
    let mut map = EntryMap::new();
    apply_entries(&mut map, &[turned.to_entry()]);
    map
}

#[googletest::test]
fn the_version_that_most_leafs_have_first_is_recorded_once() {
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v1"), leaf("c", "s", "v0")];
    let map = recorded(&leafs);
    expect_that!(first_versions(&map).collect::<Vec<_>>(), elements_are![eq(&("s", "v1"))]);
    // Whatever the list names later changes nothing.
    let later = [leaf("d", "s", "v2"), leaf("e", "s", "v2")];
    expect_that!(missing_first_versions(&map, later.iter()), is_empty());
}

#[googletest::test]
fn services_without_versions_have_none_recorded_and_are_served() {
    let leafs = [leaf("a", "s", ""), leaf("b", "s", "")];
    let map = recorded(&leafs);
    expect_that!(map, eq(&EntryMap::new()));
    expect_that!(in_force(&map, &EntryMap::new(), &leafs), elements_are![eq("a"), eq("b")]);
}

#[googletest::test]
fn leafs_of_a_version_that_no_order_named_get_nothing() {
    let first = recorded(&[leaf("a", "s", "v1")]);
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v2"), leaf("c", "s", "")];
    expect_that!(in_force(&first, &EntryMap::new(), &leafs), elements_are![eq("a")]);
    // Not even where all others are gone.
    expect_that!(in_force(&first, &EntryMap::new(), &leafs[1..]), is_empty());
}

#[googletest::test]
fn without_an_agreed_version_a_choice_between_several_is_not_made() {
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
    let of_phase = |phase| in_force(&first, &rollout(phase), &leafs);
    expect_that!(of_phase(RolloutPhase::Trial), elements_are![eq("a")]);
    expect_that!(of_phase(RolloutPhase::Forward), elements_are![eq("b")]);
    expect_that!(of_phase(RolloutPhase::Back), elements_are![eq("a")]);
    expect_that!(of_phase(RolloutPhase::Delivered), elements_are![eq("b")]);
    expect_that!(of_phase(RolloutPhase::Returned), elements_are![eq("a")]);
}

#[googletest::test]
fn what_an_earlier_rollout_delivered_stays_in_force_when_a_later_one_is_returned() {
    let first = recorded(&[leaf("a", "s", "v1")]);
    let order = RolloutOrder { service: "s".into(), target: "v3".into(), time_limit_ms: 1_000 };
    let delivered = rollouts_in(&rollout(RolloutPhase::Delivered)).next().unwrap();
    let later = Rollout::start(&order, Some(delivered), 1, 3);
    let leafs = [leaf("a", "s", "v1"), leaf("b", "s", "v2"), leaf("c", "s", "v3")];
    for phase in [RolloutPhase::Trial, RolloutPhase::Back, RolloutPhase::Returned] {
        let turned = later.with_phase(phase, RolloutReason::FoundBad, 0, 4);
        let mut map = EntryMap::new();
        apply_entries(&mut map, &[turned.to_entry()]);
        expect_that!(in_force(&first, &map, &leafs), elements_are![eq("b")], "{phase:?}");
    }
}
