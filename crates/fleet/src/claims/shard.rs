//! Content of one stored value that holds claims.

use amaranthgw_core::{ByteCount, EntityTable};

use super::{ClaimEntry, ClaimSettings, KeyHash};

/// Upper bound of the encoded size of an empty shard.
const EMPTY_SHARD_BYTES: usize = 16;

/// Claims of one stored value, by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimShard {
    entries: EntityTable<KeyHash, ClaimEntry>,
    /// Upper bound of the encoded size of the entries, in bytes.
    entries_bytes: usize,
}

impl ClaimShard {
    /// Creates a shard without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the claim on `key`.
    #[must_use]
    pub fn get(&self, key: &KeyHash) -> Option<&ClaimEntry> {
        self.entries.get(key)
    }

    /// Iterates over the claims in stored order.
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

    /// Upper bound of the encoded size.
    #[must_use]
    pub fn size_bound(&self) -> ByteCount {
        let bound = u64::try_from(self.entries_bytes + EMPTY_SHARD_BYTES);
        ByteCount::new(bound.unwrap_or(u64::MAX))
    }

    /// Whether `entry` can be added without exceeding the maximum size of a value.
    #[must_use]
    pub fn has_room(&self, entry: &ClaimEntry, settings: &ClaimSettings) -> bool {
        let added = u64::try_from(entry.size_bound()).unwrap_or(u64::MAX);
        self.size_bound().get().saturating_add(added) <= settings.max_value.get()
    }

    pub(super) fn insert(&mut self, key: KeyHash, entry: ClaimEntry) -> Option<ClaimEntry> {
        self.entries_bytes += entry.size_bound();
        let replaced = self.entries.insert(key, entry);
        self.entries_bytes -= replaced.as_ref().map_or(0, ClaimEntry::size_bound);
        replaced
    }

    pub(super) fn remove(&mut self, key: &KeyHash) -> Option<ClaimEntry> {
        let removed = self.entries.remove(key);
        self.entries_bytes -= removed.as_ref().map_or(0, ClaimEntry::size_bound);
        removed
    }

    /// Removes the claims whose retention has ended for every clock within the skew.
    pub(super) fn prune(&mut self, settings: &ClaimSettings, now_unix_ms: u64) {
        let retention_ms = settings.retention_with_skew_ms();
        let expires_at = |entry: &ClaimEntry| entry.made_at_unix_ms.saturating_add(retention_ms);
        let expired = self
            .entries
            .iter()
            .filter(|(_, entry)| expires_at(entry) < now_unix_ms);
        let keys: Vec<_> = expired.map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
