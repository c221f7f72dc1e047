//! Passes a stream of events on, and goes on at another target where the route allows it.

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
use super::body::{AnswerBody, BodyBreak};
use super::run::{CallRun, GROUP_LOOK_PAUSE};

/// Pause between two looks at a service whose targets are all silent.
const STALL_PAUSE: Duration = Duration::from_millis(100);

/// A stream on its way to the caller; dropped where the caller leaves.
struct EventPump {
    run: CallRun,
    attempt: Option<OpenAttempt>,
    scanner: EventScanner,
    outcome: Option<&'static str>,
}

/// What the target sent next.
enum PumpStep {
    /// Whole events for the caller.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// The target broke off or fell silent.
    Broken(&'static str),
}

/// The answer that passes on the events of `attempt`, and of those after it.
pub(super) fn stream_response(run: CallRun, attempt: OpenAttempt) -> Response<AnswerBody> {
    let mut headers = caller_headers(&attempt.headers);
    // The events of several targets may make up the answer.
    headers.remove(header::CONTENT_LENGTH);
    let scanner = EventScanner::new(run.call.terms.last_event.clone());
    let pump = EventPump {
        run,
        attempt: Some(attempt),
        scanner,
        outcome: None,
    };
    let events = unfold(Some(pump), |pump| async move {
        let mut pump = pump?;
        match pump.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(pump))),
            Some(Err(broken)) => {
                pump.outcome = Some(broken.name());
                Some((Err(broken), None))
            }
            None => {
                pump.outcome = Some("answered");
                None
            }
        }
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    *response.headers_mut() = headers;
    response
}

impl EventPump {
    /// The next whole events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyBreak>> {
        loop {
            match self.step().await {
                PumpStep::Events(events) => return Some(Ok(events)),
                PumpStep::End => return None,
                PumpStep::Broken(cause) => {
                    if let Err(broken) = self.resume(cause).await {
                        return Some(Err(broken));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> PumpStep {
        let Some(attempt) = self.attempt.as_mut() else {
            return PumpStep::Broken("no_target");
        };
        let mut silent_at = self.run.silence_until(Instant::now());
        loop {
            let look_at = silent_at.min(Instant::now() + GROUP_LOOK_PAUSE);
            let Ok(frame) = timeout_at(look_at, attempt.body.frame()).await else {
                let now = Instant::now();
                if self.run.may_move(&attempt.target, now) {
                    return PumpStep::Broken("group_stalled");
                }
                if now < silent_at {
                    continue;
                }
                if now < self.run.call.give_up_at && self.run.is_service_stalled() {
                    silent_at = self.run.call.give_up_at.min(now + STALL_PAUSE);
                    continue;
                }
                return PumpStep::Broken("silent");
            };
            match frame {
                Some(Ok(frame)) => {
                    self.run.record_progress();
                    if let Some(group) = &attempt.target.group {
                        group.record_progress(Instant::now());
                    }
                    let events = self.scanner.push(frame.data_ref().map_or(&[], |data| data));
                    if !events.is_empty() {
                        return PumpStep::Events(events);
                    }
                }
                Some(Err(_broken)) => return PumpStep::Broken("broken_answer"),
                None if self.scanner.has_partial() => return PumpStep::Broken("cut_event"),
                None => return self.finish(),
            }
        }
    }

    fn finish(&mut self) -> PumpStep {
        if let Some(attempt) = self.attempt.take() {
            attempt.gauge().record_success();
            attempt.finish(&self.run.thread);
        }
        PumpStep::End
    }

    /// Goes on at another target after the last whole event.
    async fn resume(&mut self, cause: &'static str) -> Result<(), BodyBreak> {
        let now = Instant::now();
        if let Some(attempt) = self.attempt.take() {
            attempt.gauge().record_failure(now);
            let target = &attempt.target.record.target;
            let last_event = self.scanner.last_event().cloned().unwrap_or_default();
            self.run.record_attempt(target, cause, last_event);
        }
        self.scanner.restart();
        if now >= self.run.call.give_up_at {
            return Err(BodyBreak::TimedOut);
        }
        if !self.run.may_resume() {
            return Err(BodyBreak::TargetFailed);
        }
        let last_event = self.scanner.last_event().cloned();
        let resumed = self.run.next_attempt(last_event.as_ref()).await;
        let attempt = resumed.map_err(|_none| BodyBreak::TargetFailed)?;
        if !attempt.head.is_event_stream || attempt.head.status != StatusCode::OK {
            return Err(BodyBreak::TargetFailed);
        }
        self.attempt = Some(attempt);
        Ok(())
    }
}

impl Drop for EventPump {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or("caller_left");
        self.run.record_end(outcome, StatusCode::OK);
    }
}
