//! Report on error-budget burn, mergeable across entries.

use amaranthgw_core::{EntityTable, MilliSpan, VmId};
use serde::{Deserialize, Serialize};

use super::{BurnError, BurnKey, OutcomeCounts, Result, ServiceLevel, WindowShape};

/// Lengths of the short and the long window of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSpans {
    /// Length of the short window.
    pub short: MilliSpan,
    /// Length of the long window.
    pub long: MilliSpan,
}

impl WindowSpans {
    /// Returns the windows that every entry uses.
    #[must_use]
    pub fn standard() -> Self {
        Self {
            short: MilliSpan::from_duration(WindowShape::SHORT.span()),
            long: MilliSpan::from_duration(WindowShape::LONG.span()),
        }
    }
}

/// Completeness of one entry's contribution to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceState {
    /// The counts cover both windows.
    Whole,
    /// The entry restarted within the long window; earlier counts are lost.
    Restarted {
        /// Time since the restart.
        running: MilliSpan,
    },
    /// The entry did not respond; its counts are missing.
    Unreachable,
}

impl SourceState {
    /// Returns the state of an entry that has been running for `running`.
    #[must_use]
    pub fn with_running(running: MilliSpan, windows: WindowSpans) -> Self {
        if running < windows.long {
            return Self::Restarted { running };
        }
        Self::Whole
    }
}

/// Completeness of the counts of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceRow {
    /// Whether the counts are complete, partial or missing.
    pub state: SourceState,
}

/// Report line of one plan and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Plan and service of the line.
    pub key: BurnKey,
    /// Objective and refund weight of the plan.
    pub level: ServiceLevel,
    /// Counts over the short window.
    pub short: OutcomeCounts,
    /// Counts over the long window.
    pub long: OutcomeCounts,
    /// Counts since the entries started.
    pub total: OutcomeCounts,
}

/// Denominator of objectives, which are stored in hundredths of a percent.
const OBJECTIVE_DENOMINATOR: f64 = 10_000.0;

impl BurnLine {
    /// Burn rate over `counts`; at a rate of 1, misses use up exactly the error budget. `None` where
    /// nothing was counted.
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
        let miss_rate = counts.missed() as f64 / counted as f64;
        if miss_rate == 0.0 {
            return Some(0.0);
        }
        Some(miss_rate / self.error_budget())
    }

    /// Remaining share of the error budget of the long window; negative when exceeded.
    #[must_use]
    pub fn budget_left(&self) -> Option<f64> {
        self.burn_rate(&self.long).map(|rate| 1.0 - rate)
    }

    /// Late answers in the long window; a refund is owed for each.
    #[must_use]
    pub fn refunds_owed(&self) -> u64 {
        self.long.late
    }

    /// Refunds owed, multiplied by the refund weight of the plan.
    #[must_use]
    pub fn refund_cost(&self) -> u64 {
        self.refunds_owed()
            .saturating_mul(u64::from(self.level.refund_weight))
    }

    /// Share of counted requests that may be misses; zero for an objective of 100 %.
    fn error_budget(&self) -> f64 {
        (1.0 - f64::from(self.level.objective.0) / OBJECTIVE_DENOMINATOR).max(0.0)
    }

    fn add(&mut self, other: &Self) {
        // Entries may hold different configurations; the stricter value counts.
        self.level.refund_weight = self.level.refund_weight.max(other.level.refund_weight);
        self.level.objective = self.level.objective.max(other.level.objective);
        self.short.add(&other.short);
        self.long.add(&other.long);
        self.total.add(&other.total);
    }
}

/// Error-budget burn of one or more entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Creation time of the oldest merged report, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// Window lengths; only reports with equal windows can be merged.
    pub windows: WindowSpans,
    /// Entries asked for their counts, with the completeness of these.
    pub sources: EntityTable<VmId, SourceRow>,
    /// Counts by plan and service.
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

    /// Records that the entry `source` did not respond, unless its counts are present.
    #[must_use]
    pub fn with_unreachable(mut self, source: VmId) -> Self {
        let state = SourceState::Unreachable;
        self.sources
            .get_or_insert_with(source, || SourceRow { state });
        self
    }

    /// Merges the counts of other entries into this report.
    ///
    /// # Errors
    ///
    /// Returns a [`BurnError`] and leaves the report unchanged where the windows differ or both
    /// reports contain the counts of an entry.
    pub fn merge(&mut self, other: &Self) -> Result<()> {
        if self.windows != other.windows {
            return Err(BurnError::WindowMismatch);
        }
        if let Some(source) = self.duplicate_source(other) {
            return Err(BurnError::DuplicateSource { source });
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

    /// Whether the counts of any entry are missing or incomplete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.sources
            .rows()
            .any(|row| row.state != SourceState::Whole)
    }

    fn duplicate_source(&self, other: &Self) -> Option<VmId> {
        let has_counts = |row: &SourceRow| row.state != SourceState::Unreachable;
        let is_in_both = |source: &VmId, row: &SourceRow| {
            has_counts(row) && self.sources.get(source).is_some_and(has_counts)
        };
        let mut rows = other.sources.iter();
        rows.find(|(source, row)| is_in_both(source, row))
            .map(|(source, _)| source.clone())
    }
}

/// Serialises the lines as a list, because a JSON object key must be a string.
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
