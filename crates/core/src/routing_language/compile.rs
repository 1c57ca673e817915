//! Compiles the stages of a plan: applies defaults and reports inconsistencies.

use super::lexer::TextPosition;
use super::parser::{Stage, Verb, stages};
use super::selector::Selector;
use super::syntax_error::SyntaxError;
use crate::diagnostic::Diagnostics;

/// Default share of the remaining time after which an unanswered attempt is hedged, in percent.
const DEFAULT_HEDGE_AFTER_PCT: u64 = 40;
/// Default share of the timeout after which a quorum of the shards suffices, in percent.
const DEFAULT_QUORUM_AFTER_PCT: u64 = 80;

/// The shards that a query is sent to.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FanOut {
    /// Every shard of the index version.
    AllShards,
    /// The shard that the caller's key maps to.
    ByKey,
    /// One shard, selected at random by the search's weights.
    ByWeight,
}

/// A compiled plan whose pools are not resolved yet.
#[derive(Clone, PartialEq, Debug)]
pub struct CompiledPlan {
    /// Selects the pools of the route by their labels.
    pub selector: Selector,
    /// The label whose values are the shards' names.
    pub shard_label: String,
    /// The shards that a query is sent to.
    pub fan_out: FanOut,
    /// Share of the remaining time after which an unanswered attempt is hedged, in percent.
    pub hedge_after_pct: u64,
    /// Share of the timeout after which a quorum of the shards suffices, in percent.
    pub quorum_after_pct: u64,
    /// Whether leafs in the querier's zone are preferred.
    pub prefer_local: bool,
}

/// The stages of a plan, each at most once.
#[derive(Default)]
struct Plan {
    from: Option<(Selector, String)>,
    fan_out: Option<FanOut>,
    hedge_after_pct: Option<u64>,
    quorum_after_pct: Option<u64>,
    prefer_local: Option<bool>,
}

impl CompiledPlan {
    /// Compiles the plan at `text_location`. Reports its errors and returns `None` if there are
    /// any.
    pub fn compile(
        text_location: &str,
        text: &str,
        diagnostics: &mut Diagnostics,
    ) -> Option<CompiledPlan> {
        let before = diagnostics.len();
        let mut plan = Plan::default();
        for Stage { verb, position } in stages(text_location, text, diagnostics) {
            if plan.set(verb) {
                diagnostics.report(position.location(text_location), SyntaxError::DuplicateStage);
            }
        }
        if diagnostics.len() > before {
            return None;
        }
        let start = TextPosition::START.location(text_location);
        if plan.from.is_none() {
            diagnostics.report(start.clone(), SyntaxError::FromMissing);
        }
        if plan.fan_out.is_none() {
            diagnostics.report(start, SyntaxError::SendMissing);
        }
        let ((selector, shard_label), fan_out) = (plan.from?, plan.fan_out?);
        Some(CompiledPlan {
            selector,
            shard_label,
            fan_out,
            hedge_after_pct: plan.hedge_after_pct.unwrap_or(DEFAULT_HEDGE_AFTER_PCT),
            quorum_after_pct: plan.quorum_after_pct.unwrap_or(DEFAULT_QUORUM_AFTER_PCT),
            prefer_local: plan.prefer_local.unwrap_or(true),
        })
    }
}

impl Plan {
    /// Adds a stage; returns true if there was an equivalent stage before.
    fn set(&mut self, verb: Verb) -> bool {
        match verb {
            Verb::From { selector, shard_label } => {
                self.from.replace((selector, shard_label)).is_some()
            }
            Verb::SendAll => self.fan_out.replace(FanOut::AllShards).is_some(),
            Verb::SendByKey => self.fan_out.replace(FanOut::ByKey).is_some(),
            Verb::SendByWeight => self.fan_out.replace(FanOut::ByWeight).is_some(),
            Verb::Wait(percent) => self.hedge_after_pct.replace(percent).is_some(),
            Verb::Stop(percent) => self.quorum_after_pct.replace(percent).is_some(),
            Verb::Prefer { prefer_local } => self.prefer_local.replace(prefer_local).is_some(),
        }
    }
}
