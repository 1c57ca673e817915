//! Editions of the configuration: which edition a change is based on, which one it may create,
//! and what happens to two changes on the same edition.

mod common;

use common::{SingleController, read_configuration, single_controller, submit, submit_all};
use googletest::prelude::*;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use serde_json::{Value, json};

fn search(name: &str, path: &str, pool: &str) -> Value {
    json!({ "name": name, "host": "h", "path": path, "form": "pass", "promise_ms": 500,
        "plan": format!("from pool = \"{pool}\" by pool; send wide") })
}

fn pool(name: &str) -> Value {
    json!({ "name": name, "service": name, "labels": { "pool": name } })
}

fn replacement(after: u64, edition: u64, path: &str) -> Operation {
    let val = json!({ "searches": [search("r", path, "p")], "pools": [pool("p")],
        "keep_zones": true, "terms": { "after": after, "edition": edition } });
    Operation::Replace(val.to_string().into_bytes())
}

fn patch(after: u64, edition: u64, path: &str) -> Operation {
    let val = json!({ "searches": [search("r", path, "p")],
        "terms": { "after": after, "edition": edition } });
    Operation::Patch(val.to_string().into_bytes())
}

fn is_accepted(done: &OperationResult) -> bool {
    matches!(done, OperationResult::Accepted { .. })
}

fn conflicting_edition(done: &OperationResult) -> Option<u64> {
    if let OperationResult::Conflict { revision } = done { Some(*revision) } else { None }
}

fn error_locations(done: &OperationResult) -> Vec<String> {
    match done {
        OperationResult::Invalid(list) => list.iter().map(|f| f.0.clone()).collect(),
        other => panic!("not invalid: {other:?}"),
    }
}

fn edition_and_path(controller: &mut SingleController) -> (u64, String) {
    let conf = read_configuration(controller);
    (conf.client_limits.edition, conf.searches.get("r").map_or(String::new(), |s| s.path.clone()))
}

#[googletest::test]
fn of_two_changes_on_one_edition_one_is_accepted_and_the_other_gets_a_conflict() {
    // Guards against two operators that both believe their change is in force.
    for (a, b) in [
        (replacement(3, 5, "/a/"), replacement(3, 7, "/b/")),
        (patch(3, 5, "/a/"), patch(3, 5, "/b/")),
        (replacement(3, 9, "/a/"), patch(3, 4, "/b/")),
        (patch(3, 4, "/a/"), replacement(3, 9, "/b/")),
    ] {
        let mut controller = single_controller();
        assert!(is_accepted(&submit(&mut controller, "0", replacement(0, 3, "/first/"))));
        let accepted_edition = match &a {
            Operation::Replace(t) | Operation::Patch(t) => {
                let val: Value = serde_json::from_slice(t).unwrap();
                val["terms"]["edition"].as_u64().unwrap()
            }
            _ => 0,
        };
        let done = submit_all(&mut controller, vec![("a", a), ("b", b)]);
        expect_that!(is_accepted(&done[0]), eq(true));
        expect_that!(conflicting_edition(&done[1]), some(eq(accepted_edition)));
        expect_that!(edition_and_path(&mut controller), eq(&(accepted_edition, "/a/".to_string())));
    }
}

#[googletest::test]
fn a_repeated_request_is_accepted_again_and_changes_nothing() {
    // Guards against an operator that lost the response, repeats the request, and takes the 412
    // to the repetition for a conflict with another operator.
    let mut controller = single_controller();
    expect_that!(is_accepted(&submit(&mut controller, "a", replacement(0, 3, "/a/"))), eq(true));
    expect_that!(is_accepted(&submit(&mut controller, "a", replacement(0, 3, "/a/"))), eq(true));
    expect_that!(is_accepted(&submit(&mut controller, "b", patch(3, 8, "/b/"))), eq(true));
    // The same holds after other changes, and for two repetitions at the same time.
    let done = submit_all(
        &mut controller,
        vec![("a", replacement(0, 3, "/a/")), ("b", patch(3, 8, "/b/")), ("b", patch(3, 8, "/b/"))],
    );
    expect_that!(done.iter().all(is_accepted), eq(true));
    expect_that!(edition_and_path(&mut controller), eq(&(8, "/b/".to_string())));
    // The same id with another text is invalid.
    expect_that!(
        error_locations(&submit(&mut controller, "a", replacement(8, 9, "/c/"))),
        elements_are![eq("request")]
    );
    expect_that!(edition_and_path(&mut controller), eq(&(8, "/b/".to_string())));
}

#[googletest::test]
fn editions_may_skip_numbers_but_always_rise() {
    let mut controller = single_controller();
    let mut current = 0;
    for (i, next) in [1u64, 2, 9, 10, 5_000, u64::from(u32::MAX) + 7].into_iter().enumerate() {
        let path = format!("/{next}/");
        for low in [0, current / 2, current] {
            let (req, operation) = (format!("low-{i}-{low}"), replacement(current, low, "/low/"));
            expect_that!(
                error_locations(&submit(&mut controller, &req, operation)),
                elements_are![eq("terms.edition")]
            );
        }
        let operation = if i % 2 == 0 {
            replacement(current, next, &path)
        } else {
            patch(current, next, &path)
        };
        expect_that!(is_accepted(&submit(&mut controller, &format!("n{i}"), operation)), eq(true));
        current = next;
        expect_that!(edition_and_path(&mut controller), eq(&(next, path)));
        // A change on any other edition, higher ones included, is a conflict.
        for (j, after) in [0, next - 1, next + 1].into_iter().enumerate() {
            let got =
                submit(&mut controller, &format!("m{i}-{j}"), replacement(after, next + 5, "/m/"));
            let want = if after == next { None } else { Some(next) };
            expect_that!(conflicting_edition(&got), eq(want));
        }
    }
}

