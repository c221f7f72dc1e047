//! Settings for claims on idempotency keys.

use amaranthgw_core::{ByteCount, MilliSpan, RequestRate};
use serde::{Deserialize, Serialize};

/// Retention, size limits and call rates of claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Time for which a claim prevents a second run under its key.
    pub retention: MilliSpan,
    /// Maximum difference between the wall clock of a process and true time.
    pub clock_skew: MilliSpan,
    /// Maximum encoded size of a stored value.
    pub max_value: ByteCount,
    /// Maximum size of a body that is stored with a claim.
    pub max_answer: ByteCount,
    /// Maximum rate of calls from one process to the key-value service.
    pub call_rate: RequestRate,
    /// Maximum burst of calls after an idle time.
    pub call_burst: u32,
    /// Minimum time between the end of a call and the next call for the same value.
    pub call_gap: MilliSpan,
    /// Delay before the next call after a failed call; doubles with each consecutive failure.
    pub retry_gap: MilliSpan,
    /// Maximum delay before the next call after failures.
    pub retry_gap_max: MilliSpan,
    /// Maximum time for which an answer waits to be stored together with other changes; after it,
    /// the answer is stored by a call of its own.
    pub finish_delay: MilliSpan,
    /// Idle time after which the cached content of a value is dropped.
    pub cache_time: MilliSpan,
}

impl ClaimSettings {
    /// Retention plus twice the clock skew, so that no clock within the skew expires a claim early.
    pub(super) fn retention_with_skew_ms(&self) -> u64 {
        let skew_ms = self.clock_skew.millis().saturating_mul(2);
        self.retention.millis().saturating_add(skew_ms)
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: MilliSpan::new(2 * 60 * 60 * 1_000),
            clock_skew: MilliSpan::new(60_000),
            max_value: ByteCount::new(1_000_000),
            max_answer: ByteCount::new(512),
            call_rate: RequestRate::new(80),
            call_burst: 20,
            call_gap: MilliSpan::new(5),
            retry_gap: MilliSpan::new(100),
            retry_gap_max: MilliSpan::new(1_000),
            finish_delay: MilliSpan::new(200),
            cache_time: MilliSpan::new(60_000),
        }
    }
}
