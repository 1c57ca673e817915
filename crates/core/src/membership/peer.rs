//! The state of another member, as last reported.

use crate::protocol::message::FeedPosition;
use crate::time::{Span, Tick, ms};

/// A member that has not answered a request for this long counts as unreachable.
pub(super) const PEER_TIMEOUT: Span = ms(1_600);

/// The last gossip response of another member.
pub struct Peer {
    /// When the request was sent that it last answered. Not when the response came: a process
    /// that was paused must not take old messages in its buffers for recent ones.
    pub request_sent_at: Tick,
    /// Time since its last granted renewal when it answered.
    pub time_since_renewal: Span,
    /// Its revision of each partition.
    pub positions: Vec<FeedPosition>,
    /// Whether it is ready.
    pub ready: bool,
}
