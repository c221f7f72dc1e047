//! Admission shared by the threads of a process; wakes waiters.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_core::DemandShare;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::limit::AnswerSign;
use super::rank::CallRank;
use super::room::WaiterNumber;
use super::state::AdmissionState;
use super::terms::{
    AdmissionFigures, AdmissionNotice, AdmissionRefusal, AdmissionTerms, AdmissionVerdict,
    FlightBasis, NoticeOutcome,
};

/// Admission to the targets of one service.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    desk: Mutex<AdmissionDesk>,
}

#[derive(Debug, Default)]
struct AdmissionDesk {
    state: AdmissionState,
    bells: HashMap<WaiterNumber, oneshot::Sender<NoticeOutcome>>,
    notices: Vec<AdmissionNotice>,
    /// Earliest time at which a timer wakes waiters.
    timer_at: Option<Instant>,
}

impl AdmissionDesk {
    /// Runs `change` on the state and wakes the waiters that it concerns.
    fn update<T>(
        &mut self,
        change: impl FnOnce(&mut AdmissionState, &mut Vec<AdmissionNotice>) -> T,
    ) -> T {
        let mut notices = std::mem::take(&mut self.notices);
        let result = change(&mut self.state, &mut notices);
        for notice in notices.drain(..) {
            if let Some(bell) = self.bells.remove(&notice.number) {
                // The ticket of a waiter that is gone gives the place back.
                let _is_received = bell.send(notice.outcome).is_ok();
            }
        }
        self.notices = notices;
        result
    }

    fn ring_later(&mut self, number: WaiterNumber) -> oneshot::Receiver<NoticeOutcome> {
        let (bell, notice) = oneshot::channel();
        self.bells.insert(number, bell);
        notice
    }
}

/// Decision on a request that arrives.
#[derive(Debug)]
pub enum Arrival {
    /// It may be sent.
    Granted(FlightPass),
    /// It waits.
    Waits(WaitTicket),
    /// It is refused.
    Refused(AdmissionRefusal),
}

/// What became of a waiter.
#[derive(Debug)]
pub enum TicketOutcome {
    /// It may be sent.
    Granted(FlightPass),
    /// It is refused.
    Refused(AdmissionRefusal),
}

impl ServiceAdmission {
    /// Creates the admission of a service without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the slots of all targets of the service, and the part of them that this process may use, as of
    /// a new snapshot; an even one among `gateways` if none is stated.
    pub fn adopt_capacity(
        &self,
        slots: u32,
        gateways: u32,
        part: Option<DemandShare>,
        now: Instant,
    ) {
        self.update(|state, notices| {
            state.adopt_capacity(slots, gateways, part);
            state.record_change(now, notices);
        });
    }

    /// Decides on a request that arrives.
    #[must_use]
    pub fn arrive(admission: &Arc<Self>, terms: AdmissionTerms, now: Instant) -> Arrival {
        let mut desk = admission.lock();
        let verdict = desk.update(|state, notices| state.arrive(terms, now, notices));
        match verdict {
            AdmissionVerdict::Granted(number) => {
                Arrival::Granted(FlightPass::new(Arc::clone(admission), number))
            }
            AdmissionVerdict::Waits(number) => {
                let notice = desk.ring_later(number);
                Arrival::Waits(WaitTicket::new(Arc::clone(admission), number, notice))
            }
            AdmissionVerdict::Refused(refusal) => Arrival::Refused(refusal),
        }
    }

    /// Records that a target may admit requests again.
    pub fn record_change(&self, now: Instant) {
        self.update(|state, notices| state.record_change(now, notices));
    }

    /// Records the head of an answer.
    pub fn record_answer(&self, sign: AnswerSign, now: Instant) {
        self.update(|state, notices| state.record_answer(sign, now, notices));
    }

    /// Time since which no target has admitted a request, if that is so.
    #[must_use]
    pub fn blocked_since(&self) -> Option<Instant> {
        self.lock().state.blocked_since()
    }

