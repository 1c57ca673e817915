//! Stages to a plain policy: defaults filled in, contradictions reported.

use super::lexer::TextPosition;
use super::parser::{Stage, Verb, stages};
use super::selector::Selector;
use super::syntax_error::SyntaxError;
use crate::diagnostic::Diagnostics;

/// Share of the time left that a dispatch may use before a retry, in percent,
/// if the plan does not say.
const WAIT_DEFAULT_PCT: u64 = 40;
/// Share of the promise after which a quorum is enough, in percent, if the
/// plan does not say.
const STOP_DEFAULT_PCT: u64 = 80;

/// Which shards a query is planned for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FanOut {
    /// Every shard of the index version.
    AllShards,
    /// The one shard that the caller's key falls on.
    ByKey,
    /// One shard, drawn by the search's weights.
    ByWeight,
}

/// A compiled plan, before its pools are looked up.
#[derive(Clone, PartialEq, Debug)]
pub struct CompiledPlan {
    /// Chooses the pools of the route by their labels.
    pub selector: Selector,
    /// The label whose values are the shards' names.
    pub shard_label: String,
    /// Which shards a query is planned for.
    pub fan_out: FanOut,
    /// Share of the time left that a dispatch may use before a retry, in percent.
    pub hedge_after_pct: u64,
    /// Share of the promise after which a quorum is enough, in percent.
    pub quorum_after_pct: u64,
    /// Leafs of the querier's own zone come first.
    pub prefer_local: bool,
}

/// What the stages of a plan say, each at most once.
#[derive(Default)]
struct Plan {
    from: Option<(Selector, String)>,
    fan_out: Option<FanOut>,
    hedge_after_pct: Option<u64>,
    quorum_after_pct: Option<u64>,
    prefer_local: Option<bool>,
}

impl CompiledPlan {
    /// Compiles the plan that stands at `text_location`; `None` when something is
    /// wrong with it.
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
            hedge_after_pct: plan.hedge_after_pct.unwrap_or(WAIT_DEFAULT_PCT),
            quorum_after_pct: plan.quorum_after_pct.unwrap_or(STOP_DEFAULT_PCT),
            prefer_local: plan.prefer_local.unwrap_or(true),
        })
    }
}

impl Plan {
    /// Takes what a stage says; true if another stage has said it before.
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
