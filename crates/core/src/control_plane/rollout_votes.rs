//! The members' observations of versions under trial, as tracked by the leader of the
//! configuration partition.

use std::collections::BTreeMap;

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::{CONFIG, service_partition};
use crate::protocol::message::Message;
use crate::replication::partition::Role;
use crate::rollout::evidence::TrialEvidence;
use crate::rollout::record::Rollout;
use crate::rollout::verdict::{Assessment, Verdict};
use crate::snapshot::leafs::{LeafInfo, leafs_in};

/// The newest vote of each member, by its name.
#[derive(Default)]
pub struct RolloutVotes {
    by_member: BTreeMap<String, MemberVote>,
}

/// The vote of one process of a member.
struct MemberVote {
    incarnation: u64,
    evidence: Vec<TrialEvidence>,
}

/// The peer from which a vote was received.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum VoteSource {
    /// The member itself.
    Member,
    /// A voter that forwarded the vote.
    Voter,
}

impl ControllerState {
    /// Handles the vote of a member: the leader stores it, any other voter forwards it
    /// once.
    pub(super) fn on_rollout_vote(
        &mut self,
        source: VoteSource,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match (&self.partitions[CONFIG.0 as usize].role, message) {
            (Role::Leader(_), Message::RolloutVote { name, incarnation, evidence }) => {
                self.rollout_votes.by_member.insert(name, MemberVote { incarnation, evidence });
            }
            (Role::Follower { leader: Some(leader), .. }, message)
                if source == VoteSource::Member =>
            {
                commands.push(Command::ToVoter { slot: leader.slot, message });
            }
            _ => {}
        }
    }

    /// Drops the votes of processes that the membership no longer names.
    pub(super) fn drop_votes_of_others(&mut self) {
        if self.rollout_votes.by_member.is_empty() {
            return;
        }
        let members = self.members.membership.members.iter();
        let named: BTreeMap<&str, u64> =
            members.map(|member| (member.name.as_str(), member.incarnation)).collect();
        let is_named = |name: &str, incarnation| named.get(name) == Some(&incarnation);
        self.rollout_votes.by_member.retain(|name, vote| is_named(name, vote.incarnation));
    }

    /// Returns the verdict of the members' votes on a trial.
    pub(super) fn verdict_on(&self, rollout: &Rollout) -> Verdict {
        let is_of_trial = |evidence: &&TrialEvidence| {
            evidence.service == rollout.service
                && evidence.ordered_revision == rollout.ordered_revision
        };
        let votes = self.rollout_votes.by_member.values();
        let assessment = Assessment {
            evidence: votes.flat_map(|vote| &vote.evidence).filter(is_of_trial).collect(),
            members: self.members.membership.members.len(),
            new_leafs: self.leafs_of_version(rollout, &rollout.target),
        };
        assessment.verdict()
    }

    /// Returns the number of leafs of a rollout's service that have a version and accept
    /// new work.
    fn leafs_of_version(&self, rollout: &Rollout, version: &str) -> usize {
        let leafs = self.available_leafs(&rollout.service);
        leafs.iter().filter(|leaf| leaf.version() == version).count()
    }

    /// Returns the leafs of a service that accept new work.
    fn available_leafs(&self, service: &str) -> Vec<LeafInfo> {
        let leafs = leafs_in(&self.partitions[service_partition(service).0 as usize].committed);
        leafs.into_values().filter(|leaf| leaf.service == service && !leaf.leaving).collect()
    }

    /// Returns whether the new version has enough leafs to serve all traffic: at least
    /// three quarters of the number of all other leafs, so that a fraction may be down.
    pub(super) fn can_take_over(&self, rollout: &Rollout) -> bool {
        let all = self.available_leafs(&rollout.service).len();
        let new = self.leafs_of_version(rollout, &rollout.target);
        new > 0 && new * 4 >= (all - new) * 3
    }
}
