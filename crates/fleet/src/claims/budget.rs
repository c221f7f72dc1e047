//! Keeps the calls of all batchers of a process within its share of the service's rate.

use std::time::Duration;

use amaranthgw_core::RequestRate;
use tokio::time::Instant;

use super::{BatcherTable, ClaimBatcher, ClaimOutput, ClaimSettings, ClockReading, ShardNumber};

/// Calls to the key-value service that a process may make.
///
/// Unused calls add up to a burst; beyond it, calls are spaced evenly.
#[derive(Clone, Debug)]
pub struct CallBudget {
    gap: Duration,
    burst_time: Duration,
    /// Earliest time of the next call, if the burst were used up.
    paced_at: Instant,
}

impl CallBudget {
    /// Creates a budget with a whole burst at the time `now`.
    #[must_use]
    pub fn new(settings: &ClaimSettings, now: Instant) -> Self {
        let gap = gap_of(settings.call_rate);
        let burst_time = gap.saturating_mul(settings.call_burst.saturating_sub(1));
        Self {
            gap,
            burst_time,
            paced_at: now,
        }
    }

    /// Earliest time of the next call.
    #[must_use]
    pub fn free_at(&self) -> Instant {
        let burst_start = self.paced_at.checked_sub(self.burst_time);
        burst_start.unwrap_or(self.paced_at)
    }

    /// Counts one call made at the time `now`.
    pub fn charge(&mut self, now: Instant) {
        self.paced_at = self.paced_at.max(now) + self.gap;
    }
}

/// Ticks every batcher; those whose claims wait longest call first while the budget lasts.
pub fn tick_batchers(
    batchers: &mut BatcherTable,
    budget: &mut CallBudget,
    clock: ClockReading,
) -> Vec<(ShardNumber, ClaimOutput)> {
    let mut order: Vec<_> = batchers
        .iter()
        .map(|(shard, batcher)| (batcher.waits_since(), *shard))
        .collect();
    order.sort_unstable_by_key(|(since, shard)| (since.is_none(), *since, *shard));
    let tick = |(_, shard): (_, ShardNumber)| {
        let batcher = batchers.get_mut(&shard)?;
        Some((shard, tick_one(batcher, budget, clock)))
    };
    order.into_iter().filter_map(tick).collect()
}

fn tick_one(
    batcher: &mut ClaimBatcher,
    budget: &mut CallBudget,
    clock: ClockReading,
) -> ClaimOutput {
    batcher.hold_calls(budget.free_at());
    let output = batcher.tick(clock);
    if output.call.is_some() {
        budget.charge(clock.now);
    }
    output
}

fn gap_of(rate: RequestRate) -> Duration {
    const ONE_SECOND: Duration = Duration::from_secs(1);
    let per_second = u32::try_from(rate.per_second()).unwrap_or(u32::MAX);
    ONE_SECOND / per_second.max(1)
}
