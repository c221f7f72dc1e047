//! Runs one admitted request: chooses targets, retries where that is safe, and reports the end.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ChangeNumber, ChunkSequence, PlanId, TargetId, TokenCount};
use amaranthgw_fleet::answers::AnswerRow;
use amaranthgw_fleet::burn::BurnOutcome;
use amaranthgw_fleet::claims::ClaimGrant;
use amaranthgw_fleet::entry::{EntrySnapshot, OutcomeRecord};
use amaranthgw_fleet::retries::{AttemptLog, RepeatRule, RetryDecision, RetryInput, RunOutcome};
use amaranthgw_fleet::routing::{RouteError, RouteInput, TargetRoute};
use amaranthgw_fleet::suspects::SuspectLevel;
use bytes::Bytes;
use compact_str::format_compact;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep_until};

use super::answer::AnswerPart;
use super::head::CallHead;
use super::shared::{TrafficReport, TrafficThread};
use super::{CallError, claim};
use crate::telemetry::{NodeEvent, count_answer};

/// A call that its plan's limits admitted.
#[derive(Clone, Debug)]
pub(super) struct AdmittedCall {
    /// Path and headers.
    pub(super) head: CallHead,
    /// Plan of the workspace.
    pub(super) plan: PlanId,
    /// Cost of a late answer relative to other plans; sidecars pass it to the engine as the priority.
    pub(super) refund_weight: u32,
    /// Prompt of a model call or body of a plain call.
    pub(super) body: Bytes,
    /// Maximum number of tokens to generate; 0 for plain calls.
    pub(super) max_tokens: TokenCount,
    /// Latency targets of the answer; the run keeps its progress in its own copy.
    pub(super) timing: CallTiming,
    /// Time after which the answer counts as late.
    pub(super) due_at: Instant,
    /// Time at which the request is given up.
    pub(super) cutoff: Instant,
}

/// Progress of one answer against the latency targets of its plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTiming {
    /// When the request arrived.
    pub(super) arrived_at: Instant,
    /// Longest time from arrival to the first chunk.
    pub(super) first_token: Duration,
    /// Longest time between two chunks.
    pub(super) token_gap: Duration,
    /// When the last chunk was forwarded to the caller.
    pub(super) last_chunk_at: Option<Instant>,
    /// Whether any chunk was late.
    pub(super) is_late: bool,
}

impl CallTiming {
    /// Records a chunk that is forwarded at `now`.
    pub(super) fn record_chunk(&mut self, now: Instant) {
        self.is_late |= now > self.next_chunk_by();
        self.last_chunk_at = Some(now);
    }

    /// Returns the time after which the next chunk counts as late.
    pub(super) fn next_chunk_by(&self) -> Instant {
        match self.last_chunk_at {
            None => self.arrived_at + self.first_token,
            Some(last) => last + self.token_gap,
        }
    }
}

/// Run of one request at this entry, over all its attempts.
#[derive(Debug)]
pub(super) struct CallRun {
    pub(super) thread: Arc<TrafficThread>,
    pub(super) call: AdmittedCall,
    pub(super) answer: AnswerRow<Bytes>,
    /// Progress of the answer against its latency targets.
    pub(super) timing: CallTiming,
    /// Change number of the configuration that the current attempt uses.
    pub(super) change: ChangeNumber,
    log: AttemptLog,
    tried: Vec<TargetId>,
    parts: Sender<AnswerPart>,
    grant: Option<ClaimGrant>,
    /// Last chunk forwarded under a claim: the whole answer of a plain call.
    plain_answer: Bytes,
}

impl CallRun {
    /// Creates the run of `call`; its answer is sent to `parts`.
    pub(super) fn new(
        thread: Arc<TrafficThread>,
        call: AdmittedCall,
        parts: Sender<AnswerPart>,
    ) -> Self {
        Self {
            thread,
            timing: call.timing,
            call,
            answer: AnswerRow::new(),
            change: ChangeNumber::default(),
            log: AttemptLog::new(),
            tried: Vec::new(),
            parts,
            grant: None,
            plain_answer: Bytes::new(),
        }
    }

    /// Sets the claim on the idempotency key that the request runs under.
    pub(super) fn with_grant(mut self, grant: Option<ClaimGrant>) -> Self {
        self.grant = grant;
        self
    }

