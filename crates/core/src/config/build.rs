//! Validates a configuration and builds its routes.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::consistency_error::ConsistencyError;
use super::route::{CompiledPool, INDEX_VERSION_LABEL, Route, RouteShard, RoutingTable};
use super::types::{BalancingMode, Config, PoolConfig, PriorityClass, SearchConfig, ServingMode};
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::routing_language::compile::{CompiledPlan, FanOut};
use crate::routing_language::selector::{Labels, Selector};
use crate::time::ms;

/// The pools whose selectors compiled, by name.
type LabelledPools<'a> = BTreeMap<&'a str, LabelledPool<'a>>;

/// A compiled pool and the labels by which plans select it.
struct LabelledPool<'a> {
    pool: CompiledPool,
    labels: &'a Labels,
}

/// The pools that a plan selects, by shard, and the index versions that they hold.
#[derive(Default)]
struct ChosenPools<'a> {
    shards: BTreeMap<&'a str, Vec<CompiledPool>>,
    index_versions: BTreeSet<&'a str>,
}

impl RoutingTable {
    /// Builds all routes, or returns every problem found.
    pub fn build(conf: &Config) -> Result<RoutingTable, Vec<Diagnostic>> {
        let mut diagnostics = Diagnostics::new();
        let pools = compile_pools(conf, &mut diagnostics);
        let all_compiled = pools.len() == conf.pools.len();
        let mut routes = IndexMap::new();
        for search in conf.searches.values() {
            let Some(compiled_plan) = check_search(search, conf, &mut diagnostics) else {
                continue;
            };
            // With a pool that failed to compile, plans would be reported as selecting too few
            // pools.
            if !all_compiled {
                continue;
            }
            if let Some(route) = build_route(search, &compiled_plan, &pools, &mut diagnostics) {
                routes.insert(search.name.clone(), route);
            }
        }
        check_host_paths(conf, &mut diagnostics);
        let drained = conf.zones.values().filter(|zone| zone.drained);
        let drained = drained.map(|zone| zone.name.clone()).collect();
        diagnostics.into_result(RoutingTable {
            routes,
            drained,
            client_limits: conf.client_limits.clone(),
        })
    }
}

/// The location of a search's plan in the configuration.
fn plan_location(search: &SearchConfig) -> String {
    format!("searches[{}].plan", search.name)
}

fn compile_pools<'a>(conf: &'a Config, diagnostics: &mut Diagnostics) -> LabelledPools<'a> {
    let mut pools = BTreeMap::new();
    for pool in conf.pools.values() {
        let location = format!("pools[{}].selector", pool.name);
        let Some(selector) = Selector::parse(&location, &pool.selector, diagnostics) else {
            continue;
        };
        let compiled = compile_pool(pool, selector);
        pools.insert(pool.name.as_str(), LabelledPool { pool: compiled, labels: &pool.labels });
    }
    pools
}

fn compile_pool(pool: &PoolConfig, selector: Selector) -> CompiledPool {
    CompiledPool {
        name: pool.name.clone(),
        service: pool.service.clone(),
        selector,
        leaf_capacity: pool.leaf_capacity.max(1),
        slow_start: ms(u64::from(pool.slow_start_ms)),
        balancing: BalancingMode::try_from(pool.balancing).unwrap_or(BalancingMode::Partitioned),
        connections: pool.connections,
        cold_leaf_rate_milli: pool.cold_leaf_rate_milli,
    }
}

/// Validates a search without its pools, and compiles its plan.
fn check_search(
    search: &SearchConfig,
    conf: &Config,
    diagnostics: &mut Diagnostics,
) -> Option<CompiledPlan> {
    let name = &search.name;
    if search.timeout_ms == 0 {
        let location = format!("searches[{name}].promise_ms");
        diagnostics.report(location, ConsistencyError::ZeroTimeout);
    }
    for pool in search.required_pools.iter().filter(|pool| !conf.pools.contains_key(*pool)) {
        let error = ConsistencyError::UnknownPool { pool: pool.clone() };
        diagnostics.report(format!("searches[{name}].needs"), error);
    }
    CompiledPlan::compile(&plan_location(search), &search.plan, diagnostics)
}

