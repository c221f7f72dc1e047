//! What callers ask of one limit at this entry.

use std::time::Duration;

use amaranthgw_core::SlotCount;

use super::{MilliRate, ShareAmount};

/// Time in which an estimate follows a rising demand.
const RISE_TIME: Duration = Duration::from_secs(1);
/// Time in which an estimate follows a falling demand.
const FALL_TIME: Duration = Duration::from_secs(5);
/// Requests in flight that are asked for, in hundredths of those counted, so that an entry asks
/// for more before its share is full.
const IN_FLIGHT_PERCENT: f64 = 150.0;

/// A smoothed demand that rises fast and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandEstimate {
    /// Requests per second.
    rate: f64,
    /// Requests in flight.
    in_flight: f64,
}

impl DemandEstimate {
    /// Takes in that `asked` requests came in `span` and `used` are in flight at its end.
    pub fn sample(&mut self, asked: u64, used: SlotCount, span: Duration) {
        if span.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let rate = asked as f64 / span.as_secs_f64();
        self.rate = follow(self.rate, rate, span);
        self.in_flight = follow(self.in_flight, f64::from(used.get()), span);
    }

    /// What callers ask for.
    #[must_use]
    pub fn wanted(&self) -> ShareAmount {
        const MILLI: f64 = 1_000.0;
        let in_flight = self.in_flight * IN_FLIGHT_PERCENT / 100.0;
        ShareAmount::new(
            MilliRate::new(whole(self.rate * MILLI)),
            SlotCount::new(u32::try_from(whole(in_flight)).unwrap_or(u32::MAX)),
        )
    }
}

fn follow(old: f64, new: f64, span: Duration) -> f64 {
    let time = if new > old { RISE_TIME } else { FALL_TIME };
    let weight = span.as_secs_f64() / (span + time).as_secs_f64();
    old + (new - old) * weight
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates and the value is not negative"
)]
fn whole(value: f64) -> u64 {
    value.ceil() as u64
}
