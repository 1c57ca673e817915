//! The disks of controllers' machines: jobs that begin and end.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::time::ms;

use super::World;
use super::events::ScheduledEvent;
use super::faulty_variant::FaultyVariant;
use crate::simulated_disk::{Health, Job};

impl World {
    /// A disk has finished a job of a partition.
    pub(super) fn finish_disk_job(&mut self, controller: usize, part: PartitionId, token: u64) {
        let disk = &mut self.controllers[controller].disk;
        if disk.health == Health::Stalled {
            return;
        }
        let event = match disk.finish_job(part, token) {
            Some(Ok(())) => CoreEvent::Synced { partition: part, token },
            Some(Err(error)) => CoreEvent::DiskFailed { partition: part, why: error.to_string() },
            None => return,
        };
        // The faulty variant has acknowledged it already.
        if self.faulty_variant != Some(FaultyVariant::AcknowledgesBeforeSync)
            || matches!(event, CoreEvent::DiskFailed { .. })
        {
            self.step_controller(controller, event);
        }
    }

    /// A disk has finished writing the voter file.
    pub(super) fn finish_voter_file(&mut self, controller: usize, token: u64) {
        let disk = &mut self.controllers[controller].disk;
        if disk.health == Health::Stalled {
            return;
        }
        let event = match disk.finish_voter_file(token) {
            Some(Ok(())) => CoreEvent::VoterFileWritten { token },
            Some(Err(error)) => CoreEvent::VoterFileFailed { why: error.to_string() },
            None => return,
        };
        self.step_controller(controller, event);
    }

    pub(super) fn start_disk_job(
        &mut self,
        controller: usize,
        part: PartitionId,
        token: u64,
        job: Job,
    ) {
        let life = self.controllers[controller].life;
        let at = self.controllers[controller].disk.start_job(
            self.now,
            part,
            token,
            job,
            &mut self.random,
        );
        if let Some(at) = at {
            self.push_at(at, ScheduledEvent::DiskJobDone { controller, life, part, token });
        }
        if self.faulty_variant == Some(FaultyVariant::AcknowledgesBeforeSync) {
            self.push(
                10,
                ScheduledEvent::ControllerEvent {
                    controller,
                    life,
                    event: CoreEvent::Synced { partition: part, token },
                },
            );
        }
    }

    /// Changes the health of a disk; a stall that ends lets the line go on.
    pub fn set_disk_health(&mut self, controller: usize, health: Health) {
        let was = std::mem::replace(&mut self.controllers[controller].disk.health, health);
        if was == Health::Stalled && health != Health::Stalled {
            let life = self.controllers[controller].life;
            for (i, (part, token)) in
                self.controllers[controller].disk.pending_jobs().into_iter().enumerate()
            {
                self.push(
                    ms(2 + i as u64),
                    ScheduledEvent::DiskJobDone { controller, life, part, token },
                );
            }
            for token in self.controllers[controller].disk.pending_voter_files() {
                self.push(ms(2), ScheduledEvent::VoterFileDone { controller, life, token });
            }
        }
    }
}
