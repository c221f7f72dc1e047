//! Sends of a request to targets, of which several may be under way: a silent one goes on while another
//! target is sought, and whichever answers first wins.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use amaranthgw_fleet::gateway::{
    AttemptStage, EndCause, EventId, PatienceVerdict, RunCount, SearchCause, TargetCandidate,
};
use compact_str::{CompactString, format_compact};
use http::StatusCode;
use tokio::time::{Instant, timeout};

use super::attempt::{AttemptFailure, AttemptInput, OpenAttempt, open_attempt};
use super::basis::ChoiceBasis;
use super::refusal::CallRefusal;
use super::run::CallRun;
use crate::telemetry::count_attempt;

/// Largest number of failed sends of one request that never reached a target and are not counted in
/// `MAX_SENDS`.
const MAX_UNSENT: u32 = 6;
/// Interval between checks of an attempt whose target sends nothing.
pub(super) const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Result of an attempt up to the head of its answer.
type OpenResult = Result<OpenAttempt, AttemptFailure>;

/// A send with the inputs of its choice, for the log.
#[derive(Clone, Debug)]
pub(super) struct SendMark {
    /// Target that the request was sent to.
    pub(super) target: TargetCandidate,
    /// Inputs of the choice of the target.
    pub(super) basis: Arc<ChoiceBasis>,
    /// Number of the send, from 1.
    pub(super) number: u32,
    /// Time of the send.
    pub(super) sent_at: Instant,
}

/// A send whose answer has not begun.
pub(super) struct PendingSend {
    mark: SendMark,
    /// Why another target is sought; `None` if none is.
    doubt: Option<SearchCause>,
    opening: Pin<Box<dyn Future<Output = OpenResult> + Send>>,
}

impl std::fmt::Debug for PendingSend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PendingSend")
            .field("mark", &self.mark)
            .field("doubt", &self.doubt)
            .finish_non_exhaustive()
    }
}

/// What happened first among the sends under way.
enum SendEvent {
    /// One has an answer or has failed.
    Opened(Box<SendMark>, Box<OpenResult>),
    /// Another target is to be sought beside the last one.
    Search(SearchCause),
    /// The request ends.
    End(EndCause),
}

impl CallRun {
    /// Sends the request to one target after another until an answer head arrives.
    ///
    /// A send whose target is silent goes on while another target is sought.
    pub(super) async fn next_attempt(
        &mut self,
        last_event: Option<&EventId>,
    ) -> Result<OpenAttempt, CallRefusal> {
        loop {
            if self.pending.is_empty() {
                self.send_next(last_event).await?;
            }
            match self.next_send_event().await {
                SendEvent::Opened(mark, opened) => match *opened {
                    Ok(attempt) => {
                        self.take_answer(&mark, &attempt);
                        return Ok(attempt);
                    }
                    Err(failure) => self.take_failure(&mark, &failure).await,
                },
                SendEvent::Search(cause) => self.send_beside(cause, last_event),
                SendEvent::End(EndCause::CrashesTargets) => self.settle("crashes_targets"),
                SendEvent::End(EndCause::Deadline) => self.settle("no_answer"),
            }
        }
    }

    /// Chooses a target, as soon as one takes the request, and sends it there.
    async fn send_next(&mut self, last_event: Option<&EventId>) -> Result<(), CallRefusal> {
        loop {
            self.check_quarantine()
                .map_err(|refusal| self.refusal_or_unknown(refusal))?;
            self.enter().await?;
            match self.next_target() {
                Ok(choice) => {
                    self.begin_send(choice, last_event);
                    return Ok(());
                }
                Err(CallRefusal::NoCapacity)
                    if !self.is_service_closed() && self.wait_for_target().await => {}
                Err(refusal) => return Err(refusal),
            }
        }
    }

    /// Sends the request to another target beside those that have it, if one takes it at once.
    fn send_beside(&mut self, cause: SearchCause, last_event: Option<&EventId>) {
        self.sought_at = Some(Instant::now());
        if let Ok(choice) = self.next_target() {
            if let Some(send) = self.pending.last_mut() {
                send.doubt = Some(cause);
            }
            self.begin_send(choice, last_event);
        }
    }

    /// Begins to send the request to `target`, which was chosen for `basis`.
    fn begin_send(
        &mut self,
        (target, basis): (TargetCandidate, Arc<ChoiceBasis>),
        last_event: Option<&EventId>,
    ) {
        self.sends += 1;
        self.tried.push(target.record.target.clone());
        let sent_at = Instant::now();
        let mark = SendMark {
            target,
            basis,
            number: self.sends,
            sent_at,
        };
        let input = AttemptInput {
            request: self.request(&mark.target, last_event),
            deadline: self.call.deadline,
            was_refused: self.refused_by.contains(&mark.target.record.target),
            mark: mark.clone(),
        };
        self.pending.push(PendingSend {
            mark,
            doubt: None,
            opening: Box::pin(open_attempt(Arc::clone(&self.thread), input)),
        });
    }

