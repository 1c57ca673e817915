//! Troubles drawn by seed: alone, in pairs, and one last fault.

use grebe::luck::{Luck, below, chance, luck};
use serde_json::{Value, json};

/// A trouble at a time.
pub fn at(at_s: f64, mut val: Value) -> Value {
    val["at_s"] = json!(at_s);
    val
}

/// One trouble drawn from all that may befall a fleet which loses at most
/// one disk at a time; it has passed after about five seconds.
pub fn draw(luck: &mut Luck, from: f64) -> Vec<Value> {
    let seat = below(luck, 3);
    let querier = below(luck, 7);
    let span = 0.5 + below(luck, 40) as f64 / 10.0;
    let services = ["mohalla-notices-w48-0", "mohalla-alerts-w48-1", "mohalla-archive-w48-0"];
    let service = services[below(luck, 3) as usize];
    let zone = ["a", "b", "c"][below(luck, 3) as usize];
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
    let mode = modes[below(luck, modes.len() as u64) as usize];
    let heal = at(from + span, json!({ "do": "heal" }));
    let well = at(from + span, json!({ "do": "disk", "which": seat, "health": "good" }));
    let fine = at(from + span, json!({ "do": "leafs", "service": service, "mode": "good" }));
    let power = chance(luck, 1, 2);
    match below(luck, 16) {
        0 => vec![at(
            from,
            json!({ "do": "kill-seat", "which": seat, "for_s": span, "power": power }),
        )],
        1 => {
            vec![at(from, json!({ "do": "kill-seat", "which": seat, "for_s": span, "lose": true }))]
        }
        2 => vec![at(from, json!({ "do": "kill-querier", "which": querier, "for_s": span }))],
        3 => vec![at(from, json!({ "do": "pause-seat", "which": seat, "for_s": span }))],
        4 => vec![at(from, json!({ "do": "pause-querier", "which": querier, "for_s": span }))],
        5 => {
            let health = ["full", "stalled", "slow"][below(luck, 3) as usize];
            vec![
                at(from, json!({ "do": "disk", "which": seat, "health": health, "ms": 200 })),
                well,
            ]
        }
        6 => vec![
            at(from, json!({ "do": "flip", "which": seat })),
            at(from + 0.1, json!({ "do": "kill-seat", "which": seat, "for_s": span })),
        ],
        7 => {
            vec![at(from, json!({ "do": "cut", "a": [format!("seat{seat}")], "b": ["all"] })), heal]
        }
        8 => vec![
            at(
                from,
                json!({ "do": "cut", "a": [format!("q{querier}")], "b": ["all"], "one_way": power }),
            ),
            heal,
        ],
        9 => vec![
            at(from, json!({ "do": "cut", "a": [format!("zone-{zone}")], "b": ["all"] })),
            heal,
        ],
        10 => vec![at(from, json!({ "do": "loss", "per_mille": 50 })), heal],
        11 => vec![
            at(
                from,
                json!({ "do": "leafs", "service": service, "count": 2, "mode": mode, "ms": 400 }),
            ),
            fine,
        ],
        12 => vec![
            at(from, json!({ "do": "drain", "zone": zone })),
            at(from + 5.0, json!({ "do": "undrain", "zone": zone })),
        ],
        13 => vec![at(from, json!({ "do": "restart-leafs", "service": service, "count": 2 }))],
        14 => vec![at(from, json!({ "do": "storm", "count": 20, "gap_ms": 50 }))],
        _ => vec![at(from, json!({ "do": "leave-leafs", "service": service, "count": 1 }))],
    }
}

/// Whether troubles take what lies on a disk.
fn loses(list: &[Value]) -> bool {
    list.iter().any(|t| t["do"] == "flip" || t["lose"] == true)
}

/// Troubles alone and in pairs, a few seconds apart, and one last one.
pub fn chaos(seed: u64, seconds: f64) -> Vec<Value> {
    let mut luck = luck(seed ^ 0xc0ffee);
    let mut all =
        vec![at(1.0, json!({ "do": "storm", "count": (seconds * 4.0) as u64, "gap_ms": 200 }))];
    let mut from = 2.0;
    while from < seconds - 16.0 {
        let first = draw(&mut luck, from);
        if chance(&mut luck, 1, 2) {
            let mut second = draw(&mut luck, from + 0.7);
            // Two disks lost at once are more than three copies can bear.
            while loses(&first) && loses(&second) {
                second = draw(&mut luck, from + 0.7);
            }
            all.extend(second);
        }
        all.extend(first);
        // A disk that was lost is whole again before the next may go.
        from += 8.0;
    }
    all.extend(draw(&mut luck, seconds - 8.0));
    all
}
