//! Orders whose senders were asked to confirm them, for senders that don't follow redirections.
//!
//! One that sends the same order again, a moment after it was asked, was still waiting when it
//! was asked: that confirms it as well. Copies that lay somewhere and come together, or as far
//! apart as a sender's patience, confirm nothing.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use grebepath_core::digest::digest_bytes;

use crate::confirmation::{Confirmation, Sender};

/// Copies that come within this time of each other may have lain in one place.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// After this time a copy may have been sent before its sender was asked to confirm: senders
/// go on after a second of silence.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);
/// Orders that are remembered (count).
const MOST_REMEMBERED: usize = 256;

/// An order by who sent it and what it says.
#[derive(Clone, PartialEq)]
pub struct OrderKey {
    sender: IpAddr,
    words: [u8; 16],
}

impl OrderKey {
    /// The key of an order.
    pub fn new(sender: &Sender, body: &[u8]) -> OrderKey {
        let head = format!("{} {}\n", sender.method, sender.path);
        let words = digest_bytes(&[head.as_bytes(), body].concat());
        OrderKey { sender: sender.address, words }
    }
}

/// An order whose sender was asked to confirm it.
struct Unconfirmed {
    order: OrderKey,
    asked_at: Instant,
    confirmation: Confirmation,
}

/// The orders whose senders were asked to confirm them a moment ago.
#[derive(Default)]
pub struct Resubmissions {
    unconfirmed: Mutex<VecDeque<Unconfirmed>>,
}

impl Resubmissions {
    /// Notes that the sender of an order is asked now to confirm it. What it was asked a moment
    /// ago stands.
    pub fn note_asked(&self, order: OrderKey, confirmation: &Confirmation, now: Instant) {
        let Ok(mut unconfirmed) = self.unconfirmed.lock() else { return };
        unconfirmed.retain(|known| now.duration_since(known.asked_at) <= LONGEST_PAUSE);
        if unconfirmed.iter().any(|known| known.order == order) {
            return;
        }
        if unconfirmed.len() == MOST_REMEMBERED {
            unconfirmed.pop_front();
        }
        let confirmation = confirmation.clone();
        unconfirmed.push_back(Unconfirmed { order, asked_at: now, confirmation });
    }

    /// Notes that the sender of an order has followed to where it confirms it: the same order is
    /// a new one from now on.
    pub fn note_followed(&self, order: &OrderKey) {
        if let Ok(mut unconfirmed) = self.unconfirmed.lock() {
            unconfirmed.retain(|known| known.order != *order);
        }
    }

    /// What confirms an order that comes now, if its sender was asked a moment ago. It is
    /// confirmed once.
    pub fn take(&self, order: &OrderKey, now: Instant) -> Option<Confirmation> {
        let mut unconfirmed = self.unconfirmed.lock().ok()?;
        let pauses = SHORTEST_PAUSE..=LONGEST_PAUSE;
        let at = unconfirmed.iter().position(|known| {
            known.order == *order && pauses.contains(&now.duration_since(known.asked_at))
        })?;
        unconfirmed.remove(at).map(|known| known.confirmation)
    }
}
