//! Division of a cold target's request rate among the gateways.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthgw_core::{RequestRate, saturating_whole};

/// Fraction of a cold target's rate that all gateways together use. The operators allow 1.5 times the
/// rate in any second; the difference covers slots of many gateways that coincide.
const RATE_SAFETY_FACTOR: f64 = 0.75;
/// Shortest slot. Several requests of a short burst can share it.
const MIN_SLOT: Duration = Duration::from_millis(100);
/// Time from the start of a slot for which it is open. Limits how many gateways send at once after
/// none of them has needed the target for a while.
const OPEN_TIME: Duration = Duration::from_millis(300);

/// Requests that one gateway may send to a cold target: a fixed number per slot of time.
///
/// Each gateway's slots start at a random time, so that the total follows the rate of the target
/// for any number of gateways, also while they restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    slot: Duration,
    sends: u32,
}

impl ColdShare {
    /// Creates the share of one of `gateways` in `rate`; a rate of 0 counts as 1.
    #[must_use]
    pub fn new(rate: RequestRate, gateways: u32) -> Self {
        let rate = f64::from(u32::try_from(rate.per_second()).unwrap_or(u32::MAX));
        let spacing = f64::from(gateways.max(1)) / (rate.max(1.0) * RATE_SAFETY_FACTOR);
        let sends = saturating_whole(MIN_SLOT.as_secs_f64() / spacing).max(1);
        let sends = u32::try_from(sends).unwrap_or(u32::MAX);
        Self {
            slot: Duration::from_secs_f64(spacing * f64::from(sends)),
            sends,
        }
    }

    /// Length of a slot.
    #[must_use]
    pub const fn slot(&self) -> Duration {
        self.slot
    }

    /// Requests that may be sent per slot.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }
}

/// Counts the requests that this process sent to a cold target in the current slot.
#[derive(Debug)]
pub(super) struct ColdCounter {
    /// Fraction of a slot that had passed when the counter was created.
    phase: f64,
    /// Number of the last used slot, above the requests sent in it (`COUNT_BITS`); 0 for none.
    state: AtomicU64,
}

/// Bits of the count of requests; a slot has no more requests than they hold.
const COUNT_BITS: u32 = 24;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

impl ColdCounter {
    /// Creates a counter whose slots start at a random time.
    pub(super) fn new() -> Self {
        Self {
            phase: fastrand::f64(),
            state: AtomicU64::new(0),
        }
    }

    /// Counts a request; returns whether `share` admits it `age` after the counter was created.
    pub(super) fn try_admit(&self, share: ColdShare, age: Duration) -> bool {
        let position = self.position(share, age);
        let limit = u64::from(share.sends).min(COUNT_MASK);
        let slot = slot_number(position);
        let admit = |state: u64| {
            let sent = sent_in(state, slot);
            (sent < limit).then_some((slot << COUNT_BITS) | (sent + 1))
        };
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        is_open(share, position) && self.state.fetch_update(set, fetch, admit).is_ok()
    }

    /// Time until `share` admits the next request.
    pub(super) fn opens_in(&self, share: ColdShare, age: Duration) -> Duration {
        let position = self.position(share, age);
        let sent = sent_in(self.state.load(Ordering::Relaxed), slot_number(position));
        if is_open(share, position) && sent < u64::from(share.sends) {
            return Duration::ZERO;
        }
        share.slot.mul_f64(1.0 - position.fract())
    }

    /// Slots that have begun, with the passed part of the current one.
    fn position(&self, share: ColdShare, age: Duration) -> f64 {
        age.as_secs_f64() / share.slot.as_secs_f64() + self.phase
    }
}

fn is_open(share: ColdShare, position: f64) -> bool {
    share.slot.mul_f64(position.fract()) < OPEN_TIME
}

/// Number of the slot at `position`, from 1.
fn slot_number(position: f64) -> u64 {
    saturating_whole(position).saturating_add(1)
}

/// Requests sent in `slot` according to the counter's `state`.
fn sent_in(state: u64, slot: u64) -> u64 {
    if state >> COUNT_BITS == slot {
        state & COUNT_MASK
    } else {
        0
    }
}
