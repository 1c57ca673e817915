//! Leadership transfer of a controller that is about to stop.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::time::Tick;

impl ControllerState {
    /// Transfers the leadership of each partition to the follower with the most recent
    /// replica.
    pub fn transfer_leadership(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let group = self.group();
        for partition in &mut self.partitions {
            partition.transfer_leadership(now, group, commands);
        }
    }
}