    /// Runs the request to its end and settles its claim.
    pub(super) async fn run(mut self) {
        let outcome = self.run_attempts().await;
        claim::settle(&self.thread, self.grant, outcome, &self.plain_answer);
    }

    async fn run_attempts(&mut self) -> Option<RunOutcome> {
        let error = loop {
            let snapshot = self.thread.shared.snapshot.load_full();
            self.change = snapshot.config.number;
            if self.is_grant_expired() {
                break CallError::with_outcome(self.log.overall());
            }
            self.record_first_attempt(&snapshot);
            let (route, outcome) = match self.attempt_by_level(&snapshot).await {
                Ok(attempted) => attempted,
                Err(error) => break error,
            };
            self.log.record(outcome);
            if outcome == RunOutcome::Done {
                self.finish_answer(&route).await;
                return Some(outcome);
            }
            if !self.wait_for_retry(&snapshot, &route, outcome).await {
                break CallError::with_outcome(self.log.overall());
            }
        };
        self.fail_answer(error).await;
        self.log.overall()
    }

    /// Makes one attempt as the suspect level allows: normally, alone at a target, or not at all.
    async fn attempt_by_level(
        &mut self,
        snapshot: &EntrySnapshot,
    ) -> Result<(TargetRoute, RunOutcome), CallError> {
        match self.suspect_level() {
            SuspectLevel::Clear => {
                let route = self.choose(snapshot)?;
                let outcome = self.attempt(&route, false).await;
                Ok((route, outcome))
            }
            SuspectLevel::Suspect { .. } => self.attempt_alone(snapshot).await,
            SuspectLevel::Refused { .. } => Err(self.crash_error()),
        }
    }

    /// Returns the combined outcome of all attempts so far; `None` before the first.
    pub(super) fn overall(&self) -> Option<RunOutcome> {
        self.log.overall()
    }

    /// Returns whether the claim has expired, for instance after a long pause of this process.
    fn is_grant_expired(&self) -> bool {
        self.grant
            .is_some_and(|grant| grant.check(Instant::now()).is_err())
    }

    /// Forwards a chunk to the caller.
    pub(super) async fn forward_chunk(&mut self, sequence: ChunkSequence, data: Bytes) {
        self.timing.record_chunk(Instant::now());
        if self.grant.is_some() {
            self.plain_answer = data.clone();
        }
        self.send(AnswerPart::Chunk { sequence, data }).await;
    }

