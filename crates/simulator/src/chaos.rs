//! Troubles drawn by seed: alone, together, at any time, and one last fault;
//! then all is mended and the fleet must be whole again.

use grebepath_core::random::Random;
use serde_json::{Value, json};

use crate::mock_backends::ZONES;
use crate::scenario::{Scenario, ScheduledFault, generated_fault};

/// A trouble at a time.
pub fn at(at_s: f64, mut val: Value) -> Value {
    val["at_s"] = json!(at_s);
    val
}

/// Seconds before the end at which all is mended: 12 s to be back, and 3 s in
/// which nearly all calls must be full.
const RECOVERY_BEFORE_END: f64 = 16.0;
/// Seconds that a lost or spoilt disk needs before another may be lost: a
/// controller looks at all its files in 20 s.
const DISK_GAP: f64 = 26.0;
/// Seconds before the mending from which on no leafs are replaced: fresh ones
/// bear too little, whatever we do.
const FRESH_GAP: f64 = 12.0;
/// How long a trouble may last at the most (s).
const SPAN: u64 = 8;

/// What a draw may choose from.
struct Scene<'a> {
    scenario: &'a Scenario,
    random: Random,
    from: f64,
    span: f64,
}

fn pick<'a, T>(random: &mut Random, list: &'a [T]) -> &'a T {
    &list[random.below(list.len() as u64) as usize]
}

/// How many kinds of trouble there are.
const KINDS: u64 = 34;

