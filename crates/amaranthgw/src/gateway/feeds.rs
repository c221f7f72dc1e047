//! What the feeds from the key-value service have in common: time limits and delays.

use std::time::Duration;

/// Time limit of one store call; a watch adds its own wait.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a new list after a compaction; doubles with each failed call, so that the first
/// failure is followed by twice this delay.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest retry delay: changes made during an outage are read soon after it.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay before the next call after `failures` consecutive failed calls.
pub(super) fn retry_delay(failures: u32) -> Duration {
    let doubled = BASE_RETRY_DELAY.saturating_mul(1 << failures.min(8));
    doubled.min(MAX_RETRY_DELAY)
}
