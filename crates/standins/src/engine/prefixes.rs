//! Cache of prompt prefixes.

use amaranthgw_core::EntityTable;

use super::rows::RunNumber;

/// LRU cache of prefix hashes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    last_uses: EntityTable<u64, RunNumber>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_uses: EntityTable::new(),
        }
    }

    /// Records that `run` uses `prefix` and returns whether it was cached.
    pub(super) fn use_prefix(&mut self, prefix: u64, run: RunNumber) -> bool {
        let was_cached = self.last_uses.insert(prefix, run).is_some();
        if self.last_uses.len() > self.capacity {
            self.evict_oldest();
        }
        was_cached
    }

    /// Hashes of the cached prefixes.
    pub(super) fn hashes(&self) -> Vec<u64> {
        self.last_uses.ids().copied().collect()
    }

    pub(super) fn clear(&mut self) {
        self.last_uses.clear();
    }

    fn evict_oldest(&mut self) {
        let oldest = self.last_uses.iter().min_by_key(|(_, run)| **run);
        let oldest = oldest.map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.last_uses.remove(&prefix);
        }
    }
}
