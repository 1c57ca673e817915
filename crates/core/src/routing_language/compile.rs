//! Stages to a plain policy: defaults filled in, contradictions found.

use crate::diagnostic::{Diagnostic, find};
use crate::routing_language::lexer::place;
use crate::routing_language::parser::{Verb, stages};
use crate::routing_language::selector::Selector;

/// Which shards a query is planned for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Send {
    /// Every shard of the cut.
    Wide,
    /// The one shard that the caller's key falls on.
    One,
    /// One shard, drawn by the search's weights.
    Weighed,
}

/// A compiled plan, before its pools are looked up.
#[derive(Clone, PartialEq, Debug)]
pub struct Policy {
    /// Chooses the pools of the mapping by their labels.
    pub sel: Selector,
    /// The label whose values are the shards' names.
    pub by: String,
    pub send: Send,
    /// Share of the time left that a dispatch may use before a second try.
    pub wait_pct: u64,
    /// Share of the promise after which quorum is enough.
    pub stop_pct: u64,
    pub local: bool,
}

/// Compiles a plan; `None` when it has findings.
pub fn compile(at: &str, text: &str, all: &mut Vec<Diagnostic>) -> Option<Policy> {
    let before = all.len();
    let list = stages(at, text, all);
    let (mut from, mut send, mut wait, mut stop, mut local) = (None, None, None, None, None);
    for s in list {
        let spot = place(at, s.line, s.col);
        let twice = match s.verb {
            Verb::From { sel, by } => from.replace((sel, by)).is_some(),
            Verb::SendWide => send.replace(Send::Wide).is_some(),
            Verb::SendOne => send.replace(Send::One).is_some(),
            Verb::SendWeighed => send.replace(Send::Weighed).is_some(),
            Verb::Wait(n) => wait.replace(n).is_some(),
            Verb::Stop(n) => stop.replace(n).is_some(),
            Verb::Prefer { local: l } => local.replace(l).is_some(),
        };
        if twice {
            find(all, spot, "this stage stands twice");
        }
    }
    if all.len() > before {
        return None;
    }
    if from.is_none() {
        find(all, place(at, 1, 1), "a plan needs a stage `from <selector> by <label>`");
    }
    if send.is_none() {
        find(all, place(at, 1, 1), "a plan needs a stage `send wide` or `send one by key`");
    }
    let ((sel, by), send) = (from?, send?);
    Some(Policy {
        sel,
        by,
        send,
        wait_pct: wait.unwrap_or(40),
        stop_pct: stop.unwrap_or(80),
        local: local.unwrap_or(true),
    })
}
