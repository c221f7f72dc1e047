//! Speed and room of the engines of a service, as the operators publish them.

use std::time::Duration;

use amaranthgw_core::{SlotCount, TokenCount, TokenRate};

use super::WorkEstimate;

/// Figures of the engine that all targets of a service run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFigures {
    /// Requests that run at once.
    pub slots: SlotCount,
    /// Time of a step that writes one token of each running request, without what follows.
    pub step: Duration,
    /// Further time of a step for each running request.
    pub step_per_request: Duration,
    /// Further time of a step for each 1,000 tokens of a running request's context.
    pub step_per_thousand: Duration,
    /// Rate at which prompts are read.
    pub read_rate: TokenRate,
    /// Further reading time for each million pairs of a prompt's token and an earlier one.
    pub read_per_million_pairs: Duration,
    /// Steps that the engine runs between two looks at its queue, while requests are being written.
    pub stride: u32,
    /// Tokens that fit in the memory of a target.
    pub memory: TokenCount,
    /// Mean prompt of the service.
    pub usual_prompt: TokenCount,
    /// Mean answer of the service.
    pub usual_answer: TokenCount,
}

const TOKENS_PER_THOUSAND: f64 = 1e3;
const PAIRS_PER_MILLION: f64 = 1e6;

impl EngineFigures {
    /// Estimates the work of a request with `prompt` tokens to read and `answer` tokens to write; 0
    /// stands for an unknown number.
    #[must_use]
    pub fn estimate(&self, prompt: TokenCount, answer: TokenCount) -> WorkEstimate {
        let or_usual = |tokens: TokenCount, usual: TokenCount| {
            if tokens.get() == 0 { usual } else { tokens }
        };
        let prompt = or_usual(prompt, self.usual_prompt);
        let answer = or_usual(answer, self.usual_answer);
        let read_time = self.read_time(prompt);
        let write_time = self.step_time(prompt).mul_f64(tokens(answer));
        WorkEstimate {
            read_time,
            slot_time: read_time.saturating_add(write_time),
            memory: TokenCount::new(prompt.get().saturating_add(answer.get())),
        }
    }

    /// Estimates the work of a request of usual size.
    #[must_use]
    pub fn usual(&self) -> WorkEstimate {
        self.estimate(self.usual_prompt, self.usual_answer)
    }

    /// Memory that a usual request needs at its end.
    #[must_use]
    pub const fn usual_memory(&self) -> TokenCount {
        TokenCount::new(
            self.usual_prompt
                .get()
                .saturating_add(self.usual_answer.get()),
        )
    }

    /// Time of a step with all slots in use by requests with `context` tokens each.
    #[must_use]
    pub fn step_time(&self, context: TokenCount) -> Duration {
        let requests = f64::from(self.slots.get());
        let contexts = requests * tokens(context) / TOKENS_PER_THOUSAND;
        self.step
            + self.step_per_request.mul_f64(requests)
            + self.step_per_thousand.mul_f64(contexts)
    }

    /// Time of a pass with all slots in use by usual requests, after which the engine looks at its queue.
    #[must_use]
    pub fn pass_time(&self) -> Duration {
        self.step_time(self.usual_prompt) * self.stride
    }

    fn read_time(&self, prompt: TokenCount) -> Duration {
        let prompt = tokens(prompt);
        let rate = tokens(TokenCount::new(self.read_rate.per_second().max(1)));
        let pairs = prompt * prompt / 2.0 / PAIRS_PER_MILLION;
        Duration::from_secs_f64(prompt / rate) + self.read_per_million_pairs.mul_f64(pairs)
    }
}

/// `count` as a factor; counts beyond 32 bits are none of an engine.
pub(super) fn tokens(count: TokenCount) -> f64 {
    f64::from(u32::try_from(count.get()).unwrap_or(u32::MAX))
}
