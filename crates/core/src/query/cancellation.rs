//! Cancels attempts and releases their slots at the leafs.
//!
//! An attempt of a search is cancelled as soon as its reply is no longer needed. An attempt
//! of a forwarded request is cancelled after [`CANCEL_GRACE`], or at once if its caller has
//! disconnected: a cancellation closes the connection, which a leaf that answers within the
//! grace period keeps. An attempt that may run at most once is never cancelled.

use std::collections::VecDeque;

use super::engine::QueryEngine;
use super::event::Command;
use crate::time::{Span, Tick, ms, since};

/// Time for which an abandoned forwarded attempt may continue: longer than a leaf's usual
/// pause of 40 ms, and below the 100 ms within which a leaf's slots must be free again.
const CANCEL_GRACE: Span = ms(80);

/// Time for which a leaf's slot stays occupied after an attempt of a search was cancelled: the
/// leaf sees the close of the connection with a delay, and a request sent on another
/// connection may arrive before it. Far above the jitter between two connections.
const CLOSE_PROPAGATION_DELAY: Span = ms(5);

/// Leaf slots of cancelled attempts that become free once the leaf has seen the connection
/// close, the oldest first.
#[derive(Default)]
pub struct ClosingSlots {
    queue: VecDeque<ClosingSlot>,
}

struct ClosingSlot {
    leaf: String,
    free_at: Tick,
}

impl ClosingSlots {
    /// Returns when the next slot becomes free.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.queue.front().map(|oldest| oldest.free_at)
    }

    fn pop_due(&mut self, now: Tick) -> Option<String> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if is_due { self.queue.pop_front().map(|oldest| oldest.leaf) } else { None }
    }
}

/// Forwarded attempts whose reply is no longer needed, the oldest first.
#[derive(Default)]
pub struct AbandonedAttempts {
    queue: VecDeque<AbandonedAttempt>,
}

struct AbandonedAttempt {
    attempt_id: u64,
    cancel_at: Tick,
}

impl AbandonedAttempts {
    fn push(&mut self, now: Tick, attempt_id: u64) {
        self.queue.push_back(AbandonedAttempt { attempt_id, cancel_at: now + CANCEL_GRACE });
    }

    /// Returns when the next attempt is due to be cancelled.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.queue.front().map(|oldest| oldest.cancel_at)
    }

    fn pop_due(&mut self, now: Tick) -> Option<u64> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if is_due { self.queue.pop_front().map(|oldest| oldest.attempt_id) } else { None }
    }
}

impl QueryEngine {
    /// Releases a leaf's slot after an attempt has ended.
    pub(super) fn release_leaf(&mut self, name: &str) {
        if let Some(leaf) = self.leafs.get_mut(name) {
            leaf.in_flight -= 1;
            if leaf.in_flight == 0 && !self.cluster_view.leafs.contains_key(name) {
                self.leafs.swap_remove(name);
            }
        }
    }

    /// Releases the leaf slots of cancelled attempts whose connections have closed by now, and
    /// returns whether there were any.
    pub(super) fn release_closed(&mut self, now: Tick) -> bool {
        let mut released = false;
        while let Some(leaf) = self.closing.pop_due(now) {
            self.release_leaf(&leaf);
            released = true;
        }
        released
    }

    /// Abandons an attempt whose reply is no longer needed, though its caller may still be
    /// connected.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Tick,
        attempt_id: u64,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        if !attempt.forwarded {
            return self.cancel_attempt(now, attempt_id, commands);
        }
        if !attempt.at_most_once && !attempt.is_abandoned {
            attempt.is_abandoned = true;
            self.abandoned.push(now, attempt_id);
        }
    }

    /// Cancels the abandoned attempts whose grace period has ended.
    pub(super) fn cancel_abandoned(&mut self, now: Tick, commands: &mut Vec<Command>) {
        while let Some(attempt_id) = self.abandoned.pop_due(now) {
            if let Some(attempt) = self.attempts.get(&attempt_id)
                && let Some(leaf) = self.leafs.get_mut(&attempt.leaf)
            {
                let took = since(attempt.sent_at, now);
                if !attempt.is_overtaken && leaf.is_unusually_slow(took) {
                    leaf.record_failure(now);
                }
                leaf.record_unfinished(took);
            }
            self.cancel_attempt(now, attempt_id, commands);
        }
    }

    /// Cancels an attempt. Its slot at the leaf is released at once if it was forwarded, else
    /// after `CLOSE_PROPAGATION_DELAY`.
    fn cancel_attempt(&mut self, now: Tick, attempt_id: u64, commands: &mut Vec<Command>) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_id) else { return };
        if attempt.forwarded {
            self.release_leaf(&attempt.leaf);
        } else {
            let slot = ClosingSlot { leaf: attempt.leaf, free_at: now + CLOSE_PROPAGATION_DELAY };
            self.closing.queue.push_back(slot);
        }
        self.statistics.cancelled += 1;
        commands.push(Command::CancelAttempt { attempt: attempt_id });
    }

    /// Drops the query of a disconnected caller and cancels its attempts, except those that may
    /// run at most once.
    pub(super) fn caller_gone(&mut self, now: Tick, call: u64, commands: &mut Vec<Command>) {
        let id = self.queries.iter().find(|(_, query)| query.call == call).map(|(id, _)| *id);
        let Some(query) = id.and_then(|id| self.queries.swap_remove(&id)) else { return };
        for attempt_id in query.shards.iter().flat_map(|s| &s.in_flight) {
            if !query.route.at_most_once {
                self.cancel_attempt(now, *attempt_id, commands);
            }
        }
    }
}
