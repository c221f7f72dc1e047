//! Which parts of prompts each target holds.

use std::time::Duration;

use amaranthgw_core::{EntityTable, PartId, TargetId, TokenCount};
use indexmap::IndexMap;
use tokio::time::Instant;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part and all parts before it.
    pub part: PartId,
    /// Its length.
    pub tokens: TokenCount,
}

/// Bounds of a [`PartTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Parts that are remembered of one target.
    pub parts_per_target: usize,
    /// Parts that are remembered in all.
    pub parts: usize,
    /// Time after which a part that was not read again is no longer expected at its target.
    pub retention: Duration,
}

impl Default for TableLimits {
    /// About 64 KiB for all targets.
    fn default() -> Self {
        Self {
            parts_per_target: 64,
            parts: 2_048,
            retention: Duration::from_secs(30),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldRow {
    tokens: TokenCount,
    used_at: Instant,
}

/// Parts of one target, the least recently used first.
#[derive(Debug, Default)]
struct HolderRow {
    parts: IndexMap<PartId, HeldRow>,
}

/// Parts that targets are expected to hold, by target.
#[derive(Debug)]
pub struct PartTable {
    limits: TableLimits,
    holders: EntityTable<TargetId, HolderRow>,
    parts: usize,
}

impl PartTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            holders: EntityTable::new(),
            parts: 0,
        }
    }

    /// Number of parts in the table.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.parts
    }

    /// Whether the table has no parts.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.parts == 0
    }

    /// Records that `target` has read `parts`, in the order of the prompt, until `now`.
    pub fn record_read(&mut self, target: &TargetId, parts: &[PromptPart], now: Instant) {
        if parts.is_empty() {
            return;
        }
        let holder = self
            .holders
            .get_or_insert_with(target.clone(), HolderRow::default);
        let before = holder.parts.len();
        // A part is of no use without those before it, so the first one is used last.
        for part in parts.iter().take(self.limits.parts_per_target).rev() {
            holder.parts.shift_remove(&part.part);
            let row = HeldRow {
                tokens: part.tokens,
                used_at: now,
            };
            holder.parts.insert(part.part, row);
        }
        let excess = holder
            .parts
            .len()
            .saturating_sub(self.limits.parts_per_target);
        holder.parts.drain(..excess);
        self.parts = self.parts + holder.parts.len() - before;
        while self.parts > self.limits.parts {
            self.drop_oldest();
        }
    }

    /// Tokens at the beginning of a prompt of `parts` that `target` is expected to hold at `now`.
    #[must_use]
    pub fn held_tokens(&self, target: &TargetId, parts: &[PromptPart], now: Instant) -> TokenCount {
        let Some(holder) = self.holders.get(target) else {
            return TokenCount::default();
        };
        let is_held = |part: &&PromptPart| {
            let row = holder.parts.get(&part.part);
            row.is_some_and(|row| self.is_fresh(row, now))
        };
        let held = parts.iter().take_while(is_held);
        TokenCount::new(held.map(|part| part.tokens.get()).sum())
    }

    /// Forgets the parts of `target`, as it ended, crashed or became cold.
    pub fn forget_target(&mut self, target: &TargetId) {
        if let Some(holder) = self.holders.remove(target) {
            self.parts -= holder.parts.len();
        }
    }

    /// Drops the least recently used parts of `target` until the others fit into `free`, the memory that
    /// its requests leave.
    pub fn shrink_target(&mut self, target: &TargetId, free: TokenCount) {
        let Some(holder) = self.holders.get_mut(target) else {
            return;
        };
        let mut held: u64 = holder.parts.values().map(|row| row.tokens.get()).sum();
        while held > free.get() {
            let Some((_part, row)) = holder.parts.shift_remove_index(0) else {
                break;
            };
            held -= row.tokens.get();
            self.parts -= 1;
        }
    }

    /// Removes parts that are no longer expected at their targets.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.limits.retention;
        let mut left = 0;
        self.holders.retain(|_, holder| {
            let is_fresh = |row: &HeldRow| now.saturating_duration_since(row.used_at) < retention;
            holder.parts.retain(|_, row| is_fresh(row));
            left += holder.parts.len();
            !holder.parts.is_empty()
        });
        self.parts = left;
    }

    fn is_fresh(&self, row: &HeldRow, now: Instant) -> bool {
        now.saturating_duration_since(row.used_at) < self.limits.retention
    }

    fn drop_oldest(&mut self) {
        let used_at = |holder: &HolderRow| holder.parts.first().map(|(_, row)| row.used_at);
        let oldest = self
            .holders
            .iter()
            .filter_map(|(target, holder)| Some((used_at(holder)?, target)))
            .min_by_key(|(used_at, _)| *used_at)
            .map(|(_, target)| target.clone());
        let holder = oldest.and_then(|target| self.holders.get_mut(&target));
        if let Some(holder) = holder {
            holder.parts.shift_remove_index(0);
        }
        self.parts = self.parts.saturating_sub(1);
    }
}
