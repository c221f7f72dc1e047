//! One attempt of a request: sends it to a sidecar and forwards the chunks of the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranthgw_core::{AttemptNumber, ChunkSequence, MilliSpan};
use amaranthgw_fleet::answers::{AnswerEnd, AnswerError, AnswerState, StreamChunk};
use amaranthgw_fleet::entry::{TargetObservation, TargetStatus};
use amaranthgw_fleet::retries::{
    FailureCause, NotRunProof, RefusalReason, RunOutcome, SidecarRefusal, UnknownCause,
};
use amaranthgw_fleet::routing::{ServiceKind, TargetRoute};
use futures_util::StreamExt;
use tokio::time::{Instant, timeout_at};

use super::run::CallRun;
use super::shared::TrafficReport;
use crate::link::{AttemptEvent, AttemptRequest, AttemptStream, BreakCode, LinkError, RefusalCode};

/// Counts one of this entry's requests as in flight at a target until it is dropped.
struct TargetInFlightGuard {
    count: Arc<AtomicU32>,
}

impl TargetInFlightGuard {
    fn new(route: &TargetRoute) -> Self {
        route.own_in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(&route.own_in_flight),
        }
    }
}

impl Drop for TargetInFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallRun {
    /// Sends the request to `route` and forwards the answer to the caller.
    ///
    /// With `alone`, the sidecar runs it only while nothing else runs at the target.
    pub(super) async fn attempt(&mut self, route: &TargetRoute, alone: bool) -> RunOutcome {
        let attempt = self.answer.attempt();
        let _in_flight = TargetInFlightGuard::new(route);
        let opening = self
            .thread
            .link
            .open(route.address, self.attempt_request(route, attempt, alone));
        let opened = timeout_at(self.call.cutoff, opening).await;
        match opened {
            Ok(Ok(events)) => self.follow_events(route, attempt, events).await,
            Ok(Err(error)) => self.handle_link_error(route, error),
            Err(_elapsed) => RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
        }
    }

    fn attempt_request(
        &self,
        route: &TargetRoute,
        attempt: AttemptNumber,
        alone: bool,
    ) -> AttemptRequest {
        let now = Instant::now();
        let time_until =
            |instant: Instant| MilliSpan::from_duration(instant.saturating_duration_since(now));
        AttemptRequest {
            target: route.target.clone(),
            service: self.call.head.service.clone(),
            workspace: self.call.head.workspace.clone(),
            request: self.call.head.request.clone(),
            attempt,
            wait: MilliSpan::from_duration(self.max_queue_wait(now)),
            due: time_until(self.call.due_at),
            remaining: time_until(self.call.cutoff),
            is_idempotent: self.is_idempotent(),
            refund_weight: self.call.refund_weight,
            resume_from: self.answer.resume_from(),
            max_tokens: self.call.max_tokens,
            body: self.call.body.clone(),
            change: self.change,
            alone,
        }
    }

    /// Returns how long the attempt may wait in the queue of the sidecar for a free slot.
    ///
    /// The first attempt uses half of the remaining time at most, which leaves the rest for a retry
    /// at another target.
    fn max_queue_wait(&self, now: Instant) -> Duration {
        let start_by = match self.call.head.kind {
            ServiceKind::Model => self.timing.next_chunk_by(),
            ServiceKind::Plain => self.call.due_at,
        };
        let remaining = start_by
            .min(self.call.cutoff)
            .saturating_duration_since(now);
        if self.answer.attempt() == AttemptNumber::new(0) {
            remaining / 2
        } else {
            remaining
        }
    }

    async fn follow_events(
        &mut self,
        route: &TargetRoute,
        attempt: AttemptNumber,
        mut events: AttemptStream,
    ) -> RunOutcome {
        loop {
            let event = match timeout_at(self.call.cutoff, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return self.handle_link_error(route, error),
                Ok(None) => return self.handle_link_error(route, LinkError::ConnectionLost),
                Err(_elapsed) => return RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
            };
            if let Some(outcome) = self.handle_event(route, attempt, event).await {
                return outcome;
            }
            if self.is_caller_gone() && self.is_idempotent() {
                // `FailureCause` has no variant for a caller that disconnected, so `BrokenAnswer`
                // stands for it.
                return RunOutcome::Failed(FailureCause::BrokenAnswer);
            }
        }
    }

