//! A rollout as it lies in the configuration's partition: one entry a service.

use nanoserde::{DeBin, SerBin};
use prost::Message;

use crate::config::stored::{Entry, with_prefix};
use crate::protocol::replica::EntryMap;
use crate::rollout::order::RolloutOrder;

/// Key prefix of rollouts; the service's name follows.
const ROLLOUT: &str = "rollout/";
/// Former rollouts of a service that are remembered (count).
const HISTORY_KEPT: usize = 16;

/// How far a rollout is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutPhase {
    /// The old version is in force, and the new one is tried.
    Trial = 0,
    /// The new version is in force; some member may still send to the old one.
    Forward = 1,
    /// The old version is in force; some member may still send to the new one.
    Back = 2,
    /// Final: no member sends to the old version.
    Delivered = 3,
    /// Final: no member sends to the new version.
    Returned = 4,
}

/// How far a trial is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum TrialStep {
    /// A few requests reach the new version, spread over time.
    Steady = 0,
    /// All members send what they have saved, at the same time.
    Surge = 1,
    /// The surge is over; a few requests reach the new version.
    Watch = 2,
}

/// What an operator is told of a rollout.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RolloutState {
    /// It goes on.
    InProgress,
    /// It has ended with the new version in force.
    Delivered,
    /// It has ended with the old version in force.
    Returned,
}

/// Why a rollout turned towards its end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutReason {
    /// It has not turned yet.
    Undecided = 0,
    /// No verdict stood at its term.
    NoVerdict = 1,
    /// An operator ended it.
    Aborted = 2,
    /// The members found the new version good.
    FoundGood = 3,
    /// The members found the new version bad.
    FoundBad = 4,
}

/// The newest rollout of a service, with what came of those before it.
#[derive(Clone, PartialEq, prost::Message, DeBin, SerBin)]
pub struct Rollout {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version to move to.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time within which it is to end, from when it was ordered (ms).
    #[prost(uint64, tag = "3")]
    pub term_ms: u64,
    /// A [`RolloutPhase`].
    #[prost(enumeration = "RolloutPhase", tag = "4")]
    pub phase: i32,
    /// How much of its term had passed when this was written (ms).
    #[prost(uint64, tag = "5")]
    pub elapsed_ms: u64,
    /// Revision of the configuration's partition that its order made: its identity.
    #[prost(uint64, tag = "6")]
    pub ordered_revision: u64,
    /// Term of the leader that took its order.
    #[prost(uint64, tag = "7")]
    pub leader_term: u64,
    /// Revision that last changed its phase.
    #[prost(uint64, tag = "8")]
    pub phase_revision: u64,
    /// The version that the last delivered rollout of the service moved to; empty if there
    /// was none.
    #[prost(string, tag = "9")]
    pub delivered_version: String,
    /// A [`RolloutReason`].
    #[prost(enumeration = "RolloutReason", tag = "10")]
    pub reason: i32,
    /// The rollouts before it, the oldest first.
    #[prost(message, repeated, tag = "11")]
    pub history: Vec<FormerRollout>,
    /// A [`TrialStep`].
    #[prost(enumeration = "TrialStep", tag = "12")]
    pub step: i32,
}

/// What came of a rollout that another one has followed.
#[derive(Clone, PartialEq, prost::Message, DeBin, SerBin)]
pub struct FormerRollout {
    /// The version that it was to move to.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Revision that its order made.
    #[prost(uint64, tag = "2")]
    pub ordered_revision: u64,
    /// A [`RolloutPhase`]: its end.
    #[prost(enumeration = "RolloutPhase", tag = "3")]
    pub phase: i32,
    /// A [`RolloutReason`].
    #[prost(enumeration = "RolloutReason", tag = "4")]
    pub reason: i32,
    /// How much of its term had passed when it ended (ms).
    #[prost(uint64, tag = "5")]
    pub elapsed_ms: u64,
}

