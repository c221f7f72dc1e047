//! Lock-free share that traffic threads read while the control thread updates it.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

/// A floor, which needs no lease, and a leased part that is valid until its lease ends.
#[derive(Debug)]
pub(super) struct ShareCell {
    base: Instant,
    /// Floor in the upper 32 bits, leased part in the lower 32 bits.
    amounts: AtomicU64,
    leased_until_ns: AtomicU64,
}

const LEASED_BITS: u32 = 32;

impl ShareCell {
    /// Creates an empty share; instants before `base` are treated as `base`.
    pub fn new(base: Instant) -> Self {
        Self {
            base,
            amounts: AtomicU64::new(0),
            leased_until_ns: AtomicU64::new(0),
        }
    }

    /// Nanoseconds from the base to `now`.
    pub fn nanos(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.base);
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Sets the floor and keeps the leased part.
    pub fn set_floor(&self, floor: u32) {
        let replace = |amounts: u64| Some(pack(floor, unpack(amounts).1));
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let _previous = self.amounts.fetch_update(set, fetch, replace);
    }

    /// Sets the leased part, which is valid before `until`.
    ///
    /// The end is cleared first, so that a reader never combines the new amount with the old end or
    /// the old amount with the new end.
    pub fn set_leased(&self, leased: u32, until: Option<Instant>) {
        self.leased_until_ns.store(0, Ordering::SeqCst);
        let replace = |amounts: u64| Some(pack(unpack(amounts).0, leased));
        let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
        let _previous = self.amounts.fetch_update(set, fetch, replace);
        let until_ns = until.map_or(0, |until| self.nanos(until));
        self.leased_until_ns.store(until_ns, Ordering::SeqCst);
    }

    /// Sum of the parts that are valid at `now_ns`, in nanoseconds since the base.
    pub fn amount(&self, now_ns: u64) -> u64 {
        let until_before = self.leased_until_ns.load(Ordering::SeqCst);
        let (floor, leased) = unpack(self.amounts.load(Ordering::SeqCst));
        let until_after = self.leased_until_ns.load(Ordering::SeqCst);
        let is_leased = until_before == until_after && now_ns < until_before;
        u64::from(floor) + if is_leased { u64::from(leased) } else { 0 }
    }
}

fn pack(floor: u32, leased: u32) -> u64 {
    (u64::from(floor) << LEASED_BITS) | u64::from(leased)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "each half of the word is extracted"
)]
fn unpack(amounts: u64) -> (u32, u32) {
    ((amounts >> LEASED_BITS) as u32, amounts as u32)
}