    /// Handles one event and returns the outcome if it was the last one of the attempt.
    async fn handle_event(
        &mut self,
        route: &TargetRoute,
        attempt: AttemptNumber,
        event: AttemptEvent,
    ) -> Option<RunOutcome> {
        match event {
            AttemptEvent::Admitted(status) => {
                self.observe(route, status);
                None
            }
            AttemptEvent::Chunk { sequence, data } => {
                let chunk = StreamChunk {
                    attempt,
                    sequence,
                    data,
                };
                let accepted = self.answer.accept(chunk);
                self.forward_ready_chunks().await;
                accepted
                    .is_err()
                    .then_some(RunOutcome::Failed(FailureCause::BrokenAnswer))
            }
            AttemptEvent::Finished {
                chunk_count,
                status,
            } => {
                self.observe(route, status);
                Some(self.finish(attempt, chunk_count))
            }
            AttemptEvent::Refused {
                code,
                request,
                attempt: refused_attempt,
                status,
            } => {
                self.observe_refusal(route, code, status);
                let reason = refusal_reason(code);
                let refusal = SidecarRefusal {
                    request,
                    attempt: refused_attempt,
                    reason,
                };
                Some(self.refusal_outcome(attempt, &refusal))
            }
            AttemptEvent::Broken {
                code,
                verdict,
                status,
            } => {
                self.observe(route, status);
                self.merge_verdict(verdict);
                self.answer.stop_attempt(attempt, AnswerError::StreamCut);
                Some(broken_outcome(code))
            }
        }
    }

    fn finish(&mut self, attempt: AttemptNumber, chunk_count: u64) -> RunOutcome {
        let end = AnswerEnd {
            attempt,
            chunks: ChunkSequence::new(chunk_count),
        };
        let accepted = self.answer.accept_end(end);
        if accepted.is_ok() && self.answer.state() == AnswerState::Complete {
            return RunOutcome::Done;
        }
        self.answer.stop_attempt(attempt, AnswerError::StreamCut);
        RunOutcome::Failed(FailureCause::BrokenAnswer)
    }

    /// Forwards every buffered chunk that is next in order.
    async fn forward_ready_chunks(&mut self) {
        loop {
            let sequence = self.answer.resume_from();
            let Some(data) = self.answer.release() else {
                return;
            };
            self.forward_chunk(sequence, data).await;
        }
    }

    fn handle_link_error(&mut self, route: &TargetRoute, error: LinkError) -> RunOutcome {
        let attempt = self.answer.attempt();
        self.answer.stop_attempt(attempt, AnswerError::StreamCut);
        let target = route.target.clone();
        self.report(TrafficReport::Observed(TargetObservation::Unreachable {
            target,
        }));
        let proof = match error {
            LinkError::NotConnected => {
                // Without a connection nothing was sent. The proof needs an I/O error; the link
                // keeps none, so `ConnectionRefused` is passed.
                NotRunProof::with_connect_error(&std::io::ErrorKind::ConnectionRefused.into()).ok()
            }
            LinkError::ConnectionLost | LinkError::Malformed => None,
        };
        proof.map_or(
            RunOutcome::OutcomeUnknown(UnknownCause::ConnectionLost),
            RunOutcome::NotRun,
        )
    }

    /// Returns the outcome of an attempt that the sidecar refused.
    ///
    /// A refusal that names another request or attempt does not prove that this one did not run.
    fn refusal_outcome(&self, attempt: AttemptNumber, refusal: &SidecarRefusal) -> RunOutcome {
        let request = &self.call.head.request;
        NotRunProof::with_sidecar_refusal(request, attempt, refusal).map_or(
            RunOutcome::OutcomeUnknown(UnknownCause::ConnectionLost),
            RunOutcome::NotRun,
        )
    }

    fn observe(&self, route: &TargetRoute, status: Option<TargetStatus>) {
        let Some(status) = status else { return };
        let target = route.target.clone();
        self.report(TrafficReport::Observed(TargetObservation::Reported {
            target,
            status,
        }));
    }

    fn observe_refusal(
        &self,
        route: &TargetRoute,
        code: RefusalCode,
        status: Option<TargetStatus>,
    ) {
        self.observe(route, status);
        if matches!(
            code,
            RefusalCode::TargetUnreachable | RefusalCode::WrongTarget
        ) {
            let target = route.target.clone();
            self.report(TrafficReport::Observed(TargetObservation::Unreachable {
                target,
            }));
        }
    }
}

const fn refusal_reason(code: RefusalCode) -> RefusalReason {
    match code {
        RefusalCode::GateFull | RefusalCode::NotAlone => RefusalReason::GateFull,
        RefusalCode::Leaving => RefusalReason::Leaving,
        RefusalCode::Expired => RefusalReason::DeadlineTooNear,
        RefusalCode::WrongTarget
        | RefusalCode::Invalid
        | RefusalCode::TargetUnreachable
        | RefusalCode::Unspecified => RefusalReason::NotReady,
    }
}

const fn broken_outcome(code: BreakCode) -> RunOutcome {
    match code {
        BreakCode::TargetError => RunOutcome::Failed(FailureCause::TargetError),
        BreakCode::Malformed => RunOutcome::Failed(FailureCause::BrokenAnswer),
        BreakCode::Expired => RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
        BreakCode::ConnectionLost | BreakCode::Unspecified => {
            RunOutcome::OutcomeUnknown(UnknownCause::TargetRestarted)
        }
    }
}
