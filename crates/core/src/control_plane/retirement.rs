//! When a former membership is out of use.
//!
//! It is *retired* once so many of its members have left it that the others can
//! gather no more proofs to serve on by it, and *over* once those that they may
//! have gathered before are out of date.

use crate::control_plane::members::Members;
use crate::protocol::membership::{Member, Membership};
use crate::time::{Tick, ms, since};
use crate::{consts, quorum};

impl Members {
    /// Notes which former memberships nobody can serve on by any more.
    pub fn retire_former(&mut self, now: Tick) {
        let mut older = std::mem::take(&mut self.log.older);
        for former in &mut older {
            if former.retired.is_none() && self.is_left(now, &former.membership) {
                former.retired = Some(now);
            }
        }
        older.retain(|former| {
            !former.retired.is_some_and(|at| self.is_over(now, &former.membership, at))
        });
        self.log.older = older;
    }

    /// Whether a process that a membership names has left it: it goes by a newer
    /// one, or is no more. Either way it attests no more for that one.
    pub fn has_left(&self, membership: &Membership, member: &Member) -> bool {
        self.is_gone(member)
            || self.last_renewals.get(&member.name).is_some_and(|heard| {
                let is_another = heard.member.incarnation != member.incarnation;
                heard.has_renewed
                    && (is_another || heard.progress.seen_membership > membership.id())
            })
    }

    /// Whether so many have left a membership that the others can't serve on by it.
    /// A lone member never does.
    fn is_left(&self, now: Tick, membership: &Membership) -> bool {
        let list = &membership.members;
        let left = list.iter().filter(|member| self.has_left(membership, member)).count();
        left >= quorum::acceptance(list.len())
            || (list.len() == 1 && !self.is_live(now, &list[0].name))
    }

    /// Whether nobody serves on any more by a membership that was left at `retired`:
    /// the proofs that those who left it may have given before are out of date.
    fn is_over(&self, now: Tick, membership: &Membership, retired: Tick) -> bool {
        let list = &membership.members;
        let is_quiet = |member: &&Member| {
            let attestation_age_ms =
                self.last_renewals.get(&member.name).map(|heard| heard.progress.attestation_age_ms);
            self.has_left(membership, member)
                && attestation_age_ms.is_some_and(|attestation_age_ms| {
                    ms(attestation_age_ms) >= consts::ATTESTATION_EXPIRY
                })
        };
        since(retired, now) >= consts::ATTESTATION_EXPIRY
            || list.iter().filter(is_quiet).count() >= quorum::acceptance(list.len())
            || list.len() == 1
            || list.iter().all(|member| self.has_left(membership, member))
    }
}