/// One trouble of the kind, with what ends it.
fn draw(scene: &mut Scene, kind: u64) -> Vec<Value> {
    let (from, span) = (scene.from, scene.span);
    let machines = scene.scenario.control_plane.machines;
    let random = &mut scene.random;
    let seat = random.below(machines as u64);
    let querier = random.below(scene.scenario.queriers as u64);
    let service = pick(random, &scene.scenario.spec.services).name.clone();
    let other = pick(random, &scene.scenario.spec.services).name.clone();
    let zone = *pick(random, &ZONES);
    let modes = [
        "slow",
        "dark",
        "pauses",
        "garbage",
        "disorder",
        "no-postmark",
        "two-postmarks",
        "stale-postmark",
        "wrong-cut",
        "unrun",
    ];
    let mode = *pick(random, &modes);
    let coin = random.chance(1, 2);
    let count = 1 + random.below(4);
    let ms = 100 + random.below(500);
    let end = |val: Value| at(from + span, val);
    let heal = end(json!({ "do": "heal" }));
    let one = |val: Value| vec![at(from, val)];
    let two = |val: Value, then: Value| vec![at(from, val), then];
    let cut = |a: Value, b: Value, one_way: bool| {
        two(json!({ "do": "cut", "a": a, "b": b, "one_way": one_way }), heal.clone())
    };
    let until_healed = |what: Value| {
        let mut good = what.clone();
        good["do"] = json!("leafs");
        good["mode"] = json!("good");
        for key in ["count", "ms", "pct"] {
            good.as_object_mut().map(|m| m.remove(key));
        }
        two(what, end(good))
    };
    let seatname = format!("seat{seat}");
    match kind {
        0 => one(json!({ "do": "kill-seat", "which": seat, "for_s": span, "power": coin })),
        1 => one(json!({ "do": "kill-seat", "which": seat, "for_s": span, "lose": true })),
        2 => one(json!({ "do": "kill-querier", "which": querier, "for_s": span })),
        3 => one(json!({ "do": "pause-seat", "which": seat, "for_s": span })),
        4 => one(json!({ "do": "pause-querier", "which": querier, "for_s": span })),
        5 => {
            let health = *pick(random, &["full", "stalled", "slow"]);
            let bad = json!({ "do": "disk", "which": seat, "health": health, "ms": 200 });
            two(bad, end(json!({ "do": "disk", "which": seat, "health": "good" })))
        }
        6 => vec![
            at(from, json!({ "do": "flip", "which": seat })),
            at(from + 0.1, json!({ "do": "kill-seat", "which": seat, "for_s": span })),
        ],
        7 => cut(json!([seatname]), json!(["all"]), coin),
        8 => cut(json!([format!("q{querier}")]), json!(["all"]), coin),
        9 => cut(json!([format!("zone-{zone}")]), json!(["all"]), coin),
        10 => two(json!({ "do": "loss", "per_mille": 10 + random.below(200) }), heal),
        11 => {
            until_healed(json!({ "do": "leafs", "service": service, "count": count, "mode": mode,
                           "ms": ms }))
        }
        12 => two(
            json!({ "do": "drain", "zone": zone }),
            end(json!({ "do": "undrain", "zone": zone })),
        ),
        13 => one(json!({ "do": "restart-leafs", "service": service, "count": count })),
        14 => one(json!({ "do": "storm", "count": 10 * count, "gap_ms": 20 + random.below(60) })),
        15 => {
            let new = end(json!({ "do": "add-leafs", "service": service, "count": count }));
            two(json!({ "do": "leave-leafs", "service": service, "count": count }), new)
        }
        16 => until_healed(json!({ "do": "leafs", "service": service, "mode": mode, "ms": ms })),
        17 => until_healed(json!({ "do": "leafs", "zone": zone, "mode": mode, "ms": ms })),
        18 => until_healed(
            json!({ "do": "leafs", "mode": *pick(random, &["slow", "pauses"]), "ms": ms }),
        ),
        19 => {
            let new = end(json!({ "do": "add-leafs", "service": service, "count": count }));
            let dead = json!({ "do": "kill-leafs", "service": service, "count": count,
                               "vanish": coin });
            two(dead, new)
        }
        20 => one(json!({ "do": "restart-leafs", "service": service })),
        21 => one(json!({ "do": "restart-leafs", "zone": zone })),
        22 => {
            let new = end(json!({ "do": "add-leafs", "service": service, "count": count }));
            let take = json!({ "do": "reuse", "service": service, "count": count, "by": other });
            two(take, new)
        }
        23 => {
            let mode = *pick(random, &["empty", "garbage", "dead", "stale"]);
            two(json!({ "do": "list", "mode": mode }), end(json!({ "do": "list", "mode": "good" })))
        }
        24 => one(json!({ "do": "race", "count": 4 + 2 * count })),
        25 => one(json!({ "do": "grow", "pools": 100 * count, "bytes": 500 })),
        26 => one(json!({ "do": "restart-all", "power": coin, "for_s": 0.5 + span / 4.0 })),
        27 => cut(json!(["seats"]), json!(["queriers"]), coin),
        28 => (0..machines)
            .flat_map(|i| cut(json!([format!("seat{i}")]), json!(["seats"]), coin))
            .collect(),
        29 => two(json!({ "do": "slow-net", "ms": 5 + random.below(60) }), heal),
        // A link that comes and goes.
        30 => (0..6)
            .map(|i| {
                let word = if i % 2 == 0 { "cut" } else { "heal" };
                let val = json!({ "do": word, "a": [seatname], "b": ["all"] });
                let val = if i % 2 == 0 { val } else { json!({ "do": word }) };
                at(from + span * f64::from(i) / 6.0, val)
            })
            .collect(),
        // A rolling restart of everything, in order or by force.
        31 => {
            let word = if coin { "stop-seat" } else { "kill-seat" };
            let seats =
                (0..machines).map(|i| (i as f64, json!({ "do": word, "which": i, "for_s": 0.7 })));
            let fronts = (0..scene.scenario.queriers).map(|i| {
                (i as f64 * 0.8, json!({ "do": "stop-querier", "which": i, "for_s": 2.4 }))
            });
            let all: Vec<_> = seats.map(|(fault, v)| (fault * 2.0, v)).chain(fronts).collect();
            all.into_iter().map(|(fault, v)| at(from + fault, v)).collect()
        }
        // Controllers that leave in order, several at once at times.
        32 => (0..count.min(2))
            .map(|i| {
                let which = (seat + i) % machines as u64;
                at(from, json!({ "do": "stop-seat", "which": which, "for_s": span }))
            })
            .collect(),
        _ => {
            let more = scene.scenario.factor * (2.0 + random.below(10) as f64 / 10.0);
            two(
                json!({ "do": "load", "factor": more }),
                end(json!({ "do": "load", "factor": scene.scenario.factor })),
            )
        }
    }
}

