//! Requests that wait for a target of a service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of requests of this process that wait for a target of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: AtomicU32,
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request until the returned place is dropped, if fewer than `limit` wait; concurrent
    /// calls may add a few more. `None` for `limit` means no limit.
    #[must_use]
    pub fn try_join(queue: &Arc<Self>, limit: Option<u32>) -> Option<WaitPlace> {
        let waiting = queue.waiting.load(Ordering::Relaxed);
        if limit.is_some_and(|limit| waiting >= limit) {
            return None;
        }
        queue.waiting.fetch_add(1, Ordering::Relaxed);
        Some(WaitPlace {
            queue: Arc::clone(queue),
        })
    }
}

/// Place of a request in a [`WaitQueue`]; dropping it leaves the queue.
#[derive(Debug)]
pub struct WaitPlace {
    queue: Arc<WaitQueue>,
}

impl WaitPlace {
    /// Whether at most `limit` requests wait, including this one; `None` means no limit.
    #[must_use]
    pub fn is_within(&self, limit: Option<u32>) -> bool {
        limit.is_none_or(|limit| self.queue.waiting.load(Ordering::Relaxed) <= limit)
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
