//! Parsing and validation of configurations: every error is reported with its location.

use googletest::prelude::*;
use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;

fn valid_json() -> String {
    r#"{
      "searches": [
        {"name": "notices", "class": "ordinary", "promise_ms": 800, "quorum": 0.75, "attempts": 3,
         "plan": "from index = \"n\" and cut = \"w48\" by shard; send wide\nwait 30%"},
        {"name": "archive", "class": "lookup", "promise_ms": 500,
         "plan": "from index = \"a\" by shard; send one by key"}
      ],
      "pools": [
        {"name": "n0", "service": "n-w48-0", "labels": {"index": "n", "cut": "w48", "shard": "0"}},
        {"name": "n1", "service": "n-w48-1", "labels": {"index": "n", "cut": "w48", "shard": "1"}},
        {"name": "m0", "service": "n-w49-0", "labels": {"index": "n", "cut": "w49", "shard": "0"}},
        {"name": "a0", "service": "arch", "selector": "zone in (\"a\", \"b\") or not state = \"old\"",
         "labels": {"index": "a", "shard": "0"}}
      ],
      "zones": [{"name": "a", "state": "drained"}]
    }"#
    .to_string()
}

#[googletest::test]
fn a_valid_configuration_builds_and_round_trips_through_its_stored_form() {
    let config = Config::from_json(valid_json().as_bytes()).unwrap();
    let table = RoutingTable::build(&config).unwrap();
    let route = &table.routes["notices"];
    expect_that!(route.index_version, eq("w48"));
    expect_that!(route.shards.len(), eq(2));
    expect_that!(route.hedge_after_pct, eq(30));
    expect_that!(route.quorum, eq(750));
    expect_true!(table.drained.contains("a"));
    let stored = Config::from_entries(&config.to_entries()).unwrap();
    expect_that!(&stored, eq(&config));
    let serialized = Config::from_json(config.to_json().to_string().as_bytes()).unwrap();
    expect_that!(&serialized, eq(&config));
}

#[googletest::test]
fn all_errors_are_reported_together_with_their_locations() {
    let text = r#"{
      "searchs": [],
      "searches": [
        {"name": "x", "promise_ms": 0, "quorum": 1.5, "plan": "send wide", "typo": 1},
        {"name": "x", "promise_ms": 10, "plan": ""}
      ],
      "zones": [{"name": "a b", "state": "half"}]
    }"#;
    let errors = Config::from_json(text.as_bytes()).unwrap_err();
    let locations: Vec<_> = errors.iter().map(|error| error.location.as_str()).collect();
    for want in [
        "searchs",
        "searches[0].promise_ms",
        "searches[0].quorum",
        "searches[0].typo",
        "searches[1].name",
        "zones[0].name",
        "zones[0].state",
    ] {
        expect_that!(locations, contains(eq(&want)));
    }
}

#[googletest::test]
fn plan_errors_name_line_and_column_and_plans_are_checked_against_pools() {
    let errors_of = |plan: &str| {
        let mut config = Config::from_json(valid_json().as_bytes()).unwrap();
        config.searches.get_mut("notices").unwrap().plan = plan.to_string();
        RoutingTable::build(&config)
            .map(|_| ())
            .unwrap_err()
            .iter()
            .map(|error| error.to_string())
            .collect::<Vec<_>>()
    };
    let syntax = errors_of("from index = n by shard\nsend sideways\nwait 0%");
    expect_that!(syntax.len(), eq(3));
    expect_that!(syntax[0], starts_with("searches[notices].plan:1:14: expected a text in quotes"));
    expect_that!(syntax[1], starts_with("searches[notices].plan:2:6:"));
    expect_that!(syntax[2], starts_with("searches[notices].plan:3:6:"));
    let versions = errors_of("from index = \"n\" by shard\nsend wide");
    expect_that!(versions, elements_are![contains_substring("more than one cut: `w48`, `w49`")]);
    let no_pool = errors_of("from index = \"zz\" by shard\nsend wide");
    expect_that!(no_pool, elements_are![contains_substring("no pool is chosen")]);
    let no_label = errors_of("from index = \"a\" by piece\nsend wide");
    expect_that!(no_label, elements_are![contains_substring("has no label `piece`")]);
}
