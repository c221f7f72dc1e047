//! Waiting of a request for a place among those in flight, or for a target that accepts it.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::CallUrgency;
use amaranthgw_fleet::gateway::{
    AdmissionRefusal, AdmissionTerms, AnswerSign, Arrival, FlightBasis, RouteKind,
    ServiceAdmission, TargetLoad, TicketOutcome, WaitTicket, WaitingDemand,
};
use amaranthgw_platform::answer::AnswerHead;
use compact_str::ToCompactString;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::basis::whole_millis;
use super::refusal::{CallRefusal, RetryWait};
use super::run::{CallRun, MAX_SENDS};
use super::serve::ORDINARY_WORK;
use crate::runtime::StopPhase;
use crate::telemetry::{NodeEvent, WaitLabels, count_wait};

/// Longest wait of a stream for a target that accepts it: a rank group forms within 0.6 s.
const STREAM_CAPACITY_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a plain request for a target that accepts it.
const PLAIN_CAPACITY_WAIT: Duration = Duration::from_millis(250);
/// Time after which targets are looked at again if it isn't known when one admits a request.
const UNKNOWN_ADMISSION_DELAY: Duration = Duration::from_millis(100);

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitCause {
    /// A place among the requests in flight.
    Place,
    /// A target that accepts it.
    Target,
}

impl WaitCause {
    const fn name(self) -> &'static str {
        match self {
            Self::Place => "place",
            Self::Target => "target",
        }
    }
}

/// A wait as it began.
#[derive(Debug)]
pub(super) struct CallWait {
    admission: Arc<ServiceAdmission>,
    cause: WaitCause,
    began_at: Instant,
    ends_at: Instant,
    basis: FlightBasis,
    /// Counts the request as waiting in the demand that gateways tell each other.
    _demand: WaitingDemand,
}

impl CallRun {
    /// Takes a place among the requests in flight to the service, or waits for one.
    pub(super) async fn enter(&mut self) -> Result<(), CallRefusal> {
        let now = Instant::now();
        if self.pass.is_some() || now >= self.call.deadline {
            return Ok(());
        }
        let Some(admission) = self.admission() else {
            return Ok(());
        };
        let ticket = match ServiceAdmission::arrive(&admission, self.admission_terms(), now) {
            Arrival::Granted(pass) => {
                self.pass = Some(pass);
                return Ok(());
            }
            Arrival::Waits(ticket) => ticket,
            Arrival::Refused(refusal) => {
                let wait = self.begin_wait(admission, WaitCause::Place, now);
                return Err(self.refuse_wait(&wait, refusal));
            }
        };
        if admission.blocked_since().is_some()
            && !self.is_admitted_until(&admission, now + self.capacity_wait(), now)
        {
            let wait = self.begin_wait(admission, WaitCause::Target, now);
            self.record_wait(&wait, "no_target");
            return Err(self.final_refusal());
        }
        // A request that begins later than this has hardly a chance to be answered.
        let objective = self.call.route.objective.duration();
        let ends_at = self.call.deadline.checked_sub(objective).unwrap_or(now);
        let wait = CallWait {
            ends_at,
            ..self.begin_wait(admission, WaitCause::Place, now)
        };
        self.wait(ticket, wait).await
    }

    /// Gives the place back and waits for a target that accepts the request; `false` once the wait is
    /// used up, or if no target will accept it before.
    pub(super) async fn wait_for_target(&mut self) -> bool {
        let now = Instant::now();
        let left = self.capacity_wait().saturating_sub(self.waited);
        let Some(admission) = self.admission() else {
            return false;
        };
        let ends_at = self.call.deadline.min(now + left);
        let may_wait = self.sends < MAX_SENDS && !left.is_zero();
        if !may_wait || !self.is_admitted_until(&admission, ends_at, now) {
            if let Some(wait) = self.target_wait.take() {
                self.record_wait(&wait, "no_target");
            }
            return false;
        }
        let Some(pass) = self.pass.take() else {
            return false;
        };
        let earlier = self.target_wait.take();
        let wait = CallWait {
            ends_at,
            ..earlier
                .unwrap_or_else(|| self.begin_wait(Arc::clone(&admission), WaitCause::Target, now))
        };
        let ticket = pass.park(self.tried.is_empty(), now);
        self.start_timer(admission, now);
        let outcome = self.wait(ticket, wait).await;
        self.waited += now.elapsed();
        outcome.is_ok()
    }

