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
const MIN_RESUBMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// After this time a copy may have been sent before its sender was asked to confirm: senders
/// go on after a second of silence.
const MAX_RESUBMISSION_INTERVAL: Duration = Duration::from_millis(900);
/// Orders that are remembered (count).
const MAX_UNCONFIRMED: usize = 256;

/// An order by who sent it and what it says.
#[derive(Clone, PartialEq)]
pub struct RequestKey {
    sender: IpAddr,
    digest: [u8; 16],
}

impl RequestKey {
    /// The key of an order.
    pub fn new(sender: &Sender, body: &[u8]) -> RequestKey {
        let head = format!("{} {}\n", sender.method, sender.path);
        let digest = digest_bytes(&[head.as_bytes(), body].concat());
        RequestKey { sender: sender.address, digest }
    }
}

/// An order whose sender was asked to confirm it.
struct Unconfirmed {
    request: RequestKey,
    redirected_at: Instant,
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
    pub fn record_redirect(&self, request: RequestKey, confirmation: &Confirmation, now: Instant) {
        let Ok(mut unconfirmed) = self.unconfirmed.lock() else { return };
        unconfirmed
            .retain(|known| now.duration_since(known.redirected_at) <= MAX_RESUBMISSION_INTERVAL);
        if unconfirmed.iter().any(|known| known.request == request) {
            return;
        }
        if unconfirmed.len() == MAX_UNCONFIRMED {
            unconfirmed.pop_front();
        }
        let confirmation = confirmation.clone();
        unconfirmed.push_back(Unconfirmed { request, redirected_at: now, confirmation });
    }

    /// Notes that the sender of an order has followed to where it confirms it: the same order is
    /// a new one from now on.
    pub fn remove_followed(&self, request: &RequestKey) {
        if let Ok(mut unconfirmed) = self.unconfirmed.lock() {
            unconfirmed.retain(|known| known.request != *request);
        }
    }

    /// What confirms an order that comes now, if its sender was asked a moment ago. It is
    /// confirmed once.
    pub fn take(&self, request: &RequestKey, now: Instant) -> Option<Confirmation> {
        let mut unconfirmed = self.unconfirmed.lock().ok()?;
        let intervals = MIN_RESUBMISSION_INTERVAL..=MAX_RESUBMISSION_INTERVAL;
        let at = unconfirmed.iter().position(|known| {
            known.request == *request
                && intervals.contains(&now.duration_since(known.redirected_at))
        })?;
        unconfirmed.remove(at).map(|known| known.confirmation)
    }
}