    /// Returns whether the request may safely run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.call.head.rule != RepeatRule::NonIdempotent
    }

    /// Returns whether the caller has disconnected.
    pub(super) fn is_caller_gone(&self) -> bool {
        self.parts.is_closed()
    }

    /// Sends `part` to the caller, unless it has disconnected.
    pub(super) async fn send(&self, part: AnswerPart) {
        drop(self.parts.send(part).await);
    }

    /// Sends `report` to the control thread.
    pub(super) fn report(&self, report: TrafficReport) {
        self.thread.shared.reports.send(report);
    }

    fn choose(&mut self, snapshot: &EntrySnapshot) -> Result<TargetRoute, CallError> {
        let service = &self.call.head.service;
        let routes = snapshot
            .routes
            .services
            .get(service)
            .ok_or(CallError::UnknownService)?;
        let now = Instant::now();
        let policy = &self.thread.shared.policy;
        let mut input = RouteInput {
            prefix_hash: None,
            deadline: self.call.due_at,
            tried: &self.tried,
        };
        let mut chosen = policy.choose(routes, &input, now);
        if matches!(chosen, Err(RouteError::AllTried)) {
            input.tried = &[];
            chosen = policy.choose(routes, &input, now);
        }
        let outcome = self.log.overall();
        let route = chosen
            .map_err(|_none| CallError::with_outcome(outcome))?
            .route;
        self.tried.push(route.target.clone());
        self.record_routed(&route);
        Ok(route)
    }

    /// Records the first attempt of the request in the retry budget of its service.
    fn record_first_attempt(&self, snapshot: &EntrySnapshot) {
        let budget = snapshot.budgets.get(&self.call.head.service);
        if let Some(budget) = budget.filter(|_| self.log.count() == 0) {
            budget.record_first();
        }
    }

    /// Waits until the next attempt may start and returns true, or returns false if there is none.
    async fn wait_for_retry(
        &mut self,
        snapshot: &EntrySnapshot,
        route: &TargetRoute,
        outcome: RunOutcome,
    ) -> bool {
        let decision = self.decide(snapshot, outcome);
        self.record_ended(route, outcome, decision);
        let RetryDecision::Retry { start_at, .. } = decision else {
            return false;
        };
        self.answer.start_attempt();
        sleep_until(start_at).await;
        true
    }

    fn decide(&self, snapshot: &EntrySnapshot, outcome: RunOutcome) -> RetryDecision {
        use amaranthgw_fleet::retries::GiveUpReason;
        let Some(budget) = snapshot.budgets.get(&self.call.head.service) else {
            return RetryDecision::GiveUp(GiveUpReason::BudgetSpent);
        };
        let input = RetryInput {
            rule: self.call.head.rule,
            outcome,
            attempts: self.log.count(),
            deadline: self.call.cutoff,
            needed: Duration::ZERO,
            resume_from: self.answer.resume_from(),
            jitter: fastrand::f32(),
        };
        RetryDecision::decide(&input, &self.thread.shared.retries, budget, Instant::now())
    }

    async fn finish_answer(&mut self, route: &TargetRoute) {
        self.clear_suspicion();
        let chunks = self.answer.resume_from();
        let now = Instant::now();
        let is_on_time = !self.timing.is_late && now <= self.call.due_at;
        self.send(AnswerPart::End { chunks }).await;
        let outcome = if is_on_time {
            BurnOutcome::OnTime
        } else {
            BurnOutcome::Late
        };
        self.record_answer(outcome);
        let waited = now.saturating_duration_since(self.timing.arrived_at);
        self.thread.log.record(NodeEvent::RequestFinished {
            request: self.call.head.request.clone(),
            target: route.target.clone(),
            attempts: self.log.count(),
            chunks: chunks.get(),
            millis: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            on_time: is_on_time,
        });
    }

    async fn fail_answer(&mut self, error: CallError) {
        let is_caller_gone = self.is_caller_gone();
        self.send(AnswerPart::Failed(error)).await;
        self.thread.log.record(NodeEvent::RequestRefused {
            request: Some(self.call.head.request.clone()),
            workspace: Some(self.call.head.workspace.clone()),
            code: error.code(),
            outcome: error.state().name(),
        });
        // A caller that disconnected from an idempotent request does not count against the service
        // level.
        if is_caller_gone && self.is_idempotent() {
            return;
        }
        self.record_answer(match error.state() {
            super::RunState::NotRun => BurnOutcome::Refused,
            super::RunState::OutcomeUnknown => BurnOutcome::OutcomeUnknown,
            super::RunState::Failed => BurnOutcome::Failed,
        });
    }

    fn record_answer(&self, outcome: BurnOutcome) {
        let taken = self.timing.arrived_at.elapsed();
        count_answer(
            &self.call.plan,
            &self.call.head.service,
            outcome.name(),
            taken,
        );
        let (plan, service) = (self.call.plan.clone(), self.call.head.service.clone());
        self.report(TrafficReport::Answered(OutcomeRecord {
            plan,
            service,
            outcome,
        }));
    }

    fn record_routed(&self, route: &TargetRoute) {
        let load = route.load;
        self.thread.log.record(NodeEvent::RequestRouted {
            request: self.call.head.request.clone(),
            attempt: self.answer.attempt(),
            service: self.call.head.service.clone(),
            target: route.target.clone(),
            domain: route.domain.clone(),
            own_in_flight: route.own_in_flight(),
            reported_in_flight: load.map(|load| load.in_flight).unwrap_or_default(),
            limit: load.map(|load| load.limit).unwrap_or_default(),
        });
    }

    fn record_ended(&self, route: &TargetRoute, outcome: RunOutcome, decision: RetryDecision) {
        let next = match decision {
            RetryDecision::Retry { .. } => "retry",
            RetryDecision::GiveUp(_) => "give_up",
        };
        self.thread.log.record(NodeEvent::AttemptEnded {
            request: self.call.head.request.clone(),
            attempt: self.answer.attempt(),
            target: route.target.clone(),
            end: format_compact!("{outcome:?}"),
            next,
        });
    }
}
