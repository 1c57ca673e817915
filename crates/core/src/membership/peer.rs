//! What is known of another member.

use crate::protocol::message::FeedPosition;
use crate::time::{Span, Tick, ms};

/// A member not heard for this long counts as silent.
pub(super) const PEER_TIMEOUT: Span = ms(1_600);

/// Another member, as it last answered us.
pub struct Peer {
    /// When we sent the question that it last answered: a process that was paused
    /// must not take old messages in its buffers for fresh ones.
    pub request_sent_at: Tick,
    /// Age of its word from the controllers when it answered.
    pub time_since_renewal: Span,
    /// How far it is in each partition.
    pub positions: Vec<FeedPosition>,
    /// Whether it is ready.
    pub ready: bool,
}
