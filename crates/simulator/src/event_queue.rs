//! The events of a simulated run, ordered by time; events of the same time
//! keep the order in which they were pushed.

use std::collections::BTreeMap;

use grebepath_core::time::Tick;

/// The pending events.
pub struct EventQueue<E> {
    events: BTreeMap<(Tick, u64), E>,
    last_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { events: BTreeMap::new(), last_number: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: Tick, event: E) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Returns a number that is used neither by an event nor by another caller.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Removes and returns the next event, if its time is not after `end`.
    pub fn pop_until(&mut self, end: Tick) -> Option<(Tick, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= end).then(|| (at, entry.remove()))
    }
}
