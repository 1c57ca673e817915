//! Decides whether this querier admits calls and is ready, and which members divide the quotas.
//!
//! Without a granted renewal for `LEASE_VALIDITY` the lease has lapsed. Then one of two cases
//! applies:
//! - This querier can prove that all but very few members know of nothing newer and do not reach
//!   the controllers either. The controllers are then out of reach for everyone, and the querier
//!   goes on serving its last view with its last quota share (`attestation`). Running
//!   controllers accept no change and reassign no quota share without one of the members that
//!   attested.
//! - Otherwise this querier is isolated, alone or with others. It becomes not ready and then
//!   rejects calls, before the leader reassigns its quota share.

use crate::membership::gossip::GOSSIP_INTERVAL;
use crate::membership::lease::{LEASE_VALIDITY, RENEWAL_INTERVAL, RENEWAL_OVERDUE};
use crate::membership::node_agent::{Command, LeafClient, NodeAgent, QuotaMember};
use crate::membership::peer::Peer;
use crate::membership::updates::STARTUP_TIMEOUT;
use crate::query::engine::ServingState;
use crate::time::{Span, Tick, ms, since};

/// A member that alone has lost the controllers becomes not ready after this long without a
/// renewal. That is one second before it rejects calls, since the platform checks readiness each
/// second.
const ISOLATED_READINESS_TIMEOUT: Span = ms(1_600);

/// A member that has not proved by then that it may go on serving becomes not ready: one gossip
/// round before its lease ends.
const UNPROVED_READINESS_TIMEOUT: Span = LEASE_VALIDITY - GOSSIP_INTERVAL;

/// The state of the connection to the controllers at one moment.
struct ControllerContact {
    /// Time since the last renewal that the controllers granted.
    since_renewal: Span,
    /// Whether other members reach the controllers and this one does not.
    is_individually_isolated: bool,
    /// Until when attestations allow this querier to serve without a lease; zero if they do not.
    proved_until: Tick,
}

impl NodeAgent {
    /// Decides admission, readiness and quotas, and issues commands for what has changed.
    pub(super) fn decide(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let contact = self.controller_contact(now);
        let admission = self.decide_admission(now, &contact);
        let is_isolated = admission == ServingState::Isolated;
        if self.ring.quotas_divided_while_isolated != Some(is_isolated) {
            self.ring.quotas_divided_while_isolated = Some(is_isolated);
            self.divide_quotas(is_isolated, commands);
            self.update_leaf_clients(commands);
        }
        self.update_serving_until(now, admission, &contact, commands);
        if admission != self.admission {
            if is_isolated {
                self.counters.lease_lapses += 1;
                commands.push(Command::Alarm(
                    "cut off: the lease lapsed, and no proof that all other members have lost the controllers"
                        .into(),
                ));
            }
            self.admission = admission;
            commands.push(Command::Admission(admission));
        }
        self.update_readiness(now, &contact, commands);
    }

    fn controller_contact(&mut self, now: Tick) -> ControllerContact {
        let since_renewal = self.time_since_renewal(now);
        // If a peer has reached the controllers within the time in which a renewal becomes
        // overdue, and this querier has not, then this querier is isolated rather than the
        // controllers being down.
        let reaches_controllers = |peer: &Peer| {
            peer.time_since_renewal + since(peer.request_sent_at, now) < RENEWAL_OVERDUE
        };
        let peers_reach_controllers = since_renewal >= RENEWAL_OVERDUE
            && self.responsive_peers(now).any(|(_, peer)| reaches_controllers(peer));
        self.individually_isolated_since = if peers_reach_controllers {
            self.individually_isolated_since.or(Some(now))
        } else {
            None
        };
        let is_individually_isolated = self
            .individually_isolated_since
            .is_some_and(|at| since(at, now) >= 2 * RENEWAL_INTERVAL);
        // Attestations are gathered only while they may be needed.
        let proved_until = if self.must_attest(now) && !is_individually_isolated {
            self.proved_until()
        } else {
            0
        };
        ControllerContact { since_renewal, is_individually_isolated, proved_until }
    }

    fn lacks_proof(&self, now: Tick, contact: &ControllerContact) -> bool {
        self.lease.granted && now > contact.proved_until
    }

    fn decide_admission(&self, now: Tick, contact: &ControllerContact) -> ServingState {
        let lapsed = contact.since_renewal >= LEASE_VALIDITY;
        // The platform takes up to a check interval to see that this querier is not ready. Until
        // then callers still send calls, and these are served.
        let stopping = self.stopping_since.is_some_and(|at| since(at, now) >= self.drain_notice);
        match (&self.view, stopping) {
            (_, true) => ServingState::ShuttingDown,
            (None, _) => ServingState::NoSnapshot,
            _ if self.lacks_proof(now, contact) && lapsed => ServingState::Isolated,
            _ => ServingState::Serving,
        }
    }

