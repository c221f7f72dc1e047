//! Validity check of a lease by the local clock.

use std::time::Duration;

use amaranthgw_core::{FencingNumber, MilliSpan};
use tokio::time::Instant;

/// A lease that this process holds, with its expiry by the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGuard {
    fencing: FencingNumber,
    valid_until: Instant,
    margin: MilliSpan,
}

impl LeaseGuard {
    /// Creates the guard of a lease that was requested at `requested_at` with a time to live.
    ///
    /// The margin covers clock drift and the delivery time of an order.
    #[must_use]
    pub fn new(
        fencing: FencingNumber,
        requested_at: Instant,
        ttl: MilliSpan,
        margin: MilliSpan,
    ) -> Self {
        Self {
            fencing,
            valid_until: requested_at + ttl.duration(),
            margin,
        }
    }

    /// Extends the lease after a confirmed renewal that was requested at `requested_at`.
    pub fn renew(&mut self, requested_at: Instant, ttl: MilliSpan) {
        self.valid_until = self.valid_until.max(requested_at + ttl.duration());
    }

    /// Whether the lease is valid at `now` for longer than the margin, so that an order sent now
    /// arrives before the lease can expire.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.remaining(now) > Duration::ZERO
    }

    /// Fencing token of the lease.
    #[must_use]
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Time for which the lease still counts as held: until the margin before its expiry; 0 after
    /// that.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = self.valid_until.saturating_duration_since(now);
        until.saturating_sub(self.margin.duration())
    }
}