/// A change to another cut of the index, where the deployment holds two.
fn change_index_version(scene: &mut Scene) -> Vec<Value> {
    let plan = |cut: &str| {
        let text = format!(
            "from index = \"notices\" and cut = \"{cut}\" by shard\nsend wide\nwait 30%\n\
             stop at quorum after 80%\nprefer local"
        );
        json!({ "do": "patch", "config": { "searches": [{ "name": "browse", "class": "ordinary",
            "promise_ms": 900, "quorum": 0.75, "attempts": 3, "plan": text }] } })
    };
    vec![at(scene.from, plan("w49")), at(scene.from + scene.span, plan("w48"))]
}

/// Whether troubles take what lies on a disk.
fn loses_disk(list: &[Value]) -> bool {
    list.iter().any(|fault| fault["do"] == "flip" || fault["lose"] == true)
}

/// Whether leafs are fresh for a while after this.
fn replaces_leafs(list: &[Value]) -> bool {
    let words = ["restart-leafs", "add-leafs", "reuse", "kill-leafs", "leave-leafs"];
    list.iter().any(|fault| words.iter().any(|word| fault["do"] == *word))
}

/// Troubles at times, spans and overlaps drawn by the seed, then one last one,
/// then the end of all of them.
pub fn chaos(seed: u64, scenario: &Scenario) -> Vec<ScheduledFault> {
    let recovery_at = (scenario.seconds as f64 - RECOVERY_BEFORE_END).max(1.0);
    let mut scene = Scene { scenario, random: Random::new(seed ^ 0xc0ffee), from: 0.0, span: 0.0 };
    let storm = json!({ "do": "storm", "count": (recovery_at * 3.0) as u64, "gap_ms": 250 });
    let mut all = vec![at(1.0, storm)];
    let two_cuts = scenario.spec.services.iter().any(|service| service.cut == "w49");
    let mut lost_at = -DISK_GAP;
    let mut from = 1.5;
    loop {
        // From close together to a while apart.
        from += scene.random.below(70) as f64 / 10.0;
        scene.from = from;
        scene.span = 0.3 + scene.random.below(SPAN * 10) as f64 / 10.0;
        let last = from + scene.span + 2.0 >= recovery_at;
        if last {
            scene.from = (recovery_at - scene.span - 1.0).max(1.0);
        }
        let kind = scene.random.below(KINDS + u64::from(two_cuts));
        let mut list =
            if kind == KINDS { change_index_version(&mut scene) } else { draw(&mut scene, kind) };
        // Three copies bear the loss of one disk at a time.
        let late = scene.from + scene.span > recovery_at - FRESH_GAP;
        while (loses_disk(&list) && scene.from - lost_at < DISK_GAP)
            || (late && replaces_leafs(&list))
        {
            let kind = scene.random.below(KINDS);
            list = draw(&mut scene, kind);
        }
        if loses_disk(&list) {
            lost_at = scene.from;
        }
        all.extend(list);
        if last {
            break;
        }
    }
    let mut all: Vec<ScheduledFault> = all.iter().map(generated_fault).collect();
    // Nothing may come after the end of all troubles.
    all.retain(|fault| (fault.at_ms as f64) < recovery_at * 1_000.0);
    all.push(generated_fault(&at(
        recovery_at,
        json!({ "do": "mend-all", "factor": scenario.factor }),
    )));
    all
}

/// The fewest troubles that still fail, found by leaving out one after the
/// other, larger runs of them first.
pub fn shrink(
    all: &[ScheduledFault],
    fails: impl Fn(&[ScheduledFault]) -> bool,
) -> Vec<ScheduledFault> {
    let mut list = all.to_vec();
    let mut step = (list.len() / 2).max(1);
    loop {
        let mut i = 0;
        let mut less = false;
        while i < list.len() {
            let mut fewer = list.clone();
            fewer.drain(i..(i + step).min(list.len()));
            if fails(&fewer) {
                list = fewer;
                less = true;
            } else {
                i += step;
            }
        }
        if step == 1 && !less {
            return list;
        }
        step = (step / 2).max(1);
    }
}