impl Rollout {
    /// The rollout that an order starts at a revision, after the one that stood before.
    pub fn start(
        order: &RolloutOrder,
        former: Option<Rollout>,
        leader_term: u64,
        revision: u64,
    ) -> Rollout {
        let delivered_version = former.as_ref().map(|f| f.delivered_version.clone());
        let history = former.map(Rollout::into_history).unwrap_or_default();
        Rollout {
            service: order.service.clone(),
            target: order.target.clone(),
            term_ms: order.term_ms,
            phase: RolloutPhase::Trial as i32,
            elapsed_ms: 0,
            ordered_revision: revision,
            leader_term,
            phase_revision: revision,
            delivered_version: delivered_version.unwrap_or_default(),
            reason: RolloutReason::Undecided as i32,
            history,
            step: TrialStep::Steady as i32,
        }
    }

    /// The history that a rollout which follows this one begins with.
    fn into_history(self) -> Vec<FormerRollout> {
        let Rollout { target, ordered_revision, phase, reason, elapsed_ms, mut history, .. } = self;
        history.push(FormerRollout { target, ordered_revision, phase, reason, elapsed_ms });
        let surplus = history.len().saturating_sub(HISTORY_KEPT);
        history.drain(..surplus);
        history
    }

    /// The same, turned to another phase by the change of this revision.
    pub fn with_phase(
        &self,
        phase: RolloutPhase,
        reason: RolloutReason,
        elapsed_ms: u64,
        revision: u64,
    ) -> Rollout {
        let delivered_version = match phase {
            RolloutPhase::Delivered => self.target.clone(),
            _ => self.delivered_version.clone(),
        };
        Rollout {
            phase: phase as i32,
            reason: reason as i32,
            elapsed_ms,
            phase_revision: revision,
            delivered_version,
            ..self.clone()
        }
    }

    /// The same, at another step of its trial.
    pub fn with_step(&self, step: TrialStep, elapsed_ms: u64) -> Rollout {
        Rollout { step: step as i32, elapsed_ms, ..self.clone() }
    }

    /// What an operator is told of it.
    pub fn state(&self) -> RolloutState {
        match self.phase() {
            RolloutPhase::Trial | RolloutPhase::Forward | RolloutPhase::Back => {
                RolloutState::InProgress
            }
            RolloutPhase::Delivered => RolloutState::Delivered,
            RolloutPhase::Returned => RolloutState::Returned,
        }
    }

    /// Whether members watch the new version.
    pub fn is_monitored(&self) -> bool {
        matches!(self.phase(), RolloutPhase::Trial | RolloutPhase::Forward)
    }

    /// Whether an order asks for just this rollout.
    pub fn is_ordered_by(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.term_ms == order.term_ms
    }

    /// The version in force by this rollout; `None` where that is still the one that the list
    /// named first.
    pub fn version_in_force(&self) -> Option<&str> {
        match self.phase() {
            RolloutPhase::Forward | RolloutPhase::Delivered => Some(&self.target),
            _ => Some(self.delivered_version.as_str()).filter(|version| !version.is_empty()),
        }
    }

    /// The entry that holds it.
    pub fn to_entry(&self) -> Entry {
        (key(&self.service), Some(self.encode_to_vec()))
    }
}

impl RolloutPhase {
    /// Its name, in JSON, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RolloutPhase::Trial => "trial",
            RolloutPhase::Forward => "forward",
            RolloutPhase::Back => "back",
            RolloutPhase::Delivered => "delivered",
            RolloutPhase::Returned => "returned",
        }
    }
}

impl RolloutReason {
    /// Its name, in JSON and logs.
    pub fn name(self) -> &'static str {
        match self {
            RolloutReason::Undecided => "undecided",
            RolloutReason::NoVerdict => "no-verdict",
            RolloutReason::Aborted => "aborted",
            RolloutReason::FoundGood => "found-good",
            RolloutReason::FoundBad => "found-bad",
        }
    }
}

fn key(service: &str) -> String {
    format!("{ROLLOUT}{service}")
}

/// The newest rollout of a service, if there was one.
pub fn rollout_of(entries: &EntryMap, service: &str) -> Option<Rollout> {
    entries.get(&key(service)).and_then(|value| Rollout::decode(value.as_slice()).ok())
}

/// The newest rollout of each service; an entry that can't be read is passed over.
pub fn rollouts_in(entries: &EntryMap) -> impl Iterator<Item = Rollout> {
    with_prefix(entries, ROLLOUT).filter_map(|(_, value)| Rollout::decode(value.as_slice()).ok())
}
