//! Packing of the admission state into one atomic 64-bit word.
//!
//! Bits 0 to 23 hold the requests in flight, 24 to 47 the limit, 48 to 61 the count of connection
//! failures, 62 whether abandoned calls may run and 63 whether the target is reserved.

use amaranthgw_core::SlotCount;

use super::{GateRefusal, RefusalReason, Result};

const COUNT_BITS: u32 = 24;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;
const FAILURE_SHIFT: u32 = 2 * COUNT_BITS;
const FAILURE_MASK: u64 = (1 << 14) - 1;
const ABANDONED_BIT: u64 = 1 << 62;
pub(super) const RESERVED_BIT: u64 = 1 << 63;

/// Number of connection failures that traffic threads have recorded, modulo 2^14.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFailureCount(u16);

impl ConnectionFailureCount {
    pub(super) fn next(self) -> Self {
        let next = (u64::from(self.0) + 1) & FAILURE_MASK;
        Self(u16::try_from(next).unwrap_or_default())
    }
}

/// Unpacked admission state of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotWord {
    pub(super) limit: u32,
    pub(super) in_flight: u32,
    pub(super) connection_failures: ConnectionFailureCount,
    /// Whether the target may still run abandoned calls, which `in_flight` does not count.
    pub(super) has_abandoned: bool,
    /// Whether ordinary requests are refused, so that one suspect request can run alone.
    pub(super) is_reserved: bool,
}

impl SlotWord {
    pub(super) fn unpack(word: u64) -> Self {
        let count = |bits: u64| u32::try_from(bits & COUNT_MASK).unwrap_or(u32::MAX);
        let connection_failures = (word >> FAILURE_SHIFT) & FAILURE_MASK;
        Self {
            limit: count(word >> COUNT_BITS),
            in_flight: count(word),
            connection_failures: ConnectionFailureCount(
                u16::try_from(connection_failures).unwrap_or(u16::MAX),
            ),
            has_abandoned: word & ABANDONED_BIT != 0,
            is_reserved: word & RESERVED_BIT != 0,
        }
    }

    pub(super) fn pack(self) -> u64 {
        let limit = u64::from(self.limit).min(COUNT_MASK) << COUNT_BITS;
        let connection_failures =
            (u64::from(self.connection_failures.0) & FAILURE_MASK) << FAILURE_SHIFT;
        let abandoned = if self.has_abandoned { ABANDONED_BIT } else { 0 };
        let reserved = if self.is_reserved { RESERVED_BIT } else { 0 };
        limit
            | (u64::from(self.in_flight) & COUNT_MASK)
            | connection_failures
            | abandoned
            | reserved
    }

    fn refusal(self, reason: RefusalReason) -> GateRefusal {
        let (limit, in_flight) = (SlotCount::new(self.limit), SlotCount::new(self.in_flight));
        GateRefusal::new(reason, limit, in_flight)
    }

    pub(super) fn with_limit(
        self,
        limit: SlotCount,
        seen_failures: ConnectionFailureCount,
    ) -> Self {
        let is_current = self.connection_failures == seen_failures;
        let limit = if is_current {
            limit.get()
        } else {
            limit.get().min(self.limit)
        };
        Self { limit, ..self }
    }

    pub(super) fn admit(self) -> Result<Self> {
        if self.is_reserved {
            return Err(self.refusal(RefusalReason::Alone));
        }
        self.take_slot()
    }

    pub(super) fn admit_alone(self) -> Result<Self> {
        if self.in_flight > 0 || self.has_abandoned || !self.is_reserved {
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
