//! Runs one admitted attempt at the target and reports its answer.

use std::sync::Arc;

use amaranthgw_core::ChunkSequence;
use amaranthgw_fleet::gate::{AdmissionPermit, AnswerEvidence, GateEvidence};
use amaranthgw_fleet::sidecar::TargetUpdate;
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep_until};

use super::queue::ExclusiveGuard;
use super::shared::SidecarShared;
use super::target::{TargetCall, TargetError, TargetEvent, TargetStream};
use crate::link::{BreakCode, RefusalCode};
use crate::telemetry::{EventLog, NodeEvent};

/// Event of an attempt, sent to the entry's response stream.
#[derive(Clone, Debug)]
pub(super) enum AttemptReport {
    /// A chunk of the answer.
    Chunk {
        /// Position within the answer, from 0.
        sequence: ChunkSequence,
        /// Payload of the chunk.
        data: Bytes,
    },
    /// The answer is complete.
    Finished {
        /// Number of chunks in the complete answer, including those before `resume_from`.
        chunk_count: u64,
    },
    /// Nothing was sent to the target.
    Refused(RefusalCode),
    /// The attempt failed after its dispatch to the target.
    Broken(BreakCode, Option<SuspectVerdict>),
}

/// Drives one admitted attempt.
pub(super) struct AttemptDriver {
    /// State shared with the other threads.
    pub(super) shared: Arc<SidecarShared>,
    /// Event log of the thread.
    pub(super) log: EventLog,
    /// Call to send to the target.
    pub(super) call: TargetCall,
    /// Time after which the answer counts as late.
    pub(super) due_at: Instant,
    /// Time at which the entry gives the request up.
    pub(super) deadline: Instant,
    /// Keeps other requests out of the target if the attempt must run alone.
    pub(super) alone: Option<ExclusiveGuard>,
    /// Channel to the entry's response stream; closed once the entry has abandoned the attempt.
    pub(super) reports: Sender<AttemptReport>,
}

/// How the call to the target ended.
enum DriveEnd {
    Whole { chunk_count: u64 },
    Failed(TargetError),
    Abandoned,
    Expired,
}

/// Times of an attempt that are evidence for the gate.
struct AttemptTimes {
    admitted_at: Instant,
    first_chunk_at: Option<Instant>,
}

impl AttemptDriver {
    /// Sends the call to the target and reports its answer. Keeps `permit` for as long as the
    /// target may run the call.
    pub(super) async fn run(self, permit: AdmissionPermit) {
        let mut times = AttemptTimes {
            admitted_at: Instant::now(),
            first_chunk_at: None,
        };
        let (request, attempt) = (&self.call.request, self.call.attempt);
        self.shared.running.add(request, attempt, &self.call.body);
        let opened = self.open().await;
        let end = match opened {
            Ok(stream) => self.relay(stream, &mut times).await,
            Err(end) => end,
        };
        self.settle(end, permit, &times).await;
        self.shared.running.remove(request, attempt);
        let queue = &self.shared.queue;
        drop(self.alone);
        queue.serve();
    }

    async fn open(&self) -> Result<TargetStream, DriveEnd> {
        let opening = self.shared.client.run(self.call.clone());
        if !self.shared.client.can_cancel() {
            return opening.await.map_err(DriveEnd::Failed);
        }
        tokio::select! {
            opened = opening => opened.map_err(DriveEnd::Failed),
            () = self.reports.closed() => Err(DriveEnd::Abandoned),
            () = sleep_until(self.deadline) => Err(DriveEnd::Expired),
        }
    }

