//! Which leafs get requests, by the versions in force.

use std::collections::{BTreeMap, BTreeSet};

use crate::protocol::replica::EntryMap;
use crate::rollout::first_version::first_versions;
use crate::rollout::record::Rollout;
use crate::snapshot::leafs::LeafInfo;

/// The versions in force, as far as they are agreed on.
#[derive(Clone, Debug, Default)]
pub struct VersionsInForce {
    by_service: BTreeMap<String, String>,
}

impl VersionsInForce {
    /// The versions in force by recorded first versions and by rollouts.
    pub fn new<'a>(
        first_versions: impl Iterator<Item = (&'a str, &'a str)>,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> VersionsInForce {
        let owned = |(service, version): (&str, &str)| (service.to_string(), version.to_string());
        let mut by_service: BTreeMap<String, String> = first_versions.map(owned).collect();
        let moved =
            rollouts.filter_map(|r| Some(owned((r.service.as_str(), r.version_in_force()?))));
        by_service.extend(moved);
        VersionsInForce { by_service }
    }

    /// The versions in force by the entries of the partitions of services, and by rollouts.
    pub fn in_partitions<'a>(
        services: impl Iterator<Item = &'a EntryMap>,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> VersionsInForce {
        VersionsInForce::new(services.flat_map(first_versions), rollouts)
    }

    /// The version in force of a service, if one is agreed on.
    pub fn of(&self, service: &str) -> Option<&str> {
        self.by_service.get(service).map(String::as_str)
    }

    /// Splits leafs into those of the versions in force, and all others. A service without an
    /// agreed version is served by its leafs if all have the same; of several versions none can
    /// be told to be the right one.
    pub fn split_leafs(&self, leafs: Vec<LeafInfo>) -> SplitLeafs {
        let disputed = self.disputed_services(&leafs);
        let is_in_force = |leaf: &LeafInfo| match self.of(&leaf.service) {
            Some(version) => leaf.version() == version,
            None => leaf.version().is_empty() || !disputed.contains(&leaf.service),
        };
        let (in_force, others) = leafs.into_iter().partition(is_in_force);
        SplitLeafs { in_force, others }
    }

    /// Services without an agreed version whose leafs have several.
    fn disputed_services(&self, leafs: &[LeafInfo]) -> BTreeSet<String> {
        let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for leaf in leafs.iter().filter(|leaf| self.of(&leaf.service).is_none()) {
            versions.entry(&leaf.service).or_default().insert(leaf.version());
        }
        let disputed = versions.into_iter().filter(|(_, versions)| versions.len() > 1);
        disputed.map(|(service, _)| service.to_string()).collect()
    }
}

/// Leafs, apart by whether they get requests.
#[derive(Debug, Default)]
pub struct SplitLeafs {
    /// Those of the versions in force.
    pub in_force: Vec<LeafInfo>,
    /// All others: they get none but what a trial allows.
    pub others: Vec<LeafInfo>,
}
