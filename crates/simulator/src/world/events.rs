//! The events of a run, and the queue that orders them by time.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::membership::node_agent;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::event as query_event;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{Span, Tick, ms};

use super::World;
use super::injected_faults::Fault;

/// What happens, and to whom.
pub(super) enum ScheduledEvent {
    ControllerTimer {
        controller: usize,
        life: u64,
    },
    ControllerEvent {
        controller: usize,
        life: u64,
        event: CoreEvent,
    },
    DiskJobDone {
        controller: usize,
        life: u64,
        partition: PartitionId,
        token: u64,
    },
    VoterFileDone {
        controller: usize,
        life: u64,
        token: u64,
    },
    QuerierTimer {
        querier: usize,
        life: u64,
    },
    NodeAgentEvent {
        querier: usize,
        life: u64,
        event: node_agent::Event,
    },
    /// A controller that says it is `holder` speaks to a querier.
    ControllerMessage {
        querier: usize,
        life: u64,
        holder: u64,
        message: Message,
    },
    QueryEngineEvent {
        engine: QueryEngineId,
        event: query_event::Event,
    },
    QueryEngineTimer {
        engine: QueryEngineId,
        at: Tick,
    },
    LeafRequest {
        engine: QueryEngineId,
        sending: Box<OutgoingAttempt>,
    },
    LeafResponse {
        run: u64,
    },
    LeafDisconnect {
        key: AttemptKey,
    },
    Probe {
        querier: usize,
        life: u64,
        info: std::sync::Arc<LeafInfo>,
    },
    ListRequest {
        querier: usize,
        life: u64,
    },
    NewCall {
        kind: usize,
    },
    CallArrival {
        call: u64,
    },
    CallTimeout {
        call: u64,
    },
    ReadinessPoll,
    OperatorRequest {
        request: usize,
    },
    Fault {
        at: usize,
    },
    FollowUp {
        key: FollowUp,
    },
}

/// One thread's query engine, in one life of its querier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueryEngineId {
    pub querier: usize,
    pub life: u64,
    pub thread: usize,
}

/// One attempt that a query engine sent to a leaf.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct AttemptKey {
    pub engine: QueryEngineId,
    pub attempt: u64,
}

/// What follows an earlier event, as the restart that follows a kill.
#[derive(Clone, Copy)]
pub enum FollowUp {
    /// A controller's process is started.
    StartController(usize),
    /// A fault ends a controller's process.
    Fault {
        /// The number of its machine.
        controller: usize,
        /// What ends it.
        fault: Fault,
    },
    /// A controller that was asked to stop is ended by force.
    ForceStop {
        /// The number of its machine.
        controller: usize,
        /// The life that was asked to stop.
        life: u64,
    },
    /// A querier's process is started.
    StartQuerier(usize),
    /// A querier that is asked to stop ends once no query is in progress.
    EndDrainedQuerier(usize, u64),
    /// An operator asks for changes, one after the other.
    RequestStorm {
        /// Changes that are left (count).
        left: u64,
        /// Time between two changes.
        gap: Span,
    },
    /// An operator without ids gives its next order, or looks at what stands.
    ZoneOrder {
        /// The operator's number.
        operator: usize,
    },
    /// An operator without ids has waited for an answer for as long as it does.
    OperatorSilence {
        /// The operator's number.
        operator: usize,
        /// The request that it waited for.
        request: usize,
    },
    /// An operator looks how its rollout stands.
    RolloutLook {
        /// The operator's number.
        operator: usize,
    },
    /// An operator of a rollout has waited for an answer for as long as it does.
    RolloutSilence {
        /// The operator's number.
        operator: usize,
        /// The request that it waited for.
        request: usize,
    },
    /// The leafs of a version that was returned leave.
    RolloutLeafsLeave {
        /// The operator's number.
        operator: usize,
    },
    /// An operator's change that shows whether the control plane has recovered.
    ChangeAfterRestart {
        /// The number of the restart among those that are judged.
        restart: usize,
    },
}

impl World {
    pub(super) fn push(&mut self, after: Span, event: ScheduledEvent) {
        self.push_at(self.now + after, event);
    }

    pub(super) fn push_at(&mut self, at: Tick, event: ScheduledEvent) {
        self.queue.push(at, event);
    }

    /// Lets something follow after a while.
    pub fn later(&mut self, after: Span, key: FollowUp) {
        self.push(after, ScheduledEvent::FollowUp { key });
    }

    /// Schedules the faults of a scenario.
    pub fn plan(&mut self, faults: Vec<crate::scenario::ScheduledFault>) {
        self.faults = faults;
        for at in 0..self.faults.len() {
            let after = ms(self.faults[at].at_ms);
            self.push(after, ScheduledEvent::Fault { at });
        }
    }
}
