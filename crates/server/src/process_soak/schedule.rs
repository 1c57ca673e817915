//! Generates the schedule of a run from its seed.

use grebepath_core::random::Random;

/// Number of controllers of the cluster.
pub const CONTROLLERS: usize = 3;
/// The zones of the cluster.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time before the first action and after the last one (ms).
const QUIET_MARGIN_MS: u64 = 2_000;
/// Time between two faults of controllers (ms). Only one controller fails at a time. By the next
/// fault it has caught up, and queriers have been connected and undisturbed for a while.
const CONTROLLER_FAULT_INTERVAL_MS: u64 = 14_000;

/// Time from an operation that drains a zone to the one that reverts it (ms).
const DRAIN_LEAD_MS: u64 = 2_000;

/// The kind of an action.
#[derive(Clone, Debug)]
pub enum ActionKind {
    /// A querier receives SIGTERM and is restarted once it has ended.
    StopQuerier(usize),
    /// A querier is killed and restarted later.
    KillQuerier { querier: usize, down_ms: u64 },
    /// A querier is paused with SIGSTOP.
    FreezeQuerier { querier: usize, for_ms: u64 },
    /// A querier receives SIGHUP.
    HangUpQuerier(usize),
    /// A controller receives SIGTERM and is restarted once it has ended.
    StopController(usize),
    /// A controller is killed and restarted later.
    KillController { controller: usize, down_ms: u64 },
    /// A controller is paused with SIGSTOP.
    FreezeController { controller: usize, for_ms: u64 },
    /// A leaf begins to leave; only the platform's list shows it.
    LeafLeaves,
    /// A leaf is restarted under a new name.
    LeafRestarts,
    /// The operator drains a zone and sends the operation to this controller first.
    DrainZone { zone: &'static str, controller: usize },
    /// The operator opens the zone again, through this controller first.
    TakeBack { zone: &'static str, controller: usize },
}

/// An action and its time.
#[derive(Clone, Debug)]
pub struct Action {
    /// Time since the start of the run.
    pub at_ms: u64,
    /// What is done.
    pub kind: ActionKind,
}

/// The actions of a run.
pub struct Schedule {
    /// All actions, in order of time.
    pub actions: Vec<Action>,
}

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn generate(seed: u64, queriers: usize, length_ms: u64) -> Schedule {
        let mut builder =
            ScheduleBuilder { random: Random::new(seed), queriers, length_ms, actions: Vec::new() };
        for _ in 0..1 + length_ms / 10_000 {
            builder.add_querier_faults();
        }
        // Attempts of queriers are not checked while a controller is disturbed, so only half of
        // the schedules contain controller faults.
        if builder.below(2) == 0 {
            builder.add_controller_faults();
        }
        builder.add_leaf_changes();
        builder.add_zone_operations();
        builder.actions.sort_by_key(|action| action.at_ms);
        Schedule { actions: builder.actions }
    }
}

struct ScheduleBuilder {
    random: Random,
    queriers: usize,
    length_ms: u64,
    actions: Vec<Action>,
}

impl ScheduleBuilder {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.below(bound.max(1))
    }

    /// Chooses the time of an action.
    fn random_time(&mut self) -> u64 {
        let span = self.length_ms.saturating_sub(2 * QUIET_MARGIN_MS);
        QUIET_MARGIN_MS + self.below(span)
    }

    fn add(&mut self, at_ms: u64, kind: ActionKind) {
        self.actions.push(Action { at_ms, kind });
    }

    /// Chooses up to all queriers but one, in random order.
    fn random_queriers(&mut self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.queriers).collect();
        for last in (1..all.len()).rev() {
            let other = self.below(last as u64 + 1) as usize;
            all.swap(last, other);
        }
        let max_count = self.queriers.saturating_sub(1).max(1) as u64;
        let count = if self.below(2) == 0 { max_count } else { 1 + self.below(max_count) };
        all.truncate(count as usize);
        all
    }

    /// Adds a rolling restart, a simultaneous crash or pause, or a series of SIGHUPs of some
    /// queriers.
    fn add_querier_faults(&mut self) {
        let (from, gap_ms) = (self.random_time(), 200 + self.below(1_300));
        let chosen = self.random_queriers();
        let (kind, down_ms) = (self.below(6), 1_000 + self.below(4_000));
        for (position, querier) in chosen.into_iter().enumerate() {
            let staggered_ms = from + position as u64 * gap_ms;
            match kind {
                0 | 1 => self.add(staggered_ms, ActionKind::StopQuerier(querier)),
                2 | 3 => self.add(from, ActionKind::KillQuerier { querier, down_ms }),
                4 => self.add(from, ActionKind::FreezeQuerier { querier, for_ms: down_ms }),
                _ => self.add(staggered_ms, ActionKind::HangUpQuerier(querier)),
            }
        }
    }

    /// Adds faults of controllers, one controller at a time.
    fn add_controller_faults(&mut self) {
        let mut at_ms = QUIET_MARGIN_MS + self.below(CONTROLLER_FAULT_INTERVAL_MS);
        while at_ms + QUIET_MARGIN_MS < self.length_ms {
            let controller = self.below(CONTROLLERS as u64) as usize;
            let for_ms = 500 + self.below(5_500);
            let kind = match self.below(4) {
                0 => ActionKind::StopController(controller),
                1 => ActionKind::KillController { controller, down_ms: for_ms },
                _ => ActionKind::FreezeController { controller, for_ms },
            };
            self.add(at_ms, kind);
            at_ms += CONTROLLER_FAULT_INTERVAL_MS;
        }
    }

    /// Adds leafs that leave, just before or after a querier fault, and a restart of a leaf.
    fn add_leaf_changes(&mut self) {
        let disturbed: Vec<u64> = self.actions.iter().map(|action| action.at_ms).collect();
        for _ in 0..1 + self.length_ms / 6_000 {
            let near_fault_ms = disturbed[self.random.below(disturbed.len() as u64) as usize];
            let at_ms =
                (near_fault_ms + 600).saturating_sub(self.below(2_600)).max(QUIET_MARGIN_MS);
            self.add(at_ms, ActionKind::LeafLeaves);
        }
        let at_ms = self.random_time();
        self.add(at_ms, ActionKind::LeafRestarts);
    }

    /// Adds operations that drain a zone and revert that. Each revert is sent to a controller that
    /// is paused, and another drain follows once the operator has tried another controller.
    fn add_zone_operations(&mut self) {
        let zone = ZONES[self.below(ZONES.len() as u64) as usize];
        let mut frozen: Vec<(u64, usize)> = Vec::new();
        for action in &self.actions {
            if let ActionKind::FreezeController { controller, .. } = action.kind {
                frozen.push((action.at_ms, controller));
            }
        }
        if frozen.is_empty() {
            // In the first half of the run, so that the final state is checked for long.
            let at_ms = (self.random_time() / 2).max(DRAIN_LEAD_MS + QUIET_MARGIN_MS);
            frozen.push((at_ms, self.below(CONTROLLERS as u64) as usize));
        }
        for (at_ms, controller) in frozen {
            let other = (controller + 1) % CONTROLLERS;
            let before = at_ms.saturating_sub(DRAIN_LEAD_MS).max(QUIET_MARGIN_MS / 2);
            let after = at_ms + 1 + self.below(100);
            self.add(before, ActionKind::DrainZone { zone, controller: other });
            self.add(after, ActionKind::TakeBack { zone, controller });
            self.add(after + 1, ActionKind::DrainZone { zone, controller: other });
        }
    }
}
