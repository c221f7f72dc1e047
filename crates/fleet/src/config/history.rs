//! The last changes that a node applied, for peers that are behind.

use std::collections::VecDeque;

use amaranthgw_core::ChangeNumber;

use super::ConfigChange;

/// Changes that a node keeps.
pub const MAX_HISTORY_CHANGES: usize = 64;
/// Edits over all changes that a node keeps.
pub const MAX_HISTORY_EDITS: usize = 1_024;

/// The last changes applied, in order and without gaps, up to the state's number.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    changes: VecDeque<ConfigChange>,
    edit_count: usize,
}

impl ChangeHistory {
    /// Adds the change that has just been applied.
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

    /// Forgets every change, as the state no longer follows them.
    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.edit_count = 0;
    }

    /// The changes after `number`, unless one of them is forgotten.
    pub(super) fn after(&self, number: ChangeNumber) -> Option<Vec<ConfigChange>> {
        let oldest = self.changes.front()?.number;
        let wanted = self.changes.iter().filter(|change| change.number > number);
        (oldest <= number.next()).then(|| wanted.cloned().collect())
    }

    /// Whether another change was applied under the number of `change`.
    pub(super) fn contradicts(&self, change: &ConfigChange) -> bool {
        let mut known = self.changes.iter();
        known.any(|own| own.number == change.number && own.id != change.id)
    }
}
