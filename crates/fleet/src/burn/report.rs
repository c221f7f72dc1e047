//! The report on service-level burn.

use amaranthgw_core::{EntityTable, MilliSpan, VmId};
use serde::{Deserialize, Serialize};

use super::{BurnError, BurnKey, OutcomeCounts, Result, ServiceLevel, WindowShape};

/// Lengths of the two windows of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSpans {
    /// Length of the short window.
    pub short: MilliSpan,
    /// Length of the long window.
    pub long: MilliSpan,
}

impl WindowSpans {
    /// The windows that every entry uses.
    #[must_use]
    pub fn usual() -> Self {
        Self {
            short: MilliSpan::with_duration(WindowShape::SHORT.span()),
            long: MilliSpan::with_duration(WindowShape::LONG.span()),
        }
    }
}

/// How much an entry contributes to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceState {
    /// Its counts cover both windows.
    Whole,
    /// It started within the long window; what it served before is lost.
    Restarted {
        /// How long it has been running.
        running: MilliSpan,
    },
    /// It did not answer; its counts are missing.
    Unreachable,
}

impl SourceState {
    /// Creates the state of an entry that has been running for `running`.
    #[must_use]
    pub fn with_running(running: MilliSpan, windows: WindowSpans) -> Self {
        if running < windows.long {
            return Self::Restarted { running };
        }
        Self::Whole
    }
}

/// An entry whose counts a report contains or misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceRow {
    /// How much it contributes.
    pub state: SourceState,
}

/// One plan and service of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnLine {
    /// The plan and the service.
    pub key: BurnKey,
    /// What the plan promises.
    pub level: ServiceLevel,
    /// Counts over the short window.
    pub short: OutcomeCounts,
    /// Counts over the long window.
    pub long: OutcomeCounts,
    /// Counts since the entries started.
    pub total: OutcomeCounts,
}

/// Parts that an objective is given in.
const OBJECTIVE_PARTS: f64 = 10_000.0;

impl BurnLine {
    /// How many times faster than allowed the budget is used over `counts`; 1 uses up exactly
    /// the budget. `None` where nothing was counted.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a ratio needs no more than 52 bits"
    )]
    pub fn burn_rate(&self, counts: &OutcomeCounts) -> Option<f64> {
        let counted = counts.counted();
        if counted == 0 {
            return None;
        }
        let bad_share = counts.bad() as f64 / counted as f64;
        if bad_share == 0.0 {
            return Some(0.0);
        }
        Some(bad_share / self.allowed_share())
    }

    /// Share of the long window's budget that is left; negative once overspent.
    #[must_use]
    pub fn budget_left(&self) -> Option<f64> {
        self.burn_rate(&self.long).map(|rate| 1.0 - rate)
    }

    /// Answers of the long window that are owed a refund.
    #[must_use]
    pub fn refunds_owed(&self) -> u64 {
        self.long.late
    }

    /// Refunds owed, weighed by what each costs.
    #[must_use]
    pub fn refund_cost(&self) -> u64 {
        self.refunds_owed()
            .saturating_mul(u64::from(self.level.refund_weight))
    }

    /// Share of answers that may be bad; zero for an objective of 100 %.
    fn allowed_share(&self) -> f64 {
        (1.0 - f64::from(self.level.objective.0) / OBJECTIVE_PARTS).max(0.0)
    }

    fn add(&mut self, other: &Self) {
        self.level.refund_weight = self.level.refund_weight.max(other.level.refund_weight);
        self.level.objective = self.level.objective.max(other.level.objective);
        self.short.add(&other.short);
        self.long.add(&other.long);
        self.total.add(&other.total);
    }
}

/// Service-level burn of one or more entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When the oldest part of the report was made, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// Lengths of the windows.
    pub windows: WindowSpans,
    /// Entries that the report contains or misses.
    pub sources: EntityTable<VmId, SourceRow>,
    /// Plans and services.
    #[serde(with = "line_list")]
    pub lines: EntityTable<BurnKey, BurnLine>,
}

impl BurnReport {
    /// Creates a report without entries.
    #[must_use]
    pub fn new(made_at_unix_ms: u64, windows: WindowSpans) -> Self {
        Self {
            made_at_unix_ms,
            windows,
            sources: EntityTable::new(),
            lines: EntityTable::new(),
        }
    }

    /// Notes that the entry `source` did not answer.
    #[must_use]
    pub fn with_unreachable(mut self, source: VmId) -> Self {
        let state = SourceState::Unreachable;
        self.sources
            .get_or_insert_with(source, || SourceRow { state });
        self
    }

    /// Adds the counts of other entries.
    ///
    /// # Errors
    ///
    /// Returns a [`BurnError`] and leaves the report as it was where the windows differ or an
    /// entry's counts are in both reports.
    pub fn merge(&mut self, other: &Self) -> Result<()> {
        if self.windows != other.windows {
            return Err(BurnError::OtherWindows);
        }
        if let Some(source) = self.source_in_both(other) {
            return Err(BurnError::SameSource { source });
        }
        for (source, row) in other.sources.iter() {
            let kept = self.sources.get_or_insert_with(source.clone(), || *row);
            if kept.state == SourceState::Unreachable {
                *kept = *row;
            }
        }
        for (key, line) in other.lines.iter() {
            match self.lines.get_mut(key) {
                Some(kept) => kept.add(line),
                None => drop(self.lines.insert(key.clone(), line.clone())),
            }
        }
        self.made_at_unix_ms = self.made_at_unix_ms.min(other.made_at_unix_ms);
        Ok(())
    }

    /// Whether counts of some entry are missing, wholly or in part.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.sources
            .rows()
            .any(|row| row.state != SourceState::Whole)
    }

    fn source_in_both(&self, other: &Self) -> Option<VmId> {
        let has_counts = |row: &SourceRow| row.state != SourceState::Unreachable;
        let is_in_both = |source: &VmId, row: &SourceRow| {
            has_counts(row) && self.sources.get(source).is_some_and(has_counts)
        };
        let mut rows = other.sources.iter();
        rows.find(|(source, row)| is_in_both(source, row))
            .map(|(source, _)| source.clone())
    }
}

/// Writes the lines as a list, because a JSON key is a plain text.
mod line_list {
    use amaranthgw_core::EntityTable;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::{BurnKey, BurnLine};

    pub(super) fn serialize<S: Serializer>(
        lines: &EntityTable<BurnKey, BurnLine>,
        out: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        out.collect_seq(lines.rows())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> std::result::Result<EntityTable<BurnKey, BurnLine>, D::Error> {
        let lines = Vec::<BurnLine>::deserialize(input)?;
        let rows = lines.into_iter().map(|line| (line.key.clone(), line));
        Ok(rows.collect())
    }
}
