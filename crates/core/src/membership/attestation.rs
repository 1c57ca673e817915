//! Serving on without a lease: what members prove to each other while none of
//! them has the core's word.
//!
//! A member that lacks the core's word attests, when it is asked, which
//! membership it goes by and the newest configuration it knows of. An attestation
//! proves that nothing newer was accepted with its help before the question was
//! asked. Members pass on how old their proofs are, so that each comes to hear of
//! all in a few rounds, and counts them exactly (`crate::quorum`).

use crate::consts;
use crate::membership::node_agent::NodeAgent;
use crate::membership::status::core_age;
use crate::protocol::message::{Attestation, MembershipId, NO_PROOF};
use crate::quorum;
use crate::time::{MILLI, Tick, ms, since};

/// The proofs that this member holds about the others of its membership.
#[derive(Default)]
pub struct Proofs {
    /// The membership that they are about.
    membership: MembershipId,
    /// When the question that the newest proof answers was asked, for each member
    /// in the membership's order; zero for none.
    asked: Vec<Tick>,
    /// Our own place in that order, if this very process is a member.
    own: Option<usize>,
    /// When we last attested; zero before the first time.
    pub attested: Tick,
    /// Until when proofs allow to serve without a lease; zero if they never did.
    /// What was proved holds on when the membership changes.
    until: Tick,
}

/// The membership changed: proofs about the former one count no more.
pub fn adopt(watch: &mut NodeAgent) {
    let membership = watch.membership.id();
    if watch.proofs.membership == membership {
        return;
    }
    let own = watch
        .membership
        .members
        .iter()
        .position(|m| m.name == watch.member.name && m.incarnation == watch.member.incarnation);
    watch.proofs = Proofs {
        membership,
        asked: vec![0; watch.membership.members.len()],
        own,
        attested: watch.proofs.attested,
        until: watch.proofs.until,
    };
    learn_of(watch, watch.membership.revision);
}

/// A configuration of this revision is known to exist.
pub fn learn_of(watch: &mut NodeAgent, revision: u64) {
    watch.known_revision = watch.known_revision.max(revision);
}

/// Whether this member lacks the core's word for long enough to ask for proofs
/// and to give them.
pub fn is_restless(watch: &NodeAgent, now: Tick) -> bool {
    core_age(watch, now) >= consts::COHORT_UNREST
}

/// What we attest now, if anything. Whoever has the core's word attests nothing:
/// its membership lives on without those who lack it.
pub fn attest(watch: &mut NodeAgent, now: Tick) -> Option<Attestation> {
    if !is_restless(watch, now) || watch.membership.term == 0 {
        return None;
    }
    watch.proofs.attested = now;
    let age = |asked: Tick| match since(asked, now) {
        age if asked > 0 && age <= consts::ATTESTATION_WINDOW => (age / MILLI) as u16 + 1,
        _ => NO_PROOF,
    };
    let mut ages: Vec<u16> = watch.proofs.asked.iter().map(|at| age(*at)).collect();
    if let Some(own) = watch.proofs.own {
        ages[own] = 0;
    }
    Some(Attestation { membership: watch.proofs.membership, knows: watch.known_revision, ages })
}

/// Takes in an attestation that answers a question of ours, asked at `asked`.
/// Tells whether the other goes by a newer membership.
pub fn take_in(watch: &mut NodeAgent, asked: Tick, attestation: &Attestation) -> bool {
    learn_of(watch, attestation.knows);
    let ours = watch.proofs.membership;
    let fits = attestation.membership == ours
        && attestation.knows <= watch.configuration_revision
        && attestation.ages.len() == watch.proofs.asked.len();
    if fits {
        for (known, age) in watch.proofs.asked.iter_mut().zip(&attestation.ages) {
            if *age != NO_PROOF {
                *known = (*known).max(asked.saturating_sub(ms(u64::from(*age))));
            }
        }
    }
    attestation.membership > ours
}

/// Until when proofs allow to serve without a lease; zero if they never did.
pub fn serving_until(watch: &mut NodeAgent) -> Tick {
    watch.proofs.until = watch.proofs.until.max(proved_until(watch));
    watch.proofs.until
}

/// Until when the proofs at hand allow it; zero if they don't.
fn proved_until(watch: &NodeAgent) -> Tick {
    let proofs = &watch.proofs;
    let own = match proofs.own {
        // Only who had a lease in this life has something to serve on with.
        Some(own)
            if watch.lease.granted && watch.known_revision <= watch.configuration_revision =>
        {
            own
        }
        _ => return 0,
    };
    let Some(needed) = quorum::serving(proofs.asked.len()) else { return 0 };
    let others = proofs.asked.iter().enumerate().filter(|(i, _)| *i != own);
    let mut asked: Vec<Tick> = others.map(|(_, at)| *at).collect();
    // We ourselves are one of those needed.
    let (_, oldest, _) = asked.select_nth_unstable_by(needed - 2, |a, b| b.cmp(a));
    if *oldest == 0 { 0 } else { *oldest + consts::ATTESTATION_WINDOW }
}

/// How long ago we last attested, or began (ms).
pub fn quiet_ms(watch: &NodeAgent, now: Tick) -> u64 {
    since(watch.proofs.attested.max(watch.started_at), now) / MILLI
}
