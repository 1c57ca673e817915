//! Whole fleets under troubles drawn by seed, alone, in pairs, and one last.

mod common;

use sim::scenario::play;
use sim::{report, world};

/// Seeds played in every run of the tests.
const SEEDS: u64 = 12;

#[test]
fn no_promise_breaks_under_drawn_troubles() {
    let threads: Vec<_> = (0..4)
        .map(|t| {
            std::thread::spawn(move || {
                (0..SEEDS).filter(|s| s % 4 == t).map(one).collect::<Vec<_>>()
            })
        })
        .collect();
    let bad: Vec<String> = threads.into_iter().flat_map(|t| t.join().unwrap()).flatten().collect();
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

fn one(seed: u64) -> Option<String> {
    let s = common::scenario("chaos", 60, 0.05, sim::chaos::chaos(seed, 60.0));
    let mut w = play(&s, seed, None);
    let settled = world::until(&mut w, grebe::time::SECOND * 20, world::settled);
    if w.rules.counts.is_empty() && settled {
        return None;
    }
    let troubles: Vec<String> =
        s.troubles.iter().map(|t| format!("  {} ms {t}", t.at_ms)).collect();
    let story = w.rules.story.join("\n");
    Some(format!(
        "seed {seed}, settled {settled}\n{}\n{}\n{story}",
        report::table(&w),
        troubles.join("\n")
    ))
}
