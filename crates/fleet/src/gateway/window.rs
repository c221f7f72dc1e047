//! Window of requests that wait for a target's answer.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use super::work::whole_millis;

/// Size of the window of a target that was not used lately.
const INITIAL_SIZE: u32 = 2;
/// Time without a request after which a window has at most its initial size again and earlier
/// rejections no longer count; longer than the longest backoff.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Backoff after a first rejection; doubles with each rejection after a backoff.
const BASE_BACKOFF: Duration = Duration::from_millis(150);
/// Doublings of the backoff at most; a target's slots become free several times a second.
const MAX_DOUBLINGS: u32 = 2;

/// Limits the requests of this process that a target has neither accepted nor rejected.
///
/// The window grows with accepted requests. A rejection, as by a target that is full or whose
/// rank group is re-forming, reduces it to one request and starts a backoff. Without it, all
/// requests that wait for a target would be sent to the first one that becomes eligible.
///
/// Times are given as the time since the owner of the window was created. Concurrent updates may
/// let a few more requests through.
#[derive(Debug)]
pub(super) struct SendWindow {
    size: AtomicU32,
    unanswered: AtomicU32,
    /// Rejections in a row, not counting those during a backoff.
    rejections: AtomicU32,
    /// End of the current backoff, in milliseconds.
    backoff_until_ms: AtomicU64,
    /// Time of the last request, in milliseconds.
    sent_ms: AtomicU64,
}

impl SendWindow {
    pub(super) const fn new() -> Self {
        Self {
            size: AtomicU32::new(INITIAL_SIZE),
            unanswered: AtomicU32::new(0),
            rejections: AtomicU32::new(0),
            backoff_until_ms: AtomicU64::new(0),
            sent_ms: AtomicU64::new(0),
        }
    }

    /// End of the current backoff.
    pub(super) fn backoff_until(&self) -> Duration {
        Duration::from_millis(self.backoff_until_ms.load(Ordering::Relaxed))
    }

    /// Length of the current backoff, or of the next one.
    fn backoff(&self) -> Duration {
        let doublings = self.rejections.load(Ordering::Relaxed).saturating_sub(1);
        BASE_BACKOFF.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
    }

    /// Length of the current backoff if it is the longest: the target has rejected all requests for
    /// about half a second and probably goes on to do so.
    pub(super) fn longest_backoff(&self, age: Duration) -> Option<Duration> {
        let is_longest = self.rejections.load(Ordering::Relaxed) > MAX_DOUBLINGS;
        (is_longest && age < self.backoff_until()).then(|| self.backoff())
    }

    /// Whether a request may be sent at `age`.
    pub(super) fn is_open(&self, age: Duration) -> bool {
        age >= self.backoff_until() && self.unanswered.load(Ordering::Relaxed) < self.size(age)
    }

    /// Counts a request sent at `age` as unanswered.
    pub(super) fn begin(&self, age: Duration) {
        if self.is_idle(age) {
            self.size.fetch_min(INITIAL_SIZE, Ordering::Relaxed);
            self.rejections.store(0, Ordering::Relaxed);
        }
        self.sent_ms.store(whole_millis(age), Ordering::Relaxed);
        self.unanswered.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request as answered or given up.
    pub(super) fn end(&self) {
        self.unanswered.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the target accepted a request; the window grows if at least half of it is used.
    pub(super) fn record_acceptance(&self) {
        let unanswered = self.unanswered.load(Ordering::Relaxed);
        if unanswered.saturating_mul(2) >= self.size.load(Ordering::Relaxed) {
            self.size.fetch_add(1, Ordering::Relaxed);
        }
        self.rejections.store(0, Ordering::Relaxed);
    }

    /// Records that the target rejected a request, as known at `age`.
    pub(super) fn record_rejection(&self, age: Duration) {
        self.size.store(1, Ordering::Relaxed);
        // Requests that were sent together count once.
        if age < self.backoff_until() {
            return;
        }
        self.rejections.fetch_add(1, Ordering::Relaxed);
        self.backoff_until_ms
            .store(whole_millis(age + self.backoff()), Ordering::Relaxed);
    }

    fn size(&self, age: Duration) -> u32 {
        let size = self.size.load(Ordering::Relaxed);
        if self.is_idle(age) {
            size.min(INITIAL_SIZE)
        } else {
            size
        }
    }

    fn is_idle(&self, age: Duration) -> bool {
        age > Duration::from_millis(self.sent_ms.load(Ordering::Relaxed)) + IDLE_TIME
    }
}
