//! Parts on which targets have begun to write.

use std::collections::HashMap;
use std::time::Duration;

use amaranthgw_core::PartId;
use tokio::time::Instant;

/// Parts in one generation of the table; callers can invent any number of parts.
const GENERATION_SIZE: usize = 2_048;
/// Time for which a generation is filled.
const GENERATION_TIME: Duration = Duration::from_mins(1);

/// When targets last began to write on each part. Keeps two generations of at most
/// `GENERATION_SIZE` parts, so that each part is known for `GENERATION_TIME` at least unless there
/// are too many.
#[derive(Debug)]
pub(super) struct BegunTable {
    recent: HashMap<PartId, Instant>,
    older: HashMap<PartId, Instant>,
    rotated_at: Instant,
}

impl BegunTable {
    /// Creates an empty table.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            recent: HashMap::new(),
            older: HashMap::new(),
            rotated_at: now,
        }
    }

    /// Records that a target began to write on `part` at `now`.
    pub(super) fn record(&mut self, part: PartId, now: Instant) {
        let is_old = now.saturating_duration_since(self.rotated_at) >= GENERATION_TIME;
        if is_old || self.recent.len() >= GENERATION_SIZE && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
        self.recent.insert(part, now);
    }

    /// When a target last began to write on `part`, if that is known.
    pub(super) fn last(&self, part: PartId) -> Option<Instant> {
        let last = self.recent.get(&part).or_else(|| self.older.get(&part));
        last.copied()
    }
}
