//! Retry budget of a service, as a percentage of its first attempts.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

use crate::limits::{MilliRate, RateMeter};

/// Limits of a service's retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries allowed per 100 first attempts.
    pub percent: u32,
    /// Maximum number of unspent retries that can accumulate.
    pub max_saved: u32,
    /// Retry rate that is always allowed, regardless of traffic.
    pub floor: MilliRate,
}

impl BudgetSettings {
    /// Creates the default settings: 10 percent, at most 50 saved, and at least one retry every two
    /// seconds.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            percent: 10,
            max_saved: 50,
            floor: MilliRate::new(500),
        }
    }
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self::new()
    }
}

/// Token bucket of a service's retries at one entry; shared by its traffic threads.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved_hundredths: AtomicU64,
    floor: RateMeter,
}

/// One retry in the unit of `saved_hundredths`; a first attempt adds [`BudgetSettings::percent`].
const RETRY_COST_HUNDREDTHS: u64 = 100;

impl RetryBudget {
    /// Creates the budget of a service that has had no traffic before `now`.
    #[must_use]
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let floor = RateMeter::new(now);
        floor.set_floor(settings.floor);
        Self {
            settings,
            saved_hundredths: AtomicU64::new(0),
            floor,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&self) {
        let max_saved = u64::from(self.settings.max_saved) * RETRY_COST_HUNDREDTHS;
        let earn = |saved: u64| Some((saved + u64::from(self.settings.percent)).min(max_saved));
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let _previous = self.saved_hundredths.fetch_update(set, fetch, earn);
    }

    /// Takes one retry from the budget; `false` if the budget is exhausted at `now`.
    #[must_use]
    pub fn try_spend(&self, now: Instant) -> bool {
        let spend = |saved: u64| saved.checked_sub(RETRY_COST_HUNDREDTHS);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        let has_saved = self
            .saved_hundredths
            .fetch_update(set, fetch, spend)
            .is_ok();
        has_saved || self.floor.try_admit(now).is_ok()
    }
}
