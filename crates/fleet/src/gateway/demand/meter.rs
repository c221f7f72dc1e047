//! Demand of this gateway: rates of arriving work, and work that waits.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{CallUrgency, DemandRate, DemandWork, ServiceId, saturating_whole};
use tokio::time::Instant;

use super::DemandLedger;
use super::report::{LevelDemand, MAX_LEVELS};

/// Half-life of the rates of arriving work.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Rate, in thousandths of a request per second, below which a level without waiting work is forgotten.
const NEGLIGIBLE_RATE: f64 = 10.0;

/// Demand at one level of urgency.
#[derive(Clone, Copy, Debug)]
struct LevelMeter {
    /// Rate at `updated_at`, in thousandths of a request per second.
    rate: f64,
    updated_at: Instant,
    /// Work that waits, in thousandths of a request.
    waiting: u64,
}

impl LevelMeter {
    fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.rate * (-age.as_secs_f64() / RATE_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn add(&mut self, work: DemandWork, now: Instant) {
        let per_second = std::f64::consts::LN_2 / RATE_HALF_LIFE.as_secs_f64();
        self.rate = self.rate(now) + f64::from(work.get()) * per_second;
        self.updated_at = self.updated_at.max(now);
    }

    fn demand(&self, urgency: CallUrgency, now: Instant) -> LevelDemand {
        let arriving = u32::try_from(saturating_whole(self.rate(now)));
        LevelDemand {
            urgency,
            arriving: DemandRate::new(arriving.unwrap_or(u32::MAX)),
            waiting: DemandWork::new(u32::try_from(self.waiting).unwrap_or(u32::MAX)),
        }
    }
}

/// Demand by service and urgency.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    services: HashMap<ServiceId, BTreeMap<CallUrgency, LevelMeter>>,
}

impl DemandMeter {
    /// Counts `work` that arrived at `now`.
    pub(super) fn add_arrival(
        &mut self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
        now: Instant,
    ) {
        self.level(service, urgency, now).add(work, now);
    }

    /// Counts `work` as waiting.
    pub(super) fn add_waiting(
        &mut self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
        now: Instant,
    ) {
        self.level(service, urgency, now).waiting += u64::from(work.get());
    }

    /// Counts `work` as no longer waiting.
    pub(super) fn remove_waiting(
        &mut self,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
    ) {
        let levels = self.services.get_mut(service);
        if let Some(level) = levels.and_then(|levels| levels.get_mut(&urgency)) {
            level.waiting = level.waiting.saturating_sub(u64::from(work.get()));
        }
    }

    fn level(
        &mut self,
        service: &ServiceId,
        urgency: CallUrgency,
        now: Instant,
    ) -> &mut LevelMeter {
        let levels = self.services.entry(service.clone()).or_default();
        levels.entry(urgency).or_insert(LevelMeter {
            rate: 0.0,
            updated_at: now,
            waiting: 0,
        })
    }

    /// Forgets levels without demand.
    pub(super) fn forget_idle(&mut self, now: Instant) {
        for levels in self.services.values_mut() {
            levels.retain(|_, level| level.waiting > 0 || level.rate(now) >= NEGLIGIBLE_RATE);
        }
        self.services.retain(|_, levels| !levels.is_empty());
    }

    /// Work that waits for `service`, in thousandths of a request.
    pub(super) fn waiting(&self, service: &ServiceId) -> u64 {
        let levels = self.services.get(service);
        levels.map_or(0, |levels| levels.values().map(|level| level.waiting).sum())
    }

    /// Demand for `service` at `now`, the most urgent first.
    pub(super) fn demand(&self, service: &ServiceId, now: Instant) -> Vec<LevelDemand> {
        let levels = self.services.get(service).into_iter().flatten();
        let mut levels = levels.map(|(&urgency, level)| level.demand(urgency, now));
        let mut demand: Vec<_> = levels.by_ref().take(MAX_LEVELS).collect();
        if let Some(last) = demand.last_mut() {
            for level in levels {
                *last = merged(*last, level);
            }
        }
        demand
    }
}

/// `level` with the demand of a less urgent one.
fn merged(level: LevelDemand, other: LevelDemand) -> LevelDemand {
    let arriving = level.arriving.get().saturating_add(other.arriving.get());
    let waiting = level.waiting.get().saturating_add(other.waiting.get());
    LevelDemand {
        urgency: level.urgency,
        arriving: DemandRate::new(arriving),
        waiting: DemandWork::new(waiting),
    }
}

/// Counts work as waiting until dropped.
#[derive(Debug)]
pub struct WaitingDemand {
    ledger: Arc<DemandLedger>,
    service: ServiceId,
    urgency: CallUrgency,
    work: DemandWork,
}

impl WaitingDemand {
    /// Counts `work` of `service` as waiting from `now` on.
    #[must_use]
    pub fn new(
        ledger: &Arc<DemandLedger>,
        service: &ServiceId,
        urgency: CallUrgency,
        work: DemandWork,
        now: Instant,
    ) -> Self {
        ledger.add_waiting(service, urgency, work, now);
        Self {
            ledger: Arc::clone(ledger),
            service: service.clone(),
            urgency,
            work,
        }
    }
}

impl Drop for WaitingDemand {
    fn drop(&mut self) {
        self.ledger
            .remove_waiting(&self.service, self.urgency, self.work);
    }
}
