//! Sliding-window outcome counters in bounded memory.

use std::time::Duration;

use tokio::time::Instant;

use super::{BurnOutcome, OutcomeCounts};

/// Bucket length and bucket count of a sliding window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowShape {
    /// Time covered by one bucket.
    pub bucket: Duration,
    /// Buckets in the window.
    pub buckets: usize,
}

impl WindowShape {
    /// Five minutes in buckets of ten seconds.
    pub const SHORT: Self = Self::new(Duration::from_secs(10), 30);
    /// Six hours in buckets of five minutes.
    pub const LONG: Self = Self::new(Duration::from_mins(5), 72);

    /// Creates a shape of `buckets` buckets of length `bucket`.
    #[must_use]
    pub const fn new(bucket: Duration, buckets: usize) -> Self {
        Self { bucket, buckets }
    }

    /// Total length of the window.
    #[must_use]
    pub fn span(&self) -> Duration {
        let buckets = u32::try_from(self.buckets).unwrap_or(u32::MAX);
        self.bucket.saturating_mul(buckets)
    }
}

/// Ring of outcome counters, one per bucket of the window.
#[derive(Clone, Debug)]
pub struct BurnWindow {
    shape: WindowShape,
    started_at: Instant,
    /// Index of the current bucket, counted from the start.
    current: u64,
    ring: Box<[OutcomeCounts]>,
}

impl BurnWindow {
    /// Creates an empty window that starts at `now`.
    #[must_use]
    pub fn new(shape: WindowShape, now: Instant) -> Self {
        Self {
            shape,
            started_at: now,
            current: 0,
            ring: vec![OutcomeCounts::default(); shape.buckets.max(1)].into_boxed_slice(),
        }
    }

    /// Counts one request that ended at `now`.
    pub fn record(&mut self, outcome: BurnOutcome, now: Instant) {
        self.advance(now);
        let slot = self.slot(self.current);
        self.ring[slot].record(outcome);
    }

    /// Returns the counts of the current bucket and the earlier ones of the window.
    pub fn counts(&mut self, now: Instant) -> OutcomeCounts {
        self.advance(now);
        let mut sum = OutcomeCounts::default();
        for counts in &self.ring {
            sum.add(counts);
        }
        sum
    }

    /// Time since the start at `now`, at most the length of the window.
    #[must_use]
    pub fn covered(&self, now: Instant) -> Duration {
        let since_start = now.saturating_duration_since(self.started_at);
        since_start.min(self.shape.span())
    }

    /// Moves the window to `now` and clears the buckets that leave it. An earlier `now` leaves the
    /// window unchanged, so that an outcome recorded with an earlier time counts into the current
    /// bucket.
    fn advance(&mut self, now: Instant) {
        let since_start = now.saturating_duration_since(self.started_at).as_nanos();
        let bucket = since_start / self.shape.bucket.as_nanos().max(1);
        let bucket = u64::try_from(bucket).unwrap_or(u64::MAX);
        let passed = bucket.saturating_sub(self.current);
        let cleared = passed.min(self.ring.len() as u64);
        for step in 0..cleared {
            let slot = self.slot(bucket - step);
            self.ring[slot] = OutcomeCounts::default();
        }
        self.current = self.current.max(bucket);
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below the length"
    )]
    fn slot(&self, bucket: u64) -> usize {
        (bucket % self.ring.len() as u64) as usize
    }
}
