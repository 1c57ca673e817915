//! Which voters send us updates. One does wholly. The others only say how far they
//! are, which costs a fourth and shows at once when the one lacks something: then
//! whoever is ahead sends us updates too until we have it. Without the controllers'
//! word all send us updates, and so they do at a start, until we have a view and a
//! lease.

use crate::identifiers::{FEED_END, MEMBERSHIP_FEED, VoterSlot};
use crate::membership::lease::{RENEWAL_OVERDUE, SEEK_INTERVAL};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{Span, Tick, ms};

/// How often a querier asks the voter that sends it updates for those it may have
/// missed.
pub const SUBSCRIBE_INTERVAL: Span = ms(400);

/// How often it asks the other voters how far they are. Updates that its own voter lacks
/// then come at most this, an interval and a round trip late: half of the 3 s in which a
/// change must be obeyed.
const ASK_OTHERS_INTERVAL: Span = 2 * SUBSCRIBE_INTERVAL;

impl NodeAgent {
    /// Asks the voters for updates if it is time; without a view often, and all.
    pub(super) fn subscribe(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if now < self.subscribe_at {
            return;
        }
        let period = if self.is_caught_up { SUBSCRIBE_INTERVAL } else { SEEK_INTERVAL };
        self.subscribe_at = now + period;
        let ask_others = now >= self.feed.ask_others_at;
        if ask_others {
            self.feed.ask_others_at = now + ASK_OTHERS_INTERVAL;
        }
        let (for_updates, for_positions) = self.subscriptions();
        if self.voter_set.slots.is_empty() {
            commands.push(Command::Broadcast { message: for_updates.clone() });
        }
        let slots = self.occupied_slots();
        let preferred = self.feed.preferred(&slots, &self.member.name, self.started_at, now);
        let from_all = self.is_starting() || self.lacks_core(now);
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

    /// The message that asks for updates, and the one that only asks how far the
    /// receiver is.
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

    /// Whether we are still starting: what waits for one voter then, the recovery of
    /// the cluster from a restart of everything waits for.
    fn is_starting(&self) -> bool {
        !self.is_caught_up || !self.lease.granted
    }

    /// Whether we heard the controllers and do so no more.
    fn lacks_core(&self, now: Tick) -> bool {
        self.lease.granted && self.core_age(now) >= RENEWAL_OVERDUE
    }

    /// Whether a voter said that it is further than we are. It said so a period ago:
    /// what is merely on its way to us has come since.
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
