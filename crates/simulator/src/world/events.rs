//! The events of a run, and the queue that orders them by time.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::engine;
use grebepath_core::query::engine::Sending;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{Span, Tick, ms};

use super::World;
use super::deviations::Fault;

/// What happens, and to whom.
pub(super) enum ScheduledEvent {
    SeatWake {
        s: usize,
        life: u64,
    },
    ToSeat {
        s: usize,
        life: u64,
        event: CoreEvent,
    },
    Disk {
        s: usize,
        life: u64,
        part: PartitionId,
        token: u64,
    },
    Kept {
        s: usize,
        life: u64,
        token: u64,
    },
    QWake {
        q: usize,
        life: u64,
    },
    ToWatch {
        q: usize,
        life: u64,
        event: wat::Event,
    },
    /// A controller that says it is `holder` speaks to a querier.
    FromSeat {
        q: usize,
        life: u64,
        holder: u64,
        message: Message,
    },
    ToDesk {
        q: usize,
        life: u64,
        t: usize,
        event: engine::Event,
    },
    DeskWake {
        q: usize,
        life: u64,
        t: usize,
        at: Tick,
    },
    LeafGets {
        q: usize,
        life: u64,
        t: usize,
        sending: Box<Sending>,
    },
    LeafDone {
        run: u64,
    },
    LeafDrop {
        key: RunKey,
    },
    Probe {
        q: usize,
        life: u64,
        info: std::sync::Arc<LeafInfo>,
    },
    ListAsked {
        q: usize,
        life: u64,
    },
    Call {
        kind: usize,
    },
    Arrive {
        call: u64,
    },
    CallDue {
        call: u64,
    },
    Platform,
    Operate {
        order: usize,
    },
    Trouble {
        at: usize,
    },
    Due {
        key: DueKey,
    },
}

pub(super) type RunKey = (usize, u64, usize, u64);

/// Later steps of troubles: restarts that follow a kill.
#[derive(Clone, Copy)]
pub enum DueKey {
    StartSeat(usize),
    /// A fault ends a controller's process.
    Fault {
        controller: usize,
        fault: Fault,
    },
    /// A controller that was asked to stop is ended by force.
    ForceStop {
        controller: usize,
        life: u64,
    },
    StartQuerier(usize),
    /// A querier that is asked to stop ends once nothing is in hand.
    EndQuerier(usize, u64),
    Storm {
        left: u64,
        gap: Span,
    },
    /// An operator's change that shows whether the core is back.
    Proof {
        restart: usize,
    },
}

pub(super) fn push(w: &mut World, after: Span, hap: ScheduledEvent) {
    push_at(w, w.now + after, hap);
}

pub(super) fn push_at(w: &mut World, at: Tick, hap: ScheduledEvent) {
    w.next += 1;
    w.haps.insert((at, w.next), hap);
}

/// Lets something follow after a while.
pub fn later(w: &mut World, after: Span, key: DueKey) {
    push(w, after, ScheduledEvent::Due { key });
}

/// Plans the troubles of a scenario.
pub fn plan(w: &mut World, troubles: Vec<crate::scenario::Trouble>) {
    w.troubles = troubles;
    for at in 0..w.troubles.len() {
        let after = ms(w.troubles[at].at_ms);
        push(w, after, ScheduledEvent::Trouble { at });
    }
}
