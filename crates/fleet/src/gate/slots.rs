//! Lock-free admission on traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use amaranthgw_core::SlotCount;

use super::word::{RESERVED_BIT, SlotWord};
use super::{ConnectionFailureCount, GateRow, Result};

/// Concurrency limit of one target, shared by all traffic threads of its sidecar.
///
/// Admission succeeds only while fewer requests are in flight than the published limit. A slot is
/// freed by [`AdmissionPermit::finish`], which asserts that the target no longer runs the request.
/// [`publish_gate`](super::publish_gate) frees the slots of abandoned calls and lowers the limit by
/// their number.
#[derive(Debug)]
pub struct AdmissionSlots {
    word: AtomicU64,
    abandoned: AtomicU32,
    cold_limit: u32,
}

impl AdmissionSlots {
    /// Creates slots that admit nothing until a limit is published.
    #[must_use]
    pub fn new(cold_limit: SlotCount) -> Arc<Self> {
        Arc::new(Self {
            word: AtomicU64::new(0),
            abandoned: AtomicU32::new(0),
            cold_limit: cold_limit.get(),
        })
    }

    /// Acquires a slot for one request.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`](super::GateRefusal) when no slot is free; the request has not run.
    pub fn try_admit(self: &Arc<Self>) -> Result<AdmissionPermit> {
        self.admit_by(SlotWord::admit)
    }

    /// Refuses ordinary requests until [`Self::end_alone`], so that the target becomes idle and can
    /// run one suspect request alone. A request is suspect if targets died while they ran it.
    pub fn reserve_alone(&self) {
        self.word.fetch_or(RESERVED_BIT, Ordering::AcqRel);
    }

    /// Acquires a slot for one suspect request on a reserved and idle target.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`](super::GateRefusal) when the target is not reserved, not idle or admits nothing.
    pub fn try_admit_alone(self: &Arc<Self>) -> Result<AdmissionPermit> {
        self.admit_by(SlotWord::admit_alone)
    }

    /// Admits ordinary requests again.
    pub fn end_alone(&self) {
        self.word.fetch_and(!RESERVED_BIT, Ordering::AcqRel);
    }

    /// Records a connection failure and drops to the cold limit at once, without waiting for the
    /// control thread.
    ///
    /// A traffic thread calls this when its connection to the target is refused or breaks during a
    /// call.
    pub fn record_connection_failure(&self) {
        self.update(|word| SlotWord {
            limit: word.limit.min(self.cold_limit),
            connection_failures: word.connection_failures.next(),
            ..word
        });
    }

    /// Connection failures recorded so far.
    #[must_use]
    pub fn connection_failures(&self) -> ConnectionFailureCount {
        self.load().connection_failures
    }

    /// Publishes `limit`, which was decided after `seen_failures` connection failures.
    ///
    /// If further failures were recorded since, the limit in force is not increased.
    pub fn publish(&self, limit: SlotCount, seen_failures: ConnectionFailureCount) {
        self.update(|word| word.with_limit(limit, seen_failures));
    }

    /// Limit in force.
    #[must_use]
    pub fn limit(&self) -> SlotCount {
        SlotCount::new(self.load().limit)
    }

    /// Slots in use, including those of abandoned calls that the gate has not recorded yet.
    #[must_use]
    pub fn in_flight(&self) -> SlotCount {
        SlotCount::new(self.load().in_flight)
    }

    /// Slots of abandoned calls that the gate has not recorded yet.
    #[must_use]
    pub fn abandoned(&self) -> SlotCount {
        SlotCount::new(self.abandoned.load(Ordering::Acquire))
    }

    /// Publishes the limit of `row`, which already accounts for `abandoned` calls, and frees their
    /// slots in the same atomic step, so that no request can acquire them in between.
    pub(super) fn publish_row(
        &self,
        row: &GateRow,
        seen_failures: ConnectionFailureCount,
        abandoned: SlotCount,
    ) {
        let limit = row.limit();
        let has_abandoned = row.abandoned() > SlotCount::new(0);
        self.abandoned.fetch_sub(abandoned.get(), Ordering::AcqRel);
        self.update(|word| {
            let word = word.with_limit(limit, seen_failures);
            let in_flight = word.in_flight.saturating_sub(abandoned.get());
            SlotWord {
                in_flight,
                has_abandoned,
                ..word
            }
        });
    }

    fn admit_by(
        self: &Arc<Self>,
        step: impl Fn(SlotWord) -> Result<SlotWord>,
    ) -> Result<AdmissionPermit> {
        let mut current = self.word.load(Ordering::Acquire);
        loop {
            let next = step(SlotWord::unpack(current))?;
            match self.compare_exchange(current, next) {
                Ok(_) => return Ok(AdmissionPermit::new(Arc::clone(self), next.in_flight)),
                Err(changed) => current = changed,
            }
        }
    }

    fn update(&self, step: impl Fn(SlotWord) -> SlotWord) {
        let mut current = self.word.load(Ordering::Acquire);
        while let Err(changed) = self.compare_exchange(current, step(SlotWord::unpack(current))) {
            current = changed;
        }
    }

    fn compare_exchange(&self, current: u64, next: SlotWord) -> std::result::Result<u64, u64> {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        self.word
            .compare_exchange_weak(current, next.pack(), success, failure)
    }

    fn load(&self) -> SlotWord {
        SlotWord::unpack(self.word.load(Ordering::Acquire))
    }

    fn release_slot(&self) {
        // The lowest bits of the word count the requests in flight.
        self.word.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Slot held by one admitted request.
///
/// Dropping the permit without [`Self::finish`] abandons the call: it counts against the limit
/// until the gate can rule out that the target still runs it.
#[derive(Debug)]
#[must_use = "dropping a permit abandons its call"]
pub struct AdmissionPermit {
    slots: Arc<AdmissionSlots>,
    in_flight: u32,
    is_finished: bool,
}

impl AdmissionPermit {
    fn new(slots: Arc<AdmissionSlots>, in_flight: u32) -> Self {
        Self {
            slots,
            in_flight,
            is_finished: false,
        }
    }

    /// Requests in flight right after this admission, including this one.
    #[must_use]
    pub const fn in_flight(&self) -> SlotCount {
        SlotCount::new(self.in_flight)
    }

    /// Frees the slot. The target must have confirmed the end or never received the request.
    pub fn finish(mut self) {
        self.is_finished = true;
        self.slots.release_slot();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.slots.abandoned.fetch_add(1, Ordering::AcqRel);
        }
    }
}
