//! Runs an admitted request: chooses targets, tries again where that is safe, and answers.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::TargetId;
use amaranthgw_fleet::gateway::{
    ChoiceInput, EventId, GatewaySnapshot, RouteKind, TargetChoice, WindowBudget,
};
use amaranthgw_platform::answer::caller_headers;
use amaranthgw_platform::request::{ForwardTerms, forward_headers};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::attempt::{AttemptFailure, OpenAttempt, open_attempt};
use super::body::{AnswerBody, whole_body};
use super::refusal::CallRefusal;
use super::serve::AdmittedCall;
use super::shared::{GatewayThread, TriedTargets};
use super::stream::stream_response;
use crate::telemetry::{NodeEvent, count_attempt, count_call};

/// Sends of one request at most, counting those that targets turned away.
const MAX_SENDS: u32 = 4;
/// Sends at most that never reached a target and do not count as sends.
const MAX_MISSES: u32 = 6;
/// Longest wait for the next sign of life of a request that may run elsewhere, beyond the time
/// for which a rank group stalls before it answers itself.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_650);
/// Times its objective that a plain idempotent request waits at one target.
const PATIENCE_OBJECTIVES: u32 = 3;

/// Longest time that a stream waits for a target that takes it: a rank group forms within 0.6 s.
const STREAM_CAPACITY_WAIT: Duration = Duration::from_secs(1);
/// Longest time that a plain request waits for a target that takes it.
const PLAIN_CAPACITY_WAIT: Duration = Duration::from_millis(250);
/// Pause between two looks for such a target.
const CAPACITY_LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Silence of all targets of a service at which a silent stream waits on: its whole group stalls,
/// and another rank of it would answer no sooner.
const STALL_SILENCE: Duration = Duration::from_millis(500);

/// Pause between two looks at the rank group of a request that waits for its target.
pub(super) const GROUP_LOOK_PAUSE: Duration = Duration::from_millis(100);

/// A request on its way through targets.
#[derive(Debug)]
pub(super) struct CallRun {
    pub(super) thread: Arc<GatewayThread>,
    pub(super) call: AdmittedCall,
    tried: TriedTargets,
    sends: u32,
    runs: u32,
    may_have_run: bool,
    waited: Duration,
    misses: u32,
    /// Whether the budget has already given out the next repeat.
    has_repeat: bool,
}

/// Answers `call`.
pub(super) async fn run_call(
    thread: Arc<GatewayThread>,
    call: AdmittedCall,
) -> Response<AnswerBody> {
    let mut run = CallRun {
        thread,
        call,
        tried: TriedTargets::new(),
        sends: 0,
        runs: 0,
        may_have_run: false,
        waited: Duration::ZERO,
        misses: 0,
        has_repeat: false,
    };
    match run.first_answer().await {
        Ok(Begun::Stream(attempt)) => stream_response(run, *attempt),
        Ok(Begun::Whole(response)) => response,
        Err(refusal) => {
            run.record_end(refusal.name(), refusal.status());
            refusal.response()
        }
    }
}

/// How an answer begins.
enum Begun {
    /// Events that are passed on as they come.
    Stream(Box<OpenAttempt>),
    /// A whole answer.
    Whole(Response<AnswerBody>),
}

impl CallRun {
    async fn first_answer(&mut self) -> Result<Begun, CallRefusal> {
        let mut failed = None;
        loop {
            let last_event = self.call.terms.last_event.clone();
            let attempt = match self.next_attempt(last_event.as_ref()).await {
                Ok(attempt) => attempt,
                // A failure that a target answered is passed on rather than one of our own.
                Err(refusal) => return failed.map(Begun::Whole).ok_or(refusal),
            };
            if attempt.head.is_event_stream && attempt.head.status == StatusCode::OK {
                return Ok(Begun::Stream(Box::new(attempt)));
            }
            let Some(response) = self.whole_answer(attempt).await else {
                continue;
            };
            let is_failure = response.status().is_server_error();
            if !is_failure || !self.may_run_again() {
                self.record_end("answered", response.status());
                return Ok(Begun::Whole(response));
            }
            failed = Some(response);
        }
    }

