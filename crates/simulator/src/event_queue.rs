//! The events of a simulated run, in the order of their times; those of one time
//! keep the order in which they were pushed.

use std::collections::BTreeMap;

use grebepath_core::time::Tick;

/// Events that are to come.
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
    /// Lets an event happen at a time.
    pub fn push(&mut self, at: Tick, event: E) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// A number that neither an event nor another caller has.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Takes the next event that happens at `end` or before.
    pub fn pop_until(&mut self, end: Tick) -> Option<(Tick, E)> {
        let entry = self.events.first_entry()?;
        let at = entry.key().0;
        (at <= end).then(|| (at, entry.remove()))
    }
}
