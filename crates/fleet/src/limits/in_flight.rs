//! Concurrency limiter for the request hot path.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranthgw_core::SlotCount;
use tokio::time::Instant;

use super::cell::ShareCell;
use super::{LimitError, Result};

/// Limits the number of requests in flight; shared by all traffic threads.
#[derive(Debug)]
pub struct InFlightMeter {
    share: ShareCell,
    used: AtomicU32,
}

impl InFlightMeter {
    /// Creates a meter that admits no request until it has a share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: ShareCell::new(now),
            used: AtomicU32::new(0),
        }
    }

    /// Sets the floor, the part of the limit that needs no lease.
    pub fn set_floor(&self, floor: SlotCount) {
        self.share.set_floor(floor.get());
    }

    /// Sets the part of the limit that is valid until `until`.
    pub fn set_leased(&self, leased: SlotCount, until: Option<Instant>) {
        self.share.set_leased(leased.get(), until);
    }

    /// Effective limit at `now`.
    #[must_use]
    pub fn limit(&self, now: Instant) -> SlotCount {
        let amount = self.share.amount(self.share.nanos(now));
        SlotCount::new(u32::try_from(amount).unwrap_or(u32::MAX))
    }

    /// Requests in flight.
    #[must_use]
    pub fn used(&self) -> SlotCount {
        SlotCount::new(self.used.load(Ordering::SeqCst))
    }

    /// Admits one request at `now`; it counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitError`] if the limit is reached or no share is held.
    pub fn try_enter(self: &Arc<Self>, now: Instant) -> Result<InFlightPermit> {
        let enter = |used: u32| {
            let limit = self.limit(now).get();
            (used < limit).then(|| used + 1)
        };
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        if self.used.fetch_update(set, fetch, enter).is_ok() {
            let meter = Arc::clone(self);
            return Ok(InFlightPermit { meter });
        }
        match self.limit(now).get() {
            0 => Err(LimitError::NoShare),
            limit => Err(LimitError::InFlightExceeded { limit }),
        }
    }
}

/// Keeps one request counted as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightPermit {
    meter: Arc<InFlightMeter>,
}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        self.meter.used.fetch_sub(1, Ordering::SeqCst);
    }
}
