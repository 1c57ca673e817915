//! The controller's status as JSON and its metrics for Prometheus.

use std::fmt::Write;
use std::sync::Arc;

use grebepath_core::config::route::RoutingTable;
use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::replication::partition::{Partition, Role};
use grebepath_core::rollout::record::{Rollout, rollouts_in};
use grebepath_core::rollout::versions::VersionsInForce;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::leafs_in;
use grebepath_core::time::{MILLI, Tick, since};
use grebepath_core::voter_set::{NO_SLOT, SlotHolder};
use serde_json::{Value, json};

fn role(p: &Partition) -> &'static str {
    match &p.role {
        _ if p.condition == ReplicaCondition::Damaged => "damaged",
        _ if p.condition == ReplicaCondition::Empty => "empty",
        _ if p.disk_failure.is_some() => "sick",
        Role::Follower { .. } => "follower",
        Role::PreCandidate { .. } => "sounding",
        Role::Candidate(_) => "claiming",
        Role::Leader(o) if o.is_serving => "owner",
        Role::Leader(_) => "owner-to-be",
    }
}

/// Returns the status of this controller's partitions and the voter set as JSON.
pub fn status(state: &ControllerState, zone: &str, now: Tick) -> Value {
    let partitions: Vec<Value> = state
        .partitions
        .iter()
        .map(|p| {
            let owner = match &p.role {
                Role::Leader(_) => Some(state.slot),
                Role::Follower { leader, .. } => leader.map(|known| known.slot),
                _ => None,
            };
            let silent = match &p.role {
                Role::Follower { last_heard, .. } => since(*last_heard, now) / MILLI,
                _ => 0,
            };
            json!({
                "part": p.id.to_string(), "role": role(p), "owner": owner,
                "epoch": p.state.written_term.as_u64(), "promised": p.state.current_term.as_u64(), "revision": p.state.revision,
                "shown": p.committed_revision, "owner_silent_ms": silent, "sick": p.disk_failure,
                "writes_waiting": p.writes.len(),
            })
        })
        .collect();
    let slots: Vec<Value> =
        state.voter_slots.voter_file.voter_set.slots.iter().map(slot_json).collect();
    let own_slot = (state.slot != NO_SLOT).then_some(state.slot);
    json!({
        "seat": own_slot, "zone": zone, "parts": partitions, "seats": slots,
        "uncovered": shards_without_leafs(state),
    })
}

fn slot_json(slot: &SlotHolder) -> Value {
    json!({ "generation": slot.generation, "holder": format!("{:016x}", slot.replica_id), "addr": slot.addr,
            "zone": slot.zone })
}

/// Returns the shards without any leaf that may get new work, as far as this controller knows. A
/// drained zone may have the last leafs of a shard.
fn shards_without_leafs(state: &ControllerState) -> Vec<Value> {
    let config = &state.partitions[0];
    let Ok(conf) = Config::from_entries(&config.committed) else { return Vec::new() };
    let Ok(table) = RoutingTable::build(&conf) else { return Vec::new() };
    let services = || state.partitions[1..].iter().map(|partition| &partition.committed);
    let rollouts: Vec<Rollout> = rollouts_in(&config.committed).collect();
    let versions = VersionsInForce::in_partitions(services(), rollouts.iter());
    let leafs =
        versions.split_leafs(services().flat_map(|map| leafs_in(map).into_values()).collect());
    let view = ClusterView::new(config.committed_revision, Arc::new(table), leafs.in_force);
    let mut out = Vec::new();
    for map in view.routes.values() {
        let unserved: Vec<&str> = map
            .shards
            .iter()
            .filter(|s| {
                s.pools.iter().all(|p| view.open_leafs(p, &map.index_version).next().is_none())
            })
            .map(|s| s.name.as_str())
            .collect();
        if !unserved.is_empty() {
            let have = map.shards.len() - unserved.len();
            let serves = have >= map.required_shards(map.shards.len());
            out.push(json!({ "search": map.name, "shards": unserved, "serves": serves }));
        }
    }
    out
}

/// Returns the metrics in the text format of Prometheus.
pub fn prometheus_text(state: &ControllerState) -> String {
    let mut out = String::new();
    let c = &state.counters;
    let mut count = |name: &str, help: &str, val: u64| {
        let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} counter\n{name} {val}");
    };
    count("grebe_accepted_total", "Operators' changes accepted.", c.accepted);
    count("grebe_not_accepted_total", "Operators' requests not accepted.", c.rejected);
    count("grebe_claims_total", "Claims of parts begun.", c.candidacies);
    count("grebe_owned_total", "Parts that came to be owned.", c.leaderships_won);
    count("grebe_resigned_total", "Ownerships given up.", c.leaderships_lost);
    count("grebe_disk_mended_total", "Times a disk worked again after trouble.", c.disks_recovered);
    count("grebe_rotted_total", "Parts whose files had rotted while we ran.", c.corruptions);
    count("grebe_lacking_total", "Times a replica asked for a whole copy.", c.snapshot_requests);
    count("grebe_news_total", "Messages of news sent to followers.", c.updates_sent);
    count("grebe_fenced_total", "Reports turned away by a fence.", c.fenced_lists);
    let _ = writeln!(out, "# HELP grebe_followers Wires that follow the feed.");
    let _ =
        writeln!(out, "# TYPE grebe_followers gauge\ngrebe_followers {}", state.subscribers.len());
    let _ = writeln!(out, "# HELP grebe_part_revision Committed revision shown, by part.");
    let _ = writeln!(out, "# TYPE grebe_part_revision gauge");
    for p in &state.partitions {
        let _ = writeln!(out, "grebe_part_revision{{part=\"{}\"}} {}", p.id, p.committed_revision);
    }
    let _ = writeln!(out, "# HELP grebe_part_role Role in each part, 1 for the present one.");
    let _ = writeln!(out, "# TYPE grebe_part_role gauge");
    for p in &state.partitions {
        let _ = writeln!(out, "grebe_part_role{{part=\"{}\",role=\"{}\"}} 1", p.id, role(p));
    }
    write_rollouts(&mut out, state);
    out
}

/// Writes the phase of each service's newest rollout, as of this controller's committed revision.
fn write_rollouts(out: &mut String, state: &ControllerState) {
    let _ = writeln!(out, "# HELP grebe_rollout_phase Phase of a service's newest rollout.");
    let _ = writeln!(out, "# TYPE grebe_rollout_phase gauge");
    for rollout in rollouts_in(&state.partitions[0].committed) {
        let Rollout { service, target, .. } = &rollout;
        let phase = rollout.phase().name();
        let _ = writeln!(
            out,
            "grebe_rollout_phase{{service=\"{service}\",version=\"{target}\",phase=\"{phase}\"}} 1"
        );
    }
}
