//! Counters of request outcomes.

use serde::{Deserialize, Serialize};

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BurnOutcome {
    /// Answered completely within the latency targets of the plan.
    OnTime,
    /// Answered completely, but too late.
    Late,
    /// Proven not run, because of insufficient capacity.
    Refused,
    /// Proven not run, because the workspace is over its limit.
    OverLimit,
    /// Failed with an error.
    Failed,
    /// Unknown whether the request ran.
    OutcomeUnknown,
}

impl BurnOutcome {
    /// Name of the outcome in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::OverLimit => "over_limit",
            Self::Failed => "failed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Answered completely within the latency targets of the plan.
    pub on_time: u64,
    /// Answered completely, but too late.
    pub late: u64,
    /// Proven not run, because of insufficient capacity.
    pub refused: u64,
    /// Proven not run, because the workspace is over its limit.
    pub over_limit: u64,
    /// Failed with an error.
    pub failed: u64,
    /// Unknown whether the request ran.
    pub outcome_unknown: u64,
}

impl OutcomeCounts {
    /// Counts one outcome.
    pub fn record(&mut self, outcome: BurnOutcome) {
        let counter = match outcome {
            BurnOutcome::OnTime => &mut self.on_time,
            BurnOutcome::Late => &mut self.late,
            BurnOutcome::Refused => &mut self.refused,
            BurnOutcome::OverLimit => &mut self.over_limit,
            BurnOutcome::Failed => &mut self.failed,
            BurnOutcome::OutcomeUnknown => &mut self.outcome_unknown,
        };
        *counter = counter.saturating_add(1);
    }

    /// Adds the counters of `other`; sums saturate.
    pub fn add(&mut self, other: &Self) {
        self.on_time = self.on_time.saturating_add(other.on_time);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.over_limit = self.over_limit.saturating_add(other.over_limit);
        self.failed = self.failed.saturating_add(other.failed);
        self.outcome_unknown = self.outcome_unknown.saturating_add(other.outcome_unknown);
    }

    /// Requests that count against the error budget. Requests over the workspace's own limit do not.
    #[must_use]
    pub fn missed(&self) -> u64 {
        let without_answer = self.refused.saturating_add(self.failed);
        let late_or_unknown = self.late.saturating_add(self.outcome_unknown);
        without_answer.saturating_add(late_or_unknown)
    }

    /// Requests that the objective is measured over.
    #[must_use]
    pub fn counted(&self) -> u64 {
        self.on_time.saturating_add(self.missed())
    }
}
