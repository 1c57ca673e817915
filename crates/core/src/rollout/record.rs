//! The stored state of rollouts: one entry per service in the configuration's partition.

use nanoserde::{DeBin, SerBin};
use prost::Message;

use crate::config::stored::{Entry, with_prefix};
use crate::protocol::replica::EntryMap;
use crate::rollout::order::RolloutOrder;

/// Key prefix of rollouts, followed by the service's name.
const ROLLOUT_KEY_PREFIX: &str = "rollout/";
/// Maximum number of former rollouts of a service that are kept.
const MAX_HISTORY: usize = 16;

/// Phase of a rollout.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutPhase {
    /// The old version is in force and the new one is under trial.
    Trial = 0,
    /// The new version is in force; some members may still send to the old one.
    Forward = 1,
    /// The rollout is being rolled back: the old version is in force; some members may still
    /// send to the new one.
    Back = 2,
    /// Final: the new version is in force and no member sends to the old one.
    Delivered = 3,
    /// Final: the rollout was rolled back and no member sends to the new version.
    Returned = 4,
}

/// Step of a trial.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum TrialStep {
    /// A small share of requests reaches the new version, spread over time.
    Steady = 0,
    /// All members spend their saved request credit at the same time.
    Surge = 1,
    /// The surge is over; a small share of requests reaches the new version.
    Watch = 2,
}

/// State of a rollout as shown to operators.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RolloutState {
    /// The rollout has not ended yet.
    InProgress,
    /// The rollout ended with the new version in force.
    Delivered,
    /// The rollout ended with the old version in force.
    Returned,
}

/// Why a rollout left its trial phase.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutReason {
    /// The rollout is still in its trial phase.
    Undecided = 0,
    /// The time limit was reached without a verdict.
    NoVerdict = 1,
    /// An operator aborted the rollout.
    Aborted = 2,
    /// The members' evidence shows that the new version is good.
    FoundGood = 3,
    /// The members' evidence shows that the new version is bad.
    FoundBad = 4,
}

/// The latest rollout of a service, with the history of earlier ones.
#[derive(Clone, PartialEq, prost::Message, DeBin, SerBin)]
pub struct Rollout {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version to move to.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time limit for the rollout, counted from its order (ms).
    #[prost(uint64, tag = "3")]
    pub time_limit_ms: u64,
    /// A [`RolloutPhase`].
    #[prost(enumeration = "RolloutPhase", tag = "4")]
    pub phase: i32,
    /// Time since the order, as of the last write of this entry (ms).
    #[prost(uint64, tag = "5")]
    pub elapsed_ms: u64,
    /// Revision of the configuration's partition that its order created, which identifies the
    /// rollout.
    #[prost(uint64, tag = "6")]
    pub ordered_revision: u64,
    /// Term of the leader that accepted the order.
    #[prost(uint64, tag = "7")]
    pub leader_term: u64,
    /// Revision at which the phase last changed.
    #[prost(uint64, tag = "8")]
    pub phase_revision: u64,
    /// Target of the last delivered rollout of the service; empty if there was none.
    #[prost(string, tag = "9")]
    pub delivered_version: String,
    /// A [`RolloutReason`].
    #[prost(enumeration = "RolloutReason", tag = "10")]
    pub reason: i32,
    /// Earlier rollouts of the service, the oldest first.
    #[prost(message, repeated, tag = "11")]
    pub history: Vec<FormerRollout>,
    /// A [`TrialStep`].
    #[prost(enumeration = "TrialStep", tag = "12")]
    pub step: i32,
}

/// The result of a rollout that was followed by another one.
#[derive(Clone, PartialEq, prost::Message, DeBin, SerBin)]
pub struct FormerRollout {
    /// The version to move to.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Revision that its order created.
    #[prost(uint64, tag = "2")]
    pub ordered_revision: u64,
    /// The final [`RolloutPhase`].
    #[prost(enumeration = "RolloutPhase", tag = "3")]
    pub phase: i32,
    /// A [`RolloutReason`].
    #[prost(enumeration = "RolloutReason", tag = "4")]
    pub reason: i32,
    /// Time from the order to the end (ms).
    #[prost(uint64, tag = "5")]
    pub elapsed_ms: u64,
}

impl Rollout {
    /// Returns the rollout that an order starts at a revision. `former` is the service's previous
    /// rollout.
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
            time_limit_ms: order.time_limit_ms,
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

    /// Returns the initial history of the rollout that follows this one.
    fn into_history(self) -> Vec<FormerRollout> {
        let Rollout { target, ordered_revision, phase, reason, elapsed_ms, mut history, .. } = self;
        history.push(FormerRollout { target, ordered_revision, phase, reason, elapsed_ms });
        let surplus = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..surplus);
        history
    }

    /// Returns the rollout with another phase, entered at this revision.
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

    /// Returns the rollout at another step of its trial.
    pub fn with_step(&self, step: TrialStep, elapsed_ms: u64) -> Rollout {
        Rollout { step: step as i32, elapsed_ms, ..self.clone() }
    }

    /// Returns the state shown to operators.
    pub fn state(&self) -> RolloutState {
        match self.phase() {
            RolloutPhase::Trial | RolloutPhase::Forward | RolloutPhase::Back => {
                RolloutState::InProgress
            }
            RolloutPhase::Delivered => RolloutState::Delivered,
            RolloutPhase::Returned => RolloutState::Returned,
        }
    }

    /// Returns whether members collect evidence on the new version.
    pub fn is_monitored(&self) -> bool {
        matches!(self.phase(), RolloutPhase::Trial | RolloutPhase::Forward)
    }

    /// Returns whether an order has the target and the time limit of this rollout.
    pub fn is_ordered_by(&self, order: &RolloutOrder) -> bool {
        self.target == order.target && self.time_limit_ms == order.time_limit_ms
    }

    /// Returns the version in force according to this rollout, or `None` if it is still the
    /// service's first version.
    pub fn version_in_force(&self) -> Option<&str> {
        match self.phase() {
            RolloutPhase::Forward | RolloutPhase::Delivered => Some(&self.target),
            _ => Some(self.delivered_version.as_str()).filter(|version| !version.is_empty()),
        }
    }

    /// Returns the entry that stores this rollout.
    pub fn to_entry(&self) -> Entry {
        (key(&self.service), Some(self.encode_to_vec()))
    }
}

impl RolloutPhase {
    /// Returns the name used in JSON, metrics and logs.
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
    /// Returns the name used in JSON and logs.
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
    format!("{ROLLOUT_KEY_PREFIX}{service}")
}

/// Returns the latest rollout of a service, if there is one.
pub fn rollout_of(entries: &EntryMap, service: &str) -> Option<Rollout> {
    entries.get(&key(service)).and_then(|value| Rollout::decode(value.as_slice()).ok())
}

/// Returns the latest rollout of each service; entries that can't be decoded are skipped.
pub fn rollouts_in(entries: &EntryMap) -> impl Iterator<Item = Rollout> {
    with_prefix(entries, ROLLOUT_KEY_PREFIX)
        .filter_map(|(_, value)| Rollout::decode(value.as_slice()).ok())
}
