//! What one workspace uses of one service at this entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

use super::{InFlightMeter, InFlightPermit, RateMeter, Result};

/// Rate, requests in flight and demand of one workspace and service at this entry.
#[derive(Debug)]
pub struct UsageMeter {
    /// The rate limit.
    pub rate: RateMeter,
    /// The limit of requests in flight.
    pub in_flight: Arc<InFlightMeter>,
    asked: AtomicU64,
}

impl UsageMeter {
    /// Creates a meter that admits nothing until it has a share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rate: RateMeter::new(now),
            in_flight: Arc::new(InFlightMeter::new(now)),
            asked: AtomicU64::new(0),
        }
    }

    /// Admits one request at `now`; it counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitError`](super::LimitError) where a limit is reached.
    pub fn try_admit(&self, now: Instant) -> Result<InFlightPermit> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let permit = self.in_flight.try_enter(now)?;
        self.rate.try_admit(now)?;
        Ok(permit)
    }

    /// Takes the number of requests, admitted or not, since the last call.
    pub fn take_asked(&self) -> u64 {
        self.asked.swap(0, Ordering::Relaxed)
    }
}
