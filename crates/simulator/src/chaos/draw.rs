//! Draws one fault of a kind by the seed. The order and the number of the draws make
//! up the run of a seed: a change to them changes every drawn run.

use grebepath_core::random::Random;
use serde_json::{Value, json};

use super::at;
use crate::mock_backends::ZONES;
use crate::scenario::Scenario;

/// The kinds of faults, in the order in which they are drawn.
pub(super) const KINDS: [FaultKind; 34] = [
    FaultKind::KillController,
    FaultKind::LoseDisk,
    FaultKind::KillQuerier,
    FaultKind::PauseController,
    FaultKind::PauseQuerier,
    FaultKind::DegradeDisk,
    FaultKind::FlipBit,
    FaultKind::IsolateController,
    FaultKind::IsolateQuerier,
    FaultKind::IsolateZone,
    FaultKind::LoseMessages,
    FaultKind::DegradeSomeLeafs,
    FaultKind::DrainZone,
    FaultKind::RestartSomeLeafs,
    FaultKind::RequestStorm,
    FaultKind::ReplaceLeavingLeafs,
    FaultKind::DegradeService,
    FaultKind::DegradeZone,
    FaultKind::DegradeAllLeafs,
    FaultKind::ReplaceKilledLeafs,
    FaultKind::RestartService,
    FaultKind::RestartZone,
    FaultKind::ReuseAddresses,
    FaultKind::DegradeList,
    FaultKind::RaceRequests,
    FaultKind::GrowConfiguration,
    FaultKind::RestartAll,
    FaultKind::SplitControllersFromQueriers,
    FaultKind::SplitControllers,
    FaultKind::SlowNet,
    FaultKind::FlappingLink,
    FaultKind::RollingRestart,
    FaultKind::StopControllers,
    FaultKind::Overload,
];

/// A kind of fault.
#[derive(Clone, Copy)]
pub(super) enum FaultKind {
    KillController,
    LoseDisk,
    KillQuerier,
    PauseController,
    PauseQuerier,
    DegradeDisk,
    FlipBit,
    IsolateController,
    IsolateQuerier,
    IsolateZone,
    LoseMessages,
    DegradeSomeLeafs,
    DrainZone,
    RestartSomeLeafs,
    RequestStorm,
    ReplaceLeavingLeafs,
    DegradeService,
    DegradeZone,
    DegradeAllLeafs,
    ReplaceKilledLeafs,
    RestartService,
    RestartZone,
    ReuseAddresses,
    DegradeList,
    RaceRequests,
    GrowConfiguration,
    RestartAll,
    SplitControllersFromQueriers,
    SplitControllers,
    SlowNet,
    FlappingLink,
    RollingRestart,
    StopControllers,
    Overload,
}

/// The scenario that faults are drawn for, and the start and duration of the next fault (s).
pub(super) struct FaultContext<'a> {
    pub scenario: &'a Scenario,
    pub random: Random,
    pub from: f64,
    pub span: f64,
}

/// The values that are drawn for every fault, whether its kind needs them or not.
struct Choice {
    controller: u64,
    querier: u64,
    service: String,
    other_service: String,
    zone: &'static str,
    mode: &'static str,
    coin: bool,
    count: u64,
    ms: u64,
}

/// The faulty modes of leafs.
const MODES: [&str; 10] = [
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

fn pick_one<'a, T>(random: &mut Random, list: &'a [T]) -> &'a T {
    &list[random.below(list.len() as u64) as usize]
}

impl Choice {
    fn draw(context: &mut FaultContext) -> Choice {
        let (scenario, random) = (context.scenario, &mut context.random);
        Choice {
            controller: random.below(scenario.control_plane.machines as u64),
            querier: random.below(scenario.queriers as u64),
            service: pick_one(random, &scenario.spec.services).name.clone(),
            other_service: pick_one(random, &scenario.spec.services).name.clone(),
            zone: pick_one::<&str>(random, &ZONES),
            mode: pick_one::<&str>(random, &MODES),
            coin: random.chance(1, 2),
            count: 1 + random.below(4),
            ms: 100 + random.below(500),
        }
    }
}

