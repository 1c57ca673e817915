//! The values that steps of a scenario name: machines, modes of leafs and of the list, health of disks.

use grebepath_core::time::ms;
use serde_json::Value;

use crate::mock_backends::{ListMode, Mode, ZONES};
use crate::net::Node;
use crate::simulated_disk::Health;

/// The machines that a word names.
pub(super) fn nodes(word: &str, queriers: usize, machines: usize) -> Vec<Node> {
    let seats = (0..machines as u8).map(Node::Controller);
    let all = (0..queriers).map(Node::Querier);
    match word {
        "list" => vec![Node::List],
        "seats" => seats.collect(),
        "queriers" => all.collect(),
        "all" => seats.chain(all).chain([Node::List]).collect(),
        _ => {
            if let Some(zone) = word.strip_prefix("zone-") {
                let Some(z) = ZONES.iter().position(|n| *n == zone) else { return Vec::new() };
                let own = (0..queriers).filter(|q| q % 3 == z).map(Node::Querier);
                return seats.skip(z).step_by(ZONES.len()).chain(own).collect();
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

pub(super) fn mode(val: &Value) -> Option<Mode> {
    let span = ms(val["ms"].as_u64().unwrap_or(200));
    Some(match val["mode"].as_str()? {
        "good" => Mode::Good,
        "slow" => Mode::Slow(span),
        "dark" => Mode::Dark,
        "pauses" => Mode::Pauses { every: ms(val["every"].as_u64().unwrap_or(3_000)), pause: span },
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

pub(super) fn list_mode(val: &Value) -> Option<ListMode> {
    Some(match val["mode"].as_str()? {
        "good" => ListMode::Good,
        "empty" => ListMode::Empty,
        "garbage" => ListMode::Garbage,
        "dead" => ListMode::Dead,
        "stale" => ListMode::Stale,
        _ => return None,
    })
}

pub(super) fn health(val: &Value) -> Option<Health> {
    Some(match val["health"].as_str()? {
        "good" => Health::Good,
        "slow" => Health::Slow(ms(val["ms"].as_u64().unwrap_or(100))),
        "full" => Health::Full,
        "stalled" => Health::Stalled,
        _ => return None,
    })
}
