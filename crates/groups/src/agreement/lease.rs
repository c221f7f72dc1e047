//! The local check of a lease.

use std::time::Duration;

use amaranthgw_core::{FencingNumber, MilliSpan};
use tokio::time::Instant;

/// A lease as its holder sees it by the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGuard {
    fencing: FencingNumber,
    valid_until: Instant,
    margin: MilliSpan,
}

impl LeaseGuard {
    /// Creates the guard of a lease asked for at `asked_at` with the given time to live.
    ///
    /// The margin covers the drift of clocks and the way of an order.
    #[must_use]
    pub fn new(
        fencing: FencingNumber,
        asked_at: Instant,
        ttl: MilliSpan,
        margin: MilliSpan,
    ) -> Self {
        Self {
            fencing,
            valid_until: asked_at + ttl.duration(),
            margin,
        }
    }

    /// Extends the lease after a renewal that was asked for at `asked_at` and confirmed.
    pub fn renew(&mut self, asked_at: Instant, ttl: MilliSpan) {
        self.valid_until = self.valid_until.max(asked_at + ttl.duration());
    }

    /// Whether an action begun at `now` ends before the lease can lapse.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// Fencing number of the lease.
    #[must_use]
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Time left before the margin begins.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = self.valid_until.saturating_duration_since(now);
        until.saturating_sub(self.margin.duration())
    }
}
