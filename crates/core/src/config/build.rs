//! Checks a whole configuration and builds its mappings: which shards each
//! search has, and which services serve them.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::types::{Class, Config, Form, Search, Steer, Terms};
use crate::diagnostic::{Diagnostic, find};
use crate::routing_language::compile::{Policy, Send, compile};
use crate::routing_language::parser::selector;
use crate::routing_language::selector::{Labels, Selector, fits};
use crate::time::{Span, ms};

/// The label that tells which cut of the index a pool or a leaf holds.
pub const CUT: &str = "cut";

/// A search, ready to serve.
///
/// Invariants: `shards` is not empty, its names are in order and each stands
/// once; all its pools hold the cut `cut`; no service stands under two shards.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    pub name: String,
    pub class: Class,
    pub promise: Span,
    /// Thousandths of the planned shards.
    pub quorum: u32,
    pub attempts: u32,
    pub cut: String,
    pub send: Send,
    pub wait_pct: u64,
    pub stop_pct: u64,
    pub local: bool,
    pub shards: Vec<Shard>,
    /// Host and path by which calls come here; empty if by name.
    pub host: String,
    pub path: String,
    pub form: Form,
    pub once: bool,
    /// Time within which an answer has its full worth.
    pub target: Option<Span>,
    pub rank: u32,
    pub width: usize,
    pub top: usize,
    /// Weight of each shard, in their order.
    pub weights: Vec<u64>,
}

/// A shard of a mapping and the pools that hold it.
#[derive(Clone, PartialEq, Debug)]
pub struct Shard {
    pub name: String,
    pub pools: Vec<PoolPlan>,
}

/// A pool, ready to choose leafs from.
#[derive(Clone, PartialEq, Debug)]
pub struct PoolPlan {
    pub name: String,
    pub service: String,
    pub sel: Selector,
    pub bears: u32,
    pub ramp: Span,
    pub steer: Steer,
    /// Most connections that a leaf takes from all nodes; zero if not said.
    pub connections: u32,
    /// Thousandths of a dispatch that a cold leaf bears a second.
    pub cold_rate: u32,
}

/// A checked configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Built {
    pub mappings: IndexMap<String, Route>,
    pub drained: BTreeSet<String>,
    pub terms: Terms,
}

/// The shards of `n` that make the quorum of a mapping.
pub fn needed(quorum: u32, n: usize) -> usize {
    (n * quorum as usize).div_ceil(1000).clamp(1, n.max(1))
}

/// Builds all mappings, or tells everything that is wrong.
pub fn build(conf: &Config) -> Result<Built, Vec<Diagnostic>> {
    let mut all = Vec::new();
    let mut plans: BTreeMap<&str, (PoolPlan, &Labels)> = BTreeMap::new();
    for pool in conf.pools.values() {
        let at = format!("pools[{}].selector", pool.name);
        let Some(sel) = selector(&at, &pool.selector, &mut all) else { continue };
        let plan = PoolPlan {
            name: pool.name.clone(),
            service: pool.service.clone(),
            sel,
            bears: pool.bears.max(1),
            ramp: ms(u64::from(pool.ramp_ms)),
            steer: Steer::try_from(pool.steer).unwrap_or(Steer::Share),
            connections: pool.connections,
            cold_rate: pool.cold_rate,
        };
        plans.insert(&pool.name, (plan, &pool.labels));
    }
    let broken = plans.len() < conf.pools.len();
    let mut mappings = IndexMap::new();
    for s in conf.searches.values() {
        let at = format!("searches[{}]", s.name);
        if s.promise_ms == 0 {
            find(&mut all, format!("{at}.promise_ms"), "must be above zero");
        }
        for need in s.needs.iter().filter(|n| !conf.pools.contains_key(*n)) {
            find(&mut all, format!("{at}.needs"), format!("there is no pool `{need}`"));
        }
        let Some(policy) = compile(&format!("{at}.plan"), &s.plan, &mut all) else { continue };
        // A pool that did not compile would only seem to be missing here.
        if broken {
            continue;
        }
        if let Some(m) = mapping(s, &policy, &plans, &at, &mut all) {
            mappings.insert(s.name.clone(), m);
        }
    }
    let drained = conf.zones.values().filter(|z| z.drained).map(|z| z.name.clone()).collect();
    let mut places: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for s in conf.searches.values().filter(|s| !s.host.is_empty()) {
        if let Some(other) = places.insert((s.host.to_ascii_lowercase(), &s.path), &s.name) {
            let text = format!("`{other}` has the same host and path");
            find(&mut all, format!("searches[{}].path", s.name), text);
        }
    }
    let terms = conf.terms.clone();
    if all.is_empty() { Ok(Built { mappings, drained, terms }) } else { Err(all) }
}