    /// Number of waiters.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().state.waiting()
    }

    /// The state that a decision on a request of `rank` is based on.
    #[must_use]
    pub fn basis(&self, rank: CallRank) -> FlightBasis {
        self.lock().state.basis(rank)
    }

    /// Whether requests are limited, as the targets are congested.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        self.lock().state.limit().is_some()
    }

    /// Figures for metrics.
    #[must_use]
    pub fn figures(&self) -> AdmissionFigures {
        self.lock().state.figures()
    }

    /// Asks for a timer at `at`; `false` if one wakes the waiters before. Whoever starts the timer calls
    /// [`end_timer`](Self::end_timer) then.
    #[must_use]
    pub fn begin_timer(&self, at: Instant) -> bool {
        let mut desk = self.lock();
        if desk.timer_at.is_some_and(|earlier| earlier <= at) {
            return false;
        }
        desk.timer_at = Some(at);
        true
    }

    /// Wakes waiters at the time `at` of a timer.
    pub fn end_timer(&self, at: Instant, now: Instant) {
        let mut desk = self.lock();
        if desk.timer_at == Some(at) {
            desk.timer_at = None;
        }
        desk.update(|state, notices| state.record_change(now, notices));
    }

    fn update<T>(
        &self,
        change: impl FnOnce(&mut AdmissionState, &mut Vec<AdmissionNotice>) -> T,
    ) -> T {
        self.lock().update(change)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, AdmissionDesk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of a request among those in flight; dropping it gives the place back.
#[derive(Debug)]
pub struct FlightPass {
    admission: Arc<ServiceAdmission>,
    number: WaiterNumber,
    was_answered: bool,
    is_parked: bool,
}

impl FlightPass {
    const fn new(admission: Arc<ServiceAdmission>, number: WaiterNumber) -> Self {
        Self {
            admission,
            number,
            was_answered: false,
            is_parked: false,
        }
    }

    /// Records that the request found a target.
    pub fn record_sent(&self, now: Instant) {
        let number = self.number;
        self.admission
            .update(|state, notices| state.record_sent(number, now, notices));
    }

    /// Records the head of its answer.
    pub fn record_answer(&mut self, sign: AnswerSign, now: Instant) {
        self.was_answered = true;
        self.admission.record_answer(sign, now);
    }

    /// Records that a target didn't take the request, so that it may admit others.
    pub fn record_failure(&self, now: Instant) {
        self.admission.record_change(now);
    }

    /// Gives the place back and waits for a change at the targets, as the request found none; it keeps
    /// its place of arrival. `is_general` says that others would find none either.
    #[must_use]
    pub fn park(mut self, is_general: bool, now: Instant) -> WaitTicket {
        self.is_parked = true;
        let (admission, number) = (Arc::clone(&self.admission), self.number);
        let mut desk = self.admission.lock();
        let notice = desk.ring_later(number);
        desk.update(|state, notices| state.park(number, is_general, now, notices));
        drop(desk);
        WaitTicket::new(admission, number, notice)
    }
}

impl Drop for FlightPass {
    fn drop(&mut self) {
        if self.is_parked {
            return;
        }
        let (number, was_answered, now) = (self.number, self.was_answered, Instant::now());
        self.admission
            .update(|state, notices| state.end_flight(number, was_answered, now, notices));
    }
}

/// Place of a request among the waiters; dropping it leaves them.
#[derive(Debug)]
pub struct WaitTicket {
    admission: Arc<ServiceAdmission>,
    number: WaiterNumber,
    notice: oneshot::Receiver<NoticeOutcome>,
    is_over: bool,
}

impl WaitTicket {
    const fn new(
        admission: Arc<ServiceAdmission>,
        number: WaiterNumber,
        notice: oneshot::Receiver<NoticeOutcome>,
    ) -> Self {
        Self {
            admission,
            number,
            notice,
            is_over: false,
        }
    }

    /// Waits until the request may be sent or is refused; must not be called again afterwards. Dropping
    /// the future keeps the place.
    pub async fn outcome(&mut self) -> Option<TicketOutcome> {
        let outcome = (&mut self.notice).await.ok()?;
        self.is_over = true;
        Some(match outcome {
            NoticeOutcome::Granted => {
                TicketOutcome::Granted(FlightPass::new(Arc::clone(&self.admission), self.number))
            }
            NoticeOutcome::Refused(refusal) => TicketOutcome::Refused(refusal),
        })
    }

    /// Leaves the waiters, as the request is refused for want of a target; returns when it may come back
    /// if that follows from the backlog.
    #[must_use]
    pub fn give_up(self, now: Instant) -> Option<Duration> {
        let number = self.number;
        self.admission
            .update(|state, _notices| state.give_up(number, now))
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let (number, now) = (self.number, Instant::now());
        let mut desk = self.admission.lock();
        desk.bells.remove(&number);
        desk.update(|state, notices| {
            state.leave(number, now, notices);
            // It may have been granted a place that it didn't learn of.
            state.end_flight(number, false, now, notices);
        });
    }
}
