//! The races that are played.

use super::{Fault, Late, Next, Order, Race, Stage, order};

/// Every fault that strikes in the course of a write.
const FAULTS: [Fault; 10] = [
    Fault::AnswerLost,
    Fault::LeaderKilled { power: true, late: Late::Never },
    Fault::LeaderKilled { power: false, late: Late::Never },
    Fault::LeaderKilled { power: true, late: Late::AfterElection },
    Fault::LeaderKilled { power: true, late: Late::AtEnd },
    Fault::LeaderCut { late: Late::Never },
    Fault::LeaderCut { late: Late::AfterElection },
    Fault::LeaderCut { late: Late::AtEnd },
    Fault::CalledKilled,
    Fault::AllKilled,
];

/// The orders of the race with this number: whole and partial ones, under the
/// same number and under others, and one text from both operators.
fn orders(number: usize) -> (Order, Order) {
    let first = |whole| order(whole, Some(1), 5, "first");
    match number % 6 {
        0 => (first(true), order(true, Some(1), 5, "rival")),
        1 => (first(false), order(false, Some(1), 5, "rival")),
        2 => (first(true), order(false, Some(1), 9, "rival")),
        3 => (first(false), order(true, Some(1), 3, "rival")),
        4 => (first(true), first(true)),
        _ => (first(false), first(false)),
    }
}

/// Every race of one stage. The pairs of orders change from each to the next.
pub fn races(stage: Stage) -> Vec<Race> {
    races_of(stage, &FAULTS)
}

pub fn races_of(stage: Stage, faults: &[Fault]) -> Vec<Race> {
    let mut all = Vec::new();
    for fault in faults.iter().copied() {
        for next in [Next::ResendFirst, Next::RivalFirst, Next::Together] {
            for place in 0..27 {
                let (called, resend_at, rival_at) = (place % 3, place / 3 % 3, place / 9);
                let (first, rival) = orders(all.len() / 5 + all.len());
                all.push(Race {
                    called,
                    resend_at,
                    rival_at,
                    stage,
                    fault,
                    next,
                    rival_stage: None,
                    first,
                    rival,
                    forgets: false,
                });
            }
        }
    }
    // Called directly, the leader has the order at once.
    all.retain(|race| race.called != 0 || race.stage != Stage::Arrived);
    all
}
