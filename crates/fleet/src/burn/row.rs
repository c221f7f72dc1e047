//! Outcome counters of one entry by plan and service.

use amaranthgw_core::{EntityTable, MilliSpan, PlanId, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::report::{BurnLine, BurnReport, SourceRow, SourceState, WindowSpans};
use super::{BurnOutcome, BurnWindow, OutcomeCounts, WindowShape};
use crate::config::{OnTimeObjective, PlanRow};

/// Plan and service that outcomes are counted for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BurnKey {
    /// Plan of the workspace.
    pub plan: PlanId,
    /// Service that was called.
    pub service: ServiceId,
}

/// Service-level objective of a plan and the cost of missing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Share of requests that must be answered on time.
    pub objective: OnTimeObjective,
    /// Cost of one late answer relative to other plans.
    pub refund_weight: u32,
}

impl ServiceLevel {
    /// Reads the service level from `plan`.
    #[must_use]
    pub fn with_plan(plan: &PlanRow) -> Self {
        Self {
            objective: plan.objective,
            refund_weight: plan.refund_weight,
        }
    }
}

/// Outcome counters of one plan and service at this entry.
#[derive(Clone, Debug)]
pub struct BurnRow {
    /// Service level of the plan, from the configuration in force.
    pub level: ServiceLevel,
    short: BurnWindow,
    long: BurnWindow,
    total: OutcomeCounts,
}

impl BurnRow {
    /// Creates empty counters whose windows start at `now`.
    #[must_use]
    pub fn new(level: ServiceLevel, now: Instant) -> Self {
        Self {
            level,
            short: BurnWindow::new(WindowShape::SHORT, now),
            long: BurnWindow::new(WindowShape::LONG, now),
            total: OutcomeCounts::default(),
        }
    }

    /// Counts one request that ended at `now`.
    pub fn record(&mut self, outcome: BurnOutcome, now: Instant) {
        self.short.record(outcome, now);
        self.long.record(outcome, now);
        self.total.record(outcome);
    }

    /// Returns the report line of this row at `now`.
    pub fn line(&mut self, key: &BurnKey, now: Instant) -> BurnLine {
        BurnLine {
            key: key.clone(),
            level: self.level,
            short: self.short.counts(now),
            long: self.long.counts(now),
            total: self.total,
        }
    }
}

/// Outcome counters of one entry.
#[derive(Clone, Debug)]
pub struct BurnTable {
    started_at: Instant,
    rows: EntityTable<BurnKey, BurnRow>,
}

impl BurnTable {
    /// Creates the empty table of an entry that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            rows: EntityTable::new(),
        }
    }

    /// Counts one request that ended at `now` and updates the service level of its row.
    pub fn record(
        &mut self,
        key: BurnKey,
        level: ServiceLevel,
        outcome: BurnOutcome,
        now: Instant,
    ) {
        // Windows start with the entry, so that the buckets of all rows cover the same times.
        let started_at = self.started_at;
        let make = || BurnRow::new(level, started_at);
        let row = self.rows.get_or_insert_with(key, make);
        row.level = level;
        row.record(outcome, now);
    }

    /// Removes the rows for which `is_known` is false and the long window is empty.
    pub fn retain(&mut self, is_known: impl Fn(&BurnKey) -> bool, now: Instant) {
        let empty = OutcomeCounts::default();
        self.rows
            .retain(|key, row| is_known(key) || row.long.counts(now) != empty);
    }

    /// Number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the report of this entry, named `source`, at `now`.
    pub fn report(&mut self, source: &VmId, made_at_unix_ms: u64, now: Instant) -> BurnReport {
        let mut report = BurnReport::new(made_at_unix_ms, WindowSpans::standard());
        for (key, row) in self.rows.iter_mut() {
            report.lines.insert(key.clone(), row.line(key, now));
        }
        let running = MilliSpan::from_duration(now.saturating_duration_since(self.started_at));
        let state = SourceState::with_running(running, report.windows);
        report.sources.insert(source.clone(), SourceRow { state });
        report
    }
}
