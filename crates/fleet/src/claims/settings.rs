//! Settings of the claims.

use amaranthgw_core::{ByteCount, MilliSpan, RequestRate};
use serde::{Deserialize, Serialize};

/// Retention, sizes and pace of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Time for which a key runs at most once.
    pub retention: MilliSpan,
    /// Largest difference between the clock of a process and the true time.
    pub clock_skew: MilliSpan,
    /// Largest encoded size of a value.
    pub max_value: ByteCount,
    /// Longest body that is kept with a claim.
    pub max_answer: ByteCount,
    /// Calls to the key-value service that one process may make.
    pub call_rate: RequestRate,
    /// Calls that it may make at once after a pause.
    pub call_burst: u32,
    /// Shortest time between the end of a call and the next call for the same value.
    pub call_gap: MilliSpan,
    /// Time to the next call after the service was down or its answer was lost; doubled with
    /// each further failure.
    pub retry_gap: MilliSpan,
    /// Largest time to the next call after failures.
    pub retry_gap_max: MilliSpan,
    /// Time for which a recorded end may wait for a claim to be written with it.
    pub finish_delay: MilliSpan,
    /// Time after which the cached content of an unused value is dropped.
    pub cache_time: MilliSpan,
}

impl ClaimSettings {
    /// Time for which a claim is kept so that no clock within the skew ends its retention early.
    pub(super) fn kept_ms(&self) -> u64 {
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
