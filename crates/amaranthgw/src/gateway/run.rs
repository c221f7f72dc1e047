//! Runs an admitted request: chooses targets, retries if that is safe, and builds the response.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::TargetId;
use amaranthgw_fleet::gateway::{
    AttemptPatience, EventId, FlightPass, PatienceVerdict, TargetCandidate,
};
use amaranthgw_platform::answer::caller_headers;
use amaranthgw_platform::request::{ForwardTerms, forward_headers};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use super::attempt::OpenAttempt;
use super::basis::whole_millis;
use super::body::AnswerBody;
use super::refusal::CallRefusal;
use super::retries::BudgetDraw;
use super::sends::{PendingSend, SendMark};
use super::serve::AdmittedCall;
use super::shared::{GatewayThread, TriedTargets};
use super::stream::stream_response;
use super::suspicion::CallStanding;
use super::waiting::CallWait;
use crate::telemetry::{NodeEvent, count_call};

/// Largest number of sends of one request, including those that targets rejected.
pub(super) const MAX_SENDS: u32 = AttemptPatience::MAX_SENDS;

/// An admitted request with its sends, runs and waits so far.
#[derive(Debug)]
pub(super) struct CallRun {
    pub(super) thread: Arc<GatewayThread>,
    pub(super) call: AdmittedCall,
    pub(super) tried: TriedTargets,
    /// Targets that have answered that they did not run the request.
    pub(super) refused_by: Vec<TargetId>,
    /// Sends whose answers have not begun, in the order of sending.
    pub(super) pending: Vec<PendingSend>,
    /// Sends to targets, except the failed ones in `unsent`.
    pub(super) sends: u32,
    /// Sends that a target has run or may have run, but for those in `pending`.
    pub(super) runs: u32,
    /// Whether a target has run or may have run the request.
    pub(super) may_have_run: bool,
    /// Time spent waiting for a target that accepts the request.
    pub(super) waited: Duration,
    /// Failed sends that never reached a target and are not counted in `sends`.
    pub(super) unsent: u32,
    /// What the request has drawn from the retry budget of its service.
    pub(super) draw: BudgetDraw,
    /// When the last search for a target beside a silent one ended.
    pub(super) sought_at: Option<Instant>,
    /// Last decision about a silent target that was logged.
    pub(super) logged_verdict: Option<PatienceVerdict>,
    /// When the next target is known to admit the request, if none did at the last choice.
    pub(super) next_admission: Option<Instant>,
    /// What the request has to do with crashes of targets.
    pub(super) standing: CallStanding,
    /// Place among the requests in flight to the service.
    pub(super) pass: Option<FlightPass>,
    /// Wait for a target that has not ended.
    pub(super) target_wait: Option<CallWait>,
    /// Time after which a refused request may come back, by the backlog of the service.
    pub(super) backlog_wait: Option<Duration>,
}

/// Runs `call` and returns the response.
pub(super) async fn run_call(
    thread: Arc<GatewayThread>,
    call: AdmittedCall,
) -> Response<AnswerBody> {
    let mut run = CallRun {
        thread,
        call,
        tried: TriedTargets::new(),
        refused_by: Vec::new(),
        pending: Vec::new(),
        sends: 0,
        runs: 0,
        may_have_run: false,
        waited: Duration::ZERO,
        unsent: 0,
        draw: BudgetDraw::default(),
        sought_at: None,
        logged_verdict: None,
        next_admission: None,
        standing: CallStanding::Ordinary,
        pass: None,
        target_wait: None,
        backlog_wait: None,
    };
    match run.first_answer().await {
        Ok(FirstAnswer::Stream(attempt)) => stream_response(run, *attempt),
        Ok(FirstAnswer::Whole(response)) => response,
        Err(refusal) => {
            run.record_end(refusal.name(), refusal.status());
            refusal.response(run.retry_wait(Instant::now()))
        }
    }
}

/// First usable answer to a request.
enum FirstAnswer {
    /// A stream, forwarded event by event.
    Stream(Box<OpenAttempt>),
    /// A complete response.
    Whole(Response<AnswerBody>),
}

impl CallRun {
    async fn first_answer(&mut self) -> Result<FirstAnswer, CallRefusal> {
        let mut failed = None;
        loop {
            let last_event = self.call.terms.last_event.clone();
            let attempt = match self.next_attempt(last_event.as_ref()).await {
                Ok(attempt) => attempt,
                // A target's error response is preferred to one of the gateway.
                Err(refusal) => return failed.map(FirstAnswer::Whole).ok_or(refusal),
            };
            if attempt.head.is_event_stream && attempt.head.status == StatusCode::OK {
                return Ok(FirstAnswer::Stream(Box::new(attempt)));
            }
            let Some(response) = self.whole_answer(attempt).await else {
                continue;
            };
            let is_failure = response.status().is_server_error();
            if !is_failure || !(self.is_pending() || self.may_run_again()) {
                self.record_end("answered", response.status());
                return Ok(FirstAnswer::Whole(response));
            }
            failed = Some(response);
        }
    }

