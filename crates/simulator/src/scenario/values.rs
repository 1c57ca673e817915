//! The values of a scenario's actions: machines, modes of leafs and of the
//! platform's list, health of disks.

use grebepath_core::time::ms;
use serde_json::Value;

use crate::mock_backends::{ListMode, Mode, ZONES};
use crate::net::Node;
use crate::simulated_disk::Health;

/// The numbers of machines.
#[derive(Clone, Copy)]
pub(super) struct MachineCounts {
    pub controllers: usize,
    pub queriers: usize,
}

impl MachineCounts {
    /// Returns the machines that a word names; none if the word is unknown.
    pub fn nodes_named(self, word: &str) -> Vec<Node> {
        let controllers = (0..self.controllers as u8).map(Node::Controller);
        let queriers = (0..self.queriers).map(Node::Querier);
        match word {
            "list" => return vec![Node::List],
            "seats" => return controllers.collect(),
            "queriers" => return queriers.collect(),
            "all" => return controllers.chain(queriers).chain([Node::List]).collect(),
            _ => {}
        }
        if let Some(zone) = word.strip_prefix("zone-") {
            let Some(index) = ZONES.iter().position(|name| *name == zone) else {
                return Vec::new();
            };
            let stride = ZONES.len();
            return controllers
                .skip(index)
                .step_by(stride)
                .chain(queriers.skip(index).step_by(stride))
                .collect();
        }
        if let Some(number) = word.strip_prefix("seat").and_then(|n| n.parse::<u8>().ok()) {
            return controllers.filter(|node| *node == Node::Controller(number)).collect();
        }
        match word.strip_prefix('q').and_then(|n| n.parse::<usize>().ok()) {
            Some(number) => queriers.filter(|node| *node == Node::Querier(number)).collect(),
            None => Vec::new(),
        }
    }
}

/// Reads the mode of leafs.
pub(super) fn leaf_mode(value: &Value) -> Option<Mode> {
    let span = ms(value["ms"].as_u64().unwrap_or(200));
    Some(match value["mode"].as_str()? {
        "good" => Mode::Good,
        "slow" => Mode::Slow(span),
        "dark" => Mode::Dark,
        "pauses" => {
            Mode::Pauses { every: ms(value["every"].as_u64().unwrap_or(3_000)), pause: span }
        }
        "garbage" => Mode::Garbage,
        "disorder" => Mode::Disorder,
        "no-postmark" => Mode::NoPostmark,
        "two-postmarks" => Mode::TwoPostmarks,
        "stale-postmark" => Mode::StalePostmark,
        "wrong-cut" => Mode::WrongIndexVersion,
        "unrun" => Mode::Unrun,
        _ => return None,
    })
}

/// Reads the mode of the platform's list.
pub(super) fn list_mode(value: &Value) -> Option<ListMode> {
    Some(match value["mode"].as_str()? {
        "good" => ListMode::Good,
        "empty" => ListMode::Empty,
        "garbage" => ListMode::Garbage,
        "dead" => ListMode::Dead,
        "stale" => ListMode::Stale,
        _ => return None,
    })
}

/// Reads the health of a disk.
pub(super) fn disk_health(value: &Value) -> Option<Health> {
    Some(match value["health"].as_str()? {
        "good" => Health::Good,
        "slow" => Health::Slow(ms(value["ms"].as_u64().unwrap_or(100))),
        "full" => Health::Full,
        "stalled" => Health::Stalled,
        _ => return None,
    })
}
