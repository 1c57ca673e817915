//! Cold leafs bear so many dispatches a second from all nodes together: a hard
//! sum, kept by giving each cold leaf to one keeper, who sends it no more than
//! that. All others send it nothing while it is cold. Nodes that disagree for a
//! moment on who there is are what the rule's slack is for.

use crate::consts;
use crate::digest::pair;
use crate::query::connection_subset::ConnectingThread;
use crate::query::leaf::LeafState;
use crate::time::{SECOND, Tick, since};

impl LeafState {
    /// Whether the thread `mine` is the keeper of a leaf. With nobody else known
    /// nobody is: a whole fleet that has just started must not send it everything.
    pub fn is_warmed_up_by(&self, peers: &[ConnectingThread], mine: u64) -> bool {
        let best = peers.iter().max_by_key(|p| (pair(self.hash, p.thread_id), p.thread_id));
        best.is_some_and(|p| p.thread_id == mine)
    }

    /// What the keeper has saved up for a cold leaf by now, in thousandths.
    pub fn slow_start_allowance(&self, rate: u64, now: Tick) -> u64 {
        let earned = since(self.slow_start_credit_at, now) * rate / SECOND;
        (self.slow_start_credit + earned).min(rate.clamp(1_000, consts::COLD_BURST))
    }

    /// A dispatch goes to a cold leaf.
    pub fn spend_slow_start_credit(&mut self, rate: u64, now: Tick) {
        self.slow_start_credit = self.slow_start_allowance(rate, now).saturating_sub(1_000);
        self.slow_start_credit_at = now;
    }
}
