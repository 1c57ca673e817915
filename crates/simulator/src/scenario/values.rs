//! The values that steps of a scenario name: machines, modes of leafs and of the list, health of disks.

use grebepath_core::time::ms;
use serde_json::Value;

use crate::mock_backends::{ListMode, Mode, ZONES};
use crate::net::Node;
use crate::simulated_disk::Health;

/// The machines that a word names.
pub(super) fn named_nodes(word: &str, queriers: usize, machines: usize) -> Vec<Node> {
    let controllers = (0..machines as u8).map(Node::Controller);
    let queriers_named = (0..queriers).map(Node::Querier);
    match word {
        "list" => vec![Node::List],
        "seats" => controllers.collect(),
        "queriers" => queriers_named.collect(),
        "all" => controllers.chain(queriers_named).chain([Node::List]).collect(),
        _ => {
            if let Some(zone) = word.strip_prefix("zone-") {
                let Some(index) = ZONES.iter().position(|n| *n == zone) else { return Vec::new() };
                let own = (0..queriers).filter(|querier| querier % 3 == index).map(Node::Querier);
                return controllers.skip(index).step_by(ZONES.len()).chain(own).collect();
            }
            if let Some(n) = word.strip_prefix("seat").and_then(|n| n.parse::<u8>().ok()) {
                let known = usize::from(n) < machines;
                return if known { vec![Node::Controller(n)] } else { Vec::new() };
            }
            match word.strip_prefix('q').and_then(|n| n.parse::<usize>().ok()) {
                Some(n) if n < queriers => vec![Node::Querier(n)],
                _ => Vec::new(),
            }
        }
    }
}

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
        "wrong-cut" => Mode::WrongCut,
        "unrun" => Mode::Unrun,
        _ => return None,
    })
}

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

pub(super) fn disk_health(value: &Value) -> Option<Health> {
    Some(match value["health"].as_str()? {
        "good" => Health::Good,
        "slow" => Health::Slow(ms(value["ms"].as_u64().unwrap_or(100))),
        "full" => Health::Full,
        "stalled" => Health::Stalled,
        _ => return None,
    })
}
