//! Redirected requests, for senders that don't follow redirections.
//!
//! A sender that submits the same request again shortly after the redirection was still waiting at
//! that time, so the resubmission confirms the request too. Delayed copies that arrive together, or
//! as far apart as a sender's timeout, don't confirm it.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use grebepath_core::digest::digest_bytes;

use crate::confirmation::{Confirmation, Sender};

/// Copies that arrive within this time of each other may have been delayed in the same place.
const MIN_RESUBMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// A copy that arrives later than this may have been sent before the redirection, since senders
/// time out after a second and retry.
const MAX_RESUBMISSION_INTERVAL: Duration = Duration::from_millis(900);
/// Maximum number of redirected requests that are kept.
const MAX_UNCONFIRMED: usize = 256;

/// Identifies a request by its sender and its content.
#[derive(Clone, PartialEq)]
pub struct RequestKey {
    sender: IpAddr,
    digest: [u8; 16],
}

impl RequestKey {
    /// Returns the key of a request.
    pub fn new(sender: &Sender, body: &[u8]) -> RequestKey {
        let head = format!("{} {}\n", sender.method, sender.path);
        let digest = digest_bytes(&[head.as_bytes(), body].concat());
        RequestKey { sender: sender.address, digest }
    }
}

/// A request whose sender was redirected to confirm it.
struct Unconfirmed {
    request: RequestKey,
    redirected_at: Instant,
    confirmation: Confirmation,
}

/// The requests whose senders were recently redirected to confirm them.
#[derive(Default)]
pub struct Resubmissions {
    unconfirmed: Mutex<VecDeque<Unconfirmed>>,
}

impl Resubmissions {
    /// Records that the sender of a request is being redirected to confirm it. A recent redirection
    /// of the same request stays in effect.
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

    /// Removes a request whose sender has followed the redirection. The same request counts as a
    /// new one from now on.
    pub fn remove_followed(&self, request: &RequestKey) {
        if let Ok(mut unconfirmed) = self.unconfirmed.lock() {
            unconfirmed.retain(|known| known.request != *request);
        }
    }

    /// Removes and returns the confirmation of a resubmitted request, if its sender was recently
    /// redirected.
    pub fn take(&self, request: &RequestKey, now: Instant) -> Option<Confirmation> {
        let mut unconfirmed = self.unconfirmed.lock().ok()?;
        let intervals = MIN_RESUBMISSION_INTERVAL..=MAX_RESUBMISSION_INTERVAL;
        let position = unconfirmed.iter().position(|known| {
            known.request == *request
                && intervals.contains(&now.duration_since(known.redirected_at))
        })?;
        unconfirmed.remove(position).map(|known| known.confirmation)
    }
}
