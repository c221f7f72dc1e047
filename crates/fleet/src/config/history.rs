//! Recently applied changes, kept for peers that lag behind.

use std::collections::VecDeque;

use amaranthgw_core::ChangeNumber;

use super::ConfigChange;

/// Maximum number of changes that a node keeps.
pub const MAX_HISTORY_CHANGES: usize = 64;
/// Maximum number of edits in all changes that a node keeps.
pub const MAX_HISTORY_EDITS: usize = 1_024;

/// Last applied changes, in order and without gaps, up to the state's number.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    changes: VecDeque<ConfigChange>,
    edit_count: usize,
}

impl ChangeHistory {
    /// Adds a change that has just been applied and evicts the oldest ones beyond the limits.
    pub(super) fn push(&mut self, change: ConfigChange) {
        self.edit_count += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > MAX_HISTORY_CHANGES || self.edit_count > MAX_HISTORY_EDITS {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.edit_count -= oldest.edits.len();
        }
    }

    /// Removes all changes, as the state was replaced by one that they don't lead to.
    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.edit_count = 0;
    }

    /// Changes after `number`, or `None` if one of them was evicted.
    pub(super) fn after(&self, number: ChangeNumber) -> Option<Vec<ConfigChange>> {
        let oldest = self.changes.front()?.number;
        let newer = self.changes.iter().filter(|change| change.number > number);
        (oldest <= number.next()).then(|| newer.cloned().collect())
    }

    /// Whether a different change was applied under the number of `change`.
    pub(super) fn conflicts_with(&self, change: &ConfigChange) -> bool {
        let mut known = self.changes.iter();
        known.any(|own| own.number == change.number && own.id != change.id)
    }
}
