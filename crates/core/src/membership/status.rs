//! Whether this querier takes calls and is ready, and among whom quotas are divided.
//!
//! Without a granted renewal for `TENURE_TRUST` the lease has lapsed. Then:
//! - we can prove that all but very few members know of nothing newer and do not
//!   hear the controllers either: the controllers are out of reach for all, and we
//!   serve our last view on with our last share (`attestation`). Controllers that
//!   live accept no change and give nobody's share away without one of those;
//! - else we are cut off, alone or with others: we turn not ready and then reject
//!   calls, before the leader gives our share away.

use crate::membership::gossip::GOSSIP_INTERVAL;
use crate::membership::lease::{LEASE_VALIDITY, RENEWAL_INTERVAL, RENEWAL_OVERDUE};
use crate::membership::node_agent::{Command, LeafClient, NodeAgent, QuotaMember};
use crate::membership::peer::Peer;
use crate::membership::updates::STARTUP_TIMEOUT;
use crate::query::engine::ServingState;
use crate::time::{Span, Tick, ms, since};

/// A lone cut-off member turns not ready after this long without the controllers, a
/// second before it rejects calls: the platform checks readiness each second.
const ISOLATED_READINESS_TIMEOUT: Span = ms(1_600);

/// A member that can't prove by then that it may serve on turns not ready: a round
/// before its lease ends.
const UNPROVED_READINESS_TIMEOUT: Span = LEASE_VALIDITY - GOSSIP_INTERVAL;

/// What is known of our way to the controllers at one moment.
struct ControllerContact {
    /// Age of the controllers' last word.
    age: Span,
    /// Others hear the controllers and we don't.
    is_individually_isolated: bool,
    /// Until when proofs allow to serve without a lease; zero if they don't.
    proved_until: Tick,
}

impl NodeAgent {
    /// Decides admission, readiness and quotas, and commands what changed.
    pub(super) fn decide(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let contact = self.controller_contact(now);
        let admission = self.decide_admission(now, &contact);
        let cut_off = admission == ServingState::Isolated;
        if self.ring.quotas_divided_while_cut_off != Some(cut_off) {
            self.ring.quotas_divided_while_cut_off = Some(cut_off);
            self.divide_quotas(cut_off, commands);
            self.update_leaf_clients(commands);
        }
        self.update_serving_until(now, admission, &contact, commands);
        if admission != self.admission {
            if cut_off {
                self.counters.lease_lapses += 1;
                commands.push(Command::Alarm(
                    "cut off: no word from the core, and no proof that all others lack it too"
                        .into(),
                ));
            }
            self.admission = admission;
            commands.push(Command::Admission(admission));
        }
        self.update_readiness(now, &contact, commands);
    }

    fn controller_contact(&mut self, now: Tick) -> ControllerContact {
        let age = self.time_since_renewal(now);
        // Somebody near hears the controllers and we don't, for longer than a
        // renewal takes: then it is we who are cut off, not they who are gone.
        let hears = |peer: &Peer| {
            peer.time_since_renewal + since(peer.request_sent_at, now) < RENEWAL_OVERDUE
        };
        let passed =
            age >= RENEWAL_OVERDUE && self.responsive_peers(now).any(|(_, peer)| hears(peer));
        self.individually_isolated_since =
            if passed { self.individually_isolated_since.or(Some(now)) } else { None };
        let is_individually_isolated = self
            .individually_isolated_since
            .is_some_and(|at| since(at, now) >= 2 * RENEWAL_INTERVAL);
        // Proofs are gathered only while they may be needed.
        let proved_until = if self.must_attest(now) && !is_individually_isolated {
            self.proved_until()
        } else {
            0
        };
        ControllerContact { age, is_individually_isolated, proved_until }
    }

    fn lacks_proof(&self, now: Tick, contact: &ControllerContact) -> bool {
        self.lease.granted && now > contact.proved_until
    }

    fn decide_admission(&self, now: Tick, contact: &ControllerContact) -> ServingState {
        let lapsed = contact.age >= LEASE_VALIDITY;
        // The platform needs a moment to see that we are not ready: until then
        // callers still come, and are served.
        let stopping = self.stopping_since.is_some_and(|at| since(at, now) >= self.drain_notice);
        match (&self.view, stopping) {
            (_, true) => ServingState::ShuttingDown,
            (None, _) => ServingState::NoSnapshot,
            _ if self.lacks_proof(now, contact) && lapsed => ServingState::Isolated,
            _ => ServingState::Serving,
        }
    }

    /// The traffic threads look at this themselves before they act: a process that
    /// was paused wakes with an old limit and does nothing until it has a new one. Before
    /// that they are given all that is known of the leafs.
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

    /// Versions are tried under a lease of the controllers alone: whoever serves on by proofs may
    /// not know that a trial has ended.
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
        let is_alone = self.lease.granted
            && (now > self.neighbour_majority_until() || contact.is_individually_isolated);
        let ready = self.admission == ServingState::Serving
            && self.stopping_since.is_none()
            && self.has_served
            && !self.quota_members.is_empty()
            && !(is_alone && contact.age >= ISOLATED_READINESS_TIMEOUT)
            && !(self.lacks_proof(now, contact) && contact.age >= UNPROVED_READINESS_TIMEOUT);
        if ready != self.ready {
            self.ready = ready;
            commands.push(Command::Ready(ready));
        }
    }

    /// Commands among whom the cluster's quotas are divided, if that has changed.
    ///
    /// A share needs a settled place in the membership; once had, it is kept while
    /// the controllers are out of reach for the group. Controllers that have
    /// forgotten us and take us in anew must not make us drop it. Nor may we take the
    /// share of one that was let go before the leader knows that nobody serves on by
    /// the former membership: until all is settled we divide by everyone old and new.
    fn divide_quotas(&mut self, cut_off: bool, commands: &mut Vec<Command>) {
        let membership = &self.membership;
        let own = membership.members.iter().find(|m| m.name == self.member.name);
        let mut members: Vec<QuotaMember> = membership
            .members
            .iter()
            .map(|m| QuotaMember { name: m.name.clone(), threads: m.threads })
            .collect();
        let settled = own.is_some_and(|m| m.joined <= membership.settled);
        let all_settled = settled && membership.settled == membership.turn;
        // A leader that knew nobody says early who is there: that we are not among
        // them yet, while nothing is settled, does not mean that we are gone.
        let gone = own.is_none() && membership.settled > 0;
        if cut_off || gone || (!settled && self.quota_members.is_empty()) {
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

    /// Commands who opens connections to leafs, if that has changed.
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
