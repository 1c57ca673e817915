//! The version in force of each service, and the leafs that get requests accordingly.

use std::collections::{BTreeMap, BTreeSet};

use crate::protocol::replica::EntryMap;
use crate::rollout::first_version::first_versions;
use crate::rollout::record::Rollout;
use crate::snapshot::leafs::LeafInfo;

/// The versions in force of all services that have one in the replicated state.
#[derive(Clone, Debug, Default)]
pub struct VersionsInForce {
    by_service: BTreeMap<String, String>,
}

impl VersionsInForce {
    /// Derives the versions in force from recorded first versions and rollouts.
    pub fn new<'a>(
        first_versions: impl Iterator<Item = (&'a str, &'a str)>,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> VersionsInForce {
        let owned = |(service, version): (&str, &str)| (service.to_string(), version.to_string());
        let mut by_service: BTreeMap<String, String> = first_versions.map(owned).collect();
        let rolled_out =
            rollouts.filter_map(|r| Some(owned((r.service.as_str(), r.version_in_force()?))));
        by_service.extend(rolled_out);
        VersionsInForce { by_service }
    }

    /// Derives the versions in force from the entries of the service partitions and rollouts.
    pub fn in_partitions<'a>(
        services: impl Iterator<Item = &'a EntryMap>,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> VersionsInForce {
        VersionsInForce::new(services.flat_map(first_versions), rollouts)
    }

    /// Returns the version in force of a service, if the replicated state has one.
    pub fn of(&self, service: &str) -> Option<&str> {
        self.by_service.get(service).map(String::as_str)
    }

    /// Splits leafs into those of the versions in force and all others. If a service has no
    /// version in force, its leafs get requests if all have the same version; otherwise only
    /// those without a version do.
    pub fn split_leafs(&self, leafs: Vec<LeafInfo>) -> SplitLeafs {
        let ambiguous = self.ambiguous_services(&leafs);
        let is_in_force = |leaf: &LeafInfo| match self.of(&leaf.service) {
            Some(version) => leaf.version() == version,
            None => leaf.version().is_empty() || !ambiguous.contains(&leaf.service),
        };
        let (in_force, others) = leafs.into_iter().partition(is_in_force);
        SplitLeafs { in_force, others }
    }

    /// Returns the services without a version in force whose leafs have several versions.
    fn ambiguous_services(&self, leafs: &[LeafInfo]) -> BTreeSet<String> {
        let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for leaf in leafs.iter().filter(|leaf| self.of(&leaf.service).is_none()) {
            versions.entry(&leaf.service).or_default().insert(leaf.version());
        }
        let ambiguous = versions.into_iter().filter(|(_, versions)| versions.len() > 1);
        ambiguous.map(|(service, _)| service.to_string()).collect()
    }
}

/// Leafs split by whether they get requests.
#[derive(Debug, Default)]
pub struct SplitLeafs {
    /// Leafs of the versions in force.
    pub in_force: Vec<LeafInfo>,
    /// All other leafs: they get no requests except in a trial.
    pub others: Vec<LeafInfo>,
}
