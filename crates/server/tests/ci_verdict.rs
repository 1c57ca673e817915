//! The judgement of a test run against the list of tests that are known to fail.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A run in which two targets finished and one test of the second failed.
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

/// A run in which every test passed.
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

/// Judges a run; tells whether it passes, and what was printed.
fn judge(case: &str, output: &str, exit_code: i32, known_red: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("grebe-verdict-{}-{case}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (run, list) = (folder.join("output"), folder.join("KNOWN-RED.txt"));
    fs::write(&run, output).unwrap();
    fs::write(&list, known_red).unwrap();
    let done = Command::new(script())
        .args([&run, &PathBuf::from(exit_code.to_string()), &list])
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    let said = [done.stdout, done.stderr].concat();
    (done.status.success(), String::from_utf8(said).unwrap())
}

#[test]
fn without_a_list_the_exit_code_decides() {
    assert!(judge("none-ok", ALL_PASSED, 0, "").0);
    assert!(!judge("none-failed", ONE_FAILED, 101, "").0);
    assert!(!judge("only-comments", ONE_FAILED, 101, "# nothing\n\n").0);
}

#[test]
fn a_listed_test_may_fail_and_is_printed() {
    let (passes, said) = judge("listed", ONE_FAILED, 101, LISTED);
    assert!(passes, "{said}");
    assert!(said.contains("wire::long_frames_are_cut, the limit is not checked"), "{said}");
}

#[test]
fn a_failure_that_is_not_listed_fails_the_run() {
    let more = ONE_FAILED.replace("frames_are_bounded ... ok", "frames_are_bounded ... FAILED");
    let (passes, said) = judge("unlisted", &more, 101, LISTED);
    assert!(!passes);
    assert!(said.contains("failed without being listed: wire::frames_are_bounded"), "{said}");
}

#[test]
fn a_listed_test_that_passes_again_fails_the_run() {
    let (passes, said) = judge("passes", ALL_PASSED, 0, LISTED);
    assert!(!passes);
    assert!(said.contains("its verdict is: ok"), "{said}");
}

#[test]
fn a_listed_test_that_does_not_exist_or_is_ignored_fails_the_run() {
    let (passes, said) = judge("absent", ONE_FAILED, 101, "wire::gone, a cause, issue 17\n");
    assert!(!passes);
    assert!(said.contains("no such test ran"), "{said}");
    let ignored =
        ALL_PASSED.replace("long_frames_are_cut ... ok", "long_frames_are_cut ... ignored");
    assert!(!judge("ignored", &ignored, 0, LISTED).0);
}

#[test]
fn more_than_three_lines_or_a_malformed_one_fail_the_run() {
    let four: String = (0..4).map(|n| format!("wire::test_{n}, a cause, issue 17\n")).collect();
    let (passes, said) = judge("four", ONE_FAILED, 101, &four);
    assert!(!passes && said.contains("more than 3"), "{said}");
    let (passes, said) = judge("malformed", ONE_FAILED, 101, "wire::long_frames_are_cut, why\n");
    assert!(!passes && said.contains("not of the form"), "{said}");
    let twice = LISTED.repeat(2);
    assert!(!judge("twice", ONE_FAILED, 101, &twice).0);
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
    let (passes, said) = judge("died", &died, 101, LISTED);
    assert!(!passes);
    assert!(said.contains("2 targets failed, but only 1"), "{said}");
    assert!(!judge("nothing-ran", "error: could not compile `grebe`\n", 101, LISTED).0);
}
