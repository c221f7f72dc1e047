//! Outcomes of single attempts and of the whole request.

use super::NotRunProof;

/// How an attempt that ran failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The target returned an error.
    TargetError,
    /// The target stopped sending before its answer was complete.
    BrokenAnswer,
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection was lost after bytes may have been sent.
    ConnectionLost,
    /// No answer arrived before the timeout.
    TimedOut,
    /// The sidecar lost the state of the attempt.
    SidecarRestarted,
    /// The target process ended while it had the attempt.
    TargetRestarted,
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran and its answer is complete.
    Done,
    /// It did not run.
    NotRun(NotRunProof),
    /// It ran, at least partly, and failed.
    Failed(FailureCause),
    /// It is unknown whether it ran.
    OutcomeUnknown(UnknownCause),
}

/// Accumulates the outcomes of one request's attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLog {
    count: u32,
    worst: Option<RunOutcome>,
    last: Option<RunOutcome>,
}

impl AttemptLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of another attempt.
    pub fn record(&mut self, outcome: RunOutcome) {
        self.count = self.count.saturating_add(1);
        self.last = Some(outcome);
        let is_worse = self
            .worst
            .is_none_or(|worst| severity(outcome) >= severity(worst));
        if is_worse {
            self.worst = Some(outcome);
        }
    }

    /// Number of recorded attempts.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Outcome of the whole request, as reported to the caller; `None` without attempts.
    ///
    /// A request is "not run" only if that is proven for every attempt. One attempt with an unknown
    /// outcome makes that of the request unknown, unless the last attempt succeeded.
    #[must_use]
    pub fn overall(&self) -> Option<RunOutcome> {
        match self.last {
            Some(RunOutcome::Done) => Some(RunOutcome::Done),
            _ => self.worst,
        }
    }
}

/// Severity of an outcome. An unsuccessful request is reported with its most severe one, the latest
/// of equals.
fn severity(outcome: RunOutcome) -> u8 {
    match outcome {
        RunOutcome::NotRun(_) => 0,
        RunOutcome::Done => 1,
        RunOutcome::Failed(_) => 2,
        RunOutcome::OutcomeUnknown(_) => 3,
    }
}
