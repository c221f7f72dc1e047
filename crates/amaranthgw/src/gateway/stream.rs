//! Forwards event streams to callers, and resumes them at another target if the route allows it.

use std::time::Duration;

use amaranthgw_fleet::gateway::EventScanner;
use amaranthgw_platform::answer::caller_headers;
use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use super::attempt::OpenAttempt;
use super::body::{AnswerBody, BodyError};
use super::run::{CallRun, GROUP_POLL_INTERVAL};

/// Interval between checks of a service whose targets are all silent.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A stream being forwarded; dropped when the caller disconnects.
struct StreamForwarder {
    run: CallRun,
    attempt: Option<OpenAttempt>,
    scanner: EventScanner,
    /// Whether the current attempt has delivered an event.
    has_begun: bool,
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
}

/// Why a stream from a target ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakCause {
    /// The connection broke.
    Connection,
    /// The body ended within an event.
    CutEvent,
    /// An event is too long.
    EventTooLong,
    /// The target's rank group is stalled.
    GroupStalled,
    /// The target sent nothing for too long.
    Silent,
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
            Self::GroupStalled => "group_stalled",
            Self::Silent => "silent",
            Self::CrashesTargets => "crashes_targets",
            Self::NoTarget => "no_target",
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
        has_begun: false,
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
            match self.read_events().await {
                ReadResult::Events(events) => {
                    if !std::mem::replace(&mut self.has_begun, true) {
                        self.run.record_begun();
                    }
                    return Some(Ok(events));
                }
                ReadResult::End => return None,
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
        let mut silence_deadline = self.run.silence_deadline_after(Instant::now());
        loop {
            let poll_at = silence_deadline.min(Instant::now() + GROUP_POLL_INTERVAL);
            let Ok(frame) = timeout_at(poll_at, attempt.body.frame()).await else {
                let now = Instant::now();
                if !self.has_begun && self.run.is_convicted() {
                    return ReadResult::Broken(BreakCause::CrashesTargets);
                }
                if self.run.may_leave_stalled_group(&attempt.target, now) {
                    return ReadResult::Broken(BreakCause::GroupStalled);
                }
                if now < silence_deadline {
                    continue;
                }
                if now < self.run.call.deadline && self.run.is_service_stalled() {
                    silence_deadline = self.run.call.deadline.min(now + STALL_POLL_INTERVAL);
                    continue;
                }
                return ReadResult::Broken(BreakCause::Silent);
            };
            match frame {
                Some(Ok(frame)) => {
                    self.run.record_progress();
                    if let Some(group) = &attempt.target.group {
                        group.record_progress(Instant::now());
                    }
                    match self.scanner.push(frame.data_ref().map_or(&[], |data| data)) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return ReadResult::Events(events),
                        Err(_oversized) => return ReadResult::Broken(BreakCause::EventTooLong),
                    }
                }
                Some(Err(_broken)) => return ReadResult::Broken(BreakCause::Connection),
                None if self.scanner.has_partial() => {
                    return ReadResult::Broken(BreakCause::CutEvent);
                }
                None => return self.finish(),
            }
        }
    }

    fn finish(&mut self) -> ReadResult {
        if let Some(attempt) = self.attempt.take() {
            attempt.gauge().record_success();
            attempt.finish(&self.run.thread);
        }
        ReadResult::End
    }

    /// Resumes the stream at another target, after the last complete event.
    async fn resume(&mut self, cause: BreakCause) -> Result<(), BodyError> {
        let now = Instant::now();
        if let Some(attempt) = self.attempt.take() {
            attempt.gauge().record_failure(now);
            let target = attempt.target.clone();
            // Closes the connection, so that the target ends its work.
            drop(attempt);
            let last_event = self.scanner.last_event().cloned().unwrap_or_default();
            self.run
                .record_attempt(&target.record.target, cause.name(), last_event);
            let is_break = matches!(cause, BreakCause::Connection | BreakCause::CutEvent);
            if !std::mem::take(&mut self.has_begun) && is_break {
                self.run.report_broken_off(&target).await;
            }
        }
        self.scanner.restart();
        if Instant::now() >= self.run.call.deadline {
            return Err(BodyError::TimedOut);
        }
        if !self.run.may_resume() {
            return Err(BodyError::TargetFailed);
        }
        let last_event = self.scanner.last_event().cloned();
        let resumed = self.run.next_attempt(last_event.as_ref()).await;
        let attempt = resumed.map_err(|_none| BodyError::TargetFailed)?;
        if !attempt.head.is_event_stream || attempt.head.status != StatusCode::OK {
            return Err(BodyError::TargetFailed);
        }
        self.attempt = Some(attempt);
        Ok(())
    }
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        self.run.record_end(outcome, StatusCode::OK);
    }
}
