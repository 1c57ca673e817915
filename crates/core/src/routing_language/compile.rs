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
    pub sel: Selector,
    /// The label whose values are the shards' names.
    pub by: String,
    /// Which shards a query is planned for.
    pub send: FanOut,
    /// Share of the time left that a dispatch may use before a retry, in percent.
    pub wait_pct: u64,
    /// Share of the promise after which a quorum is enough, in percent.
    pub stop_pct: u64,
    /// Leafs of the querier's own zone come first.
    pub local: bool,
}

/// What the stages of a plan say, each at most once.
#[derive(Default)]
struct Plan {
    from: Option<(Selector, String)>,
    send: Option<FanOut>,
    wait_pct: Option<u64>,
    stop_pct: Option<u64>,
    local: Option<bool>,
}

impl CompiledPlan {
    /// Compiles the plan that stands at `text_place`; `None` when something is
    /// wrong with it.
    pub fn compile(
        text_place: &str,
        text: &str,
        diagnostics: &mut Diagnostics,
    ) -> Option<CompiledPlan> {
        let before = diagnostics.len();
        let mut plan = Plan::default();
        for Stage { verb, position } in stages(text_place, text, diagnostics) {
            if plan.set(verb) {
                diagnostics.report(position.place(text_place), SyntaxError::DuplicateStage);
            }
        }
        if diagnostics.len() > before {
            return None;
        }
        let start = TextPosition::START.place(text_place);
        if plan.from.is_none() {
            diagnostics.report(start.clone(), SyntaxError::FromMissing);
        }
        if plan.send.is_none() {
            diagnostics.report(start, SyntaxError::SendMissing);
        }
        let ((sel, by), send) = (plan.from?, plan.send?);
        Some(CompiledPlan {
            sel,
            by,
            send,
            wait_pct: plan.wait_pct.unwrap_or(WAIT_DEFAULT_PCT),
            stop_pct: plan.stop_pct.unwrap_or(STOP_DEFAULT_PCT),
            local: plan.local.unwrap_or(true),
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
            Verb::SendWide => self.send.replace(FanOut::AllShards).is_some(),
            Verb::SendOne => self.send.replace(FanOut::ByKey).is_some(),
            Verb::SendWeighed => self.send.replace(FanOut::ByWeight).is_some(),
            Verb::Wait(percent) => self.wait_pct.replace(percent).is_some(),
            Verb::Stop(percent) => self.stop_pct.replace(percent).is_some(),
            Verb::Prefer { local } => self.local.replace(local).is_some(),
        }
    }
}
