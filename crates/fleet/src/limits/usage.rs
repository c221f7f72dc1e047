//! Admission control and demand count for one workspace and service at one entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

use super::{InFlightMeter, InFlightPermit, RateMeter, Result};

/// Enforces the entry's share of one limit and counts the requests that ask for it.
#[derive(Debug)]
pub struct UsageMeter {
    /// Meter of the request rate.
    pub rate: RateMeter,
    /// Meter of the requests in flight.
    pub in_flight: Arc<InFlightMeter>,
    requests: AtomicU64,
}

impl UsageMeter {
    /// Creates a meter that admits no request until it has a share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rate: RateMeter::new(now),
            in_flight: Arc::new(InFlightMeter::new(now)),
            requests: AtomicU64::new(0),
        }
    }

    /// Admits one request at `now`; it counts as in flight until the permit is dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitError`](super::LimitError) if a limit is reached or no share is held.
    pub fn try_admit(&self, now: Instant) -> Result<InFlightPermit> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let permit = self.in_flight.try_enter(now)?;
        self.rate.try_admit(now)?;
        Ok(permit)
    }

    /// Returns the number of requests, admitted or not, since the last call and resets it.
    pub fn take_request_count(&self) -> u64 {
        self.requests.swap(0, Ordering::Relaxed)
    }
}