    /// Waits before the next send: when one target rejects requests, the others mostly do as well.
    pub(super) async fn wait_after_rejection(&mut self) {
        let pause = self.capacity_wait() / MAX_SENDS;
        if self.sends < MAX_SENDS && self.waited < self.capacity_wait() {
            self.waited += pause;
            sleep(pause).await;
        }
    }

    /// Records what the head of an answer to a send at `sent_at` tells of the load of the service.
    pub(super) fn record_answer_sign(&mut self, head: &AnswerHead, sent_at: Instant) {
        let now = Instant::now();
        let load = head.load.map(|load| TargetLoad {
            in_flight: load.in_flight,
            slots: load.slots,
        });
        let sign = AnswerSign {
            first_byte: now.saturating_duration_since(sent_at),
            objective: self.call.route.objective.duration(),
            load,
        };
        if let Some(pass) = &mut self.pass {
            pass.record_answer(sign, now);
        }
    }

    /// Records that a send ended without an answer, so that its target may take another request.
    pub(super) fn record_failed_send(&self) {
        if let Some(pass) = &self.pass {
            pass.record_failure(Instant::now());
        }
    }

    /// What the request would wait for if it came back after a refusal.
    pub(super) fn retry_wait(&self, now: Instant) -> RetryWait {
        if let Some(wait) = self.backlog_wait {
            return RetryWait::Backlog(wait);
        }
        let admission = self.next_admission;
        let wait = admission.map(|at| at.saturating_duration_since(now));
        RetryWait::Targets(wait.unwrap_or_default())
    }

    /// Longest wait of the request for a target that accepts it.
    fn capacity_wait(&self) -> Duration {
        match self.call.route.kind {
            RouteKind::Streaming => STREAM_CAPACITY_WAIT,
            RouteKind::Idempotent | RouteKind::NonIdempotent => PLAIN_CAPACITY_WAIT,
        }
    }

    fn admission(&self) -> Option<Arc<ServiceAdmission>> {
        let snapshot = self.thread.shared.snapshot.load();
        snapshot.admissions.get(&self.call.service).cloned()
    }

    /// Urgency that targets are told.
    pub(super) fn target_urgency(&self) -> CallUrgency {
        let snapshot = self.thread.shared.snapshot.load();
        snapshot.routes.target_urgency(self.call.rank)
    }

    fn admission_terms(&self) -> AdmissionTerms {
        AdmissionTerms {
            rank: self.call.rank,
            workspace: self.call.workspace.clone(),
            mark: self.call.mark,
            arrived_at: self.call.arrived_at,
            objective: self.call.route.objective.duration(),
            deadline: self.call.deadline,
        }
    }

    fn begin_wait(
        &self,
        admission: Arc<ServiceAdmission>,
        cause: WaitCause,
        now: Instant,
    ) -> CallWait {
        let basis = admission.basis(self.call.rank);
        let (ledger, service) = (&self.thread.shared.demand, &self.call.service);
        let urgency = self.target_urgency();
        CallWait {
            admission,
            cause,
            began_at: now,
            ends_at: now,
            basis,
            _demand: WaitingDemand::new(ledger, service, urgency, ORDINARY_WORK, now),
        }
    }

    /// Whether targets are expected to admit the request by `until`, after those that wait.
    fn is_admitted_until(
        &mut self,
        admission: &ServiceAdmission,
        until: Instant,
        now: Instant,
    ) -> bool {
        let snapshot = self.thread.shared.snapshot.load();
        let Some(targets) = snapshot.targets.get(&self.call.service) else {
            return true;
        };
        let input = self.choice_input(&snapshot, now);
        let next_admission = input.next_admission(targets);
        let admissions = input.admissions_until(targets, until);
        drop(snapshot);
        self.next_admission = next_admission;
        let waiting = u32::try_from(admission.waiting()).unwrap_or(u32::MAX);
        let is_futile = next_admission.is_some_and(|at| at > until);
        !is_futile && admissions.is_none_or(|admissions| waiting <= admissions)
    }

