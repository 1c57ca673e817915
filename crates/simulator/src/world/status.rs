//! The state of a run: its age, and whether the cluster has settled.

use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::time::{Span, Tick};

use super::nodes::ControllerNode;
use super::{BEGIN, World};

impl World {
    /// Returns the machines that are up and have a voter slot.
    pub fn running_voters(&self) -> impl Iterator<Item = &ControllerNode> {
        self.controllers.iter().filter(|node| node.up && node.has_voter_slot())
    }

    /// Returns whether every voter slot is held by one running machine that votes in all partitions,
    /// and no other machine claims the same slot.
    pub fn all_slots_voting(&self) -> bool {
        let Some(best) = self.running_voters().max_by_key(|node| {
            let list = &node.state.voter_slots.voter_file.voter_set.slots;
            list.iter().map(|voter| u64::from(voter.generation)).sum::<u64>()
        }) else {
            return false;
        };
        let table = &best.state.voter_slots.voter_file.voter_set;
        let votes_in_all = |node: &ControllerNode| {
            node.state.partitions.iter().all(|p| p.condition == ReplicaCondition::Voting)
        };
        table.slots.iter().enumerate().all(|(slot, voter)| {
            let candidates: Vec<_> = self
                .running_voters()
                .filter(|node| usize::from(node.state.slot) == slot && votes_in_all(node))
                .collect();
            candidates.len() == 1
                && candidates[0].state.voter_slots.voter_file.replica_id == voter.replica_id
        })
    }

    /// Returns whether all voters that are up have the same configuration and all
    /// queriers that are up have applied it.
    pub fn settled(&self) -> bool {
        let top =
            self.running_voters().map(|node| node.state.partitions[0].committed_revision).max();
        let Some(top) = top else { return false };
        self.running_voters().all(|node| node.state.partitions[0].committed_revision == top)
            && self.queriers.iter().filter(|querier| querier.up).all(|querier| {
                querier.ready && querier.node_agent.view.as_ref().is_some_and(|v| v.revision == top)
            })
    }

    /// Returns the time since the world began.
    pub fn age(&self) -> Tick {
        self.now - BEGIN
    }

    /// Returns the time since the world began, including the time in which the cluster started.
    pub fn since_begin(&self) -> Span {
        self.now - BEGIN
    }
}
