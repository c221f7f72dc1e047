//! What a change of the map costs and brings, in seconds of the group.

use amaranthgw_core::{ByteCount, ByteRate, MilliSpan};

use super::loads::count;

/// Prices of a change of the map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovePrice {
    /// Time of one step under perfect balance.
    pub step: MilliSpan,
    /// Bytes of the weights of one expert of one layer.
    pub expert: ByteCount,
    /// Rate of the weight store that the group may use.
    pub rate: ByteRate,
    /// Steps in which the group stands still at a switch.
    pub switch_steps: u32,
    /// Part of a step's time that is lost while weights load.
    pub load_slowdown: f64,
    /// Time for which popularity is expected to stay as it is.
    pub horizon: MilliSpan,
}

impl MovePrice {
    /// Bytes that a number of loaded replicas takes from the weight store.
    #[must_use]
    pub fn bytes(&self, replicas: usize) -> ByteCount {
        let replicas = u64::try_from(replicas).unwrap_or(u64::MAX);
        ByteCount::new(self.expert.get().saturating_mul(replicas))
    }

    /// Seconds that loading a number of replicas takes.
    #[must_use]
    pub fn load_seconds(&self, replicas: usize) -> f64 {
        let one = to_f64(self.expert.get()) / to_f64(self.rate.per_second().max(1));
        one * count(replicas)
    }

    /// Seconds of the group lost by loading a number of replicas.
    #[must_use]
    pub fn load_cost(&self, replicas: usize) -> f64 {
        self.load_seconds(replicas) * self.load_slowdown
    }

    /// Seconds of the group lost by one switch.
    #[must_use]
    pub fn switch_cost(&self) -> f64 {
        self.step.duration().as_secs_f64() * f64::from(self.switch_steps)
    }

    /// Seconds of the group won by shortening every step by a part of its time under perfect
    /// balance, from the end of loading until the horizon.
    #[must_use]
    pub fn gain(&self, step_part: f64, replicas: usize) -> f64 {
        let horizon = self.horizon.duration().as_secs_f64();
        (horizon - self.load_seconds(replicas)).max(0.0) * step_part
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "prices need no more than 52 bits"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
