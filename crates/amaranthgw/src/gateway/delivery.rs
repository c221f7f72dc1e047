//! What is written to a caller: its memory is the caller's until it is taken.

use std::sync::Arc;

use amaranthgw_fleet::memory::ByteHolder;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::body::{AnswerBody, BodyError, full_body};
use super::run::CallRun;
use crate::memory::{ByteReservation, HeldBody};

/// Longest part of an answer that is written without a reservation; the buffers of a connection hold it.
const FREE_BYTES: usize = 4 * 1024;

/// What one connection writes to its caller.
#[derive(Clone, Debug)]
pub(super) struct CallerDelivery {
    /// Reservation of what the caller has not taken yet.
    held: Arc<watch::Sender<Option<Arc<ByteReservation>>>>,
}

impl CallerDelivery {
    /// A connection on which nothing is written yet.
    pub(super) fn new() -> Self {
        Self {
            held: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Records that what `reservation` holds is written next.
    fn begin(&self, reservation: Arc<ByteReservation>) {
        self.held.send_replace(Some(reservation));
    }

    /// Records that the caller has taken a part of what was written.
    pub(super) fn record_taken(&self) {
        if let Some(reservation) = &*self.held.borrow() {
            reservation.touch();
        }
    }

    /// Records that the caller has taken all.
    pub(super) fn record_end(&self) {
        if self.held.borrow().is_some() {
            self.held.send_replace(None);
        }
    }

    /// Waits until what the caller leaves unread is evicted.
    pub(super) async fn evicted(&self) {
        let mut changes = self.held.subscribe();
        loop {
            let held = changes.borrow_and_update().clone();
            let evicted = async {
                match held {
                    Some(reservation) => reservation.evicted().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = evicted => return,
                ended = changes.changed() => if ended.is_err() {
                    return std::future::pending().await;
                },
            }
        }
    }
}

impl CallRun {
    /// Hands an answer over to the caller.
    pub(super) fn deliver(&self, body: HeldBody) -> AnswerBody {
        if let Some(reservation) = body.reservation
            && body.bytes.len() > FREE_BYTES
        {
            self.begin_delivery(reservation);
        }
        full_body(body.bytes)
    }

    /// Hands events over to the caller. Memory for long ones is waited for until the deadline.
    pub(super) async fn deliver_events(&mut self, events: Bytes) -> Result<Bytes, BodyError> {
        if events.len() <= FREE_BYTES {
            return Ok(events);
        }
        let memory = &self.thread.shared.memory;
        let mut reservation = memory.reserve_for(self.caller(), Some(self.caller()));
        let growing = reservation.grow(events.len());
        match timeout_at(self.call.deadline, growing).await {
            Ok(true) => {}
            Ok(false) => return Err(BodyError::NoMemory),
            Err(_elapsed) => return Err(BodyError::TimedOut),
        }
        reservation.complete(events.len());
        let held = HeldBody::new(events, reservation);
        if let Some(reservation) = held.reservation {
            self.begin_delivery(reservation);
        }
        Ok(held.bytes)
    }

    fn begin_delivery(&self, reservation: Arc<ByteReservation>) {
        reservation.deliver(&self.caller());
        if let Some(delivery) = self.call.parts.extensions.get::<CallerDelivery>() {
            delivery.begin(reservation);
        }
    }

    /// Holder of what the caller has not taken yet.
    pub(super) fn caller(&self) -> ByteHolder {
        ByteHolder::of_caller(self.call.workspace.as_ref())
    }
}
