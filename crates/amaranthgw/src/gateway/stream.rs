//! Forwards event streams to callers, and resumes them at another target if the route allows it.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gateway::{
    AttemptStage, EndCause, EventScanner, PatienceVerdict, SearchCause, TargetCandidate,
};
use amaranthgw_fleet::memory::ByteHolder;
use amaranthgw_platform::answer::caller_headers;
use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use super::attempt::OpenAttempt;
use super::body::{AnswerBody, BodyError};
use super::refusal::CallRefusal;
use super::run::CallRun;
use super::sends::SILENCE_POLL_INTERVAL;
use crate::memory::{ByteReservation, MemoryBudget};

/// Time after the deadline for which what a target has already sent is forwarded.
const LATE_READ_TIME: Duration = Duration::from_millis(200);
/// Longest part of an event that is held without a reservation; most events are shorter.
const FREE_PARTIAL_BYTES: usize = 4 * 1024;
/// Step in which memory for longer parts of events is reserved.
const PARTIAL_STEP_BYTES: usize = 16 * 1024;

/// A stream being forwarded; dropped when the caller disconnects.
struct StreamForwarder {
    run: CallRun,
    attempt: Option<OpenAttempt>,
    scanner: EventScanner,
    /// Memory for a long part of an event.
    partial: Option<ByteReservation>,
    /// Whether the current attempt has delivered an event.
    has_begun: bool,
    /// Since when the caller has waited for the next event; `None` if it has not asked yet.
    silent_since: Option<Instant>,
    /// Outcome of the request; if still `None` at the drop, the caller has disconnected.
    outcome: Option<&'static str>,
}

/// Next result of reading from the target.
enum ReadResult {
    /// Complete events for the caller.
    Events(Bytes),
    /// The stream has ended.
    End,
    /// The stream broke or timed out.
    Broken(BreakCause),
    /// The target is silent, and another is to be sought.
    Doubtful(SearchCause),
    /// The search for another target has ended; reading goes on at the chosen one.
    Replaced,
}

/// What one frame of a target's answer adds to its events.
enum FrameResult {
    /// No complete event.
    Partial,
    /// Complete events for the caller.
    Events(Bytes),
    /// The stream broke.
    Broken(BreakCause),
    /// The stream has ended.
    End,
}

/// End of the search for a target that replaces a silent one.
enum SearchResult {
    /// The silent target was heard first.
    Heard(FrameResult),
    /// Another target has answered, or none takes the request.
    Opened(Result<Box<OpenAttempt>, CallRefusal>),
}

/// Why a stream from a target ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakCause {
    /// The connection broke.
    Connection,
    /// The body ended within an event.
    CutEvent,
    /// An event is too long, or there is no memory for it.
    EventTooLong,
    /// Another target has taken over.
    Replaced(SearchCause),
    /// The deadline of the request passed.
    TimedOut,
    /// The request or parts of its prompt have crashed other targets.
    CrashesTargets,
    /// There is no target.
    NoTarget,
}

impl BreakCause {
    /// Name of the cause in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Connection => "broken_answer",
            Self::CutEvent => "cut_event",
            Self::EventTooLong => "event_too_long",
            Self::Replaced(cause) => cause.name(),
            Self::TimedOut => "timed_out",
            Self::CrashesTargets => "crashes_targets",
            Self::NoTarget => "no_target",
        }
    }
}

impl From<EndCause> for BreakCause {
    fn from(cause: EndCause) -> Self {
        match cause {
            EndCause::Deadline => Self::TimedOut,
            EndCause::CrashesTargets => Self::CrashesTargets,
        }
    }
}

/// Builds a response that forwards the events of `attempt` and of the attempts that resume it.
pub(super) fn stream_response(run: CallRun, attempt: OpenAttempt) -> Response<AnswerBody> {
    let mut headers = caller_headers(&attempt.headers);
    // Events of several targets may make up the body, so the length is unknown.
    headers.remove(header::CONTENT_LENGTH);
    let scanner = EventScanner::new(run.call.terms.last_event.clone());
    let forwarder = StreamForwarder {
        run,
        attempt: Some(attempt),
        scanner,
        partial: None,
        has_begun: false,
        silent_since: None,
        outcome: None,
    };
    let events = unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(forwarder))),
            Some(Err(error)) => {
                forwarder.outcome = Some(error.name());
                Some((Err(error), None))
            }
            None => {
                forwarder.outcome = Some("answered");
                None
            }
        }
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    *response.headers_mut() = headers;
    response
}

