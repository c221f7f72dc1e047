//! Whether the target answers, as the traffic threads know it before the next tick.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Since when the target has not answered.
#[derive(Debug, Default)]
pub(super) struct TargetPresence {
    gone_since: Mutex<Option<Instant>>,
}

impl TargetPresence {
    /// Notes that a connection to the target broke or did not come about.
    pub(super) fn note_gone(&self) {
        *self.lock() = Some(Instant::now());
    }

    /// Notes that the target answered a call that began at `asked_at`.
    pub(super) fn note_answer(&self, asked_at: Instant) {
        let mut gone_since = self.lock();
        if gone_since.is_some_and(|gone_at| gone_at < asked_at) {
            *gone_since = None;
        }
    }

    /// Whether the target was gone when it was last called.
    pub(super) fn is_gone(&self) -> bool {
        self.lock().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.gone_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