fn mapping(
    s: &Search,
    policy: &Policy,
    plans: &BTreeMap<&str, (PoolPlan, &Labels)>,
    at: &str,
    all: &mut Vec<Diagnostic>,
) -> Option<Route> {
    let plan_at = format!("{at}.plan");
    let mut cuts: BTreeSet<&str> = BTreeSet::new();
    let mut shards: BTreeMap<&str, Vec<PoolPlan>> = BTreeMap::new();
    let mut owner: BTreeMap<&str, &str> = BTreeMap::new();
    let before = all.len();
    for (plan, labels) in plans.values().filter(|(_, l)| fits(&policy.sel, l)) {
        let Some(shard) = labels.get(&policy.by) else {
            let text = format!("pool `{}` is chosen but has no label `{}`", plan.name, policy.by);
            find(all, plan_at.clone(), text);
            continue;
        };
        cuts.insert(labels.get(CUT).map_or("", String::as_str));
        if let Some(other) = owner.insert(&plan.service, shard)
            && other != shard
        {
            let text = format!(
                "service `{}` stands under two shards, `{other}` and `{shard}`",
                plan.service
            );
            find(all, plan_at.clone(), text);
        }
        shards.entry(shard).or_default().push(plan.clone());
    }
    if cuts.len() > 1 {
        let list = cuts.iter().map(|c| format!("`{c}`")).collect::<Vec<_>>().join(", ");
        let text = format!("the chosen pools hold more than one cut: {list}");
        find(all, plan_at.clone(), text);
    }
    if shards.is_empty() && all.len() == before {
        find(all, plan_at, "no pool is chosen: a mapping needs at least one shard");
    }
    let weight = |name: &&str| s.weights.get(*name).map_or(0, |n| u64::from(*n));
    let weights: Vec<u64> = shards.keys().map(weight).collect();
    if policy.send == Send::Weighed && weights.iter().sum::<u64>() == 0 {
        find(all, format!("{at}.weights"), "the weights of the chosen shards add up to nothing");
    }
    if all.len() > before {
        return None;
    }
    Some(Route {
        name: s.name.clone(),
        class: Class::try_from(s.class).unwrap_or(Class::Ordinary),
        promise: ms(s.promise_ms),
        quorum: s.quorum.clamp(1, 1000),
        attempts: s.attempts.max(1),
        cut: cuts.into_iter().next().unwrap_or_default().to_string(),
        send: policy.send,
        wait_pct: policy.wait_pct,
        stop_pct: policy.stop_pct,
        local: policy.local,
        shards: shards
            .into_iter()
            .map(|(name, pools)| Shard { name: name.to_string(), pools })
            .collect(),
        host: s.host.clone(),
        path: s.path.clone(),
        form: Form::try_from(s.form).unwrap_or(Form::Own),
        once: s.once,
        target: (s.target_ms > 0).then(|| ms(s.target_ms)),
        rank: s.rank,
        width: s.width.max(1) as usize,
        top: s.top as usize,
        weights,
    })
}
