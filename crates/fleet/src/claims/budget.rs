//! Rate limit on the calls that all batchers of a process make to the key-value service.

use std::time::Duration;

use amaranthgw_core::RequestRate;
use tokio::time::Instant;

use super::{BatcherTable, ClaimBatcher, ClaimOutput, ClaimSettings, ClockReading, ShardNumber};

/// Rate limiter for calls to the key-value service.
///
/// Unused calls accumulate up to the burst size; beyond it, calls are spaced evenly.
#[derive(Clone, Debug)]
pub struct CallBudget {
    interval: Duration,
    burst_window: Duration,
    /// Time of the next call if calls were evenly spaced, without a burst: the theoretical arrival
    /// time of the generic cell rate algorithm (GCRA).
    theoretical_at: Instant,
}

impl CallBudget {
    /// Creates a budget that allows a full burst at `now`.
    #[must_use]
    pub fn new(settings: &ClaimSettings, now: Instant) -> Self {
        let interval = call_interval(settings.call_rate);
        let burst_window = interval.saturating_mul(settings.call_burst.saturating_sub(1));
        Self {
            interval,
            burst_window,
            theoretical_at: now,
        }
    }

    /// Earliest time at which the next call is allowed.
    #[must_use]
    pub fn earliest_call_at(&self) -> Instant {
        let earliest = self.theoretical_at.checked_sub(self.burst_window);
        earliest.unwrap_or(self.theoretical_at)
    }

    /// Records one call made at `now`.
    pub fn charge(&mut self, now: Instant) {
        self.theoretical_at = self.theoretical_at.max(now) + self.interval;
    }
}

/// Ticks every batcher, longest-waiting claims first, and lets them call while the budget allows.
pub fn tick_batchers(
    batchers: &mut BatcherTable,
    budget: &mut CallBudget,
    clock: ClockReading,
) -> Vec<(ShardNumber, ClaimOutput)> {
    let mut order: Vec<_> = batchers
        .iter()
        .map(|(shard, batcher)| (batcher.oldest_submission(), *shard))
        .collect();
    order.sort_unstable_by_key(|(since, shard)| (since.is_none(), *since, *shard));
    let tick = |(_, shard): (_, ShardNumber)| {
        let batcher = batchers.get_mut(&shard)?;
        Some((shard, tick_batcher(batcher, budget, clock)))
    };
    order.into_iter().filter_map(tick).collect()
}

fn tick_batcher(
    batcher: &mut ClaimBatcher,
    budget: &mut CallBudget,
    clock: ClockReading,
) -> ClaimOutput {
    batcher.defer_calls(budget.earliest_call_at());
    let output = batcher.tick(clock);
    if output.call.is_some() {
        budget.charge(clock.now);
    }
    output
}

fn call_interval(rate: RequestRate) -> Duration {
    const ONE_SECOND: Duration = Duration::from_secs(1);
    let per_second = u32::try_from(rate.per_second()).unwrap_or(u32::MAX);
    ONE_SECOND / per_second.max(1)
}