    /// Waits until a send is answered or fails, or the last one has been silent for too long.
    async fn next_send_event(&mut self) -> SendEvent {
        loop {
            let opened = poll_fn(|context| {
                for index in 0..self.pending.len() {
                    let opening = self.pending[index].opening.as_mut();
                    if let Poll::Ready(opened) = opening.poll(context) {
                        let mark = self.pending.remove(index).mark;
                        return Poll::Ready((mark, opened));
                    }
                }
                Poll::Pending
            });
            if let Ok((mark, opened)) = timeout(SILENCE_POLL_INTERVAL, opened).await {
                return SendEvent::Opened(Box::new(mark), Box::new(opened));
            }
            let Some(last) = self.pending.last() else {
                continue;
            };
            let (target, sent_at) = (last.mark.target.clone(), last.mark.sent_at);
            match self.judge(&target, AttemptStage::Waiting, sent_at) {
                PatienceVerdict::Stay(_) => {}
                PatienceVerdict::Search(cause) => return SendEvent::Search(cause),
                PatienceVerdict::End(cause) => return SendEvent::End(cause),
            }
        }
    }

    /// Records that the head of `attempt` has arrived, and ends the other sends unless it is an error that
    /// one of them may make good.
    fn take_answer(&mut self, mark: &SendMark, attempt: &OpenAttempt) {
        count_attempt("answered");
        self.record_answer_sign(&attempt.head, mark.sent_at);
        if attempt.head.is_event_stream {
            self.record_held_parts(mark);
        }
        self.count_run();
        self.record_progress();
        let status = attempt.head.status;
        let detail = format_compact!("status {}", status.as_u16());
        self.record_attempt(mark, "answered", detail);
        if !status.is_server_error() {
            self.leave_others(mark.number);
        }
    }

    /// Records that a send has failed.
    async fn take_failure(&mut self, mark: &SendMark, failure: &AttemptFailure) {
        count_attempt(failure.name());
        self.record_failed_send();
        self.record_attempt(mark, failure.name(), failure.detail());
        let target = &mark.target.record.target;
        if self.is_pending() {
            self.sought_at = Some(Instant::now());
        }
        if failure.is_not_run() {
            self.tried.retain(|tried| tried != target);
        } else {
            self.count_run();
        }
        match failure {
            AttemptFailure::Broken(_) => self.report_broken_off(&mark.target, false).await,
            AttemptFailure::NotRun(status) => {
                self.refused_by.push(target.clone());
                let is_full = *status == StatusCode::SERVICE_UNAVAILABLE;
                if is_full && !self.is_pending() && !self.is_service_closed() {
                    self.wait_after_rejection().await;
                }
            }
            AttemptFailure::Unsent(_) if self.unsent < MAX_UNSENT => {
                // Nothing reached a target, so the next send is in place of this one.
                self.unsent += 1;
                self.sends -= 1;
                self.draw.is_granted = self.sends > 0;
            }
            _ => {}
        }
    }

    /// Ends the sends under way, as the one with `number` was answered.
    fn leave_others(&mut self, number: u32) {
        let now = Instant::now();
        for send in std::mem::take(&mut self.pending) {
            match send.doubt.filter(|_| send.mark.number < number) {
                Some(cause) => {
                    if cause == SearchCause::SilentTarget {
                        send.mark.target.gauge.record_failure(now);
                    }
                    self.end_send(&send, cause.name());
                }
                None => self.end_send(&send, "given_up"),
            }
        }
    }

    /// Ends the sends under way; their targets may run the request.
    pub(super) fn settle(&mut self, outcome: &'static str) {
        for send in std::mem::take(&mut self.pending) {
            self.end_send(&send, outcome);
        }
    }

    /// Records the end of `send`. A target that it has not reached has not run the request.
    fn end_send(&mut self, send: &PendingSend, outcome: &'static str) {
        count_attempt(outcome);
        self.record_attempt(&send.mark, outcome, CompactString::default());
        if send.mark.basis.connected_ms().is_some() {
            self.count_run();
        } else {
            let target = &send.mark.target.record.target;
            self.tried.retain(|tried| tried != target);
        }
    }

    fn count_run(&mut self) {
        self.runs += 1;
        self.may_have_run = true;
    }

    /// Whether a send is under way.
    pub(super) fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Runs and sends of the request; sends under way count as runs.
    pub(super) fn run_count(&self) -> RunCount {
        let pending = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        RunCount {
            runs: self.runs.saturating_add(pending),
            sends: self.sends,
        }
    }
}
