//! The races that the tests run.

use super::{ConfigChange, Fault, LateDelivery, Race, ResumeOrder, Stage, config_change};

/// Every fault that can occur during a write.
const FAULTS: [Fault; 10] = [
    Fault::ResponseLost,
    Fault::LeaderKilled { power_loss: true, late: LateDelivery::Never },
    Fault::LeaderKilled { power_loss: false, late: LateDelivery::Never },
    Fault::LeaderKilled { power_loss: true, late: LateDelivery::AfterElection },
    Fault::LeaderKilled { power_loss: true, late: LateDelivery::AtEnd },
    Fault::LeaderIsolated { late: LateDelivery::Never },
    Fault::LeaderIsolated { late: LateDelivery::AfterElection },
    Fault::LeaderIsolated { late: LateDelivery::AtEnd },
    Fault::ContactedKilled,
    Fault::AllKilled,
];

/// Returns the two changes of the race with this number: replacements and patches, for the same
/// edition and for different ones, and the same text from both operators.
fn changes(number: usize) -> (ConfigChange, ConfigChange) {
    let first = |is_replacement| config_change(is_replacement, Some(1), 5, "first");
    match number % 6 {
        0 => (first(true), config_change(true, Some(1), 5, "rival")),
        1 => (first(false), config_change(false, Some(1), 5, "rival")),
        2 => (first(true), config_change(false, Some(1), 9, "rival")),
        3 => (first(false), config_change(true, Some(1), 3, "rival")),
        4 => (first(true), first(true)),
        _ => (first(false), first(false)),
    }
}

/// Returns all races of a stage. The pairs of changes alternate from race to race.
pub fn races(stage: Stage) -> Vec<Race> {
    races_of(stage, &FAULTS)
}

/// Returns all races of a stage with the given faults.
pub fn races_of(stage: Stage, faults: &[Fault]) -> Vec<Race> {
    let mut all = Vec::new();
    for fault in faults.iter().copied() {
        for resume_order in
            [ResumeOrder::ResendFirst, ResumeOrder::RivalFirst, ResumeOrder::Concurrent]
        {
            for placement in 0..27 {
                let (contacted, resend_at, rival_at) =
                    (placement % 3, placement / 3 % 3, placement / 9);
                let (first, rival) = changes(all.len() / 5 + all.len());
                all.push(Race {
                    contacted,
                    resend_at,
                    rival_at,
                    stage,
                    fault,
                    resume_order,
                    rival_stage: None,
                    first,
                    rival,
                    loses_dedup_state: false,
                });
            }
        }
    }
    // A leader that is called directly has the change at once.
    all.retain(|race| race.contacted != 0 || race.stage != Stage::Arrived);
    all
}