    /// Updates the time until which the traffic threads may use their view.
    ///
    /// The traffic threads compare it with the clock before they act: a process that was paused
    /// resumes with an expired limit and does nothing until it receives a new one. Before the
    /// new limit, a view with everything known of the leafs is published.
    fn update_serving_until(
        &mut self,
        now: Tick,
        admission: ServingState,
        contact: &ControllerContact,
        commands: &mut Vec<Command>,
    ) {
        let serving_until = match admission {
            ServingState::Isolated | ServingState::NoSnapshot => 0,
            _ => self.lease.valid_until().max(contact.proved_until),
        };
        if serving_until != self.serving_until {
            if self.serving_until <= now && now < serving_until {
                self.next_publish_at = now;
                self.publish_view(now, commands);
            }
            self.serving_until = serving_until;
            commands.push(Command::ServingUntil(serving_until));
        }
        self.update_trials_until(commands);
    }

    /// Updates the time until which versions under trial may receive attempts. It depends on the
    /// lease alone: a member that serves without a lease may not know that a trial has ended.
    fn update_trials_until(&mut self, commands: &mut Vec<Command>) {
        let has_trials = self.view.as_ref().is_some_and(|view| !view.trials.is_empty());
        let trials_until = if has_trials { self.lease.valid_until() } else { 0 };
        if trials_until != self.trials_until {
            self.trials_until = trials_until;
            commands.push(Command::TrialsUntil(trials_until));
        }
    }

    fn update_readiness(
        &mut self,
        now: Tick,
        contact: &ControllerContact,
        commands: &mut Vec<Command>,
    ) {
        self.has_served |=
            self.partially_serving_since.is_some_and(|at| since(at, now) >= STARTUP_TIMEOUT);
        let is_isolated = self.lease.granted
            && (now > self.neighbour_majority_until() || contact.is_individually_isolated);
        let ready = self.admission == ServingState::Serving
            && self.stopping_since.is_none()
            && self.has_served
            && !self.quota_members.is_empty()
            && !(is_isolated && contact.since_renewal >= ISOLATED_READINESS_TIMEOUT)
            && !(self.lacks_proof(now, contact)
                && contact.since_renewal >= UNPROVED_READINESS_TIMEOUT);
        if ready != self.ready {
            self.ready = ready;
            commands.push(Command::Ready(ready));
        }
    }

    /// Divides the cluster's quotas among the members, and issues a command if the division has
    /// changed.
    ///
    /// A member gets a share only once its join is settled; it keeps the share while the
    /// controllers are out of reach for all members. A member whose share was granted keeps
    /// it when controllers that have lost their state admit it as a new member. A share that was
    /// freed by a removed member is not used before the leader knows that no member serves
    /// under the former membership: until everything is settled, the quotas are divided by all
    /// members of both memberships.
    fn divide_quotas(&mut self, is_isolated: bool, commands: &mut Vec<Command>) {
        let membership = &self.membership;
        let own = membership.members.iter().find(|m| m.name == self.member.name);
        let mut members: Vec<QuotaMember> = membership
            .members
            .iter()
            .map(|m| QuotaMember { name: m.name.clone(), threads: m.threads })
            .collect();
        let settled = own.is_some_and(|m| m.joined <= membership.settled);
        let all_settled = settled && membership.settled == membership.turn;
        // A leader that has lost its state sends a membership before all members have
        // registered. While nothing is settled, being absent from it does not mean that this
        // member was removed.
        let gone = own.is_none() && membership.settled > 0;
        if is_isolated || gone || (!settled && self.quota_members.is_empty()) {
            members.clear();
        } else if !all_settled {
            let former = self.quota_members.iter().filter(|m| !members.contains(m));
            let former: Vec<QuotaMember> = former.cloned().collect();
            members.extend(former);
            members.sort();
        }
        if members != self.quota_members {
            self.quota_members.clone_from(&members);
            commands.push(Command::QuotaMembers(members));
        }
    }

    /// Issues a command if the members that open connections to leafs have changed.
    fn update_leaf_clients(&mut self, commands: &mut Vec<Command>) {
        let client = |m: &crate::protocol::membership::Member| LeafClient {
            name: m.name.clone(),
            threads: m.threads,
            zone: m.zone.clone(),
        };
        let clients: Vec<LeafClient> = self.membership.members.iter().map(client).collect();
        if clients != self.leaf_clients && !clients.is_empty() {
            self.leaf_clients.clone_from(&clients);
            commands.push(Command::LeafClients(clients));
        }
    }
}
