//! Admission of dispatched requests.

use std::time::Duration;

use amaranthgw_core::SlotCount;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use super::log::EngineEvent;
use super::messages::GenerateBody;
use super::rows::RunRow;
use super::stream::StreamPart;
use super::text::{prefix_hash, text_hash};
use super::world::{EngineDown, EngineWorld, Result};

/// A prompt that contains this text crashes the engine.
const CRASH_MARKER: &str = "crash-engine";

impl EngineWorld {
    /// Starts a run of a request and returns the parts of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`EngineDown`] if the engine is down, or crashes now because the request exceeds its
    /// slots or contains [`CRASH_MARKER`].
    pub(super) fn dispatch(
        &mut self,
        body: GenerateBody,
        now: Instant,
    ) -> Result<UnboundedReceiver<StreamPart>> {
        self.ensure_up(now)?;
        self.remove_abandoned(now);
        self.log_dispatch(&body, now);
        let has_capacity = self.in_flight() < self.slots();
        if !has_capacity || body.prompt.contains(CRASH_MARKER) {
            self.crash(now);
            return Err(EngineDown);
        }
        let parts = self.add_run(body, now);
        self.report_load(now);
        Ok(parts)
    }

    fn log_dispatch(&mut self, body: &GenerateBody, now: Instant) {
        let in_flight = self.in_flight().next();
        let event = EngineEvent::HandOver {
            request: body.request.clone(),
            attempt: body.attempt,
            in_flight,
        };
        self.log.add(now, event);
        self.log.record_load(self.process.is_warm, in_flight);
    }

    fn add_run(&mut self, body: GenerateBody, now: Instant) -> UnboundedReceiver<StreamPart> {
        let (stream, parts) = unbounded_channel();
        self.last_run = self.last_run.next();
        let is_cached = self
            .prefixes
            .use_prefix(prefix_hash(&body.prompt), self.last_run);
        let row = RunRow {
            prompt_hash: text_hash(body.prompt.as_bytes()),
            request: body.request,
            attempt: body.attempt,
            priority: body.priority,
            next: body.resume_from,
            chunks: body.max_tokens,
            first_chunk_at: now + self.prefill(is_cached),
            is_decoding: false,
            stream,
        };
        self.runs.insert(self.last_run, row);
        parts
    }

    fn prefill(&self, is_cached: bool) -> Duration {
        if is_cached {
            self.settings.cached_prefill_span.duration()
        } else {
            self.settings.prefill_span.duration()
        }
    }

    fn slots(&self) -> SlotCount {
        if self.process.is_warm {
            self.settings.warm_slots
        } else {
            self.settings.cold_slots
        }
    }
}
