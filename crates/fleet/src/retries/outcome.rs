//! What is known of an attempt and of a request after it.

use super::NotRunProof;

/// How a target failed an attempt that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The target answered with an error.
    TargetError,
    /// The target broke off within its answer.
    BrokenAnswer,
}

/// Why it is not known whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection broke after bytes may have left.
    ConnectionLost,
    /// No answer arrived in time.
    TimedOut,
    /// The sidecar lost the state of the attempt.
    SidecarRestarted,
    /// The target process ended while the attempt was with it.
    TargetRestarted,
}

/// What is known of one attempt after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran and its answer is whole.
    Done,
    /// It did not run.
    NotRun(NotRunProof),
    /// It ran, at least in part, and failed.
    Failed(FailureCause),
    /// Whether it ran cannot be known.
    OutcomeUnknown(UnknownCause),
}

/// Outcomes of the attempts of one request, as far as its final answer depends on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLog {
    count: u32,
    worst: Option<RunOutcome>,
    last: Option<RunOutcome>,
}

impl AttemptLog {
    /// Creates the log of a request without attempts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the outcome of one more attempt.
    pub fn record(&mut self, outcome: RunOutcome) {
        self.count = self.count.saturating_add(1);
        self.last = Some(outcome);
        let is_worse = self.worst.is_none_or(|worst| rank(outcome) >= rank(worst));
        if is_worse {
            self.worst = Some(outcome);
        }
    }

    /// Number of attempts that ended.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// What the caller may be told of the whole request.
    ///
    /// A request is "not run" only if every attempt proved it; one unknown attempt makes the
    /// request unknown unless a later one finished it.
    #[must_use]
    pub fn overall(&self) -> Option<RunOutcome> {
        match self.last {
            Some(RunOutcome::Done) => Some(RunOutcome::Done),
            _ => self.worst,
        }
    }
}

/// Orders outcomes by how little they allow to say about the whole request.
fn rank(outcome: RunOutcome) -> u8 {
    match outcome {
        RunOutcome::NotRun(_) => 0,
        RunOutcome::Done => 1,
        RunOutcome::Failed(_) => 2,
        RunOutcome::OutcomeUnknown(_) => 3,
    }
}
