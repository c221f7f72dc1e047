//! Rate limiter for the request hot path.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::cell::ShareCell;
use super::{LimitError, MilliRate, Result};

/// Limits the request rate; shared by all traffic threads.
///
/// In every window of length `T` it admits at most `rate * (T + BURST_WINDOW) + 1` requests
/// (generic cell rate algorithm).
#[derive(Debug)]
pub struct RateMeter {
    share: ShareCell,
    /// Theoretical arrival time of the next request, in nanoseconds since the base of `share`.
    next_arrival_ns: AtomicU64,
}

/// Nanoseconds by which a request may precede its theoretical arrival time.
const BURST_NANOS: u64 = 100_000_000;

/// Nanoseconds between two requests at a rate of 1 request per 1,000 seconds.
const NANOS_PER_MILLI_RATE: u64 = 1_000_000_000_000;

impl RateMeter {
    /// Time by which a request may precede its theoretical arrival time.
    pub const BURST_WINDOW: Duration = Duration::from_nanos(BURST_NANOS);

    /// Creates a meter that admits no request until it has a share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: ShareCell::new(now),
            next_arrival_ns: AtomicU64::new(0),
        }
    }

    /// Sets the floor, the part of the rate that needs no lease.
    pub fn set_floor(&self, floor: MilliRate) {
        self.share.set_floor(saturate_to_u32(floor));
    }

    /// Sets the part of the rate that is valid until `until`.
    pub fn set_leased(&self, leased: MilliRate, until: Option<Instant>) {
        self.share.set_leased(saturate_to_u32(leased), until);
    }

    /// Effective rate at `now`.
    #[must_use]
    pub fn rate(&self, now: Instant) -> MilliRate {
        MilliRate::new(self.share.amount(self.share.nanos(now)))
    }

    /// Admits one request at `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`LimitError`] if the rate is exceeded or no share is held.
    pub fn try_admit(&self, now: Instant) -> Result<()> {
        let now_ns = self.share.nanos(now);
        let rate = self.share.amount(now_ns);
        let Some(interval_ns) = NANOS_PER_MILLI_RATE.checked_div(rate) else {
            return Err(LimitError::NoShare);
        };
        let advance = |arrival_ns: u64| arrival_after(arrival_ns, now_ns, interval_ns);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        match self.next_arrival_ns.fetch_update(set, fetch, advance) {
            Ok(_previous) => Ok(()),
            Err(arrival_ns) => {
                let wait_ns = arrival_ns - now_ns - BURST_NANOS;
                let retry_after = Duration::from_nanos(wait_ns);
                Err(LimitError::RateExceeded { retry_after })
            }
        }
    }
}

/// Theoretical arrival time after one more request at `now_ns`, or `None` if that request exceeds
/// the rate.
fn arrival_after(arrival_ns: u64, now_ns: u64, interval_ns: u64) -> Option<u64> {
    let start_ns = arrival_ns.max(now_ns);
    (start_ns - now_ns <= BURST_NANOS).then(|| start_ns.saturating_add(interval_ns))
}

fn saturate_to_u32(rate: MilliRate) -> u32 {
    u32::try_from(rate.get()).unwrap_or(u32::MAX)
}
