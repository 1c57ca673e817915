//! Faults drawn by seed: single or overlapping, at any time, and one last fault;
//! then all faults end and the cluster must recover.

use grebepath_core::random::Random;
use serde_json::{Value, json};

use crate::scenario::{Scenario, ScheduledFault, generated_fault};

mod draw;

use draw::{FaultContext, KINDS};

/// Sets the time of an action (s).
pub fn at(at_s: f64, mut val: Value) -> Value {
    val["at_s"] = json!(at_s);
    val
}

/// Time before the end at which all faults end (s): 12 s to recover, and 3 s in
/// which nearly all calls must be full.
const RECOVERY_BEFORE_END_S: f64 = 16.0;
/// Time between the loss or corruption of two disks (s): a
/// controller scrubs all its files within 20 s.
const DISK_LOSS_GAP_S: f64 = 26.0;
/// Time before the recovery in which no leafs are replaced (s): leafs in slow start
/// lack the capacity for a recovery.
const LEAF_REPLACEMENT_GAP_S: f64 = 12.0;
/// Longest duration of a fault (s).
const MAX_FAULT_SPAN_S: u64 = 8;

/// Returns whether faults lose data of a disk.
fn damages_disk(list: &[Value]) -> bool {
    list.iter().any(|fault| fault["do"] == "flip" || fault["lose"] == true)
}

/// Returns whether leafs are in slow start after these faults.
fn replaces_leafs(list: &[Value]) -> bool {
    let actions = ["restart-leafs", "add-leafs", "reuse", "kill-leafs", "leave-leafs"];
    list.iter().any(|fault| actions.iter().any(|action| fault["do"] == *action))
}

/// Draws faults with times, durations and overlaps by the seed, then one last fault,
/// then the end of all faults.
pub fn chaos(seed: u64, scenario: &Scenario) -> Vec<ScheduledFault> {
    let recovery_at = (scenario.seconds as f64 - RECOVERY_BEFORE_END_S).max(1.0);
    let mut context =
        FaultContext { scenario, random: Random::new(seed ^ 0xc0ffee), from: 0.0, span: 0.0 };
    let storm = json!({ "do": "storm", "count": (recovery_at * 3.0) as u64, "gap_ms": 250 });
    let mut all = vec![at(1.0, storm)];
    let has_two_index_versions =
        scenario.spec.services.iter().any(|service| service.index_version == "w49");
    let mut last_disk_loss = -DISK_LOSS_GAP_S;
    let mut from = 1.5;
    loop {
        // The next fault begins up to 7 s later.
        from += context.random.below(70) as f64 / 10.0;
        context.from = from;
        context.span = 0.3 + context.random.below(MAX_FAULT_SPAN_S * 10) as f64 / 10.0;
        let last = from + context.span + 2.0 >= recovery_at;
        if last {
            context.from = (recovery_at - context.span - 1.0).max(1.0);
        }
        let drawn = context.random.below(KINDS.len() as u64 + u64::from(has_two_index_versions));
        let mut list = match KINDS.get(drawn as usize) {
            Some(kind) => context.draw(*kind),
            None => context.change_index_version(),
        };
        // Three replicas tolerate the loss of one disk at a time.
        let late = context.from + context.span > recovery_at - LEAF_REPLACEMENT_GAP_S;
        while (damages_disk(&list) && context.from - last_disk_loss < DISK_LOSS_GAP_S)
            || (late && replaces_leafs(&list))
        {
            let drawn = context.random.below(KINDS.len() as u64);
            list = context.draw(KINDS[drawn as usize]);
        }
        if damages_disk(&list) {
            last_disk_loss = context.from;
        }
        all.extend(list);
        if last {
            break;
        }
    }
    let mut all: Vec<ScheduledFault> = all.iter().map(generated_fault).collect();
    // No action may follow the end of all faults.
    all.retain(|fault| (fault.at_ms as f64) < recovery_at * 1_000.0);
    all.push(generated_fault(&at(
        recovery_at,
        json!({ "do": "mend-all", "factor": scenario.factor }),
    )));
    all
}

/// Returns a minimal list of faults that still fails, found by removing one after the
/// other, longer sequences first.
pub fn shrink(
    all: &[ScheduledFault],
    fails: impl Fn(&[ScheduledFault]) -> bool,
) -> Vec<ScheduledFault> {
    let mut list = all.to_vec();
    let mut step = (list.len() / 2).max(1);
    loop {
        let mut i = 0;
        let mut removed_any = false;
        while i < list.len() {
            let mut fewer = list.clone();
            fewer.drain(i..(i + step).min(list.len()));
            if fails(&fewer) {
                list = fewer;
                removed_any = true;
            } else {
                i += step;
            }
        }
        if step == 1 && !removed_any {
            return list;
        }
        step = (step / 2).max(1);
    }
}
