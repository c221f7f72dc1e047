//! What answers tell of the parts of prompts that targets hold.

use amaranthgw_fleet::gateway::AnswerTiming;
use tokio::time::Instant;

use super::run::CallRun;
use super::sends::SendMark;

impl CallRun {
    /// Records that the target of `mark` has read the prompt of the request and begins to answer it.
    pub(super) fn record_held_parts(&self, mark: &SendMark) {
        let parts = &self.call.terms.sized_parts;
        let snapshot = self.thread.shared.snapshot.load();
        let service = snapshot.routes.services.get(&self.call.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        if parts.is_empty() {
            return;
        }
        let now = Instant::now();
        let timing = AnswerTiming {
            taken: now.saturating_duration_since(mark.sent_at),
            prompt: self.call.terms.prompt_tokens,
            rate: engine.read_rate,
            was_alone: mark.basis.expected_begin.is_some_and(|it| it.is_zero()),
        };
        let target = &mark.target;
        let memory = &self.thread.shared.parts;
        memory.record_answer(&target.record.target, parts, &timing, now);
        if let Some(free) = target.gauge.free_memory(now) {
            memory.shrink_target(&target.record.target, free);
        }
    }
}
