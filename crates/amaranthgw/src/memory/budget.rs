//! The budget of the process, shared by its threads, and reservations that end when they are dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::ByteCount;
use amaranthgw_fleet::memory::{ByteBudget, ByteHolder, GrowthVerdict, ReservationId};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::telemetry::{count_eviction, set_held_bytes};

/// Interval at which a waiting reservation asks again although none was closed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The bytes that the process holds for others.
#[derive(Debug)]
pub struct MemoryBudget {
    table: Mutex<ByteBudget>,
    /// Wakes reservations that wait for bytes.
    freed: Notify,
    /// Wakes reservations that may have been evicted.
    evictions: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: ByteCount) -> Self {
        Self {
            table: Mutex::new(ByteBudget::new(limit)),
            freed: Notify::new(),
            evictions: Notify::new(),
        }
    }

    /// Opens an empty reservation of `holder`.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, holder: ByteHolder) -> ByteReservation {
        self.reserve_for(holder, None)
    }

    /// Opens an empty reservation of `holder`, whose body is to be read by `reader`, if by anyone.
    #[must_use]
    pub fn reserve_for(
        self: &Arc<Self>,
        holder: ByteHolder,
        reader: Option<ByteHolder>,
    ) -> ByteReservation {
        let reservation = self.lock().open(holder, reader, Instant::now());
        ByteReservation {
            budget: Arc::clone(self),
            reservation,
            bytes: 0,
        }
    }

    /// Sets the metrics of the budget.
    pub fn record_metrics(&self) {
        let table = self.lock();
        let (reserved, waiting) = (table.reserved(), table.waiting());
        drop(table);
        set_held_bytes(reserved, waiting);
    }

    /// Wakes reservations that wait, after `table` has given bytes back.
    fn announce_freed(&self, table: MutexGuard<'_, ByteBudget>) {
        drop(table);
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, ByteBudget> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reservation of bytes; closed when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<MemoryBudget>,
    reservation: ReservationId,
    bytes: usize,
}

impl ByteReservation {
    /// Reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to `bytes`; waits while they don't fit. Returns `false` if the reservation
    /// is evicted, after which its holder has to give up.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        loop {
            let budget = Arc::clone(&self.budget);
            let freed = budget.freed.notified();
            match self.ask(bytes) {
                GrowthVerdict::Granted => return true,
                GrowthVerdict::Evicted => {
                    self.count_eviction();
                    return false;
                }
                GrowthVerdict::Evicting => budget.evictions.notify_waiters(),
                GrowthVerdict::Waiting => {}
            }
            // Ends early when bytes are freed.
            drop(timeout(POLL_INTERVAL, freed).await);
        }
    }

    /// Waits until the reservation is evicted.
    pub async fn evicted(&self) {
        loop {
            let evictions = self.budget.evictions.notified();
            if self.budget.lock().is_evicted(self.reservation) {
                self.count_eviction();
                return;
            }
            evictions.await;
        }
    }

    /// Records that bytes have arrived.
    pub fn touch(&self) {
        self.budget.lock().touch(self.reservation, Instant::now());
    }

    /// Shrinks the reservation to `bytes`, those of a complete body, which is not evicted any more.
    pub fn complete(&mut self, bytes: usize) {
        self.bytes = bytes;
        let mut table = self.budget.lock();
        table.complete(self.reservation, byte_count(bytes));
        self.budget.announce_freed(table);
    }

    /// Hands the reservation, whose body is complete, over to `holder`, to whom it is being written. It may be
    /// evicted again if that makes no progress.
    pub fn deliver(&self, holder: &ByteHolder) {
        let mut table = self.budget.lock();
        let is_evicting = table.deliver(self.reservation, holder, Instant::now());
        // The share of the former holder is free.
        self.budget.announce_freed(table);
        if is_evicting {
            self.budget.evictions.notify_waiters();
        }
    }

    /// Changes the reservation to `bytes` that are not evicted, without waiting; returns whether they were
    /// granted.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let is_granted = bytes <= self.bytes || self.ask(bytes) == GrowthVerdict::Granted;
        if is_granted {
            self.complete(bytes);
        }
        is_granted
    }

    fn count_eviction(&self) {
        let table = self.budget.lock();
        let kind = table.holder(self.reservation).map(ByteHolder::kind);
        drop(table);
        count_eviction(kind.unwrap_or_default());
    }

    fn ask(&mut self, bytes: usize) -> GrowthVerdict {
        let now = Instant::now();
        let verdict = self
            .budget
            .lock()
            .grow(self.reservation, byte_count(bytes), now);
        if verdict == GrowthVerdict::Granted {
            self.bytes = self.bytes.max(bytes);
        }
        verdict
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let mut table = self.budget.lock();
        table.close(self.reservation);
        self.budget.announce_freed(table);
    }
}

fn byte_count(bytes: usize) -> ByteCount {
    ByteCount::new(u64::try_from(bytes).unwrap_or(u64::MAX))
}
