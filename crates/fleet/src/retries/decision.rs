//! Retry decision: whether and when a request is retried after an attempt.

use std::time::Duration;

use amaranthgw_core::ChunkSequence;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{RetryBudget, RunOutcome};

/// Whether a request may run again and its answer may be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// Running it twice could repeat its side effects.
    NonIdempotent,
    /// Running it twice is safe, but a partial answer cannot be resumed.
    Idempotent,
    /// Running it twice is safe, and another attempt can resume a partial answer.
    Resumable,
}

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Upper bound of the delay before the second attempt; doubles with each further attempt.
    pub base_delay: Duration,
    /// Maximum of the upper bound.
    pub max_delay: Duration,
}

impl RetrySettings {
    /// Creates the default settings: four attempts, with the upper bound of the delay growing from
    /// 10 ms to at most 250 ms.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_attempts: 4,
            base_delay: Duration::from_millis(10),
            max_delay: Duration::from_millis(250),
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self::new()
    }
}

/// Input of a retry decision: a request after an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryInput {
    /// Whether the request may run again.
    pub rule: RepeatRule,
    /// Outcome of the attempt that ended.
    pub outcome: RunOutcome,
    /// Number of attempts so far, including the one that ended.
    pub attempts: u32,
    /// Deadline of the whole answer.
    pub deadline: Instant,
    /// Minimum time that another attempt needs to finish the answer.
    pub needed: Duration,
    /// Position of the first chunk that the caller has not received.
    pub resume_from: ChunkSequence,
    /// Random number in `0.0..1.0` that spreads the retries of many requests.
    pub jitter: f32,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It succeeded.
    Done,
    /// It may have run and is not idempotent.
    MayHaveRun,
    /// The caller has received part of its answer, which cannot be resumed.
    NotResumable,
    /// It has reached the maximum number of attempts.
    AttemptsSpent,
    /// Another attempt could not finish before the deadline.
    DeadlineTooNear,
    /// The retry budget of the service is exhausted.
    BudgetSpent,
}

/// Result of a retry decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another target.
    Retry {
        /// When the next attempt starts.
        start_at: Instant,
        /// Position of the chunk from which the next attempt resumes the answer.
        resume_from: ChunkSequence,
    },
    /// Do not retry.
    GiveUp(GiveUpReason),
}

impl RetryDecision {
    /// Decides on `input` at `now`; a retry is taken from `budget`.
    #[must_use]
    pub fn decide(
        input: &RetryInput,
        settings: &RetrySettings,
        budget: &RetryBudget,
        now: Instant,
    ) -> Self {
        if let Some(reason) = give_up_reason(input, settings) {
            return Self::GiveUp(reason);
        }
        let start_at = now + retry_delay(input, settings);
        if start_at + input.needed > input.deadline {
            return Self::GiveUp(GiveUpReason::DeadlineTooNear);
        }
        if !budget.try_spend(now) {
            return Self::GiveUp(GiveUpReason::BudgetSpent);
        }
        Self::Retry {
            start_at,
            resume_from: input.resume_from,
        }
    }
}

fn give_up_reason(input: &RetryInput, settings: &RetrySettings) -> Option<GiveUpReason> {
    if input.outcome == RunOutcome::Done {
        return Some(GiveUpReason::Done);
    }
    let is_not_run = matches!(input.outcome, RunOutcome::NotRun(_));
    if input.rule == RepeatRule::NonIdempotent && !is_not_run {
        return Some(GiveUpReason::MayHaveRun);
    }
    let has_begun = input.resume_from > ChunkSequence::new(0);
    if has_begun && input.rule != RepeatRule::Resumable {
        return Some(GiveUpReason::NotResumable);
    }
    (input.attempts >= settings.max_attempts).then_some(GiveUpReason::AttemptsSpent)
}

/// Exponential backoff with full jitter.
///
/// If the first attempt did not run, the second starts at once: another target may be able to run
/// it.
fn retry_delay(input: &RetryInput, settings: &RetrySettings) -> Duration {
    const MAX_DOUBLINGS: u32 = 16;
    let is_first_not_run = input.attempts <= 1 && matches!(input.outcome, RunOutcome::NotRun(_));
    if is_first_not_run {
        return Duration::ZERO;
    }
    let doublings = input.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = settings.base_delay.saturating_mul(1 << doublings);
    let jitter = input.jitter.clamp(0.0, 1.0);
    bound.min(settings.max_delay).mul_f32(jitter)
}
