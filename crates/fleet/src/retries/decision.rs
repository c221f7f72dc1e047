//! Whether and when a request is tried again.

use std::time::Duration;

use amaranthgw_core::ChunkSequence;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{RetryBudget, RunOutcome};

/// What a repetition of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// A second run could act twice.
    NonIdempotent,
    /// A second run is harmless, but an answer that has begun cannot be continued.
    Idempotent,
    /// A second run is harmless and can continue an answer that has begun.
    Resumable,
}

/// Limits and delays of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Largest number of attempts of one request.
    pub max_attempts: u32,
    /// Upper bound of the delay before the second attempt; it doubles with each further one.
    pub base_delay: Duration,
    /// Largest upper bound of a delay.
    pub max_delay: Duration,
}

impl RetrySettings {
    /// Creates the usual settings: four attempts, delays from up to 10 ms to up to 250 ms.
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

/// What the decision needs to know of a request after an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryAsk {
    /// What a repetition may do.
    pub rule: RepeatRule,
    /// What is known of the attempt that ended.
    pub outcome: RunOutcome,
    /// Attempts made so far, including the one that ended.
    pub attempts: u32,
    /// When the answer is due.
    pub deadline: Instant,
    /// Shortest time in which another attempt can finish the answer.
    pub needed: Duration,
    /// First position that the caller has not received.
    pub resume_from: ChunkSequence,
    /// Random number in `0.0..1.0` that spreads the delays of many callers.
    pub jitter: f32,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It is done.
    Done,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// Its answer has begun and cannot be continued.
    NotResumable,
    /// It has used all its attempts.
    AttemptsSpent,
    /// Another attempt cannot finish before the deadline.
    DeadlineTooNear,
    /// The service has used up its retries.
    BudgetSpent,
}

/// What happens to a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again at another target.
    Retry {
        /// When the next attempt starts.
        start_at: Instant,
        /// Position from which the next attempt continues the answer.
        resume_from: ChunkSequence,
    },
    /// Do not try again.
    GiveUp(GiveUpReason),
}

impl RetryDecision {
    /// Decides on `ask` at the time `now`; a retry is taken from `budget`.
    #[must_use]
    pub fn new(
        ask: &RetryAsk,
        settings: &RetrySettings,
        budget: &RetryBudget,
        now: Instant,
    ) -> Self {
        if let Some(reason) = forbidden(ask, settings) {
            return Self::GiveUp(reason);
        }
        let start_at = now + retry_delay(ask, settings);
        if start_at + ask.needed > ask.deadline {
            return Self::GiveUp(GiveUpReason::DeadlineTooNear);
        }
        if !budget.try_spend(now) {
            return Self::GiveUp(GiveUpReason::BudgetSpent);
        }
        Self::Retry {
            start_at,
            resume_from: ask.resume_from,
        }
    }
}

fn forbidden(ask: &RetryAsk, settings: &RetrySettings) -> Option<GiveUpReason> {
    if ask.outcome == RunOutcome::Done {
        return Some(GiveUpReason::Done);
    }
    let is_proven = matches!(ask.outcome, RunOutcome::NotRun(_));
    if ask.rule == RepeatRule::NonIdempotent && !is_proven {
        return Some(GiveUpReason::MayHaveRun);
    }
    let has_begun = ask.resume_from > ChunkSequence::new(0);
    if has_begun && ask.rule != RepeatRule::Resumable {
        return Some(GiveUpReason::NotResumable);
    }
    (ask.attempts >= settings.max_attempts).then_some(GiveUpReason::AttemptsSpent)
}

/// Delay with full jitter under a bound that doubles with each attempt.
///
/// The first retry of a refused attempt starts at once: the target was full, not the service.
fn retry_delay(ask: &RetryAsk, settings: &RetrySettings) -> Duration {
    const MAX_DOUBLINGS: u32 = 16;
    let is_first_refusal = ask.attempts <= 1 && matches!(ask.outcome, RunOutcome::NotRun(_));
    if is_first_refusal {
        return Duration::ZERO;
    }
    let doublings = ask.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = settings.base_delay.saturating_mul(1 << doublings);
    let jitter = ask.jitter.clamp(0.0, 1.0);
    bound.min(settings.max_delay).mul_f32(jitter)
}
