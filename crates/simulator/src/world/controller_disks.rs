//! Starts and finishes the disk jobs of controllers' machines.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::time::ms;

use super::World;
use super::events::ScheduledEvent;
use super::faulty_variant::FaultyVariant;
use crate::controller_start::{disk_event, voter_file_event};
use crate::simulated_disk::{Health, Job};

impl World {
    /// Delivers the result of a partition's disk job to the controller.
    pub(super) fn finish_disk_job(
        &mut self,
        controller: usize,
        partition: PartitionId,
        token: u64,
    ) {
        let disk = &mut self.controllers[controller].disk;
        if disk.health == Health::Stalled {
            return;
        }
        let Some(result) = disk.finish_job(partition, token) else { return };
        let event = disk_event(partition, token, result);
        // The faulty variant has already acknowledged it.
        if self.faulty_variant != Some(FaultyVariant::AcknowledgesBeforeSync) || result.is_err() {
            self.step_controller(controller, event);
        }
    }

    /// Delivers the result of a voter file write to the controller.
    pub(super) fn finish_voter_file(&mut self, controller: usize, token: u64) {
        let disk = &mut self.controllers[controller].disk;
        if disk.health == Health::Stalled {
            return;
        }
        let Some(result) = disk.finish_voter_file(token) else { return };
        self.step_controller(controller, voter_file_event(token, result));
    }

    pub(super) fn start_disk_job(
        &mut self,
        controller: usize,
        partition: PartitionId,
        token: u64,
        job: Job,
    ) {
        let incarnation = self.controllers[controller].incarnation;
        let at = self.controllers[controller].disk.start_job(
            self.now,
            partition,
            token,
            job,
            &mut self.random,
        );
        if let Some(at) = at {
            self.push_at(
                at,
                ScheduledEvent::DiskJobDone { controller, incarnation, partition, token },
            );
        }
        if self.faulty_variant == Some(FaultyVariant::AcknowledgesBeforeSync) {
            self.push(
                10,
                ScheduledEvent::ControllerEvent {
                    controller,
                    incarnation,
                    event: CoreEvent::Synced { partition, token },
                },
            );
        }
    }

    /// Changes the health of a disk; after a stall the pending jobs resume.
    pub fn set_disk_health(&mut self, controller: usize, health: Health) {
        let was = std::mem::replace(&mut self.controllers[controller].disk.health, health);
        if was == Health::Stalled && health != Health::Stalled {
            let incarnation = self.controllers[controller].incarnation;
            for (i, (partition, token)) in
                self.controllers[controller].disk.pending_jobs().into_iter().enumerate()
            {
                self.push(
                    ms(2 + i as u64),
                    ScheduledEvent::DiskJobDone { controller, incarnation, partition, token },
                );
            }
            for token in self.controllers[controller].disk.pending_voter_files() {
                self.push(ms(2), ScheduledEvent::VoterFileDone { controller, incarnation, token });
            }
        }
    }
}