    /// Reads the whole answer of `attempt`; `None` if it broke or the deadline passed.
    async fn whole_answer(&mut self, attempt: OpenAttempt) -> Option<Response<AnswerBody>> {
        let (status, headers) = (attempt.head.status, caller_headers(&attempt.headers));
        let gauge = Arc::clone(attempt.gauge());
        let (mark, is_framed) = (attempt.mark.clone(), attempt.is_framed());
        let thread = Arc::clone(&self.thread);
        let reader = Some(self.caller());
        let reading = attempt.collect(&thread, thread.shared.max_answer, reader);
        let broken = match timeout_at(self.call.deadline, reading).await {
            Ok(Ok(body)) => {
                gauge.record_success();
                if status.is_success() && is_framed {
                    self.record_answered();
                }
                let mut response = Response::new(self.deliver(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return Some(response);
            }
            Ok(Err(error)) => error.to_compact_string(),
            Err(_elapsed) => {
                let broken = CompactString::const_new("incomplete at the deadline");
                gauge.record_failure(Instant::now());
                self.record_attempt(&mark, "broken_answer", broken);
                return None;
            }
        };
        gauge.record_failure(Instant::now());
        self.record_attempt(&mark, "broken_answer", broken);
        self.report_broken_off(&mark.target, false).await;
        None
    }

    /// How long the request waits for targets, and whether it may run again.
    pub(super) fn patience(&self) -> AttemptPatience {
        AttemptPatience::new(&self.call.route)
            .with_single_run(self.standing == CallStanding::Suspect)
    }

    /// Whether the request may be run once more.
    pub(super) fn may_run_again(&self) -> bool {
        self.patience().allows_run(self.run_count()) && Instant::now() < self.call.deadline
    }

    /// `refusal` if no target can have run the request.
    pub(super) fn refusal_or_unknown(&self, refusal: CallRefusal) -> CallRefusal {
        if self.may_have_run {
            CallRefusal::OutcomeUnknown
        } else {
            refusal
        }
    }

    /// The refusal for a request without a usable answer.
    pub(super) fn final_refusal(&self) -> CallRefusal {
        let is_over = Instant::now() >= self.call.deadline;
        match (self.may_have_run, is_over) {
            (true, true) => CallRefusal::TimedOut,
            (true, false) => CallRefusal::OutcomeUnknown,
            (false, true) => CallRefusal::TooLate,
            (false, false) => CallRefusal::NoCapacity,
        }
    }

    /// The request as `target` gets it.
    pub(super) fn request(
        &self,
        target: &TargetCandidate,
        last_event: Option<&EventId>,
    ) -> Request<Full<Bytes>> {
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let headers = forward_headers(
            &self.call.parts.headers,
            &ForwardTerms {
                target: &target.record.target,
                left,
                workspace: self.call.workspace.as_ref(),
                urgency: Some(self.target_urgency()),
                last_event,
            },
        );
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.parts.method.clone();
        // Only path and query are forwarded: the caller may have sent an absolute URI.
        let path = self.call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(http::Uri::default, http::Uri::from);
        *request.headers_mut() = headers;
        request
    }

    /// Records an outcome of an attempt: its first answer or its failure.
    pub(super) fn record_attempt(
        &self,
        mark: &SendMark,
        outcome: &'static str,
        detail: CompactString,
    ) {
        let basis = &mark.basis;
        let chosen_at = basis.chosen_at();
        self.thread.log.record(NodeEvent::CallAttempted {
            request: self.call.name(),
            target: mark.target.record.target.clone(),
            send: mark.number,
            outcome,
            detail,
            chosen_ms: whole_millis(chosen_at.saturating_duration_since(self.call.arrived_at)),
            connected_ms: basis.connected_ms(),
            warmth: basis.warmth,
            entry: basis.entry,
            entry_age_ms: whole_millis(basis.entry_age),
            listed_ms: whole_millis(basis.listed_age),
            gateways: basis.gateways,
            load_ms: basis.load_age.map(whole_millis),
            begin_ms: basis.expected_begin.map(whole_millis),
            slot_ms: whole_millis(basis.slot_time()),
            saved_ms: whole_millis(basis.saving),
            age_ms: self.call.age_ms(),
        });
    }

    /// Records the end of the request.
    pub(super) fn record_end(&self, outcome: &'static str, status: StatusCode) {
        count_call(
            self.call.route.kind.name(),
            outcome,
            self.call.arrived_at.elapsed(),
        );
        self.thread.log.record(NodeEvent::CallEnded {
            request: self.call.name(),
            route: self.call.route.route.clone(),
            workspace: self.call.workspace.clone(),
            rank: self.call.rank.to_compact_string(),
            outcome,
            status: status.as_u16(),
            sends: self.sends,
            age_ms: self.call.age_ms(),
            version: self.thread.shared.snapshot.load().routes.version,
        });
    }
}
