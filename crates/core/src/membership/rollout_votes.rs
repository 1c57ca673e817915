//! What this querier has observed of versions under trial: gathered from its threads, and sent to
//! the leader of the configuration with each renewal of the lease.

use std::collections::BTreeMap;

use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::Message;
use crate::rollout::evidence::TrialEvidence;
use crate::rollout::record::{Rollout, RolloutPhase};
use crate::rollout::trial::Trial;
use crate::rollout::versions::SplitLeafs;
use crate::snapshot::leafs::LeafInfo;

/// The observations of a querier's threads, by service and thread.
#[derive(Default)]
pub struct RolloutVotes {
    by_thread: BTreeMap<(String, u64), TrialEvidence>,
}

impl NodeAgent {
    /// Records what a thread has observed since a trial began.
    pub(super) fn on_trial_evidence(&mut self, thread: u64, evidence: TrialEvidence) {
        let key = (evidence.service.clone(), thread);
        self.rollout_votes.by_thread.insert(key, evidence);
    }

    /// Returns the versions that are under observation, with their leafs.
    pub(super) fn trials(&self, leafs: &SplitLeafs) -> Vec<Trial> {
        let monitored = self.rollouts.iter().filter(|rollout| rollout.is_monitored());
        monitored.map(|rollout| self.trial(rollout, leafs)).collect()
    }

    fn trial(&self, rollout: &Rollout, leafs: &SplitLeafs) -> Trial {
        let is_target =
            |l: &&LeafInfo| l.service == rollout.service && l.version() == rollout.target;
        let is_in_force = rollout.phase() == RolloutPhase::Forward;
        let leafs = if is_in_force { &leafs.in_force } else { &leafs.others };
        Trial {
            service: rollout.service.clone(),
            ordered_revision: rollout.ordered_revision,
            step: rollout.step(),
            leafs: leafs.iter().filter(is_target).map(|leaf| leaf.clone().into()).collect(),
            is_in_force,
            seen_from_start: rollout.ordered_revision > self.first_revision,
        }
    }

    /// Sends this querier's vote on each trial that is not over.
    pub(super) fn send_rollout_votes(&mut self, commands: &mut Vec<Command>) {
        let rollouts = &self.rollouts;
        let is_current = |evidence: &TrialEvidence| {
            rollouts.iter().any(|rollout| {
                rollout.is_monitored()
                    && rollout.service == evidence.service
                    && rollout.ordered_revision == evidence.ordered_revision
            })
        };
        self.rollout_votes.by_thread.retain(|_, evidence| is_current(evidence));
        let mut by_service: BTreeMap<&str, TrialEvidence> = BTreeMap::new();
        for ((service, _), evidence) in &self.rollout_votes.by_thread {
            match by_service.get_mut(service.as_str()) {
                Some(sum) => sum.add(evidence),
                None => {
                    by_service.insert(service, evidence.clone());
                }
            }
        }
        if by_service.is_empty() {
            return;
        }
        let message = Message::RolloutVote {
            name: self.member.name.clone(),
            incarnation: self.member.incarnation,
            evidence: by_service.into_values().collect(),
        };
        self.send_to_controllers(message, commands);
    }
}
