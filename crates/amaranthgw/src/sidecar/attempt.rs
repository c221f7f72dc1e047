//! Drives one admitted attempt at the target.

use std::sync::Arc;

use amaranthgw_core::ChunkSequence;
use amaranthgw_fleet::gate::{AdmissionPermit, AnswerEvidence, GateEvidence};
use amaranthgw_fleet::sidecar::TargetUpdate;
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep_until};

use super::queue::AloneTurn;
use super::shared::SidecarShared;
use super::target::{TargetCall, TargetError, TargetStep, TargetStream};
use crate::link::{BreakCode, RefusalCode};
use crate::telemetry::{EventLog, NodeEvent};

/// What the driver reports of its attempt.
#[derive(Clone, Debug)]
pub(super) enum AttemptReport {
    /// A chunk of the answer.
    Chunk {
        /// Its position.
        sequence: ChunkSequence,
        /// Its bytes.
        data: Bytes,
    },
    /// The answer ended after this many chunks.
    Finished {
        /// Chunks of the whole answer.
        chunk_count: u64,
    },
    /// Nothing was handed to the target.
    Refused(RefusalCode),
    /// The attempt broke after its hand-over.
    Broken(BreakCode, Option<SuspectVerdict>),
}

/// One admitted attempt.
pub(super) struct AttemptDriver {
    /// State of the sidecar.
    pub(super) shared: Arc<SidecarShared>,
    /// Where events go.
    pub(super) log: EventLog,
    /// The call.
    pub(super) call: TargetCall,
    /// When the answer is late.
    pub(super) due_at: Instant,
    /// When the entry gives the request up.
    pub(super) deadline: Instant,
    /// Keeps other requests out of the target, where the attempt has to run alone.
    pub(super) alone: Option<AloneTurn>,
    /// Way of reports to the entry; closed when the entry has abandoned the attempt.
    pub(super) reports: Sender<AttemptReport>,
}

/// How the conversation with the target ended.
enum DriveEnd {
    Whole { chunk_count: u64 },
    Failed(TargetError),
    Abandoned,
    Expired,
}

/// Times of an attempt that the gate learns from.
struct AttemptTimes {
    admitted_at: Instant,
    first_chunk_at: Option<Instant>,
}

impl AttemptDriver {
    /// Hands the call to the target and reports its answer; keeps `permit` for as long as the
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
        let running = self.shared.client.run(self.call.clone());
        if !self.shared.client.can_cancel() {
            return running.await.map_err(DriveEnd::Failed);
        }
        tokio::select! {
            opened = running => opened.map_err(DriveEnd::Failed),
            () = self.reports.closed() => Err(DriveEnd::Abandoned),
            () = sleep_until(self.deadline) => Err(DriveEnd::Expired),
        }
    }

    async fn relay(&self, mut stream: TargetStream, times: &mut AttemptTimes) -> DriveEnd {
        loop {
            let step = tokio::select! {
                step = stream.next() => step,
                () = self.reports.closed(), if self.shared.client.can_cancel() => {
                    return DriveEnd::Abandoned;
                }
                () = sleep_until(self.deadline), if self.shared.client.can_cancel() => {
                    return DriveEnd::Expired;
                }
            };
            match step {
                Some(Ok(TargetStep::Chunk { sequence, data })) => {
                    times.first_chunk_at.get_or_insert_with(Instant::now);
                    self.report(AttemptReport::Chunk { sequence, data }).await;
                }
                Some(Ok(TargetStep::End { chunk_count })) => {
                    return DriveEnd::Whole { chunk_count };
                }
                Some(Err(error)) => return DriveEnd::Failed(error),
                None => return DriveEnd::Failed(TargetError::ConnectionLost),
            }
        }
    }

    /// Frees or abandons the slot, tells the gate, and reports the end.
    async fn settle(&self, end: DriveEnd, permit: AdmissionPermit, times: &AttemptTimes) {
        match end {
            DriveEnd::Whole { chunk_count } => {
                self.clear_suspicion();
                self.tell_answer(&permit, times);
                self.shared.queue.note_answer(times.admitted_at.elapsed());
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
                self.shared.note_gone();
                permit.finish();
                self.report(AttemptReport::Refused(RefusalCode::TargetUnreachable))
                    .await;
            }
            TargetError::ConnectionLost => {
                self.shared.note_gone();
                drop(permit);
                let verdict = self.shared.record_death(&self.call.body);
                self.report_broken(BreakCode::ConnectionLost, verdict).await;
            }
            TargetError::Answered { .. } => {
                permit.finish();
                self.shared
                    .tell(TargetUpdate::Evidence(GateEvidence::Failed));
                self.report_broken(BreakCode::TargetError, None).await;
            }
            TargetError::Malformed => {
                drop(permit);
                self.shared
                    .tell(TargetUpdate::Evidence(GateEvidence::Failed));
                self.report_broken(BreakCode::Malformed, None).await;
            }
        }
    }

    /// Stops the call at the target; the slot stays taken unless the target confirms the end.
    async fn cancel(&self, permit: AdmissionPermit) {
        let cancelled = self.shared.client.cancel(&self.call.request).await;
        if cancelled.is_ok() {
            permit.finish();
        }
    }

    fn tell_answer(&self, permit: &AdmissionPermit, times: &AttemptTimes) {
        let now = Instant::now();
        let first_chunk_at = times.first_chunk_at.unwrap_or(now);
        let answer = AnswerEvidence {
            admitted_at: times.admitted_at,
            in_flight: permit.in_flight(),
            first_chunk: first_chunk_at - times.admitted_at,
            is_in_time: now <= self.due_at,
        };
        self.shared
            .tell(TargetUpdate::Evidence(GateEvidence::Answer(answer)));
    }

    /// A request that finished did not crash its target.
    fn clear_suspicion(&self) {
        let served = &self.shared.served;
        let body = &self.call.body;
        let _told_to_entry = self
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

    /// Sends `report`; an entry that has gone away receives nothing.
    async fn report(&self, report: AttemptReport) {
        drop(self.reports.send(report).await);
    }
}
