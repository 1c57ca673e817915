//! Work that one member does for all: polling the platform's list of leafs, and health-checking
//! leafs. Each assignment has one holder, chosen by [`super::neighbour_ring`]. While members do
//! not answer, the leader of the configuration names others that poll the list.

use crate::consts;
use crate::digest::hash;
use crate::identifiers::{CONFIG, PartitionId, partitions, service_partition};
use crate::membership::lease::LEASE_VALIDITY;
use crate::membership::neighbour_ring::{LIST_POLLERS, PROBE_KEYS};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{LeafReport, Message};
use crate::protocol::replica::EntryMap;
use crate::snapshot::leafs::{LeafInfo, leafs_in};
use crate::time::{SECOND, Span, Tick, ms, since};

/// How often the second-ranked member polls the platform's list: within the 3 s in which a
/// leaving leaf must be known, with a second to spare for propagation.
const STANDBY_LIST_POLL_INTERVAL: Span = ms(1_800);

/// For how long the holder polls at `consts::LEAF_LIST_FAST_POLL_INTERVAL` after a leaf was
/// reported as gone.
const FAST_POLL_DURATION: Span = 3 * SECOND;

/// How long a member polls the list in place of others after the leader's message. The leader
/// repeats it with each grant of the lease, so this covers two grants and their transmission.
const SUBSTITUTE_RANK_VALIDITY: Span = ms(1_300);

/// How often each leaf is health-checked, by one member for all.
const PROBE_INTERVAL: Span = ms(1_000);

/// A message of the leader that makes this member poll the list in place of members that do not
/// answer.
pub struct SubstituteListRank {
    /// This member's rank when those members are left out.
    pub rank: usize,
    /// When the message was received.
    pub received_at: Tick,
}

impl NodeAgent {
    /// Records that the leader wants this member to poll the list with this rank, in place of
    /// members that do not answer.
    pub(super) fn on_substitute_list_poller(&mut self, now: Tick, incarnation: u64, rank: u32) {
        if incarnation == self.member.incarnation {
            self.substitute_list_rank =
                Some(SubstituteListRank { rank: rank as usize, received_at: now });
        }
    }

    /// Returns this member's rank in place of members that do not answer, unless the message is
    /// too old.
    fn valid_substitute_list_rank(&self, now: Tick) -> Option<usize> {
        let received = self.substitute_list_rank.as_ref();
        received
            .filter(|received| since(received.received_at, now) < SUBSTITUTE_RANK_VALIDITY)
            .map(|received| received.rank)
    }

    /// Returns this member's rank among those that poll the list, by the membership or by the
    /// leader's message, whichever rank comes first.
    fn list_rank(&self, now: Tick) -> Option<usize> {
        let ranks = [self.ring.list_rank, self.valid_substitute_list_rank(now)];
        ranks.into_iter().flatten().min().filter(|rank| *rank < LIST_POLLERS)
    }

    /// Returns how often this member polls the list. The holder polls often and the
    /// second-ranked member rarely, so that the list is still polled when a holder has died and
    /// its silence has not been detected yet. No member knows what the others have received, so
    /// each decides alone. The list is polled sooner after a leaf was reported as gone, since
    /// most leafs come back under a new name.
    fn list_poll_period(&self, now: Tick) -> Option<Span> {
        let polls_fast =
            since(self.last_leaf_gone_at, now) < FAST_POLL_DURATION && self.last_leaf_gone_at > 0;
        match self.list_rank(now)? {
            0 if polls_fast => Some(consts::LEAF_LIST_FAST_POLL_INTERVAL),
            0 => Some(consts::LEAF_LIST_POLL_INTERVAL),
            _ => Some(STANDBY_LIST_POLL_INTERVAL),
        }
    }

    /// Returns the partitions for which this member polls the list.
    fn polled_partitions(&self, now: Tick) -> Vec<PartitionId> {
        match self.list_rank(now) {
            Some(_) => partitions().filter(|id| *id != CONFIG).collect(),
            None => Vec::new(),
        }
    }

    /// Whether this member performs its assignments. A stopping member does so until it releases
    /// its lease: only then do others know that they have its assignments, and every member may
    /// be stopping at once.
    fn performs_assignments(&self) -> bool {
        !self.is_drained
    }

    /// Polls the list if that is due, the assignment is this member's and its lease is valid.
    pub(super) fn poll_leaf_list(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let trusted = self.lease.granted && since(self.lease.renewed_at, now) < LEASE_VALIDITY;
        if !trusted || !self.performs_assignments() {
            return;
        }
        let Some(period) = self.list_poll_period(now) else { return };
        if now >= self.last_list_poll_at + period {
            self.last_list_poll_at = now;
            self.counters.list_polls += 1;
            let is_assigned = self.ring.list_rank.is_some_and(|rank| rank < LIST_POLLERS);
            self.counters.substitute_list_polls += u64::from(!is_assigned);
            commands.push(Command::PollLeafList);
        }
    }

    /// Handles the result of a poll. A poll that failed says nothing about leafs.
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
            self.on_partition_list(now, partition, listed, commands);
        }
    }

    /// Handles the listed leafs of one partition.
    fn on_partition_list(
        &mut self,
        now: Tick,
        partition: PartitionId,
        listed: Vec<LeafInfo>,
        commands: &mut Vec<Command>,
    ) {
        let is_known = self
            .partitions
            .get(&partition)
            .map_or(listed.is_empty(), |p| matches_list(&p.entries, &listed));
        // While the controllers are out of reach, a list can't be reported to them. That a leaf
        // is leaving can also be passed on between members.
        for info in listed.iter().filter(|info| info.leaving) {
            let report =
                LeafReport { leaf: info.leaf.clone(), leaving: true, ..LeafReport::default() };
            self.on_leaf_report(now, info.service.clone(), report);
        }
        if !is_known {
            let fencing_token = self.membership.id();
            self.send_to_controllers(
                Message::LeafList { partition, fencing_token, leafs: listed },
                commands,
            );
        }
    }

    /// Health-checks the leafs whose keys are assigned to this member, if that is due.
    pub(super) fn probe_leafs(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let Some(view) = &self.view else { return };
        if now < self.probe_at || !self.performs_assignments() {
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

/// Whether a partition's entries contain everything that the list says. The list has no ages,
/// and a leaf that is leaving remains so.
fn matches_list(entries: &EntryMap, listed: &[LeafInfo]) -> bool {
    let known = leafs_in(entries);
    let is_known = |info: &LeafInfo| {
        known.get(&info.leaf).is_some_and(|known| {
            let leaving = known.leaving || info.leaving;
            LeafInfo { leaving, age_ms: known.age_ms, ..info.clone() } == *known
        })
    };
    listed.len() == known.len() && listed.iter().all(is_known)
}
