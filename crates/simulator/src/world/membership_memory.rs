//! Judges whether leaders know of the memberships that leaders before them had. Turns only
//! grow, unless every voter that remembered them has lost its memory.

use grebepath_core::identifiers::Term;
use grebepath_core::time::{SECOND, Span, Tick};

use super::{BEGIN, World};

/// How long a voter may take until it has the membership again: a leader is elected, finds
/// that the voter is a new process, and sends it. Nobody else need remember it by then.
const MEMORY_AFTER: Span = 2 * SECOND;

/// What was seen of memberships, and of the processes that should remember them.
#[derive(Default)]
pub(super) struct MembershipMemory {
    /// The turn that the newest leader had last.
    last_turn: u64,
    /// The term of that leader: one that wakes in an older term does not count.
    last_term: Term,
    /// Since when each controller's process has had a voter slot without a break, and
    /// which of its lives that is.
    voting_since: Vec<Option<VotingSince>>,
    /// Leaders that did not know of a membership that one before them had.
    pub(super) forgotten: Vec<String>,
}

#[derive(Clone, Copy)]
struct VotingSince {
    life: u64,
    at: Tick,
}

impl World {
    /// Leaders that did not know of a membership that one before them had.
    pub fn forgotten_memberships(&self) -> &[String] {
        &self.membership_memory.forgotten
    }

    /// Looks at a controller that has just taken a step.
    pub(super) fn check_membership_memory(&mut self, controller: usize) {
        self.note_voting(controller);
        let members = &self.controllers[controller].state.members;
        let Some((term, _)) = members.leadership else { return };
        if !members.log.is_inherited() || term < self.membership_memory.last_term {
            return;
        }
        let turn = members.membership.turn;
        if turn < self.membership_memory.last_turn && self.is_remembered_somewhere() {
            let text = format!(
                "{:.3} s: controller {controller} leads with turn {turn}, another one had turn {}",
                (self.now - BEGIN) as f64 / SECOND as f64,
                self.membership_memory.last_turn,
            );
            self.membership_memory.forgotten.push(text);
        }
        let memory = &mut self.membership_memory;
        memory.last_term = term;
        // What is lost with all memory of it is not asked for again.
        memory.last_turn = turn;
    }

    /// Whether a running voter has had the time to learn the newest membership.
    fn is_remembered_somewhere(&self) -> bool {
        self.controllers.iter().zip(&self.membership_memory.voting_since).any(|(node, since)| {
            let is_reached = node.up && node.paused <= self.now;
            let knows = since.is_some_and(|since| {
                since.life == node.life && since.at + MEMORY_AFTER <= self.now
            });
            is_reached && knows
        })
    }

    fn note_voting(&mut self, controller: usize) {
        let node = &self.controllers[controller];
        let life = node.life;
        let has_slot = node.has_voter_slot();
        let list = &mut self.membership_memory.voting_since;
        list.resize(list.len().max(controller + 1), None);
        let known = list[controller].filter(|since| since.life == life);
        let now = VotingSince { life, at: self.now };
        list[controller] = has_slot.then(|| known.unwrap_or(now));
    }
}
