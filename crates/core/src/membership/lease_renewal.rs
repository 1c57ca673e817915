//! Renewing the lease, through a voter or, when none answers, through members.

use crate::identifiers::VoterSlot;
use crate::membership::lease::{LEASE_TRUST, RENEWAL_OVERDUE};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::membership::MemberProgress;
use crate::protocol::message::Message;
use crate::time::{Span, Tick, since};

/// Members that are asked to forward a renewal (count): one may itself have just
/// lost the controllers.
const FORWARDERS: usize = 2;

impl NodeAgent {
    /// How long ago the controllers were last known to hear us.
    pub(super) fn core_age(&self, now: Tick) -> Span {
        if self.lease.granted {
            since(self.lease.renewed_at, now)
        } else {
            since(self.started_at, now)
        }
    }

    /// Renews the lease when it is due.
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
        let overdue = self.core_age(now) >= RENEWAL_OVERDUE;
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

    /// Asks members to forward a renewal: perhaps only our own way to the
    /// controllers is cut.
    fn renew_by_members(&self, now: Tick, message: &Message, commands: &mut Vec<Command>) {
        let forwarders: Vec<&String> = self
            .heard_peers(now)
            .filter(|(_, peer)| peer.core_age < LEASE_TRUST)
            .map(|(name, _)| name)
            .take(FORWARDERS)
            .collect();
        for name in forwarders {
            self.send_to_member(name, message.clone(), commands);
        }
    }

    /// How far we are, as told with each renewal.
    fn progress(&self, now: Tick) -> MemberProgress {
        MemberProgress {
            applied_revision: self.view.as_ref().map_or(0, |view| view.revision),
            seen_membership: self.membership.id(),
            known_revision: self.known_revision,
            attestation_age_ms: self.attestation_age_ms(now),
            ready: self.ready,
            leaving: self.is_drained,
        }
    }

    /// A renewal was granted, when the configuration was at `revision`; through a
    /// voter slot, or by a member.
    pub(super) fn on_lease_granted(&mut self, slot: Option<VoterSlot>, number: u64, revision: u64) {
        if self.lease.on_granted(slot, number, revision) {
            self.learn_revision(revision);
            self.lease.take_up_grants(self.configuration_revision);
        }
    }
}
