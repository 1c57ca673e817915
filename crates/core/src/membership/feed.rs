//! Selection of the voters that send updates to this querier.
//!
//! One voter sends all updates. The others only report their positions, which costs a fourth as
//! much and shows at once when the preferred voter lacks an update; a voter that is ahead then
//! sends updates too until this querier has caught up. While no voter renews the lease, all
//! voters send updates. They also do so during startup, until this querier has a view and a
//! lease.

use crate::identifiers::{FEED_END, MEMBERSHIP_FEED, VoterSlot};
use crate::membership::lease::{RENEWAL_OVERDUE, STARTUP_RETRY_INTERVAL};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{Span, Tick, ms};

/// How often a querier asks the voter that sends it updates for those it may have missed.
pub const SUBSCRIBE_INTERVAL: Span = ms(400);

/// How often a querier asks the other voters for their positions. An update that the preferred
/// voter lacks is late by at most this interval, one `SUBSCRIBE_INTERVAL` and a round trip: half
/// of the 3 s in which a change must be applied.
const POSITION_POLL_INTERVAL: Span = 2 * SUBSCRIBE_INTERVAL;

impl NodeAgent {
    /// Asks the voters for updates if that is due: more often, and all of them, before there is
    /// a view.
    pub(super) fn subscribe(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if now < self.subscribe_at {
            return;
        }
        let period = if self.is_caught_up { SUBSCRIBE_INTERVAL } else { STARTUP_RETRY_INTERVAL };
        self.subscribe_at = now + period;
        let ask_others = now >= self.feed.position_poll_at;
        if ask_others {
            self.feed.position_poll_at = now + POSITION_POLL_INTERVAL;
        }
        let (for_updates, for_positions) = self.subscriptions();
        if self.voter_set.slots.is_empty() {
            commands.push(Command::Broadcast { message: for_updates.clone() });
        }
        let slots = self.occupied_slots();
        let preferred = self.feed.preferred(&slots, &self.member.name, self.started_at, now);
        let from_all = self.is_starting() || self.has_lost_controllers(now);
        for slot in slots {
            let sends_updates =
                from_all || preferred.is_none_or(|p| p == slot) || self.is_ahead(slot);
            if sends_updates {
                commands.push(Command::ToVoter { slot, message: for_updates.clone() });
            } else if ask_others {
                commands.push(Command::ToVoter { slot, message: for_positions.clone() });
            }
        }
    }

    /// Returns the message that asks for updates, and the one that only asks for the receiver's
    /// positions.
    fn subscriptions(&self) -> (Message, Message) {
        let mut positions = self.positions();
        positions.push(FeedPosition {
            partition: MEMBERSHIP_FEED,
            revision: self.membership.feed_revision(),
        });
        let beyond = positions.iter().map(|p| FeedPosition { revision: FEED_END, ..*p }).collect();
        let stamp = self.voter_set_stamp;
        (Message::Subscribe { positions, stamp }, Message::Subscribe { positions: beyond, stamp })
    }

    /// Whether this querier is still starting. During startup it does not depend on a single
    /// voter, since the recovery of the cluster after a restart of all processes would wait for
    /// that voter too.
    fn is_starting(&self) -> bool {
        !self.is_caught_up || !self.lease.granted
    }

    /// Whether this querier had a lease and its renewals are now overdue.
    fn has_lost_controllers(&self, now: Tick) -> bool {
        self.lease.granted && self.time_since_renewal(now) >= RENEWAL_OVERDUE
    }

    /// Whether a voter has reported a newer position than this querier's. The report is one
    /// interval old, so updates that were merely in flight have arrived since.
    fn is_ahead(&self, slot: VoterSlot) -> bool {
        let Some(positions) = self.voter_positions.get(usize::from(slot)) else { return false };
        positions.iter().any(|theirs| match self.partitions.get(&theirs.partition) {
            Some(ours) => ours.revision < theirs.revision,
            None => {
                theirs.partition == MEMBERSHIP_FEED
                    && self.membership.feed_revision() < theirs.revision
            }
        })
    }
}
