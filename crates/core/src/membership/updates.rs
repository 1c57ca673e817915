//! Applying updates of the partitions, and making views of them.

use std::sync::Arc;

use crate::config::route::{Route, RouteShard, RoutingTable};
use crate::config::stored::Entry;
use crate::config::types::Config;
use crate::identifiers::{CONFIG, PartitionId, partitions};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{FeedPosition, Message};
use crate::protocol::replica::EntryMap;
use crate::rollout::record::rollouts_in;
use crate::rollout::versions::VersionsInForce;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::{LeafInfo, leafs_in};
use crate::storage::record::apply_entries;
use crate::time::{SECOND, Span, Tick, ms, since};
use crate::voter_set::majority;

/// Least time between two views that differ in leafs only: a burst of changes to a large
/// pool must not keep a light querier busy building views.
const VIEW_INTERVAL: Span = ms(100);

/// A starting querier that heard fewer than two voters waits this long before it takes
/// its view from a ready member alone.
pub(super) const START_PATIENCE: Span = 3 * SECOND;

/// Wait before leafs of unknown age are health-checked: lets a list's leafs gather.
const FIRST_PROBE_DELAY: Span = ms(100);

impl NodeAgent {
    /// Applies an update of one partition; tells whether it was new. An update that
    /// does not reach beyond what is held, or that would leave a gap, changes nothing.
    /// `from` is the revision that it continues; a snapshot has none.
    pub(super) fn apply_update(
        &mut self,
        partition: PartitionId,
        from: Option<u64>,
        revision: u64,
        entries: &[Entry],
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(state) = self.partitions.get_mut(&partition) else { return false };
        if revision <= state.revision || from.is_some_and(|from| from > state.revision) {
            return false;
        }
        if from.is_none() {
            state.entries.clear();
        }
        apply_entries(&mut state.entries, entries);
        state.revision = revision;
        self.view_is_stale = true;
        self.reports_unchecked = true;
        self.counters.updates += 1;
        if partition == CONFIG {
            self.adopt_configuration(commands);
        }
        true
    }

    /// Obeys the configuration that is held, if it can be built.
    fn adopt_configuration(&mut self, commands: &mut Vec<Command>) {
        let Some(state) = self.partitions.get(&CONFIG) else { return };
        let revision = state.revision;
        let built = build_configuration(&state.entries);
        let rollouts = rollouts_in(&state.entries).collect();
        self.learn_revision(revision);
        match built {
            Ok(configuration) => {
                self.rollouts = rollouts;
                if self.first_revision == 0 {
                    self.first_revision = revision;
                }
                self.configuration = Arc::new(configuration);
                self.configuration_revision = revision;
            }
            Err(reasons) => commands.push(Command::Alarm(format!(
                "configuration {revision} can't be obeyed, {} stays: {}",
                self.configuration_revision,
                reasons.join("; ")
            ))),
        }
    }

    /// Snapshots of the partitions that another member, which is at `positions`,
    /// lacks something of.
    pub(super) fn updates_beyond(&self, positions: &[FeedPosition]) -> Vec<Message> {
        let update = |theirs: &FeedPosition| {
            let ours = self.partitions.get(&theirs.partition)?;
            if ours.revision <= theirs.revision {
                return None;
            }
            let entries = ours.entries.iter();
            Some(Message::Update {
                partition: theirs.partition,
                from: None,
                revision: ours.revision,
                entries: entries.map(|(key, val)| (key.clone(), Some(val.clone()))).collect(),
            })
        };
        positions.iter().filter_map(update).collect()
    }

    /// Notes whether the first view can't be older than one that we, before a
    /// restart, or others obey. An accepted configuration is synced by a majority of
    /// the voters: of those that answer, all have it but as many as a majority leaves
    /// out. With the controllers silent, a ready member's view serves.
    pub(super) fn check_caught_up(&mut self, now: Tick) {
        if self.is_caught_up || self.configuration_revision == 0 {
            return;
        }
        let waited = since(self.started_at, now) > START_PATIENCE;
        let reached_member = waited
            && self.peers.values().any(|peer| {
                let reached = |theirs: &FeedPosition| {
                    theirs.revision <= self.applied_revision(theirs.partition)
                };
                peer.ready && peer.positions.iter().all(reached)
            });
        self.is_caught_up = reached_member
            || partitions().all(|id| self.applied_revision(id) >= self.least_revision(id));
    }

