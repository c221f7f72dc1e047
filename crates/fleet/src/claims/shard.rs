//! The content of one value that holds claims.

use amaranthgw_core::{ByteCount, EntityTable};

use super::{ClaimEntry, ClaimSettings, KeyHash};

/// Encoded length of an empty shard, rounded up.
const EMPTY_LEN: usize = 16;

/// Claims of one value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimShard {
    entries: EntityTable<KeyHash, ClaimEntry>,
    size_bound: usize,
}

impl ClaimShard {
    /// Creates a shard without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The claim on `key`.
    #[must_use]
    pub fn get(&self, key: &KeyHash) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// Claims in the order they are stored.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&KeyHash, &ClaimEntry)> {
        self.entries.iter()
    }

    /// Number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Upper bound of the encoded length.
    #[must_use]
    pub fn size_bound(&self) -> ByteCount {
        let bound = u64::try_from(self.size_bound + EMPTY_LEN);
        ByteCount::new(bound.unwrap_or(u64::MAX))
    }

    /// Whether `entry` can be added within the largest size of a value.
    #[must_use]
    pub fn has_room(&self, entry: &ClaimEntry, settings: &ClaimSettings) -> bool {
        let added = u64::try_from(entry.size_bound()).unwrap_or(u64::MAX);
        self.size_bound().get().saturating_add(added) <= settings.max_value.get()
    }

    pub(super) fn insert(&mut self, key: KeyHash, entry: ClaimEntry) -> Option<ClaimEntry> {
        self.size_bound += entry.size_bound();
        let replaced = self.entries.insert(key, entry);
        self.size_bound -= replaced.as_ref().map_or(0, ClaimEntry::size_bound);
        replaced
    }

    pub(super) fn remove(&mut self, key: &KeyHash) -> Option<ClaimEntry> {
        let removed = self.entries.remove(key);
        self.size_bound -= removed.as_ref().map_or(0, ClaimEntry::size_bound);
        removed
    }

    /// Removes the claims that are older than the retention by any clock within the skew.
    pub(super) fn prune(&mut self, settings: &ClaimSettings, now_unix_ms: u64) {
        let kept_ms = settings.kept_ms();
        let is_old = |entry: &ClaimEntry| entry.made_at_unix_ms.saturating_add(kept_ms);
        let old = self
            .entries
            .iter()
            .filter(|(_, entry)| is_old(entry) < now_unix_ms);
        let keys: Vec<_> = old.map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