/// Reports searches that share a host and path.
fn check_host_paths(conf: &Config, diagnostics: &mut Diagnostics) {
    let mut searches: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for search in conf.searches.values().filter(|search| !search.host.is_empty()) {
        let host_and_path = (search.host.to_ascii_lowercase(), search.path.as_str());
        if let Some(other) = searches.insert(host_and_path, &search.name) {
            let error = ConsistencyError::SameHostAndPath { other: other.to_string() };
            diagnostics.report(format!("searches[{}].path", search.name), error);
        }
    }
}

/// Looks up the pools that a search's plan selects and builds its route if they are
/// consistent.
fn build_route(
    search: &SearchConfig,
    compiled_plan: &CompiledPlan,
    pools: &LabelledPools,
    diagnostics: &mut Diagnostics,
) -> Option<Route> {
    let before = diagnostics.len();
    let location = plan_location(search);
    let chosen = choose_pools(compiled_plan, pools, &location, diagnostics);
    if chosen.index_versions.len() > 1 {
        let versions = chosen.index_versions.iter().map(|version| version.to_string()).collect();
        diagnostics.report(location.clone(), ConsistencyError::SeveralIndexVersions { versions });
    }
    if chosen.shards.is_empty() && diagnostics.len() == before {
        diagnostics.report(location, ConsistencyError::NoPoolChosen);
    }
    let weight = |name: &&str| search.weights.get(*name).map_or(0, |weight| u64::from(*weight));
    let weights: Vec<u64> = chosen.shards.keys().map(weight).collect();
    if compiled_plan.fan_out == FanOut::ByWeight && weights.iter().sum::<u64>() == 0 {
        let location = format!("searches[{}].weights", search.name);
        diagnostics.report(location, ConsistencyError::NoWeight);
    }
    (diagnostics.len() == before).then(|| route(search, compiled_plan, chosen, weights))
}

/// Selects the pools of a plan and groups them by the shard that each holds.
fn choose_pools<'a>(
    compiled_plan: &CompiledPlan,
    pools: &'a LabelledPools,
    location: &str,
    diagnostics: &mut Diagnostics,
) -> ChosenPools<'a> {
    let mut chosen = ChosenPools::default();
    let mut shard_of_service: BTreeMap<&str, &str> = BTreeMap::new();
    for pool in pools.values().filter(|pool| compiled_plan.selector.matches(pool.labels)) {
        let compiled = &pool.pool;
        let Some(shard) = pool.labels.get(&compiled_plan.shard_label) else {
            let (pool, label) = (compiled.name.clone(), compiled_plan.shard_label.clone());
            diagnostics.report(location, ConsistencyError::ShardLabelMissing { pool, label });
            continue;
        };
        chosen
            .index_versions
            .insert(pool.labels.get(INDEX_VERSION_LABEL).map_or("", String::as_str));
        if let Some(first) = shard_of_service.insert(&compiled.service, shard)
            && first != shard
        {
            let (service, first, second) =
                (compiled.service.clone(), first.to_string(), shard.clone());
            let error = ConsistencyError::ServiceInTwoShards { service, first, second };
            diagnostics.report(location, error);
        }
        chosen.shards.entry(shard).or_default().push(compiled.clone());
    }
    chosen
}

fn route(
    search: &SearchConfig,
    compiled_plan: &CompiledPlan,
    chosen: ChosenPools,
    weights: Vec<u64>,
) -> Route {
    let shard = |(name, pools): (&str, _)| RouteShard { name: name.to_string(), pools };
    Route {
        name: search.name.clone(),
        priority_class: PriorityClass::try_from(search.class).unwrap_or(PriorityClass::Ordinary),
        timeout: ms(search.timeout_ms),
        quorum: search.quorum.clamp(1, 1000),
        attempts: search.attempts.max(1),
        index_version: chosen.index_versions.into_iter().next().unwrap_or_default().to_string(),
        fan_out: compiled_plan.fan_out,
        hedge_after_pct: compiled_plan.hedge_after_pct,
        quorum_after_pct: compiled_plan.quorum_after_pct,
        prefer_local: compiled_plan.prefer_local,
        shards: chosen.shards.into_iter().map(shard).collect(),
        host: search.host.clone(),
        path: search.path.clone(),
        serving_mode: ServingMode::try_from(search.serving_mode).unwrap_or(ServingMode::Native),
        at_most_once: search.at_most_once,
        latency_target: (search.latency_target_ms > 0).then(|| ms(search.latency_target_ms)),
        rank_in_class: search.rank,
        record_bytes: search.record_bytes.max(1) as usize,
        max_records: search.max_records as usize,
        weights,
    }
}
