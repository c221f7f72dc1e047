//! Rate limiter and counters of the weight store.

use std::time::Duration;

use amaranthgw_core::{ByteCount, ByteRate};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Body of `POST /admin/weights`; omitted fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct WeightControl {
    rate: Option<ByteRate>,
}

/// Number of reads begun and bytes sent since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct ReadCounts {
    reads: u64,
    bytes: ByteCount,
}

/// State of the weight store.
#[derive(Debug)]
pub(super) struct WeightWorld {
    rate: ByteRate,
    /// When all reserved bytes will have been sent.
    busy_until: Instant,
    pub(super) counts: ReadCounts,
}

impl WeightWorld {
    pub(super) fn new(rate: ByteRate, now: Instant) -> Self {
        Self {
            rate,
            busy_until: now,
            counts: ReadCounts::default(),
        }
    }

    pub(super) fn begin_read(&mut self) {
        self.counts.reads += 1;
    }

    /// Reserves send time for `size` bytes and returns when they may be sent; a later change
    /// of the rate does not move that time.
    pub(super) fn reserve(&mut self, size: ByteCount, now: Instant) -> Instant {
        let rate = self.rate.per_second().max(1);
        let nanos = size.get().saturating_mul(NANOS_PER_SECOND) / rate;
        self.busy_until = self.busy_until.max(now) + Duration::from_nanos(nanos);
        self.busy_until
    }

    /// Counts `size` bytes as sent.
    pub(super) fn record_sent(&mut self, size: ByteCount) {
        self.counts.bytes = ByteCount::new(self.counts.bytes.get() + size.get());
    }

    pub(super) fn control(&mut self, control: &WeightControl) {
        self.rate = control.rate.unwrap_or(self.rate);
    }
}
