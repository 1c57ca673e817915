//! How a controller that is about to stop gives up what it leads.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::time::Tick;

impl ControllerState {
    /// Gives up all partitions, each to the follower whose replica is furthest.
    pub fn transfer_leadership(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let group = self.group();
        for partition in &mut self.partitions {
            partition.transfer_leadership(now, group, commands);
        }
    }
}