impl FaultContext<'_> {
    /// Draws one fault of the kind, with the action that ends it.
    pub fn draw(&mut self, kind: FaultKind) -> Vec<Value> {
        let choice = Choice::draw(self);
        match kind {
            FaultKind::KillController
            | FaultKind::LoseDisk
            | FaultKind::PauseController
            | FaultKind::DegradeDisk
            | FaultKind::FlipBit
            | FaultKind::StopControllers => self.controller_fault(kind, &choice),
            FaultKind::KillQuerier => self.begin(
                json!({ "do": "kill-querier", "which": choice.querier, "for_s": self.span }),
            ),
            FaultKind::PauseQuerier => self.begin(
                json!({ "do": "pause-querier", "which": choice.querier, "for_s": self.span }),
            ),
            FaultKind::IsolateController
            | FaultKind::IsolateQuerier
            | FaultKind::IsolateZone
            | FaultKind::LoseMessages
            | FaultKind::SplitControllersFromQueriers
            | FaultKind::SplitControllers
            | FaultKind::SlowNet
            | FaultKind::FlappingLink => self.net_fault(kind, &choice),
            FaultKind::DegradeSomeLeafs
            | FaultKind::DegradeService
            | FaultKind::DegradeZone
            | FaultKind::DegradeAllLeafs
            | FaultKind::DegradeList => self.degraded_leafs(kind, &choice),
            FaultKind::RestartSomeLeafs
            | FaultKind::ReplaceLeavingLeafs
            | FaultKind::ReplaceKilledLeafs
            | FaultKind::RestartService
            | FaultKind::RestartZone
            | FaultKind::ReuseAddresses => self.replaced_leafs(kind, &choice),
            FaultKind::DrainZone
            | FaultKind::RequestStorm
            | FaultKind::RaceRequests
            | FaultKind::GrowConfiguration => self.operator_action(kind, &choice),
            FaultKind::RestartAll => self.begin(json!({ "do": "restart-all", "power": choice.coin,
                "for_s": 0.5 + self.span / 4.0 })),
            FaultKind::RollingRestart => self.rolling_restart(choice.coin),
            FaultKind::Overload => {
                let factor = self.scenario.factor;
                let more = factor * (2.0 + self.random.below(10) as f64 / 10.0);
                let begin = json!({ "do": "load", "factor": more });
                self.begin_and_end(begin, json!({ "do": "load", "factor": factor }))
            }
        }
    }

    /// Schedules an action at the beginning.
    fn begin(&self, action: Value) -> Vec<Value> {
        vec![at(self.from, action)]
    }

    /// Schedules an action at the beginning and one at the end.
    fn begin_and_end(&self, begin: Value, end: Value) -> Vec<Value> {
        vec![at(self.from, begin), at(self.from + self.span, end)]
    }

    /// Schedules a network fault that is healed at the end.
    fn until_healed(&self, begin: Value) -> Vec<Value> {
        self.begin_and_end(begin, json!({ "do": "heal" }))
    }

    /// Schedules a network partition between two sides.
    fn partition(&self, a: Value, b: Value, one_way: bool) -> Vec<Value> {
        self.until_healed(json!({ "do": "cut", "a": a, "b": b, "one_way": one_way }))
    }

    /// Schedules a faulty mode of leafs until the end.
    fn degraded(&self, begin: Value) -> Vec<Value> {
        let mut good = begin.clone();
        good["do"] = json!("leafs");
        good["mode"] = json!("good");
        for key in ["count", "ms", "pct"] {
            good.as_object_mut().map(|fields| fields.remove(key));
        }
        self.begin_and_end(begin, good)
    }

    fn controller_fault(&mut self, kind: FaultKind, choice: &Choice) -> Vec<Value> {
        let (which, span) = (choice.controller, self.span);
        match kind {
            FaultKind::KillController => self.begin(
                json!({ "do": "kill-seat", "which": which, "for_s": span, "power": choice.coin }),
            ),
            FaultKind::LoseDisk => self
                .begin(json!({ "do": "kill-seat", "which": which, "for_s": span, "lose": true })),
            FaultKind::PauseController => {
                self.begin(json!({ "do": "pause-seat", "which": which, "for_s": span }))
            }
            FaultKind::DegradeDisk => {
                let health = *pick_one(&mut self.random, &["full", "stalled", "slow"]);
                let bad = json!({ "do": "disk", "which": which, "health": health, "ms": 200 });
                self.begin_and_end(bad, json!({ "do": "disk", "which": which, "health": "good" }))
            }
            FaultKind::FlipBit => vec![
                at(self.from, json!({ "do": "flip", "which": which })),
                at(self.from + 0.1, json!({ "do": "kill-seat", "which": which, "for_s": span })),
            ],
            // Controllers that stop on request, up to two at once.
            _ => (0..choice.count.min(2))
                .map(|i| {
                    let which = (which + i) % self.scenario.control_plane.machines as u64;
                    at(self.from, json!({ "do": "stop-seat", "which": which, "for_s": span }))
                })
                .collect(),
        }
    }

    fn net_fault(&mut self, kind: FaultKind, choice: &Choice) -> Vec<Value> {
        let (coin, controller) = (choice.coin, format!("seat{}", choice.controller));
        match kind {
            FaultKind::IsolateController => {
                self.partition(json!([controller]), json!(["all"]), coin)
            }
            FaultKind::IsolateQuerier => {
                self.partition(json!([format!("q{}", choice.querier)]), json!(["all"]), coin)
            }
            FaultKind::IsolateZone => {
                self.partition(json!([format!("zone-{}", choice.zone)]), json!(["all"]), coin)
            }
            FaultKind::LoseMessages => {
                let per_mille = 10 + self.random.below(200);
                self.until_healed(json!({ "do": "loss", "per_mille": per_mille }))
            }
            FaultKind::SplitControllersFromQueriers => {
                self.partition(json!(["seats"]), json!(["queriers"]), coin)
            }
            FaultKind::SplitControllers => (0..self.scenario.control_plane.machines)
                .flat_map(|i| self.partition(json!([format!("seat{i}")]), json!(["seats"]), coin))
                .collect(),
            FaultKind::SlowNet => {
                let ms = 5 + self.random.below(60);
                self.until_healed(json!({ "do": "slow-net", "ms": ms }))
            }
            // A connection that fails and heals repeatedly.
            _ => (0..6)
                .map(|i| {
                    let action = match i % 2 {
                        0 => json!({ "do": "cut", "a": [controller], "b": ["all"] }),
                        _ => json!({ "do": "heal" }),
                    };
                    at(self.from + self.span * f64::from(i) / 6.0, action)
                })
                .collect(),
        }
    }

    fn degraded_leafs(&mut self, kind: FaultKind, choice: &Choice) -> Vec<Value> {
        let (service, mode, ms) = (&choice.service, choice.mode, choice.ms);
        match kind {
            FaultKind::DegradeSomeLeafs => self.degraded(json!({ "do": "leafs",
                "service": service, "count": choice.count, "mode": mode, "ms": ms })),
            FaultKind::DegradeService => {
                self.degraded(json!({ "do": "leafs", "service": service, "mode": mode, "ms": ms }))
            }
            FaultKind::DegradeZone => {
                self.degraded(json!({ "do": "leafs", "zone": choice.zone, "mode": mode, "ms": ms }))
            }
            FaultKind::DegradeAllLeafs => {
                let mode = *pick_one(&mut self.random, &["slow", "pauses"]);
                self.degraded(json!({ "do": "leafs", "mode": mode, "ms": ms }))
            }
            _ => {
                let mode = *pick_one(&mut self.random, &["empty", "garbage", "dead", "stale"]);
                let good = json!({ "do": "list", "mode": "good" });
                self.begin_and_end(json!({ "do": "list", "mode": mode }), good)
            }
        }
    }

    fn replaced_leafs(&self, kind: FaultKind, choice: &Choice) -> Vec<Value> {
        let (service, count) = (&choice.service, choice.count);
        let new = json!({ "do": "add-leafs", "service": service, "count": count });
        match kind {
            FaultKind::RestartSomeLeafs => {
                self.begin(json!({ "do": "restart-leafs", "service": service, "count": count }))
            }
            FaultKind::ReplaceLeavingLeafs => self.begin_and_end(
                json!({ "do": "leave-leafs", "service": service, "count": count }),
                new,
            ),
            FaultKind::ReplaceKilledLeafs => {
                let dead = json!({ "do": "kill-leafs", "service": service, "count": count,
                                   "vanish": choice.coin });
                self.begin_and_end(dead, new)
            }
            FaultKind::RestartService => {
                self.begin(json!({ "do": "restart-leafs", "service": service }))
            }
            FaultKind::RestartZone => {
                self.begin(json!({ "do": "restart-leafs", "zone": choice.zone }))
            }
            _ => {
                let reused = json!({ "do": "reuse", "service": service, "count": count,
                                     "by": choice.other_service });
                self.begin_and_end(reused, new)
            }
        }
    }

    fn operator_action(&mut self, kind: FaultKind, choice: &Choice) -> Vec<Value> {
        let count = choice.count;
        match kind {
            FaultKind::DrainZone => {
                let drain = json!({ "do": "drain", "zone": choice.zone });
                self.begin_and_end(drain, json!({ "do": "undrain", "zone": choice.zone }))
            }
            FaultKind::RequestStorm => {
                let gap_ms = 20 + self.random.below(60);
                self.begin(json!({ "do": "storm", "count": 10 * count, "gap_ms": gap_ms }))
            }
            FaultKind::RaceRequests => self.begin(json!({ "do": "race", "count": 4 + 2 * count })),
            _ => self.begin(json!({ "do": "grow", "pools": 100 * count, "bytes": 500 })),
        }
    }

    /// Schedules a rolling restart of all processes; controllers are stopped or killed.
    fn rolling_restart(&self, in_order: bool) -> Vec<Value> {
        let action = if in_order { "stop-seat" } else { "kill-seat" };
        let controllers = (0..self.scenario.control_plane.machines)
            .map(|i| (i as f64 * 2.0, json!({ "do": action, "which": i, "for_s": 0.7 })));
        let queriers = (0..self.scenario.queriers)
            .map(|i| (i as f64 * 0.8, json!({ "do": "stop-querier", "which": i, "for_s": 2.4 })));
        controllers.chain(queriers).map(|(after, action)| at(self.from + after, action)).collect()
    }

    /// Schedules a change to another index version, where the deployment has two.
    pub fn change_index_version(&self) -> Vec<Value> {
        let plan = |index_version: &str| {
            let text = format!(
                "from index = \"notices\" and cut = \"{index_version}\" by shard\nsend wide\nwait 30%\n\
                 stop at quorum after 80%\nprefer local"
            );
            json!({ "do": "patch", "config": { "searches": [{ "name": "browse", "class": "ordinary",
                "promise_ms": 900, "quorum": 0.75, "attempts": 3, "plan": text }] } })
        };
        self.begin_and_end(plan("w49"), plan("w48"))
    }
}
