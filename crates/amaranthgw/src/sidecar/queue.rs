//! Admission queue of requests that wait for a slot of the target.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_fleet::gate::{
    AdmissionPermit, AdmissionSlots, GateRefusal, QueueRefusal, QueueRow, QueueSettings,
    QueueTable, RefusalReason, TicketNumber, enqueue, take_next,
};
use tokio::sync::Notify;
use tokio::sync::oneshot::{Receiver, Sender, channel};
use tokio::time::{Instant, timeout_at};

/// Number of requests that may wait, per slot of the target.
const WAITERS_PER_SLOT: usize = 16;
/// Weight of one answer in the exponential moving average of answer times.
const ANSWER_WEIGHT: f32 = 0.1;

/// Permit for a slot, or the reason why there is none.
type AdmissionResult = Result<AdmissionPermit, GateRefusal>;

/// Queue in front of the target's slots, shared by the traffic threads.
#[derive(Debug)]
pub(super) struct AdmissionQueue {
    slots: Arc<AdmissionSlots>,
    state: Mutex<QueueState>,
    /// Wakes requests that wait to run alone; notified by each [`Self::serve`], even if no slot is free.
    freed: Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    table: QueueTable,
    waiters: HashMap<TicketNumber, Sender<AdmissionResult>>,
    next_ticket: TicketNumber,
    answer_seconds: f32,
}

impl AdmissionQueue {
    /// Creates an empty queue in front of `slots`.
    pub(super) fn new(slots: Arc<AdmissionSlots>) -> Self {
        Self {
            slots,
            state: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Takes a slot, and waits until `start_by` if none is free.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`] if no slot becomes free in time; the request has not run.
    pub(super) async fn admit(&self, refund_weight: u32, start_by: Instant) -> AdmissionResult {
        let refusal = match self.slots.try_admit() {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        };
        if refusal.reason() != RefusalReason::Full {
            return Err(refusal);
        }
        let row = QueueRow {
            start_by,
            refund_weight,
        };
        let (ticket, receiver) = self.join(row);
        let _queue_guard = QueueGuard {
            queue: self,
            ticket,
        };
        // A slot may have been freed between the first try and joining the queue.
        self.serve();
        wait(receiver, start_by, refusal).await
    }

    /// Takes a slot once the target runs nothing else, and waits for that until `start_by` at most.
    ///
    /// Other requests are kept out during the wait and until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`] if the target does not become idle in time; the request has
    /// not run.
    pub(super) async fn admit_alone(
        &self,
        start_by: Instant,
    ) -> Result<(AdmissionPermit, ExclusiveGuard), GateRefusal> {
        let guard = ExclusiveGuard {
            slots: Arc::clone(&self.slots),
        };
        loop {
            let freed = self.freed.notified();
            self.slots.reserve_alone();
            let refusal = match self.slots.try_admit_alone() {
                Ok(permit) => return Ok((permit, guard)),
                Err(refusal) => refusal,
            };
            if timeout_at(start_by, freed).await.is_err() {
                return Err(refusal);
            }
        }
    }

    /// Assigns free slots to waiting requests.
    pub(super) fn serve(&self) {
        self.freed.notify_waiters();
        let mut state = self.lock();
        while !state.table.is_empty() {
            let Ok(permit) = self.slots.try_admit() else {
                return;
            };
            state.assign(permit);
        }
    }

    /// Adds the time of one complete answer to the moving average.
    pub(super) fn record_answer(&self, taken: Duration) {
        let mut state = self.lock();
        let seconds = taken.as_secs_f32();
        let weight = if state.answer_seconds == 0.0 {
            1.0
        } else {
            ANSWER_WEIGHT
        };
        state.answer_seconds += weight * (seconds - state.answer_seconds);
    }

    fn join(&self, row: QueueRow) -> (TicketNumber, Receiver<AdmissionResult>) {
        let limit = self.slots.limit().get().max(1);
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket = ticket.next();
        let (sender, receiver) = channel();
        state.waiters.insert(ticket, sender);
        let slot_seconds = state.answer_seconds / u32_to_f32(limit);
        let settings = QueueSettings {
            capacity: WAITERS_PER_SLOT * usize::try_from(limit).unwrap_or(usize::MAX),
            slot_interval: Duration::from_secs_f32(slot_seconds),
        };
        let refused = enqueue(&mut state.table, ticket, row, &settings, Instant::now());
        state.refuse(refused);
        (ticket, receiver)
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^24")]
const fn u32_to_f32(number: u32) -> f32 {
    number as f32
}

impl QueueState {
    /// Sends `permit` to the next waiter, or frees its slot if that waiter has left or none waits.
    fn assign(&mut self, permit: AdmissionPermit) {
        let next = take_next(&mut self.table, Instant::now());
        self.refuse(next.refused);
        let waiter = next
            .admitted
            .and_then(|ticket| self.waiters.remove(&ticket));
        let unused = match waiter {
            Some(waiter) => waiter.send(Ok(permit)).err().and_then(Result::ok),
            None => Some(permit),
        };
        if let Some(permit) = unused {
            permit.finish();
        }
    }

    fn refuse(&mut self, refusals: Vec<QueueRefusal>) {
        for refused in refusals {
            if let Some(waiter) = self.waiters.remove(&refused.ticket) {
                // The send fails if the waiter has left, which needs no handling.
                drop(waiter.send(Err(refused.refusal)));
            }
        }
    }
}

/// Keeps other requests out of the target until it is dropped.
#[derive(Debug)]
pub(super) struct ExclusiveGuard {
    slots: Arc<AdmissionSlots>,
}

impl Drop for ExclusiveGuard {
    fn drop(&mut self) {
        self.slots.end_alone();
    }
}

/// Removes a request from the queue when dropped.
struct QueueGuard<'a> {
    queue: &'a AdmissionQueue,
    ticket: TicketNumber,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.table.remove(&self.ticket);
        state.waiters.remove(&self.ticket);
    }
}

async fn wait(
    mut receiver: Receiver<AdmissionResult>,
    start_by: Instant,
    refusal: GateRefusal,
) -> AdmissionResult {
    match timeout_at(start_by, &mut receiver).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_closed)) => Err(refusal),
        // A permit sent at the moment of the timeout is still used.
        Err(_elapsed) => receiver.try_recv().unwrap_or(Err(refusal)),
    }
}
