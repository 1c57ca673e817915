//! Lease renewal, through a voter or, when none answers, through other members.

use crate::identifiers::VoterSlot;
use crate::membership::lease::{LEASE_VALIDITY, RENEWAL_OVERDUE};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::membership::MemberProgress;
use crate::protocol::message::Message;
use crate::time::{Span, Tick, since};

/// Number of members that are asked to forward a renewal: one of them may itself have just lost
/// the controllers.
const FORWARDERS: usize = 2;

impl NodeAgent {
    /// Returns the time since the last renewal that the controllers are known to have received,
    /// or since the start if there was none.
    pub(super) fn time_since_renewal(&self, now: Tick) -> Span {
        if self.lease.granted {
            since(self.lease.renewed_at, now)
        } else {
            since(self.started_at, now)
        }
    }

    /// Renews the lease when that is due.
    pub(super) fn renew_lease(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if now < self.lease.renew_at {
            return;
        }
        let number = self.lease.next_renewal(now);
        let message = Message::RenewLease {
            member: self.member.clone(),
            number,
            progress: self.progress(now),
        };
        let overdue = self.time_since_renewal(now) >= RENEWAL_OVERDUE;
        match self.lease.slot {
            Some(slot) if !overdue => {
                commands.push(Command::ToVoter { slot, message: message.clone() });
            }
            _ => self.send_to_voters(&message, commands),
        }
        self.send_rollout_votes(commands);
        if overdue && self.lease.granted {
            self.renew_by_members(now, &message, commands);
        }
    }

    /// Asks other members to forward a renewal: possibly only this member's own connections to
    /// the controllers are down.
    fn renew_by_members(&self, now: Tick, message: &Message, commands: &mut Vec<Command>) {
        let forwarders: Vec<&String> = self
            .responsive_peers(now)
            .filter(|(_, peer)| peer.time_since_renewal < LEASE_VALIDITY)
            .map(|(name, _)| name)
            .take(FORWARDERS)
            .collect();
        for name in forwarders {
            self.send_to_member(name, message.clone(), commands);
        }
    }

    /// Returns this member's progress, which is sent with each renewal.
    fn progress(&self, now: Tick) -> MemberProgress {
        MemberProgress {
            applied_revision: self.view.as_ref().map_or(0, |view| view.revision),
            seen_membership: self.membership.id(),
            known_revision: self.known_revision,
            attestation_age_ms: self.ms_since_attestation(now),
            ready: self.ready,
            leaving: self.is_drained,
        }
    }

    /// Handles the grant of a renewal. `revision` is the configuration revision at the time of
    /// the grant. The grant came through a voter slot, or was forwarded by a member.
    pub(super) fn on_lease_granted(&mut self, slot: Option<VoterSlot>, number: u64, revision: u64) {
        if self.lease.on_granted(slot, number, revision) {
            self.record_known_revision(revision);
            self.lease.apply_grants(self.configuration_revision);
        }
    }
}
