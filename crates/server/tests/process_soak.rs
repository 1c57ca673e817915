//! Short runs of the process soak with random faults, and with deliberately faulty backends, which
//! its checks must detect.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::process::{Command, Output};

use common::layout;
use googletest::prelude::*;

/// Seed of the runs, and their length in seconds.
const SEED: &str = "1";
const LENGTH: &str = "25";

/// Runs the soak, with backends of a faulty variant if one is given.
fn run_soak(test: &str, variant_name: Option<&str>) -> Output {
    let layout = layout(test, "mohalla", 0);
    let mut command = Command::new(layout.bin.join("process-soak"));
    command.args(["--seed", SEED, "--length", LENGTH, "--dir"]).arg(&layout.dir);
    command.arg("--deploy").arg(&layout.deploy);
    if let Some(variant) = variant_name {
        command.args(["--broken", variant]);
    }
    command.output().expect("the program is built with the tests")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[gtest]
fn random_faults_of_real_processes_violate_no_check() {
    let output = run_soak("soak-held", None);
    expect_that!(output.status.code(), some(eq(0)), "{}", text(&output));
    expect_that!(text(&output), contains_substring("held"));
}

#[gtest]
fn an_unread_leaf_list_is_detected() {
    let output = run_soak("soak-list", Some("dead-list"));
    expect_that!(output.status.code(), some(eq(1)), "{}", text(&output));
    expect_that!(text(&output), contains_substring("BROKEN DRAIN"));
}

#[gtest]
fn a_drained_zone_that_is_not_applied_is_detected() {
    let output = run_soak("soak-zones", Some("unsent-drains"));
    expect_that!(output.status.code(), some(eq(1)), "{}", text(&output));
    expect_that!(text(&output), contains_substring("BROKEN EVAC"));
}
