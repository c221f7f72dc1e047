//! Everything an admission depends on, in one atomic word.

use amaranthgw_core::SlotCount;

use super::{GateRefusal, RefusalReason, Result};

const COUNT_BITS: u32 = 24;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;
const SETBACK_SHIFT: u32 = 2 * COUNT_BITS;
const SETBACK_MASK: u64 = (1 << 14) - 1;
const LEFTOVER_BIT: u64 = 1 << 62;
pub(super) const ALONE_BIT: u64 = 1 << 63;

/// Number of setbacks that traffic threads have reported, modulo 2^14.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SetbackCount(u16);

impl SetbackCount {
    pub(super) fn next(self) -> Self {
        let next = (u64::from(self.0) + 1) & SETBACK_MASK;
        Self(u16::try_from(next).unwrap_or_default())
    }
}

/// Everything an admission depends on, in one atomic word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotWord {
    pub(super) limit: u32,
    pub(super) in_flight: u32,
    pub(super) setbacks: SetbackCount,
    /// Whether the target may still run calls that are not counted in flight.
    pub(super) has_leftover: bool,
    pub(super) is_alone: bool,
}

impl SlotWord {
    pub(super) fn unpack(word: u64) -> Self {
        let count = |bits: u64| u32::try_from(bits & COUNT_MASK).unwrap_or(u32::MAX);
        let setbacks = (word >> SETBACK_SHIFT) & SETBACK_MASK;
        Self {
            limit: count(word >> COUNT_BITS),
            in_flight: count(word),
            setbacks: SetbackCount(u16::try_from(setbacks).unwrap_or(u16::MAX)),
            has_leftover: word & LEFTOVER_BIT != 0,
            is_alone: word & ALONE_BIT != 0,
        }
    }

    pub(super) fn pack(self) -> u64 {
        let limit = u64::from(self.limit).min(COUNT_MASK) << COUNT_BITS;
        let setbacks = (u64::from(self.setbacks.0) & SETBACK_MASK) << SETBACK_SHIFT;
        let leftover = if self.has_leftover { LEFTOVER_BIT } else { 0 };
        let alone = if self.is_alone { ALONE_BIT } else { 0 };
        limit | (u64::from(self.in_flight) & COUNT_MASK) | setbacks | leftover | alone
    }

    fn refusal(self, reason: RefusalReason) -> GateRefusal {
        let (limit, in_flight) = (SlotCount::new(self.limit), SlotCount::new(self.in_flight));
        GateRefusal::new(reason, limit, in_flight)
    }

    pub(super) fn with_limit(self, limit: SlotCount, seen: SetbackCount) -> Self {
        let is_current = self.setbacks == seen;
        let limit = if is_current {
            limit.get()
        } else {
            limit.get().min(self.limit)
        };
        Self { limit, ..self }
    }

    pub(super) fn admit(self) -> Result<Self> {
        if self.is_alone {
            return Err(self.refusal(RefusalReason::Alone));
        }
        self.take_slot()
    }

    pub(super) fn admit_alone(self) -> Result<Self> {
        if self.in_flight > 0 || self.has_leftover || !self.is_alone {
            return Err(self.refusal(RefusalReason::NotEmpty));
        }
        self.take_slot()
    }

    fn take_slot(self) -> Result<Self> {
        if self.in_flight >= self.limit {
            return Err(self.refusal(RefusalReason::Full));
        }
        Ok(Self {
            in_flight: self.in_flight + 1,
            ..self
        })
    }
}
