//! Checks that leaders know the memberships of earlier leaders. Turns only
//! grow, unless every voter that held the membership has lost its state.

use grebepath_core::identifiers::Term;
use grebepath_core::time::{SECOND, Span, Tick};

use super::{BEGIN, World};

/// Time that a voter may take until it has the membership again: a leader is elected, detects
/// that the voter is a new process, and sends it. After that no other copy is needed.
const TRANSFER_TIME: Span = 2 * SECOND;

/// Observed memberships, and the processes that should hold them.
#[derive(Default)]
pub(super) struct MembershipMemory {
    /// The last turn of the newest leader.
    last_turn: u64,
    /// The term of that leader: a paused leader that resumes in an older term doesn't count.
    last_term: Term,
    /// Since when each controller's process has had a voter slot without interruption, and
    /// the incarnation of that process.
    voting_since: Vec<Option<VotingSince>>,
    /// Leaders that didn't know a membership of an earlier leader.
    pub(super) forgotten: Vec<String>,
}

#[derive(Clone, Copy)]
struct VotingSince {
    incarnation: u64,
    at: Tick,
}

impl World {
    /// Leaders that didn't know a membership of an earlier leader.
    pub fn forgotten_memberships(&self) -> &[String] {
        &self.membership_memory.forgotten
    }

    /// Checks a controller after its step.
    pub(super) fn check_membership_memory(&mut self, controller: usize) {
        self.note_voting(controller);
        let members = &self.controllers[controller].state.members;
        let Some((term, _)) = members.leadership else { return };
        if !members.log.is_inherited() || term < self.membership_memory.last_term {
            return;
        }
        let turn = members.membership.turn;
        if turn < self.membership_memory.last_turn && self.is_held_by_a_voter() {
            let text = format!(
                "{:.3} s: controller {controller} leads with turn {turn}, an earlier leader had turn {}",
                (self.now - BEGIN) as f64 / SECOND as f64,
                self.membership_memory.last_turn,
            );
            self.membership_memory.forgotten.push(text);
        }
        let memory = &mut self.membership_memory;
        memory.last_term = term;
        // A membership that no voter holds any more is not reported again.
        memory.last_turn = turn;
    }

    /// Returns whether a running voter has had time to receive the newest membership.
    fn is_held_by_a_voter(&self) -> bool {
        self.controllers.iter().zip(&self.membership_memory.voting_since).any(|(node, since)| {
            let is_reached = node.up && node.paused <= self.now;
            let knows = since.is_some_and(|since| {
                since.incarnation == node.incarnation && since.at + TRANSFER_TIME <= self.now
            });
            is_reached && knows
        })
    }

    fn note_voting(&mut self, controller: usize) {
        let node = &self.controllers[controller];
        let incarnation = node.incarnation;
        let has_slot = node.has_voter_slot();
        let list = &mut self.membership_memory.voting_since;
        list.resize(list.len().max(controller + 1), None);
        let known = list[controller].filter(|since| since.incarnation == incarnation);
        let now = VotingSince { incarnation, at: self.now };
        list[controller] = has_slot.then(|| known.unwrap_or(now));
    }
}