    /// Reads the whole answer of `attempt`; `None` where it broke.
    async fn whole_answer(&mut self, attempt: OpenAttempt) -> Option<Response<AnswerBody>> {
        let (status, headers) = (attempt.head.status, caller_headers(&attempt.headers));
        let gauge = Arc::clone(attempt.gauge());
        let target = attempt.target.record.target.clone();
        let thread = Arc::clone(&self.thread);
        let collected = timeout_at(self.call.give_up_at, attempt.collect(&thread)).await;
        let Ok(Ok(body)) = collected else {
            gauge.record_failure(Instant::now());
            self.record_attempt(&target, "broken_answer", CompactString::default());
            return None;
        };
        gauge.record_success();
        let mut response = Response::new(whole_body(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Some(response)
    }

    /// Whether the request may run on one more target.
    fn may_run_again(&self) -> bool {
        self.may_run_after(self.runs)
    }

    fn may_run_after(&self, runs: u32) -> bool {
        self.call.route.may_retry()
            && runs < self.call.route.attempts
            && self.sends < MAX_SENDS
            && Instant::now() < self.call.give_up_at
    }

    /// Sends the request to one target after the other until an answer begins.
    pub(super) async fn next_attempt(
        &mut self,
        last_event: Option<&EventId>,
    ) -> Result<OpenAttempt, CallRefusal> {
        loop {
            let target = match self.plan() {
                Ok(target) => target,
                Err(CallRefusal::NoCapacity) if self.wait_for_capacity().await => continue,
                Err(refusal) => return Err(refusal),
            };
            self.sends += 1;
            let request = self.request(&target, last_event);
            let patience = self.patience();
            let opened = self
                .open_in_running_group(&target, &request, patience)
                .await;
            count_attempt(match &opened {
                Ok(_) => "answered",
                Err(failure) => failure.name(),
            });
            let failure = match opened {
                Ok(attempt) => {
                    self.runs += 1;
                    self.may_have_run = true;
                    self.tried.push(target.record.target.clone());
                    self.record_progress();
                    let status = format_compact!("status {}", attempt.head.status.as_u16());
                    self.record_attempt(&target.record.target, "answered", status);
                    return Ok(attempt);
                }
                Err(failure) => failure,
            };
            self.record_attempt(&target.record.target, failure.name(), failure.detail());
            if !failure.is_not_run() {
                self.runs += 1;
                self.may_have_run = true;
                self.tried.push(target.record.target.clone());
                if matches!(failure, AttemptFailure::TimedOut) && self.is_service_stalled() {
                    return Err(self.unknown());
                }
            }
            if matches!(
                failure,
                AttemptFailure::NotRun(StatusCode::SERVICE_UNAVAILABLE)
            ) {
                self.wait_after_refusal().await;
            }
            if matches!(failure, AttemptFailure::Unsent(_)) && self.misses < MAX_MISSES {
                // Nothing arrived, so the next send is no repeat.
                self.misses += 1;
                self.sends -= 1;
            }
        }
    }

    /// Sends the request to `target`, and gives it up early where its rank group stands still
    /// and another one runs.
    async fn open_in_running_group(
        &mut self,
        target: &TargetChoice,
        request: &Request<Full<Bytes>>,
        give_up_at: Instant,
    ) -> Result<OpenAttempt, AttemptFailure> {
        let thread = Arc::clone(&self.thread);
        let mut opening = pin!(open_attempt(&thread, target, request, give_up_at));
        loop {
            if let Ok(opened) = timeout(GROUP_LOOK_PAUSE, &mut opening).await {
                return opened;
            }
            // The run that is not over yet counts as well.
            if self.may_leave_group(target, self.runs + 1, Instant::now()) {
                return Err(AttemptFailure::GroupStalled);
            }
        }
    }

    /// Whether the rank group of `target` stands still and the request, after `runs`, may go on in
    /// another one; takes the repeat from the budget.
    fn may_leave_group(&mut self, target: &TargetChoice, runs: u32, now: Instant) -> bool {
        if self.call.route.kind != RouteKind::Streaming || !target.is_group_stalled(now) {
            return false;
        }
        let snapshot = self.thread.shared.snapshot.load();
        let targets = snapshot.targets.get(&self.call.service);
        let is_elsewhere = |it: &TargetChoice| it.group.is_some() && !it.is_group_stalled(now);
        if !self.may_run_after(runs) || !targets.into_iter().flatten().any(is_elsewhere) {
            return false;
        }
        let budget = snapshot.budgets.get(&self.call.service);
        self.has_repeat = self.has_repeat || budget.is_none_or(|budget| budget.try_retry(now));
        self.has_repeat
    }

    /// Waits before the next send, as targets that turn requests away mostly do so together.
    async fn wait_after_refusal(&mut self) {
        let pause = self.capacity_wait() / MAX_SENDS;
        if self.sends < MAX_SENDS && self.waited < self.capacity_wait() {
            self.waited += pause;
            sleep(pause).await;
        }
    }

    /// Longest time that the request waits for a target that takes it.
    fn capacity_wait(&self) -> Duration {
        match self.call.route.kind {
            RouteKind::Streaming => STREAM_CAPACITY_WAIT,
            RouteKind::Idempotent | RouteKind::NonIdempotent => PLAIN_CAPACITY_WAIT,
        }
    }

    /// Waits a moment for a target that takes the request; `false` where it waited long enough.
    async fn wait_for_capacity(&mut self) -> bool {
        if self.sends >= MAX_SENDS || self.waited >= self.capacity_wait() {
            return false;
        }
        self.waited += CAPACITY_LOOK_PAUSE;
        sleep(CAPACITY_LOOK_PAUSE).await;
        true
    }

    /// Notes that a target of the service sent something.
    pub(super) fn record_progress(&self) {
        if let Some(budget) = self.budget() {
            budget.record_progress(Instant::now());
        }
    }

    /// Whether all targets of the service are silent.
    pub(super) fn is_service_stalled(&self) -> bool {
        let silent_for = self
            .budget()
            .map(|budget| budget.silent_for(Instant::now()));
        silent_for.is_some_and(|silent_for| silent_for >= STALL_SILENCE)
    }

    fn budget(&self) -> Option<Arc<WindowBudget>> {
        let snapshot = self.thread.shared.snapshot.load();
        snapshot.budgets.get(&self.call.service).cloned()
    }

    /// The answer where no target gave one.
    fn unknown(&self) -> CallRefusal {
        let is_over = Instant::now() >= self.call.give_up_at;
        match (self.may_have_run, is_over) {
            (true, true) => CallRefusal::TimedOut,
            (true, false) => CallRefusal::OutcomeUnknown,
            (false, true) => CallRefusal::TooLate,
            (false, false) => CallRefusal::NoCapacity,
        }
    }

    /// Chooses the next target, or says why there is none.
    fn plan(&mut self) -> Result<TargetChoice, CallRefusal> {
        let now = Instant::now();
        let is_over = now >= self.call.give_up_at || self.sends >= MAX_SENDS;
        if is_over || (self.may_have_run && !self.may_run_again()) {
            return Err(self.unknown());
        }
        let snapshot = self.thread.shared.snapshot.load();
        let budget = snapshot.budgets.get(&self.call.service).cloned();
        let target = self.choose(&snapshot, now).ok_or_else(|| self.unknown())?;
        match &budget {
            Some(budget) if self.sends == 0 => budget.record_request(now),
            Some(_) if std::mem::take(&mut self.has_repeat) => {}
            Some(budget) if !budget.try_retry(now) => return Err(self.unknown()),
            _ => {}
        }
        Ok(target)
    }

    fn choose(&self, snapshot: &GatewaySnapshot, now: Instant) -> Option<TargetChoice> {
        let targets = snapshot.targets.get(&self.call.service)?;
        let service = snapshot.routes.services.get(&self.call.service);
        let ask = ChoiceInput {
            tried: &self.tried,
            domain: &self.thread.shared.domain,
            cold_limit: service.map_or(1, |service| snapshot.cold_limit(service.cold_rate)),
            now,
        };
        self.thread.shared.policy.choose(targets, &ask).cloned()
    }

    /// When this attempt is given up.
    fn patience(&self) -> Instant {
        let now = Instant::now();
        let route = &self.call.route;
        let limit = match route.kind {
            RouteKind::Streaming if route.may_retry() => SILENCE_LIMIT,
            RouteKind::Idempotent if self.runs + 1 < route.attempts => {
                route.objective.duration() * PATIENCE_OBJECTIVES
            }
            _ => return self.call.give_up_at,
        };
        self.call.give_up_at.min(now + limit)
    }

    fn request(&self, target: &TargetChoice, last_event: Option<&EventId>) -> Request<Full<Bytes>> {
        let left = self
            .call
            .give_up_at
            .saturating_duration_since(Instant::now());
        let headers = forward_headers(
            &self.call.parts.headers,
            &ForwardTerms {
                target: &target.record.target,
                left,
                workspace: self.call.workspace.as_ref(),
                last_event,
            },
        );
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.parts.method.clone();
        // Only path and query go on: the caller may have sent an absolute form.
        let path = self.call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(http::Uri::default, http::Uri::from);
        *request.headers_mut() = headers;
        request
    }

    /// Longest silence of a stream before it goes on elsewhere.
    pub(super) fn silence_until(&self, now: Instant) -> Instant {
        self.call.give_up_at.min(now + SILENCE_LIMIT)
    }

    /// Whether the stream from `target` may go on in another rank group, as its own stands still.
    pub(super) fn may_move(&mut self, target: &TargetChoice, now: Instant) -> bool {
        self.may_leave_group(target, self.runs, now)
    }

    /// Whether a stream may go on at another target.
    pub(super) fn may_resume(&self) -> bool {
        self.may_run_again()
    }

    /// Records the end of an attempt.
    pub(super) fn record_attempt(
        &self,
        target: &TargetId,
        outcome: &'static str,
        detail: CompactString,
    ) {
        self.thread.log.record(NodeEvent::CallAttempted {
            request: self.call.name(),
            target: target.clone(),
            send: self.sends,
            outcome,
            detail,
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
            outcome,
            status: status.as_u16(),
            sends: self.sends,
            age_ms: self.call.age_ms(),
            version: self.thread.shared.snapshot.load().routes.version,
        });
    }
}