    /// The revision that we obey, or hold, of a partition.
    fn applied_revision(&self, partition: PartitionId) -> u64 {
        if partition == CONFIG {
            self.configuration_revision
        } else {
            self.partitions.get(&partition).map_or(0, |state| state.revision)
        }
    }

    /// The revision of a partition below which we might miss something accepted.
    fn least_revision(&self, partition: PartitionId) -> u64 {
        let mut answered: Vec<u64> = self
            .voter_positions
            .iter()
            .flatten()
            .filter(|position| position.partition == partition)
            .map(|position| position.revision)
            .collect();
        answered.sort_unstable();
        let size = self.voter_set.slots.len();
        let left_out = size - majority(size).min(size);
        answered.get(left_out).copied().unwrap_or(u64::MAX)
    }

    /// Publishes a new view if what is held has changed.
    pub(super) fn publish_view(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let obeyed = self.view.as_ref().map(|view| view.revision);
        let is_new_configuration = obeyed != Some(self.configuration_revision);
        if !self.is_caught_up
            || !self.view_is_stale
            || (!is_new_configuration && now < self.publish_at)
        {
            return;
        }
        self.view_is_stale = false;
        self.publish_at = now + VIEW_INTERVAL;
        let view = Arc::new(self.build_view());
        self.note_searches_served(now, &view);
        if view.leafs.values().any(|leaf| leaf.age_ms == 0) {
            // Nobody knows yet how much load these take: ask soon.
            self.probe_at = self.probe_at.min(now + FIRST_PROBE_DELAY);
        }
        if obeyed.is_none_or(|revision| revision < view.revision) {
            // Operators wait to hear that we obey.
            self.lease.renew_at = 0;
        }
        self.view = Some(view.clone());
        self.counters.views += 1;
        commands.push(Command::ClusterView(view));
    }

    fn build_view(&mut self) -> ClusterView {
        let services = || {
            let of_services = partitions().filter(|id| *id != CONFIG);
            of_services.filter_map(|id| self.partitions.get(&id))
        };
        let leafs = services()
            .flat_map(|state| leafs_in(&state.entries).into_values())
            .filter_map(|info| self.with_reports(info))
            .collect();
        let services_entries = services().map(|state| &state.entries);
        let versions = VersionsInForce::in_partitions(services_entries, self.rollouts.iter());
        let split = versions.split_leafs(leafs);
        self.withheld_leafs = split.others.len();
        let (revision, configuration) = (self.configuration_revision, self.configuration.clone());
        let trials = self.trials(&split);
        ClusterView::new(revision, configuration, split.in_force).with_trials(trials)
    }

    fn note_searches_served(&mut self, now: Tick, view: &ClusterView) {
        let served = view.mappings.values().filter(|route| has_quorum(view, route)).count();
        if served > 0 {
            self.serving_some_since.get_or_insert(now);
            self.has_served |= served == view.mappings.len();
        }
    }

    /// A leaf with what it reported and the update stream does not show yet; none if
    /// it is gone.
    fn with_reports(&self, mut info: LeafInfo) -> Option<LeafInfo> {
        if let Some(pending) = self.leaf_reports.get(&info.leaf) {
            if pending.report.gone {
                return None;
            }
            info.leaving |= pending.report.leaving;
            info.age_ms = info.age_ms.max(pending.report.age_ms);
        }
        Some(info)
    }
}

/// Builds the configuration of these entries, or says what is wrong with it.
fn build_configuration(entries: &EntryMap) -> Result<RoutingTable, Vec<String>> {
    let configuration = Config::from_entries(entries).map_err(|error| vec![error.to_string()])?;
    RoutingTable::build(&configuration).map_err(|all| all.iter().map(|f| f.to_string()).collect())
}

/// Whether a route has leafs for its quorum of shards.
fn has_quorum(view: &ClusterView, route: &Route) -> bool {
    let has_leaf = |shard: &&RouteShard| {
        shard.pools.iter().any(|pool| view.open_leafs(pool, &route.cut).next().is_some())
    };
    let served = route.shards.iter().filter(has_leaf).count();
    served >= route.required_shards(route.shards.len())
}
