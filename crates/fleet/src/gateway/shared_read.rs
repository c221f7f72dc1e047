//! When one of several gateways reads what it then tells the others.

use std::time::Duration;

/// Range of the delays after which gateways read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadWindow {
    /// Shortest delay.
    pub shortest: Duration,
    /// Longest delay: a gateway that heard nothing reads then at the latest.
    pub longest: Duration,
}

impl ReadWindow {
    /// Creates a window of the delays from `shortest` to `longest`.
    #[must_use]
    pub const fn new(shortest: Duration, longest: Duration) -> Self {
        Self { shortest, longest }
    }

    /// Delay after which one of `gateways` reads unless it has heard from another by then; `draw`
    /// is a random number from 0 to 1.
    ///
    /// Delays are distributed exponentially, like the suppression timers of multicast protocols:
    /// of any number of gateways, few draw delays near the shortest of all, and the others hear
    /// from them first.
    #[must_use]
    pub fn delay(self, gateways: u32, draw: f64) -> Duration {
        if gateways <= 1 {
            return self.longest;
        }
        let gateways = f64::from(gateways);
        let share = (draw.clamp(0.0, 1.0) * (gateways - 1.0)).ln_1p() / gateways.ln();
        let width = self.longest.saturating_sub(self.shortest);
        (self.shortest + width.mul_f64(share)).min(self.longest)
    }
}
