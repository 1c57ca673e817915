//! Tests of the CI script that compares a test run with the list of known failures.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Output of a run in which two targets finished and one test of the second failed.
const ONE_FAILED: &str = "\
     Running unittests src/lib.rs (target/debug/deps/grebe-0123456789abcdef)
test digest::known ... ok
test result: ok. 1 passed; 0 failed
     Running tests/wire.rs (target/debug/deps/wire-0123456789abcdef)
test frames_are_bounded ... ok
test long_frames_are_cut ... FAILED
test result: FAILED. 1 passed; 1 failed
error: test failed, to rerun pass `-p grebe --test wire`
error: 1 target failed:
    `-p grebe --test wire`
";

/// Output of a run in which every test passed.
const ALL_PASSED: &str = "\
     Running tests/wire.rs (target/debug/deps/wire-0123456789abcdef)
test frames_are_bounded ... ok
test long_frames_are_cut ... ok
test result: ok. 2 passed; 0 failed
";

const LISTED: &str = "wire::long_frames_are_cut, the limit is not checked, issue 17\n";

fn script() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/verdict")
}

/// Runs the script on the output of a test run; returns whether it passes, and what it printed.
fn run_verdict(case: &str, output: &str, exit_code: i32, known_red: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("grebe-verdict-{}-{case}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (run, list) = (folder.join("output"), folder.join("KNOWN-RED.txt"));
    fs::write(&run, output).unwrap();
    fs::write(&list, known_red).unwrap();
    let output_of_script = Command::new(script())
        .args([&run, &PathBuf::from(exit_code.to_string()), &list])
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let printed = [output_of_script.stdout, output_of_script.stderr].concat();
    (output_of_script.status.success(), String::from_utf8(printed).unwrap())
}

#[test]
fn without_a_list_the_exit_code_decides() {
    assert!(run_verdict("none-ok", ALL_PASSED, 0, "").0);
    assert!(!run_verdict("none-failed", ONE_FAILED, 101, "").0);
    assert!(!run_verdict("only-comments", ONE_FAILED, 101, "# nothing\n\n").0);
}

#[test]
fn a_listed_test_may_fail_and_is_printed() {
    let (passes, printed) = run_verdict("listed", ONE_FAILED, 101, LISTED);
    assert!(passes, "{printed}");
    assert!(printed.contains("wire::long_frames_are_cut, the limit is not checked"), "{printed}");
}

#[test]
fn a_failure_that_is_not_listed_fails_the_run() {
    let more = ONE_FAILED.replace("frames_are_bounded ... ok", "frames_are_bounded ... FAILED");
    let (passes, printed) = run_verdict("unlisted", &more, 101, LISTED);
    assert!(!passes);
    assert!(printed.contains("failed without being listed: wire::frames_are_bounded"), "{printed}");
}

#[test]
fn a_listed_test_that_passes_again_fails_the_run() {
    let (passes, printed) = run_verdict("passes", ALL_PASSED, 0, LISTED);
    assert!(!passes);
    assert!(printed.contains("its verdict is: ok"), "{printed}");
}

#[test]
fn a_listed_test_that_does_not_exist_or_is_ignored_fails_the_run() {
    let (passes, printed) =
        run_verdict("absent", ONE_FAILED, 101, "wire::gone, a cause, issue 17\n");
    assert!(!passes);
    assert!(printed.contains("no such test ran"), "{printed}");
    let ignored =
        ALL_PASSED.replace("long_frames_are_cut ... ok", "long_frames_are_cut ... ignored");
    assert!(!run_verdict("ignored", &ignored, 0, LISTED).0);
}

#[test]
fn more_than_three_lines_or_a_malformed_one_fail_the_run() {
    let four: String = (0..4).map(|n| format!("wire::test_{n}, a cause, issue 17\n")).collect();
    let (passes, printed) = run_verdict("four", ONE_FAILED, 101, &four);
    assert!(!passes && printed.contains("more than 3"), "{printed}");
    let (passes, printed) =
        run_verdict("malformed", ONE_FAILED, 101, "wire::long_frames_are_cut, why\n");
    assert!(!passes && printed.contains("not of the form"), "{printed}");
    let twice = LISTED.repeat(2);
    assert!(!run_verdict("twice", ONE_FAILED, 101, &twice).0);
}

#[test]
fn a_target_that_crashed_fails_the_run() {
    let died = format!(
        "{}     Running tests/disk.rs (target/debug/deps/disk-0123456789abcdef)
error: test failed, to rerun pass `-p grebe --test disk`
Caused by: process didn't exit successfully (signal: 6)
error: 2 targets failed:
",
        ONE_FAILED.replace("error: 1 target failed:\n", "")
    );
    let (passes, printed) = run_verdict("died", &died, 101, LISTED);
    assert!(!passes);
    assert!(printed.contains("2 targets failed, but only 1"), "{printed}");
    assert!(!run_verdict("nothing-ran", "error: could not compile `grebe`\n", 101, LISTED).0);
}
