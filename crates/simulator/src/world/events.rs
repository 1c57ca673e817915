//! The events of a run, and how they are scheduled.

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

/// An event and the process that it is for.
pub(super) enum ScheduledEvent {
    ControllerTimer {
        controller: usize,
        incarnation: u64,
    },
    ControllerEvent {
        controller: usize,
        incarnation: u64,
        event: CoreEvent,
    },
    DiskJobDone {
        controller: usize,
        incarnation: u64,
        partition: PartitionId,
        token: u64,
    },
    VoterFileDone {
        controller: usize,
        incarnation: u64,
        token: u64,
    },
    QuerierTimer {
        querier: usize,
        incarnation: u64,
    },
    NodeAgentEvent {
        querier: usize,
        incarnation: u64,
        event: node_agent::Event,
    },
    /// A message to a querier from the controller whose replica id is `holder`.
    ControllerMessage {
        querier: usize,
        incarnation: u64,
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
        outgoing: Box<OutgoingAttempt>,
    },
    LeafResponse {
        run: u64,
    },
    LeafDisconnect {
        key: AttemptKey,
    },
    Probe {
        querier: usize,
        incarnation: u64,
        info: std::sync::Arc<LeafInfo>,
    },
    ListRequest {
        querier: usize,
        incarnation: u64,
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

/// One thread's query engine, in one incarnation of its querier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueryEngineId {
    pub querier: usize,
    pub incarnation: u64,
    pub thread: usize,
}

/// One attempt that a query engine sent to a leaf.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct AttemptKey {
    pub engine: QueryEngineId,
    pub attempt: u64,
}

/// An event that follows an earlier one, such as the restart after a kill.
#[derive(Clone, Copy)]
pub enum FollowUp {
    /// Starts a controller's process.
    StartController(usize),
    /// Ends a controller's process by a fault.
    Fault {
        /// The number of its machine.
        controller: usize,
        /// The fault.
        fault: Fault,
    },
    /// Kills a controller that was asked to stop and still runs.
    ForceStop {
        /// The number of its machine.
        controller: usize,
        /// The incarnation that was asked to stop.
        incarnation: u64,
    },
    /// Starts a querier's process.
    StartQuerier(usize),
    /// Ends a stopping querier once no query is in progress.
    EndDrainedQuerier(usize, u64),
    /// Submits a series of changes, one after the other.
    RequestStorm {
        /// Remaining changes (count).
        left: u64,
        /// Time between two changes.
        gap: Span,
    },
    /// Has an operator without request ids send its next request, or check the result at the end.
    ZoneRequest {
        /// The operator's number.
        operator: usize,
    },
    /// Ends the wait of an operator without request ids for a response.
    OperatorTimeout {
        /// The operator's number.
        operator: usize,
        /// The request whose response it waited for.
        request: usize,
    },
    /// Has an operator poll the state of its rollout.
    RolloutPoll {
        /// The operator's number.
        operator: usize,
    },
    /// Ends the wait of a rollout's operator for a response.
    RolloutTimeout {
        /// The operator's number.
        operator: usize,
        /// The request whose response it waited for.
        request: usize,
    },
    /// Has the leafs of a version leave that was rolled back.
    RolloutLeafsLeave {
        /// The operator's number.
        operator: usize,
    },
    /// Submits a change that shows whether the control plane has recovered.
    ChangeAfterRestart {
        /// The number of the restart among those that are checked.
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

    /// Schedules a follow-up.
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
