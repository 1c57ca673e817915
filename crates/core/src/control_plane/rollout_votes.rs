//! What members have seen of versions that are tried, as the leader of the configuration keeps it.

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

/// What a process of a member has seen.
struct MemberVote {
    incarnation: u64,
    evidence: Vec<TrialEvidence>,
}

/// How a vote came to us.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum VoteSource {
    /// From the member itself.
    Member,
    /// From a voter that forwarded it.
    Voter,
}

impl ControllerState {
    /// A member votes: kept by the leader, forwarded once by another voter.
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

    /// Forgets the votes of members that the membership does not name any more.
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

    /// What the members' votes on a trial come to.
    pub(super) fn verdict_on(&self, rollout: &Rollout) -> Verdict {
        let is_of_trial = |evidence: &&TrialEvidence| {
            evidence.service == rollout.service
                && evidence.ordered_revision == rollout.ordered_revision
        };
        let votes = self.rollout_votes.by_member.values();
        let vote = Assessment {
            evidence: votes.flat_map(|vote| &vote.evidence).filter(is_of_trial).collect(),
            members: self.members.membership.members.len(),
            new_leafs: self.leafs_of_version(rollout, &rollout.target),
        };
        vote.verdict()
    }

    /// Leafs of a rollout's service that have a version and may get new work (count).
    fn leafs_of_version(&self, rollout: &Rollout, version: &str) -> usize {
        let leafs = self.standing_leafs(&rollout.service);
        leafs.iter().filter(|leaf| leaf.version() == version).count()
    }

    /// The leafs of a service that may get new work.
    fn standing_leafs(&self, service: &str) -> Vec<LeafInfo> {
        let leafs = leafs_in(&self.partitions[service_partition(service).0 as usize].committed);
        leafs.into_values().filter(|leaf| leaf.service == service && !leaf.leaving).collect()
    }

    /// Whether the new version has enough leafs to take over all traffic: as many as all other
    /// versions together, but for a fraction that may be down.
    pub(super) fn can_take_over(&self, rollout: &Rollout) -> bool {
        let all = self.standing_leafs(&rollout.service).len();
        let new = self.leafs_of_version(rollout, &rollout.target);
        new > 0 && new * 4 >= (all - new) * 3
    }
}
