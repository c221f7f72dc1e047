//! Cost model of map changes: cost and gain in seconds of the group's time.

use amaranthgw_core::{ByteCount, ByteRate, MilliSpan};

use super::loads::as_f64;

/// Cost model of a map change: the parameters that determine its cost and its gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveCost {
    /// Duration of a step under perfect balance.
    pub step_duration: MilliSpan,
    /// Size of the weights of one expert in one layer.
    pub expert_size: ByteCount,
    /// Rate at which the group may load from the weight store.
    pub load_rate: ByteRate,
    /// Steps for which the group stalls at a map switch.
    pub switch_steps: u32,
    /// Fraction of the step time that is lost while weights load.
    pub load_loss: f64,
    /// Time for which popularity is expected to remain unchanged.
    pub horizon: MilliSpan,
}

impl MoveCost {
    /// Bytes loaded from the weight store for `replicas` replicas.
    #[must_use]
    pub fn bytes(&self, replicas: usize) -> ByteCount {
        let replicas = u64::try_from(replicas).unwrap_or(u64::MAX);
        ByteCount::new(self.expert_size.get().saturating_mul(replicas))
    }

    /// Seconds that loading `replicas` replicas takes.
    #[must_use]
    pub fn load_seconds(&self, replicas: usize) -> f64 {
        let seconds_each =
            to_f64(self.expert_size.get()) / to_f64(self.load_rate.per_second().max(1));
        seconds_each * as_f64(replicas)
    }

    /// Seconds that the group loses by loading `replicas` replicas.
    #[must_use]
    pub fn load_cost(&self, replicas: usize) -> f64 {
        self.load_seconds(replicas) * self.load_loss
    }

    /// Seconds that the group loses by one map switch.
    #[must_use]
    pub fn switch_cost(&self) -> f64 {
        self.step_duration.duration().as_secs_f64() * f64::from(self.switch_steps)
    }

    /// Seconds that the group saves from the end of loading until the horizon, if each step becomes
    /// shorter by the fraction `step_fraction` of a perfectly balanced step.
    #[must_use]
    pub fn gain(&self, step_fraction: f64, replicas: usize) -> f64 {
        let horizon = self.horizon.duration().as_secs_f64();
        (horizon - self.load_seconds(replicas)).max(0.0) * step_fraction
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a rounded cost is precise enough"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
