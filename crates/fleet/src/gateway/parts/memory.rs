//! Held parts and their measured saving, shared by traffic threads.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::{TargetId, TokenCount, TokenRate};
use tokio::time::Instant;

use super::{PartTable, PromptPart, SavingGauge, SavingSample, TableLimits};

/// What this process knows of the parts that targets hold.
#[derive(Debug)]
pub struct PartMemory {
    state: Mutex<MemoryState>,
}

#[derive(Debug)]
struct MemoryState {
    table: PartTable,
    gauge: SavingGauge,
}

impl PartMemory {
    /// Creates a memory that knows nothing yet.
    #[must_use]
    pub fn new(limits: TableLimits) -> Self {
        let state = MemoryState {
            table: PartTable::new(limits),
            gauge: SavingGauge::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Share of the reading time of held parts that targets really save.
    #[must_use]
    pub fn saved_share(&self) -> f64 {
        self.lock().gauge.share()
    }

    /// Reading time that `target` is expected to save a request with `parts`, at `rate`. Zero while no
    /// saving was measured.
    #[must_use]
    pub fn saving(
        &self,
        target: &TargetId,
        parts: &[PromptPart],
        rate: TokenRate,
        now: Instant,
    ) -> Duration {
        let state = self.lock();
        let share = state.gauge.share();
        if share <= 0.0 {
            return Duration::ZERO;
        }
        reading_time(state.table.held_tokens(target, parts, now), rate).mul_f64(share)
    }

    /// Records that `target` began to answer a request with `parts`, `taken` after it was sent. The time is
    /// a sample of the saving if the request `was_alone`, with nobody before it at the target.
    pub fn record_answer(
        &self,
        target: &TargetId,
        parts: &[PromptPart],
        answer: &AnswerTiming,
        now: Instant,
    ) {
        let mut state = self.lock();
        if answer.was_alone {
            let held = state.table.held_tokens(target, parts, now);
            let sample = SavingSample {
                taken: answer.taken,
                reading: reading_time(answer.prompt, answer.rate),
                saving: reading_time(held, answer.rate),
            };
            state.gauge.record(&sample);
        }
        state.table.record_read(target, parts, now);
    }

    /// Forgets the parts of `target`, as it ended, crashed or became cold.
    pub fn forget_target(&self, target: &TargetId) {
        self.lock().table.forget_target(target);
    }

    /// Drops parts of `target` that no longer fit beside its requests, which leave it `free` memory.
    pub fn shrink_target(&self, target: &TargetId, free: TokenCount) {
        self.lock().table.shrink_target(target, free);
    }

    /// Removes what is too old; returns the number of parts left.
    pub fn expire(&self, now: Instant) -> usize {
        let mut state = self.lock();
        state.table.expire(now);
        state.table.len()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When and how a target began to answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTiming {
    /// Time from the send to the head of the answer.
    pub taken: Duration,
    /// Length of the whole prompt.
    pub prompt: TokenCount,
    /// Rate at which the target reads prompts.
    pub rate: TokenRate,
    /// Whether a slot was free when the request was sent.
    pub was_alone: bool,
}

fn reading_time(tokens: TokenCount, rate: TokenRate) -> Duration {
    // Exact for all lengths of prompts.
    #[expect(
        clippy::cast_precision_loss,
        reason = "prompts have fewer than 2^53 tokens"
    )]
    let seconds = tokens.get() as f64 / rate.per_second().max(1) as f64;
    Duration::from_secs_f64(seconds)
}