    async fn relay(&self, mut stream: TargetStream, times: &mut AttemptTimes) -> DriveEnd {
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.reports.closed(), if self.shared.client.can_cancel() => {
                    return DriveEnd::Abandoned;
                }
                () = sleep_until(self.deadline), if self.shared.client.can_cancel() => {
                    return DriveEnd::Expired;
                }
            };
            match event {
                Some(Ok(TargetEvent::Chunk { sequence, data })) => {
                    times.first_chunk_at.get_or_insert_with(Instant::now);
                    self.report(AttemptReport::Chunk { sequence, data }).await;
                }
                Some(Ok(TargetEvent::End { chunk_count })) => {
                    return DriveEnd::Whole { chunk_count };
                }
                Some(Err(error)) => return DriveEnd::Failed(error),
                None => return DriveEnd::Failed(TargetError::ConnectionLost),
            }
        }
    }

    /// Frees the slot, or leaves it in use if the target may still run the call; sends evidence to the
    /// gate and reports the end.
    async fn settle(&self, end: DriveEnd, permit: AdmissionPermit, times: &AttemptTimes) {
        match end {
            DriveEnd::Whole { chunk_count } => {
                self.clear_suspicion();
                self.send_evidence(&permit, times);
                self.shared.queue.record_answer(times.admitted_at.elapsed());
                permit.finish();
                self.shared.queue.serve();
                self.report(AttemptReport::Finished { chunk_count }).await;
            }
            DriveEnd::Failed(error) => self.settle_failure(error, permit).await,
            DriveEnd::Abandoned => self.cancel(permit).await,
            DriveEnd::Expired => {
                self.report_broken(BreakCode::Expired, None).await;
                self.cancel(permit).await;
            }
        }
    }

    async fn settle_failure(&self, error: TargetError, permit: AdmissionPermit) {
        match error {
            TargetError::NotReached => {
                self.shared.mark_unreachable();
                permit.finish();
                self.report(AttemptReport::Refused(RefusalCode::TargetUnreachable))
                    .await;
            }
            TargetError::ConnectionLost => {
                self.shared.mark_unreachable();
                drop(permit);
                let verdict = self.shared.record_death(&self.call.body);
                self.report_broken(BreakCode::ConnectionLost, verdict).await;
            }
            TargetError::Answered { .. } => {
                permit.finish();
                self.shared
                    .send_update(TargetUpdate::Evidence(GateEvidence::Failed));
                self.report_broken(BreakCode::TargetError, None).await;
            }
            TargetError::Malformed => {
                drop(permit);
                self.shared
                    .send_update(TargetUpdate::Evidence(GateEvidence::Failed));
                self.report_broken(BreakCode::Malformed, None).await;
            }
        }
    }

    /// Cancels the call at the target; the slot stays in use unless the target confirms that it
    /// no longer runs the call.
    async fn cancel(&self, permit: AdmissionPermit) {
        let cancelled = self.shared.client.cancel(&self.call.request).await;
        if cancelled.is_ok() {
            permit.finish();
        }
    }

    fn send_evidence(&self, permit: &AdmissionPermit, times: &AttemptTimes) {
        let now = Instant::now();
        let first_chunk_at = times.first_chunk_at.unwrap_or(now);
        let answer = AnswerEvidence {
            admitted_at: times.admitted_at,
            in_flight: permit.in_flight(),
            first_chunk: first_chunk_at - times.admitted_at,
            is_in_time: now <= self.due_at,
        };
        self.shared
            .send_update(TargetUpdate::Evidence(GateEvidence::Answer(answer)));
    }

    /// Clears the request of suspicion, as it did not crash its target. The entry clears it too and
    /// notifies its peers.
    fn clear_suspicion(&self) {
        let served = &self.shared.served;
        let body = &self.call.body;
        let _verdict = self
            .shared
            .suspects
            .clear(&served.service, served.kind, body);
    }

    async fn report_broken(&self, code: BreakCode, verdict: Option<SuspectVerdict>) {
        self.log.record(NodeEvent::AttemptBroken {
            request: self.call.request.clone(),
            attempt: self.call.attempt,
            target: self.shared.served.target.clone(),
            code: crate::wire::break_code_name(code),
        });
        self.report(AttemptReport::Broken(code, verdict)).await;
    }

    /// Sends `report`, unless the entry has abandoned the attempt.
    async fn report(&self, report: AttemptReport) {
        drop(self.reports.send(report).await);
    }
}
