//! Lock-free admission on the traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use amaranthgw_core::SlotCount;

use super::word::{ALONE_BIT, SlotWord};
use super::{GateRow, Result, SetbackCount};

/// Slots of one target, shared by all traffic threads of its sidecar.
///
/// An admission succeeds only if, at that instant, fewer requests are in flight than the
/// published limit. A slot is freed only by [`AdmissionPermit::finish`], which states that the
/// target no longer runs the request.
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

    /// Takes a slot for one request.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`] when no slot is free; the request has not run.
    pub fn try_admit(self: &Arc<Self>) -> Result<AdmissionPermit> {
        self.admit_by(SlotWord::admit)
    }

    /// Keeps new requests out until [`Self::end_alone`], so that the target becomes empty for
    /// one suspect request.
    pub fn reserve_alone(&self) {
        self.word.fetch_or(ALONE_BIT, Ordering::AcqRel);
    }

    /// Takes a slot for one suspect request on a reserved target without other work.
    ///
    /// # Errors
    ///
    /// Returns a [`GateRefusal`] when the target is not reserved, not empty or admits nothing.
    pub fn try_admit_alone(self: &Arc<Self>) -> Result<AdmissionPermit> {
        self.admit_by(SlotWord::admit_alone)
    }

    /// Lets ordinary requests in again.
    pub fn end_alone(&self) {
        self.word.fetch_and(!ALONE_BIT, Ordering::AcqRel);
    }

    /// Falls back to the cold limit at once, without waiting for the control thread.
    ///
    /// A traffic thread calls this when its connection to the target breaks under a call, or is
    /// refused.
    pub fn set_back(&self) {
        self.update(|word| SlotWord {
            limit: word.limit.min(self.cold_limit),
            setbacks: word.setbacks.next(),
            ..word
        });
    }

    /// Setbacks reported so far.
    #[must_use]
    pub fn setbacks(&self) -> SetbackCount {
        self.load().setbacks
    }

    /// Publishes `limit`, decided in the knowledge of `seen` setbacks.
    ///
    /// A setback that the decision did not know keeps the limit from rising.
    pub fn publish(&self, limit: SlotCount, seen: SetbackCount) {
        self.update(|word| word.with_limit(limit, seen));
    }

    /// Limit in force.
    #[must_use]
    pub fn limit(&self) -> SlotCount {
        SlotCount::new(self.load().limit)
    }

    /// Slots taken, abandoned ones included.
    #[must_use]
    pub fn in_flight(&self) -> SlotCount {
        SlotCount::new(self.load().in_flight)
    }

    /// Slots of calls that were given up without a confirmed end.
    #[must_use]
    pub fn abandoned(&self) -> SlotCount {
        SlotCount::new(self.abandoned.load(Ordering::Acquire))
    }

    /// Publishes the limit of `row`, which counts `abandoned` calls as left over, and frees their
    /// slots in the same step, so that no request can take them in between.
    pub(super) fn publish_row(&self, row: &GateRow, seen: SetbackCount, abandoned: SlotCount) {
        let limit = row.limit();
        let has_leftover = row.leftover() > SlotCount::new(0);
        self.abandoned.fetch_sub(abandoned.get(), Ordering::AcqRel);
        self.update(|word| {
            let word = word.with_limit(limit, seen);
            let in_flight = word.in_flight.saturating_sub(abandoned.get());
            SlotWord {
                in_flight,
                has_leftover,
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
            match self.swap(current, next) {
                Ok(_) => return Ok(AdmissionPermit::new(Arc::clone(self), next.in_flight)),
                Err(changed) => current = changed,
            }
        }
    }

    fn update(&self, step: impl Fn(SlotWord) -> SlotWord) {
        let mut current = self.word.load(Ordering::Acquire);
        while let Err(changed) = self.swap(current, step(SlotWord::unpack(current))) {
            current = changed;
        }
    }

    fn swap(&self, current: u64, next: SlotWord) -> std::result::Result<u64, u64> {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        self.word
            .compare_exchange_weak(current, next.pack(), success, failure)
    }

    fn load(&self) -> SlotWord {
        SlotWord::unpack(self.word.load(Ordering::Acquire))
    }

    fn free_one(&self) {
        self.word.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A taken slot.
///
/// Dropping the permit without [`Self::finish`] abandons the call: its slot stays taken until
/// the gate learns that the target no longer runs it.
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

    /// Requests in flight right after this admission, itself included.
    #[must_use]
    pub const fn in_flight(&self) -> SlotCount {
        SlotCount::new(self.in_flight)
    }

    /// Frees the slot: the target has confirmed the end, or was never handed the request.
    pub fn finish(mut self) {
        self.is_finished = true;
        self.slots.free_one();
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.slots.abandoned.fetch_add(1, Ordering::AcqRel);
        }
    }
}
