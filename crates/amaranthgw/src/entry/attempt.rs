//! One attempt of a request.

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

/// Counts one request in flight at a target until it is dropped.
struct OwnInFlight {
    count: Arc<AtomicU32>,
}

impl OwnInFlight {
    fn new(route: &TargetRoute) -> Self {
        route.own_in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(&route.own_in_flight),
        }
    }
}

impl Drop for OwnInFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallRun {
    /// Sends the request to `route` and passes the answer on.
    ///
    /// With `alone` it only runs with nothing else at the target.
    pub(super) async fn attempt(&mut self, route: &TargetRoute, alone: bool) -> RunOutcome {
        let attempt = self.answer.attempt();
        let _counted = OwnInFlight::new(route);
        let opening = self
            .thread
            .link
            .open(route.address, self.order(route, attempt, alone));
        let opened = timeout_at(self.call.cutoff, opening).await;
        match opened {
            Ok(Ok(steps)) => self.follow(route, attempt, steps).await,
            Ok(Err(error)) => self.link_failed(route, error),
            Err(_elapsed) => RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
        }
    }

    fn order(&self, route: &TargetRoute, attempt: AttemptNumber, alone: bool) -> AttemptRequest {
        let now = Instant::now();
        let until =
            |instant: Instant| MilliSpan::with_duration(instant.saturating_duration_since(now));
        AttemptRequest {
            target: route.target.clone(),
            service: self.call.head.service.clone(),
            workspace: self.call.head.workspace.clone(),
            request: self.call.head.request.clone(),
            attempt,
            wait: MilliSpan::with_duration(self.longest_wait(now)),
            due: until(self.call.due_at),
            remaining: until(self.call.cutoff),
            is_idempotent: self.is_idempotent(),
            refund_weight: self.call.refund_weight,
            resume_from: self.answer.resume_from(),
            max_tokens: self.call.max_tokens,
            body: self.call.body.clone(),
            change: self.change,
            alone,
        }
    }

    /// Longest time that the attempt may wait for a slot.
    ///
    /// The first attempt leaves half of the time for another one elsewhere.
    fn longest_wait(&self, now: Instant) -> Duration {
        let start_by = match self.call.head.kind {
            ServiceKind::Model => self.timing.next_chunk_by(),
            ServiceKind::Plain => self.call.due_at,
        };
        let left = start_by
            .min(self.call.cutoff)
            .saturating_duration_since(now);
        if self.answer.attempt() == AttemptNumber::new(0) {
            left / 2
        } else {
            left
        }
    }

    async fn follow(
        &mut self,
        route: &TargetRoute,
        attempt: AttemptNumber,
        mut steps: AttemptStream,
    ) -> RunOutcome {
        loop {
            let step = match timeout_at(self.call.cutoff, steps.next()).await {
                Ok(Some(Ok(step))) => step,
                Ok(Some(Err(error))) => return self.link_failed(route, error),
                Ok(None) => return self.link_failed(route, LinkError::ConnectionLost),
                Err(_elapsed) => return RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
            };
            if let Some(outcome) = self.take_step(route, attempt, step).await {
                return outcome;
            }
            if self.is_caller_gone() && self.is_idempotent() {
                return RunOutcome::Failed(FailureCause::BrokenAnswer);
            }
        }
    }

    /// Takes one step in and gives the outcome where it was the last one.
    async fn take_step(
        &mut self,
        route: &TargetRoute,
        attempt: AttemptNumber,
        step: AttemptEvent,
    ) -> Option<RunOutcome> {
        match step {
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
                self.release().await;
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
                Some(self.refused(attempt, &refusal))
            }
            AttemptEvent::Broken {
                code,
                verdict,
                status,
            } => {
                self.observe(route, status);
                self.take_verdict(verdict);
                self.answer.stop_attempt(attempt, AnswerError::StreamCut);
                Some(broken(code))
            }
        }
    }

    fn finish(&mut self, attempt: AttemptNumber, chunk_count: u64) -> RunOutcome {
        let end = AnswerEnd {
            attempt,
            chunks: ChunkSequence::new(chunk_count),
        };
        let accepted = self.answer.accept_end(end);
        if accepted.is_ok() && self.answer.state() == AnswerState::Whole {
            return RunOutcome::Done;
        }
        self.answer.stop_attempt(attempt, AnswerError::StreamCut);
        RunOutcome::Failed(FailureCause::BrokenAnswer)
    }

    /// Passes on every chunk that is next in order.
    async fn release(&mut self) {
        loop {
            let sequence = self.answer.resume_from();
            let Some(data) = self.answer.release() else {
                return;
            };
            self.pass_on(sequence, data).await;
        }
    }

    fn link_failed(&mut self, route: &TargetRoute, error: LinkError) -> RunOutcome {
        let attempt = self.answer.attempt();
        self.answer.stop_attempt(attempt, AnswerError::StreamCut);
        let target = route.target.clone();
        self.report(TrafficReport::Observed(TargetObservation::Unreachable {
            target,
        }));
        let proof = match error {
            LinkError::NotConnected => {
                NotRunProof::with_connect_error(&std::io::ErrorKind::ConnectionRefused.into()).ok()
            }
            LinkError::ConnectionLost | LinkError::Malformed => None,
        };
        proof.map_or(
            RunOutcome::OutcomeUnknown(UnknownCause::ConnectionLost),
            RunOutcome::NotRun,
        )
    }

    /// The outcome of an attempt that its sidecar refused; a refusal of another one proves nothing.
    fn refused(&self, attempt: AttemptNumber, refusal: &SidecarRefusal) -> RunOutcome {
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

const fn broken(code: BreakCode) -> RunOutcome {
    match code {
        BreakCode::TargetError => RunOutcome::Failed(FailureCause::TargetError),
        BreakCode::Malformed => RunOutcome::Failed(FailureCause::BrokenAnswer),
        BreakCode::Expired => RunOutcome::OutcomeUnknown(UnknownCause::TimedOut),
        BreakCode::ConnectionLost | BreakCode::Unspecified => {
            RunOutcome::OutcomeUnknown(UnknownCause::TargetRestarted)
        }
    }
}
