//! Decides when a former membership is no longer in use.
//!
//! A membership is *retired* once so many of its members have left it that the others can't
//! gather new proofs to go on serving under it. It is *over* once all proofs gathered before have
//! expired.

use crate::control_plane::members::Members;
use crate::protocol::membership::{Member, Membership};
use crate::time::{Tick, ms, since};
use crate::{consts, quorum};

impl Members {
    /// Records which former memberships are retired, and drops those under which no member can
    /// serve any more.
    pub fn retire_former(&mut self, now: Tick) {
        let mut older = std::mem::take(&mut self.log.older);
        for former in &mut older {
            if former.retired.is_none() && self.is_abandoned(now, &former.membership) {
                former.retired = Some(now);
            }
        }
        older.retain(|former| {
            !former.retired.is_some_and(|at| self.has_expired(now, &former.membership, at))
        });
        self.log.older = older;
    }

    /// Returns whether a process that a membership names has left it, because it uses a
    /// newer one or no longer exists. Either way it sends no more attestations for this
    /// membership.
    pub fn has_left(&self, membership: &Membership, member: &Member) -> bool {
        self.has_departed(member)
            || self.last_renewals.get(&member.name).is_some_and(|last_renewal| {
                let is_another = last_renewal.member.incarnation != member.incarnation;
                last_renewal.has_renewed
                    && (is_another || last_renewal.progress.seen_membership > membership.id())
            })
    }

    /// Returns whether so many members have left a membership that the others can't gather the
    /// proofs to serve under it. A lone member does not leave its membership, which is out of use
    /// when the member is no longer live.
    fn is_abandoned(&self, now: Tick, membership: &Membership) -> bool {
        let members = &membership.members;
        let left = members.iter().filter(|member| self.has_left(membership, member)).count();
        left >= quorum::acceptance(members.len())
            || (members.len() == 1 && !self.is_live(now, &members[0].name))
    }

    /// Returns whether no member can serve any more under a membership that was retired at
    /// `retired`, because the attestations that leaving members may have sent before have
    /// expired.
    fn has_expired(&self, now: Tick, membership: &Membership, retired: Tick) -> bool {
        let members = &membership.members;
        let is_quiet = |member: &&Member| {
            let attestation_age_ms = self
                .last_renewals
                .get(&member.name)
                .map(|last_renewal| last_renewal.progress.attestation_age_ms);
            self.has_left(membership, member)
                && attestation_age_ms.is_some_and(|attestation_age_ms| {
                    ms(attestation_age_ms) >= consts::ATTESTATION_EXPIRY
                })
        };
        since(retired, now) >= consts::ATTESTATION_EXPIRY
            || members.iter().filter(is_quiet).count() >= quorum::acceptance(members.len())
            || members.len() == 1
            || members.iter().all(|member| self.has_left(membership, member))
    }
}