    /// Starts a timer that wakes waiters when a target is known to admit requests again.
    fn start_timer(&self, admission: Arc<ServiceAdmission>, now: Instant) {
        let known = self.next_admission.filter(|at| *at > now);
        let at = known.unwrap_or(now + UNKNOWN_ADMISSION_DELAY);
        if admission.begin_timer(at) {
            drop(tokio::spawn(async move {
                sleep_until(at).await;
                admission.end_timer(at, Instant::now());
            }));
        }
    }

    /// Waits until the request gets a place, is refused, or its wait ends.
    async fn wait(&mut self, mut ticket: WaitTicket, wait: CallWait) -> Result<(), CallRefusal> {
        let thread = Arc::clone(&self.thread);
        loop {
            let now = Instant::now();
            if !thread.shared.takes(self.call.deadline, now) {
                // The process that a caller comes back to has no such backlog.
                let _backlog = ticket.give_up(now);
                self.record_wait(&wait, "stopping");
                return Err(self.refuse_stopping());
            }
            let blocked_since = wait.admission.blocked_since();
            let blocked_for = blocked_since.map(|since| since.max(wait.began_at));
            let gives_up_at = blocked_for.unwrap_or(now) + self.capacity_wait();
            if now >= wait.ends_at || now >= gives_up_at {
                self.backlog_wait = ticket.give_up(now);
                self.record_wait(&wait, "no_target");
                return Err(self.final_refusal());
            }
            let until = wait.ends_at.min(gives_up_at);
            let stop = &thread.shared.stop;
            let is_serving = stop.phase() < StopPhase::Draining;
            let waiting = timeout_at(until, ticket.outcome());
            let outcome = tokio::select! {
                outcome = waiting => outcome,
                () = stop.reached(StopPhase::Draining), if is_serving => continue,
            };
            let Ok(outcome) = outcome else {
                continue;
            };
            return match outcome {
                Some(TicketOutcome::Granted(pass)) => {
                    self.pass = Some(pass);
                    self.take_place(wait);
                    Ok(())
                }
                Some(TicketOutcome::Refused(refusal)) => Err(self.refuse_wait(&wait, refusal)),
                None => Err(self.final_refusal()),
            };
        }
    }

    /// The refusal for a request that waits while the process stops taking work.
    fn refuse_stopping(&self) -> CallRefusal {
        self.refusal_or_unknown(CallRefusal::Stopping)
    }

    /// Records a wait that ended with a place. One for a target goes on until the request finds one.
    fn take_place(&mut self, wait: CallWait) {
        match wait.cause {
            WaitCause::Place => self.record_wait(&wait, "admitted"),
            WaitCause::Target => self.target_wait = Some(wait),
        }
    }

    /// Records that the request found a target at `now`.
    pub(super) fn record_sent(&mut self, now: Instant) {
        if let Some(pass) = &self.pass {
            pass.record_sent(now);
        }
        if let Some(wait) = self.target_wait.take() {
            self.record_wait(&wait, "admitted");
        }
    }

    fn refuse_wait(&mut self, wait: &CallWait, refusal: AdmissionRefusal) -> CallRefusal {
        self.backlog_wait = Some(refusal.retry_after);
        self.record_wait(wait, refusal.reason.name());
        self.final_refusal()
    }

    /// Records how a wait ended.
    fn record_wait(&self, wait: &CallWait, outcome: &'static str) {
        let waited = wait.began_at.elapsed();
        count_wait(
            &WaitLabels {
                service: &self.call.service,
                rank: self.call.rank,
                outcome,
            },
            waited,
        );
        let after = wait.admission.basis(self.call.rank);
        self.thread.log.record(NodeEvent::CallWaited {
            request: self.call.name(),
            service: self.call.service.clone(),
            rank: self.call.rank.to_compact_string(),
            cause: wait.cause.name(),
            outcome,
            ahead: u64::try_from(wait.basis.ahead).unwrap_or(u64::MAX),
            passed: after.grants.saturating_sub(wait.basis.grants),
            in_flight: wait.basis.in_flight,
            limit: wait.basis.limit,
            waited_ms: whole_millis(waited),
            left_ms: whole_millis(self.call.deadline.saturating_duration_since(Instant::now())),
            age_ms: self.call.age_ms(),
        });
    }
}
