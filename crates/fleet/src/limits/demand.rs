//! Demand estimation for one limit at one entry.

use std::time::Duration;

use amaranthgw_core::SlotCount;

use super::{MilliRate, ShareAmount};

/// Time constant of the smoothing while demand rises.
const RISE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant of the smoothing while demand falls.
const FALL_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Demand for requests in flight, in percent of those measured. Above 100, so that an entry
/// requests a larger share before its share is used up.
const IN_FLIGHT_PERCENT: f64 = 150.0;

/// Exponentially smoothed demand that rises faster than it falls.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandEstimate {
    /// Requests per second.
    rate: f64,
    /// Requests in flight.
    in_flight: f64,
}

impl DemandEstimate {
    /// Adds a sample: `requests` arrived within `span`, and `used` are in flight at its end.
    pub fn sample(&mut self, requests: u64, used: SlotCount, span: Duration) {
        if span.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let rate = requests as f64 / span.as_secs_f64();
        self.rate = smooth(self.rate, rate, span);
        self.in_flight = smooth(self.in_flight, f64::from(used.get()), span);
    }

    /// Estimated demand.
    #[must_use]
    pub fn demand(&self) -> ShareAmount {
        const MILLI: f64 = 1_000.0;
        let in_flight = self.in_flight * IN_FLIGHT_PERCENT / 100.0;
        ShareAmount::new(
            MilliRate::new(ceil_to_u64(self.rate * MILLI)),
            SlotCount::new(u32::try_from(ceil_to_u64(in_flight)).unwrap_or(u32::MAX)),
        )
    }
}

fn smooth(old: f64, new: f64, span: Duration) -> f64 {
    let time = if new > old {
        RISE_TIME_CONSTANT
    } else {
        FALL_TIME_CONSTANT
    };
    let weight = span.as_secs_f64() / (span + time).as_secs_f64();
    old + (new - old) * weight
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates and the value is not negative"
)]
fn ceil_to_u64(value: f64) -> u64 {
    value.ceil() as u64
}
