//! Requests that were refused and may come back.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use amaranthgw_core::PartId;
use tokio::time::Instant;

/// Number of refused requests that are remembered.
const MAX_RETURNS: usize = 1_024;
/// Time for which a refused request is remembered; longer than any `Retry-After` given to it.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Marks of requests that were refused lately.
#[derive(Debug, Default)]
pub(super) struct ReturnTable {
    refused: HashMap<PartId, Instant>,
    order: VecDeque<(PartId, Instant)>,
}

impl ReturnTable {
    /// Remembers that the request with `mark` was refused.
    pub(super) fn record(&mut self, mark: PartId, now: Instant) {
        self.forget(now);
        self.refused.insert(mark, now);
        self.order.push_back((mark, now));
    }

    /// Whether the request with `mark` was refused lately; forgets it.
    pub(super) fn take(&mut self, mark: PartId, now: Instant) -> bool {
        let refused_at = self.refused.remove(&mark);
        refused_at.is_some_and(|at| now.saturating_duration_since(at) < RETURN_TIME)
    }

    fn forget(&mut self, now: Instant) {
        while let Some((mark, at)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) >= RETURN_TIME;
            if !is_old && self.order.len() < MAX_RETURNS {
                return;
            }
            self.order.pop_front();
            if self.refused.get(&mark) == Some(&at) {
                self.refused.remove(&mark);
            }
        }
    }
}
