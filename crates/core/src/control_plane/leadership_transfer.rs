//! How a controller that is about to stop gives up what it leads.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::time::Tick;
use crate::voters::voter_slots::here;

impl ControllerState {
    /// Gives up all partitions, each to the follower whose replica is furthest.
    pub fn transfer_leadership(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let group = here(self);
        for partition in &mut self.partitions {
            partition.transfer_leadership(now, group, commands);
        }
    }
}
