//! Ends attempts: a leaf's slot is free again, an attempt is cancelled.
//!
//! An attempt of a search is cancelled at once when nobody wants its reply any more. One
//! of a forwarded request is given [`CANCEL_GRACE`] first, unless its caller has gone: a
//! leaf that answers in that time keeps its connection, which a cancellation closes. One
//! that may run once only is left to end.

use std::collections::VecDeque;

use super::engine::QueryEngine;
use super::event::Command;
use crate::time::{Span, Tick, ms, since};

/// How long a forwarded attempt whose reply nobody waits for may go on: longer than a
/// leaf's usual pause of 40 ms, and below the 100 ms in which leafs are to be free again.
const CANCEL_GRACE: Span = ms(80);

/// How long a slot of a leaf stays taken after an attempt of a search was cancelled: the
/// leaf reads the close of its connection a moment later, and a request sent meanwhile on
/// another connection may overtake it. Far above the jitter between two connections.
const CLOSE_TRAVEL: Span = ms(5);

/// Slots of leafs that are free again once a close has arrived, the oldest first.
#[derive(Default)]
pub struct ClosingSlots {
    queue: VecDeque<ClosingSlot>,
}

struct ClosingSlot {
    leaf: String,
    free_at: Tick,
}

impl ClosingSlots {
    /// When the next one is free.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.queue.front().map(|oldest| oldest.free_at)
    }

    fn pop_due(&mut self, now: Tick) -> Option<String> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if is_due { self.queue.pop_front().map(|oldest| oldest.leaf) } else { None }
    }
}

/// Forwarded attempts whose reply nobody waits for, the oldest first.
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

    /// When the next one is due to be cancelled.
    pub(super) fn next_due(&self) -> Option<Tick> {
        self.queue.front().map(|oldest| oldest.cancel_at)
    }

    fn pop_due(&mut self, now: Tick) -> Option<u64> {
        let is_due = self.next_due().is_some_and(|at| at <= now);
        if is_due { self.queue.pop_front().map(|oldest| oldest.attempt_id) } else { None }
    }
}

impl QueryEngine {
    /// An attempt has ended: its leaf has a slot more.
    pub(super) fn release_leaf(&mut self, name: &str) {
        if let Some(leaf) = self.leafs.get_mut(name) {
            leaf.in_flight -= 1;
            if leaf.in_flight == 0 && !self.cluster_view.leafs.contains_key(name) {
                self.leafs.swap_remove(name);
            }
        }
    }

    /// Frees the slots of attempts that were cancelled a moment ago; tells whether there
    /// were any.
    pub(super) fn release_closed(&mut self, now: Tick) -> bool {
        let mut has_room = false;
        while let Some(leaf) = self.closing.pop_due(now) {
            self.release_leaf(&leaf);
            has_room = true;
        }
        has_room
    }

    /// Nobody waits for an attempt's reply any more, though its caller may still be there.
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

    /// Cancels the forwarded attempts whose grace is over.
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

    fn cancel_attempt(&mut self, now: Tick, attempt_id: u64, commands: &mut Vec<Command>) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_id) else { return };
        if attempt.forwarded {
            self.release_leaf(&attempt.leaf);
        } else {
            let slot = ClosingSlot { leaf: attempt.leaf, free_at: now + CLOSE_TRAVEL };
            self.closing.queue.push_back(slot);
        }
        self.statistics.cancelled += 1;
        commands.push(Command::CancelAttempt { attempt: attempt_id });
    }

    /// The caller went away: nobody wants the attempts' replies. What may run once only
    /// is left to end all the same.
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
