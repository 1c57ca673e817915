//! Work that one member does for all: polling the platform's list of leafs, and
//! health-checking leafs. Each key has one holder, by [`super::neighbour_ring`]. While members
//! are silent the leader of the configuration names others that poll the list.

use crate::consts;
use crate::digest::hash;
use crate::identifiers::{CONFIG, PartitionId, partitions, service_partition};
use crate::membership::lease::LEASE_TRUST;
use crate::membership::neighbour_ring::{LIST_POLLERS, PROBE_KEYS};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{LeafReport, Message};
use crate::protocol::replica::EntryMap;
use crate::snapshot::leafs::{LeafInfo, leafs_in};
use crate::time::{SECOND, Span, Tick, ms, since};

/// How often who would hold the assignment next polls the platform's list: within the
/// 3 s in which a leaving leaf must be known, with a second to spare for the way.
const LIST_POLL_NEXT: Span = ms(1_800);

/// For how long the holder polls more often (`consts::LEAF_LIST_FAST_POLL_INTERVAL`) after word of a leaf
/// that is gone.
const HURRIED_FOR: Span = 3 * SECOND;

/// How long a member polls the list in place of others after it was told to, which it is again
/// with each grant of its lease: two of them, and the way.
const SUBSTITUTION_VALIDITY: Span = ms(1_300);

/// How often each leaf is health-checked, by one member for all.
const PROBE_INTERVAL: Span = ms(1_000);

/// Word of the leader that a member polls the list in place of silent ones.
pub struct ListSubstitution {
    /// The member's rank without them.
    pub rank: usize,
    /// When it was told.
    pub told_at: Tick,
}

impl NodeAgent {
    /// The leader says that we poll the list with this rank, in place of silent members.
    pub(super) fn on_substitution(&mut self, now: Tick, incarnation: u64, rank: u32) {
        if incarnation == self.member.incarnation {
            self.list_substitution = Some(ListSubstitution { rank: rank as usize, told_at: now });
        }
    }

    /// Our rank in place of silent members, if it still holds.
    fn substitute_list_rank(&self, now: Tick) -> Option<usize> {
        let told = self.list_substitution.as_ref();
        told.filter(|told| since(told.told_at, now) < SUBSTITUTION_VALIDITY).map(|told| told.rank)
    }

    /// Our rank among those that poll the list, by the membership and by the leader.
    fn list_rank(&self, now: Tick) -> Option<usize> {
        let ranks = [self.ring.list_rank, self.substitute_list_rank(now)];
        ranks.into_iter().flatten().min().filter(|rank| *rank < LIST_POLLERS)
    }

    /// How often we poll the list: its holder often, and the next one seldom, so
    /// that a holder that dies does not leave everyone blind until it is found silent.
    /// Nobody knows what the others hear; it is polled sooner after word of a leaf
    /// that is gone, since most come back under a new name.
    fn list_poll_period(&self, now: Tick) -> Option<Span> {
        let hurried = since(self.leaf_gone_at, now) < HURRIED_FOR && self.leaf_gone_at > 0;
        match self.list_rank(now)? {
            0 if hurried => Some(consts::LEAF_LIST_FAST_POLL_INTERVAL),
            0 => Some(consts::LEAF_LIST_POLL_INTERVAL),
            _ => Some(LIST_POLL_NEXT),
        }
    }

    /// The partitions for which we poll the list.
    fn polled_partitions(&self, now: Tick) -> Vec<PartitionId> {
        match self.list_rank(now) {
            Some(_) => partitions().filter(|id| *id != CONFIG).collect(),
            None => Vec::new(),
        }
    }

    /// Whether we work on our assignments. A member that stops does until it gives its
    /// lease back: only then do others know that they have its assignments, and every
    /// member may be stopping at once.
    fn works_on_assignments(&self) -> bool {
        !self.is_drained
    }

    /// Polls the list if it is due and the assignment is ours under a good lease.
    pub(super) fn poll_leaf_list(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let trusted = self.lease.granted && since(self.lease.renewed_at, now) < LEASE_TRUST;
        if !trusted || !self.works_on_assignments() {
            return;
        }
        let Some(period) = self.list_poll_period(now) else { return };
        if now >= self.list_polled_at + period {
            self.list_polled_at = now;
            self.counters.list_polls += 1;
            let is_usual = self.ring.list_rank.is_some_and(|rank| rank < LIST_POLLERS);
            self.counters.substitute_list_polls += u64::from(!is_usual);
            commands.push(Command::PollLeafList);
        }
    }

    /// A poll has ended. One that failed says nothing about leafs.
    pub(super) fn on_leaf_list(
        &mut self,
        now: Tick,
        polled: Result<Vec<LeafInfo>, String>,
        commands: &mut Vec<Command>,
    ) {
        let leafs = match polled {
            Ok(leafs) => leafs,
            Err(why) => {
                self.counters.list_failures += 1;
                commands.push(Command::Alarm(format!("the platform's list: {why}")));
                return;
            }
        };
        for partition in self.polled_partitions(now) {
            let listed: Vec<LeafInfo> = leafs
                .iter()
                .filter(|leaf| service_partition(&leaf.service) == partition)
                .cloned()
                .collect();
            self.on_listed(now, partition, listed, commands);
        }
    }

    /// The list names these leafs of a partition.
    fn on_listed(
        &mut self,
        now: Tick,
        partition: PartitionId,
        listed: Vec<LeafInfo>,
        commands: &mut Vec<Command>,
    ) {
        let is_known = self
            .partitions
            .get(&partition)
            .map_or(listed.is_empty(), |p| shows(&p.entries, &listed));
        // With the controllers out of reach nobody is told the list; that a leaf
        // leaves can be said among members too.
        for info in listed.iter().filter(|info| info.leaving) {
            let report =
                LeafReport { leaf: info.leaf.clone(), leaving: true, ..LeafReport::default() };
            self.on_leaf_report(now, info.service.clone(), report);
        }
        if !is_known {
            let fencing_token = self.membership.id();
            self.send_to_core(
                Message::LeafList { partition, fencing_token, leafs: listed },
                commands,
            );
        }
    }

    /// Health-checks the leafs whose keys are assigned to us, if it is due.
    pub(super) fn probe_leafs(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let Some(view) = &self.view else { return };
        if now < self.probe_at || !self.works_on_assignments() {
            return;
        }
        self.probe_at = now + PROBE_INTERVAL;
        let is_ours = |leaf: &str| {
            let key = hash(leaf) % PROBE_KEYS;
            self.ring.probe_keys.get(key as usize) == Some(&true)
        };
        let leafs: Vec<_> =
            view.leafs.values().filter(|info| is_ours(&info.leaf)).cloned().collect();
        if !leafs.is_empty() {
            self.counters.probes += leafs.len() as u64;
            commands.push(Command::ProbeLeafs(leafs));
        }
    }
}

/// Whether a partition's entries show all that the list says. The list knows no
/// ages, and a leaf that leaves does so for good.
fn shows(entries: &EntryMap, listed: &[LeafInfo]) -> bool {
    let known = leafs_in(entries);
    let is_shown = |info: &LeafInfo| {
        known.get(&info.leaf).is_some_and(|known| {
            let leaving = known.leaving || info.leaving;
            LeafInfo { leaving, age_ms: known.age_ms, ..info.clone() } == *known
        })
    };
    listed.len() == known.len() && listed.iter().all(is_shown)
}