impl StreamForwarder {
    /// Returns the next complete events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let mut read = self.read_events().await;
            if let ReadResult::Doubtful(cause) = read {
                read = self.replace(cause).await;
            }
            match read {
                ReadResult::Events(events) => {
                    if !std::mem::replace(&mut self.has_begun, true) {
                        self.run.record_begun();
                    }
                    return Some(self.run.deliver_events(events).await);
                }
                ReadResult::End => return None,
                ReadResult::Doubtful(_) | ReadResult::Replaced => {}
                ReadResult::Broken(cause) => {
                    if let Err(error) = self.resume(cause).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn read_events(&mut self) -> ReadResult {
        let Some(attempt) = self.attempt.as_mut() else {
            return ReadResult::Broken(BreakCause::NoTarget);
        };
        let memory = Arc::clone(&self.run.thread.shared.memory);
        let silent_since = *self.silent_since.get_or_insert_with(Instant::now);
        let deadline = self.run.call.deadline;
        loop {
            let now = Instant::now();
            if now >= deadline + LATE_READ_TIME {
                return ReadResult::Broken(BreakCause::TimedOut);
            }
            let poll_at = deadline.min(now + SILENCE_POLL_INTERVAL);
            let Ok(frame) = timeout_at(poll_at, attempt.body.frame()).await else {
                let stage = if self.has_begun {
                    AttemptStage::Streaming
                } else {
                    AttemptStage::Waiting
                };
                match self.run.judge(attempt.target(), stage, silent_since) {
                    PatienceVerdict::Stay(_) => continue,
                    PatienceVerdict::Search(cause) => return ReadResult::Doubtful(cause),
                    PatienceVerdict::End(cause) => return ReadResult::Broken(cause.into()),
                }
            };
            match take_events(&mut self.scanner, frame) {
                FrameResult::Partial => {
                    if !hold_partial(&self.scanner, &mut self.partial, &memory, attempt.target()) {
                        return ReadResult::Broken(BreakCause::EventTooLong);
                    }
                    record_progress(&self.run, attempt);
                }
                FrameResult::Events(events) => {
                    record_progress(&self.run, attempt);
                    self.silent_since = None;
                    return ReadResult::Events(events);
                }
                FrameResult::Broken(cause) => return ReadResult::Broken(cause),
                FrameResult::End => return self.finish(),
            }
        }
    }

    /// Looks for another target to go on with the stream of the current one, which is silent. The current
    /// one is left only once another has taken the request: it may be sound and go on before.
    async fn replace(&mut self, cause: SearchCause) -> ReadResult {
        let Some(mut current) = self.attempt.take() else {
            return ReadResult::Broken(BreakCause::NoTarget);
        };
        let memory = Arc::clone(&self.run.thread.shared.memory);
        let last_event = self.scanner.last_event().cloned();
        let mut broken = None;
        let search = {
            let mut opening = pin!(self.run.next_attempt(last_event.as_ref()));
            loop {
                tokio::select! {
                    biased;
                    frame = current.body.frame(), if broken.is_none() => {
                        match take_events(&mut self.scanner, frame) {
                            FrameResult::Partial => {
                                let (scanner, partial) = (&self.scanner, &mut self.partial);
                                if !hold_partial(scanner, partial, &memory, current.target()) {
                                    broken = Some(BreakCause::EventTooLong);
                                }
                            }
                            FrameResult::Broken(cause) => broken = Some(cause),
                            heard => break SearchResult::Heard(heard),
                        }
                    }
                    opened = &mut opening => break SearchResult::Opened(opened.map(Box::new)),
                }
            }
        };
        match search {
            SearchResult::Opened(Ok(attempt)) if is_stream(&attempt) => {
                let cause = broken.unwrap_or(BreakCause::Replaced(cause));
                self.leave(current, cause).await;
                self.scanner.restart();
                self.attempt = Some(*attempt);
                ReadResult::Replaced
            }
            SearchResult::Opened(_none) => {
                self.end_search();
                self.attempt = Some(current);
                broken.map_or(ReadResult::Replaced, ReadResult::Broken)
            }
            SearchResult::Heard(heard) => {
                self.end_search();
                record_progress(&self.run, &current);
                self.attempt = Some(current);
                self.take_heard(heard)
            }
        }
    }

    /// Ends the sends of a search, as no other target has taken over.
    fn end_search(&mut self) {
        self.run.settle("given_up");
        self.run.sought_at = Some(Instant::now());
    }

    fn take_heard(&mut self, heard: FrameResult) -> ReadResult {
        match heard {
            FrameResult::Partial => ReadResult::Replaced,
            FrameResult::Events(events) => {
                self.silent_since = None;
                ReadResult::Events(events)
            }
            FrameResult::Broken(cause) => ReadResult::Broken(cause),
            FrameResult::End => self.finish(),
        }
    }

    fn finish(&mut self) -> ReadResult {
        if let Some(attempt) = self.attempt.take() {
            attempt.gauge().record_success();
            if attempt.is_framed() {
                self.run.record_answered();
            }
            attempt.finish(&self.run.thread);
        }
        ReadResult::End
    }

    /// Resumes the stream at another target, after the last complete event.
    async fn resume(&mut self, cause: BreakCause) -> Result<(), BodyError> {
        if let Some(attempt) = self.attempt.take() {
            self.leave(attempt, cause).await;
        }
        self.scanner.restart();
        if Instant::now() >= self.run.call.deadline {
            return Err(BodyError::TimedOut);
        }
        if !self.run.may_run_again() {
            return Err(BodyError::TargetFailed);
        }
        let last_event = self.scanner.last_event().cloned();
        let resumed = self.run.next_attempt(last_event.as_ref()).await;
        let attempt = resumed.map_err(|_none| BodyError::TargetFailed)?;
        if !is_stream(&attempt) {
            return Err(BodyError::TargetFailed);
        }
        self.attempt = Some(attempt);
        Ok(())
    }

    /// Ends the work of `attempt`, which broke or was replaced because of `cause`.
    async fn leave(&mut self, attempt: OpenAttempt, cause: BreakCause) {
        attempt.gauge().record_failure(Instant::now());
        let mark = attempt.mark.clone();
        // Closes the connection, so that the target ends its work.
        drop(attempt);
        self.silent_since = None;
        self.partial = None;
        let last_event = self.scanner.last_event().cloned().unwrap_or_default();
        self.run.record_attempt(&mark, cause.name(), last_event);
        let is_break = matches!(cause, BreakCause::Connection | BreakCause::CutEvent);
        let has_begun = std::mem::take(&mut self.has_begun);
        if is_break {
            self.run.report_broken_off(&mark.target, has_begun).await;
        }
    }
}

/// Reserves memory for the part of an event in `scanner`, which `target` sent; returns whether there is
/// some.
fn hold_partial(
    scanner: &EventScanner,
    partial: &mut Option<ByteReservation>,
    memory: &Arc<MemoryBudget>,
    target: &TargetCandidate,
) -> bool {
    let bytes = scanner.partial_bytes();
    if bytes <= FREE_PARTIAL_BYTES {
        *partial = None;
        return true;
    }
    let holder = || ByteHolder::Target(target.record.target.clone());
    let reservation = partial.get_or_insert_with(|| memory.reserve(holder()));
    reservation.hold(bytes.next_multiple_of(PARTIAL_STEP_BYTES))
}

fn is_stream(attempt: &OpenAttempt) -> bool {
    attempt.head.is_event_stream && attempt.head.status == StatusCode::OK
}

fn record_progress(run: &CallRun, attempt: &OpenAttempt) {
    run.record_progress();
    if let Some(group) = &attempt.target().group {
        group.record_progress(Instant::now());
    }
}

/// What `frame`, the next one of a target's answer, adds to `scanner`.
fn take_events(
    scanner: &mut EventScanner,
    frame: Option<hyper::Result<Frame<Bytes>>>,
) -> FrameResult {
    match frame {
        Some(Ok(frame)) => match scanner.push(frame.data_ref().map_or(&[], |data| data)) {
            Ok(events) if events.is_empty() => FrameResult::Partial,
            Ok(events) => FrameResult::Events(events),
            Err(_oversized) => FrameResult::Broken(BreakCause::EventTooLong),
        },
        Some(Err(_broken)) => FrameResult::Broken(BreakCause::Connection),
        None if scanner.has_partial() => FrameResult::Broken(BreakCause::CutEvent),
        None => FrameResult::End,
    }
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        self.run.record_end(outcome, StatusCode::OK);
    }
}
