//! The topology of the scale model: zones, leafs and configuration.

use grebepath_core::identifiers::VoterSlot;
use grebepath_core::random::Random;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{Span, ms};
use serde_json::{Value, json};

/// Zones (count), as in issue 11.
pub const ZONES: usize = 14;
/// Regions that contain the zones (count), as in issue 11.
pub const REGIONS: usize = 5;
/// Leafs that serve the same shard (count): 5,300 leafs over 1,300 shards.
pub const LEAFS_PER_SHARD: usize = 4;
/// Maximum number of shards of a search: a query of issue 11 is sent to 1,300 leafs.
pub const MAX_SHARDS: usize = 1_300;
/// One-way latency within a zone, between zones of a region, and per region of distance: typical
/// values of cloud providers.
const ZONE_LATENCY: Span = 80;
const REGION_LATENCY: Span = 500;
const INTER_REGION_LATENCY: Span = ms(12);
/// Maximum random jitter added to a latency (percent of it).
const JITTER_PCT: u64 = 50;
/// Age that leafs report (ms): the maximum, from which on ages cause no further messages.
pub const MATURE_LEAF_AGE_MS: u64 = grebepath_core::consts::MAX_REPORTED_LEAF_AGE_MS;

/// A size to measure.
#[derive(Clone, Copy)]
pub struct Size {
    /// Queriers (count).
    pub members: usize,
    /// Leafs (count).
    pub leafs: usize,
}

/// Returns the zone of the `n`th node.
pub fn zone(n: usize) -> usize {
    n % ZONES
}

/// Returns the region of a zone.
pub fn region(zone: usize) -> usize {
    zone * REGIONS / ZONES
}

/// Returns the name of a zone.
pub fn name(zone: usize) -> String {
    format!("r{}-z{zone}", region(zone))
}

/// Returns the zone of a voter slot; each slot is in a different region.
pub fn controller_zone(slot: VoterSlot) -> usize {
    usize::from(slot) * ZONES / REGIONS % ZONES + 1
}

/// Returns the address of the controller of a voter slot.
pub fn controller_address(slot: usize) -> String {
    format!("10.100.0.{slot}:9000")
}

/// Draws the one-way latency between two zones.
pub fn one_way_latency(a: usize, b: usize, random: &mut Random) -> Span {
    let gap = region(a).abs_diff(region(b)) as Span;
    let base = match (a == b, gap) {
        (true, _) => ZONE_LATENCY,
        (false, 0) => REGION_LATENCY,
        (false, n) => INTER_REGION_LATENCY * n,
    };
    base + random.below(base * JITTER_PCT / 100)
}

/// Returns the shard of the `n`th leaf.
fn shard(n: usize, leafs: usize) -> usize {
    n % leafs.div_ceil(LEAFS_PER_SHARD).clamp(1, MAX_SHARDS)
}

/// Returns the service name of a shard.
fn service(shard: usize) -> String {
    format!("index-shard-{shard:04}")
}

/// Returns the `n`th leaf as the platform lists it.
pub fn leaf(n: usize, leafs: usize) -> LeafInfo {
    let shard = shard(n, leafs);
    let labels = [("zone", name(zone(n))), ("cut", "w48".into()), ("shard", format!("{shard}"))];
    LeafInfo {
        leaf: format!(
            "index-shard-{shard:04}-{:08x}",
            grebepath_core::random::mix(n as u64) as u32
        ),
        service: service(shard),
        addr: format!("10.{}.{}.{}:8080", n >> 16, (n >> 8) & 255, n & 255),
        labels: labels.into_iter().map(|(k, v)| (k.to_string(), v)).collect(),
        leaving: false,
        age_ms: 0,
        slots: 0,
        cold: false,
    }
}

/// Returns the platform's list of these leafs as JSON.
pub fn list(leafs: &[LeafInfo]) -> String {
    let entry = |l: &LeafInfo| json!({ "leaf": l.leaf, "service": l.service, "addr": l.addr, "labels": l.labels });
    json!({ "leafs": leafs.iter().map(entry).collect::<Vec<_>>() }).to_string()
}

/// Returns the configuration: a wide search over all shards and a lookup in one shard.
pub fn config(leafs: usize) -> Value {
    let shards = leafs.div_ceil(LEAFS_PER_SHARD).clamp(1, MAX_SHARDS);
    let pools: Vec<Value> = (0..shards)
        .map(|s| {
            let labels = json!({ "index": "all", "cut": "w48", "shard": s.to_string() });
            let name = format!("all-w48-{s:04}");
            json!({ "name": name, "service": service(s), "bears": 64, "labels": labels })
        })
        .collect();
    let from = "from index = \"all\" and cut = \"w48\" by shard\n";
    let wide = format!("{from}send wide\nwait 30%\nstop at quorum after 80%\nprefer local");
    let one = format!("{from}send one by key\nwait 30%\nprefer any");
    let zones: Vec<Value> =
        (0..ZONES).map(|z| json!({ "name": name(z), "state": "open" })).collect();
    json!({
        "searches": [
            { "name": "wide", "class": "ordinary", "promise_ms": 400, "quorum": 0.95,
              "attempts": 2, "plan": wide },
            { "name": "one", "class": "lookup", "promise_ms": 400, "quorum": 1.0,
              "attempts": 3, "plan": one },
        ],
        "pools": pools,
        "zones": zones,
    })
}