#[googletest::test]
fn invalid_and_conflicting_changes_leave_the_configuration_unchanged() {
    // Guards against a rejected change that is partly in force.
    let mut controller = single_controller();
    submit(&mut controller, "0", replacement(0, 3, "/a/"));
    let before = read_configuration(&mut controller);
    let bad = json!({ "searches": [search("r", "/b/", "p"), search("s", "/b/", "p")],
        "terms": { "after": 3, "edition": 4 } });
    let got = submit(&mut controller, "1", Operation::Patch(bad.to_string().into_bytes()));
    expect_that!(error_locations(&got), elements_are![eq("searches[s].path")]);
    let removal = json!({ "remove": { "pools": ["p"] }, "terms": { "after": 3, "edition": 4 } });
    let got = submit(&mut controller, "2", Operation::Patch(removal.to_string().into_bytes()));
    expect_that!(error_locations(&got).is_empty(), eq(false));
    submit(&mut controller, "3", patch(2, 9, "/late/"));
    expect_that!(read_configuration(&mut controller) == before, eq(true));
    // The edition that a rejected change named can be used again.
    expect_that!(is_accepted(&submit(&mut controller, "4", patch(3, 4, "/b/"))), eq(true));
}

#[googletest::test]
fn a_replacement_keeps_drained_zones_only_if_it_says_so() {
    // Guards against a drained zone that gets traffic again with the next change of the searches,
    // while its machines are under maintenance.
    let mut controller = single_controller();
    submit(&mut controller, "0", replacement(0, 3, "/a/"));
    let zone = |state: &str| {
        let val = json!({ "zones": [{ "name": "z", "state": state }] });
        Operation::Patch(val.to_string().into_bytes())
    };
    expect_that!(is_accepted(&submit(&mut controller, "z", zone("drained"))), eq(true));
    let conf = read_configuration(&mut controller);
    expect_that!((conf.client_limits.edition, conf.zones["z"].drained), eq((3, true)));
    submit(&mut controller, "1", replacement(3, 4, "/b/"));
    submit(&mut controller, "2", patch(4, 5, "/c/"));
    expect_that!(read_configuration(&mut controller).zones["z"].drained, eq(true));
    submit(&mut controller, "y", zone("open"));
    expect_that!(read_configuration(&mut controller).zones["z"].drained, eq(false));
    submit(&mut controller, "x", zone("drained"));
    // Without `keep_zones`, a replacement sets all zones, and others are removed.
    let without_keep_zones = json!({ "searches": [search("r", "/d/", "p")], "pools": [pool("p")] });
    submit(&mut controller, "3", Operation::Replace(without_keep_zones.to_string().into_bytes()));
    let conf = read_configuration(&mut controller);
    expect_that!(conf.zones.is_empty(), eq(true));
    // It names no edition, so the current one remains.
    expect_that!(conf.client_limits.edition, eq(5));
}

#[googletest::test]
fn client_limits_stay_until_set_and_are_cleared_by_a_replacement_without_them() {
    let mut controller = single_controller();
    let terms = |after: u64, edition: u64, more: Value| {
        let mut val = json!({ "after": after, "edition": edition });
        for (k, v) in more.as_object().unwrap() {
            val[k] = v.clone();
        }
        val
    };
    let full = |t: Value| {
        let val = json!({ "searches": [search("r", "/a/", "p")], "pools": [pool("p")],
            "terms": t });
        Operation::Replace(val.to_string().into_bytes())
    };
    let all = json!({ "head_max": 9, "body_max": 8, "head_wait_ms": 7, "idle_ms": 6,
        "origin": "{\"x\":1}" });
    submit(&mut controller, "0", full(terms(0, 2, all)));
    submit(&mut controller, "1", patch(2, 4, "/b/"));
    let t = read_configuration(&mut controller).client_limits;
    let limits = (t.edition, t.head_max, t.body_max, t.head_wait_ms, t.idle_ms);
    expect_that!(limits, eq((4, 9, 8, 7, 6)));
    expect_that!(t.original_json, eq("{\"x\":1}"));
    // A patch that sets one limit sets all of them: the others return to their defaults.
    let val = json!({ "terms": terms(4, 5, json!({ "idle_ms": 60 })) });
    submit(&mut controller, "2", Operation::Patch(val.to_string().into_bytes()));
    let t = read_configuration(&mut controller).client_limits;
    expect_that!((t.edition, t.idle_ms, t.head_max), eq((5, 60, 0)));
    submit(&mut controller, "3", full(terms(5, 6, json!({}))));
    let t = read_configuration(&mut controller).client_limits;
    expect_that!((t.edition, t.idle_ms), eq((6, 0)));
    // Limits that can't be parsed are reported with their locations.
    let bad = json!({ "terms": { "after": -1, "edition": 7.5, "idle_ms": "x", "more": 1 } });
    let got = submit(&mut controller, "4", Operation::Patch(bad.to_string().into_bytes()));
    expect_that!(
        error_locations(&got),
        unordered_elements_are![
            eq("terms.after"),
            eq("terms.edition"),
            eq("terms.idle_ms"),
            eq("terms.more")
        ]
    );
}
