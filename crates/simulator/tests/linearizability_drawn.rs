//! The linearizability check on generated histories: long ones of a correct register, and small
//! ones with random answers, which a brute-force checker verifies as well.

mod linearizability_reference;

use std::time::Instant;

use grebepath_simulator::linearizability::{Reason, Verdict, check};
use linearizability_reference::{is_linearizable, long_history, random_history};

#[test]
fn an_explanation_contains_only_contradicting_answers() {
    let (mut history, _) = long_history(11, 300);
    let head = history.reads.iter().map(|r| r.revision).max().unwrap_or(0);
    let stale = history.reads.iter().find(|r| r.revision + 20 < head).unwrap().clone();
    let end = history.reads.iter().map(|r| r.answered).max().unwrap() + 10_000;
    history.reads.push(grebepath_simulator::linearizability::Read {
        sent: end,
        answered: end + 5,
        ..stale
    });
    let Verdict::Violated(violation) = check(&history) else { panic!("not caught") };
    println!("{violation}");
    assert_eq!(violation.reason, Reason::Read);
    let needed = violation.lines.iter().filter(|line| !line.starts_with("beside it"));
    assert!(needed.count() <= 3, "{violation}");
}

#[test]
fn long_histories_of_a_correct_register_are_linearizable() {
    for (seed, requests) in [(1, 500), (2, 2_000), (3, 4_000)] {
        let (history, unknown) = long_history(seed, requests);
        assert!(unknown * 20 > requests, "{unknown} of {requests} are unknown");
        let began = Instant::now();
        assert_eq!(check(&history), Verdict::Linearizable, "seed {seed}");
        let took = began.elapsed();
        println!("{requests} requests, {unknown} unknown: {took:?}");
    }
}

#[test]
fn long_histories_with_one_wrong_answer_are_detected() {
    let mut caught = 0;
    for seed in 0..40 {
        let (mut history, _) = long_history(100 + seed, 400);
        // One read in the middle returns an earlier state instead of the correct one.
        let middle = history.reads.len() / 2;
        let falls = history.reads[..middle].iter().rfind(|r| r.revision > 0);
        let Some(read) = falls.cloned() else { continue };
        let later = history.reads[middle..]
            .iter()
            .find(|r| r.sent > read.answered && r.revision > read.revision + 1);
        let Some(later) = later.cloned() else { continue };
        let at = history.reads.iter().position(|r| r.sent == later.sent).unwrap();
        history.reads[at].revision = read.revision;
        history.reads[at].objects = read.objects.clone();
        // The answer is wrong only if the returned state was replaced before.
        let replaced =
            history.reads.iter().any(|r| r.revision > read.revision && r.answered < later.sent);
        if replaced {
            caught += 1;
            assert!(matches!(check(&history), Verdict::Violated(_)), "seed {seed}");
        }
    }
    assert!(caught > 10, "{caught}");
}

#[test]
fn small_histories_match_the_brute_force_checker() {
    let (mut good, mut bad) = (0, 0);
    let mut seed = 77;
    for round in 0..60_000 {
        let history = random_history(&mut seed);
        let want = is_linearizable(&history);
        let verdict = check(&history);
        match &verdict {
            Verdict::Linearizable => good += 1,
            Verdict::Violated(_) => bad += 1,
            Verdict::Undecided { .. } => panic!("undecided: {history:#?}"),
        }
        let got = verdict == Verdict::Linearizable;
        assert_eq!(got, want, "round {round}: {verdict:?}\n{history:#?}");
    }
    println!("{good} fit, {bad} do not");
    assert!(good > 5_000 && bad > 5_000, "{good} {bad}");
}
