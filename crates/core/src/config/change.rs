//! Applies changes to a configuration and computes the difference of two.

use super::stored::Entry;
use super::types::{ClientLimits, Config, Patch};

impl Config {
    /// Returns this configuration with `patch` applied.
    pub fn patched(mut self, patch: &Patch) -> Config {
        for name in &patch.drop_searches {
            self.searches.remove(name);
        }
        for name in &patch.drop_pools {
            self.pools.remove(name);
        }
        for name in &patch.drop_zones {
            self.zones.remove(name);
        }
        self.set_searches(&patch.set);
        self.set_pools(&patch.set);
        self.zones.extend(patch.set.zones.clone());
        self.change_header = patch.set.change_header.clone();
        self.with_changed_limits()
    }

    /// Inserts or replaces searches. A replaced search keeps its position in the operator's
    /// list, a new one is appended.
    fn set_searches(&mut self, set: &Config) {
        let next_index = |search: &super::types::SearchConfig| search.list_index + 1;
        let mut last = self.searches.values().map(next_index).max().unwrap_or(0);
        let mut searches: Vec<_> = set.searches.values().cloned().collect();
        searches.sort_by_key(|search| search.list_index);
        for mut search in searches {
            search.list_index = self.searches.get(&search.name).map_or(last, |old| old.list_index);
            last = last.max(search.list_index + 1);
            self.searches.insert(search.name.clone(), search);
        }
    }

    /// Inserts or replaces pools, which take their list positions as searches do.
    fn set_pools(&mut self, set: &Config) {
        let next_index = |pool: &super::types::PoolConfig| pool.list_index + 1;
        let mut last = self.pools.values().map(next_index).max().unwrap_or(0);
        let mut pools: Vec<_> = set.pools.values().cloned().collect();
        pools.sort_by_key(|pool| pool.list_index);
        for mut pool in pools {
            pool.list_index = self.pools.get(&pool.name).map_or(last, |old| old.list_index);
            last = last.max(pool.list_index + 1);
            self.pools.insert(pool.name.clone(), pool);
        }
    }

    /// Returns the full configuration `new` as the successor of this one.
    pub fn replaced_by(&self, mut new: Config) -> Config {
        if new.keep_zones {
            new.zones = self.zones.clone();
        }
        new.client_limits =
            ClientLimits { edition: self.client_limits.edition, ..ClientLimits::default() };
        new.with_changed_limits()
    }

    /// Applies the edition and the client limits of the change header.
    fn with_changed_limits(mut self) -> Config {
        if let Some(client_limits) = self.change_header.client_limits.take() {
            self.client_limits =
                ClientLimits { edition: self.client_limits.edition, ..client_limits };
        }
        if let Some(edition) = self.change_header.edition {
            self.client_limits.edition = edition;
        }
        self
    }

    /// Returns the entries that turn this configuration into `new`: first the removed ones,
    /// then the ones that are set, each in key order.
    pub fn changes_to(&self, new: &Config) -> Vec<Entry> {
        let (old, new) = (self.to_entries(), new.to_entries());
        let removed = old.keys().filter(|key| !new.contains_key(*key));
        let mut changes: Vec<Entry> = removed.map(|key| (key.clone(), None)).collect();
        for (key, value) in new {
            if old.get(&key) != Some(&value) {
                changes.push((key, Some(value)));
            }
        }
        changes
    }
}
