//! Demand of other gateways as they last told it.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthgw_core::{CallUrgency, EntityTable, ServiceId, VmId};
use tokio::time::Instant;

use super::report::{
    DemandReport, LevelDemand, ReportRefusal, ReportVersion, Result, ServiceDemand,
};

/// Age up to which a report counts.
pub const DEMAND_TIME: Duration = Duration::from_secs(3);
/// Age up to which the version of a report is kept, to refuse older ones.
const VERSION_TIME: Duration = Duration::from_secs(10);
/// Reports at most; gateways meet fewer others than this within `DEMAND_TIME`.
const MAX_ROWS: usize = 256;
/// Time within which waiting work is to be done: that much waiting work weighs as much as work that
/// arrives.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Weight of a level of urgency against the next more urgent one.
const LEVEL_WEIGHT: f64 = 0.25;

/// Last report of one gateway.
#[derive(Debug)]
struct DemandRow {
    version: ReportVersion,
    services: Vec<ServiceDemand>,
    heard_at: Instant,
}

impl DemandRow {
    fn service(&self, service: &ServiceId) -> Option<&ServiceDemand> {
        self.services.iter().find(|row| row.service == *service)
    }
}

/// Reports of other gateways by VM.
#[derive(Debug, Default)]
pub struct DemandTable {
    rows: EntityTable<VmId, DemandRow>,
}

impl DemandTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the `report` of the gateway `vm`, heard at `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportRefusal`] if the report is out of bounds, or as old as the one that is known.
    pub fn adopt(&mut self, vm: &VmId, report: &DemandReport, now: Instant) -> Result<()> {
        report.check()?;
        let known = self.rows.get(vm);
        if known.is_some_and(|row| row.version >= report.version) {
            return Err(ReportRefusal::Old);
        }
        if known.is_none() && self.rows.len() >= MAX_ROWS {
            self.remove_oldest();
        }
        let row = DemandRow {
            version: report.version,
            services: report.services.clone(),
            heard_at: now,
        };
        self.rows.insert(vm.clone(), row);
        Ok(())
    }

    fn remove_oldest(&mut self) {
        let oldest = self.rows.ids().min_by_key(|vm| {
            let row = self.rows.get(*vm);
            row.map(|row| row.heard_at)
        });
        if let Some(vm) = oldest.cloned() {
            self.rows.remove(&vm);
        }
    }

    /// Removes reports that no longer serve to tell older ones.
    pub fn forget_old(&mut self, now: Instant) {
        let is_recent =
            |row: &DemandRow| now.saturating_duration_since(row.heard_at) < VERSION_TIME;
        self.rows.retain(|_, row| is_recent(row));
    }

    /// Reports that count at `now`.
    fn current(&self, now: Instant) -> impl Iterator<Item = &DemandRow> {
        let is_current =
            move |row: &&DemandRow| now.saturating_duration_since(row.heard_at) <= DEMAND_TIME;
        self.rows.rows().filter(is_current)
    }

    /// Part of the demand for `service` that `own` is, as a fraction of all of `gateways`. Gateways that
    /// told nothing lately count as average ones.
    pub(super) fn part_of(
        &self,
        service: &ServiceId,
        own: &[LevelDemand],
        gateways: u32,
        now: Instant,
    ) -> f64 {
        let told = || self.current(now).filter_map(|row| row.service(service));
        let levels = told().flat_map(|row| &row.levels).chain(own);
        let urgencies: BTreeSet<_> = levels.map(|level| level.urgency).collect();
        let own_weight = weight(own, &urgencies);
        let total: f64 = told().map(|row| weight(&row.levels, &urgencies)).sum();
        let known = self.current(now).count().saturating_add(1);
        let known = f64::from(u32::try_from(known).unwrap_or(u32::MAX));
        let gateways = f64::from(gateways.max(1));
        if own_weight <= 0.0 {
            return 0.0;
        }
        (known / gateways).min(1.0) * own_weight / (own_weight + total)
    }

    /// Room of `service` that all gateways but `except` lack, as a fraction.
    pub(super) fn lacking(&self, service: &ServiceId, except: &VmId, now: Instant) -> f64 {
        let is_other = |vm: &&VmId| *vm != except;
        let rows = self.rows.ids().filter(is_other);
        let rows = rows.filter_map(|vm| self.rows.get(vm));
        let is_current =
            |row: &&DemandRow| now.saturating_duration_since(row.heard_at) <= DEMAND_TIME;
        let told = rows
            .filter(is_current)
            .filter_map(|row| row.service(service));
        told.map(|row| row.wanted.minus(row.held).fraction()).sum()
    }
}

/// Weight of `levels` against those of other gateways; `urgencies` are all levels that anyone has.
fn weight(levels: &[LevelDemand], urgencies: &BTreeSet<CallUrgency>) -> f64 {
    let rank = |urgency: CallUrgency| urgencies.range(..urgency).count();
    let weights = levels.iter().map(|level| {
        let waiting = f64::from(level.waiting.get()) / DRAIN_TIME.as_secs_f64();
        let rank = i32::try_from(rank(level.urgency)).unwrap_or(i32::MAX);
        (f64::from(level.arriving.get()) + waiting) * LEVEL_WEIGHT.powi(rank)
    });
    weights.sum()
}
