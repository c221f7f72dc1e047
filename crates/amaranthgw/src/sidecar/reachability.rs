//! Reachability of the target, which traffic threads see at once instead of after the next tick.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Whether the target is reachable, and if not, since when.
#[derive(Debug, Default)]
pub(super) struct TargetReachability {
    unreachable_since: Mutex<Option<Instant>>,
}

impl TargetReachability {
    /// Records that a connection to the target broke or could not be established.
    pub(super) fn record_unreachable(&self) {
        *self.lock() = Some(Instant::now());
    }

    /// Records that the target responded to a request sent at `requested_at`. The response is
    /// ignored if a connection failed after that.
    pub(super) fn record_response(&self, requested_at: Instant) {
        let mut unreachable_since = self.lock();
        if unreachable_since.is_some_and(|unreachable_at| unreachable_at < requested_at) {
            *unreachable_since = None;
        }
    }

    /// Returns whether a connection failed and no load report requested since has arrived.
    pub(super) fn is_unreachable(&self) -> bool {
        self.lock().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.unreachable_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
