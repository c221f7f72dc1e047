//! Table of reservations and the decisions over it.

use std::collections::HashMap;
use std::time::Duration;

use amaranthgw_core::ByteCount;
use tokio::time::Instant;

use super::ByteHolder;

/// Largest reservation that counts as small: bodies of most requests and answers.
const SMALL_BYTES: u64 = 64 * 1024;
/// Quarters of the limit that one holder may take with small reservations.
const SMALL_QUARTERS: u64 = 2;
/// Quarters of the limit beyond which a holder gets no large reservation besides others.
const LARGE_QUARTERS: u64 = 1;
/// Quarters of the limit that large reservations leave to small ones.
const SPARE_QUARTERS: u64 = 1;
/// Quarters of the limit.
const QUARTERS: u64 = 4;
/// Time without progress after which any unfinished reservation may be evicted: a body that was delayed by
/// three retransmissions in a row goes on before.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Time after which one that waits may be evicted if all others wait as well.
const DEADLOCK_TIME: Duration = Duration::from_millis(250);

/// Identifies a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// What a reservation gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowthVerdict {
    /// The bytes that it asked for.
    Granted,
    /// Nothing yet; it is to ask again.
    Waiting,
    /// Nothing yet, but another reservation was evicted and is to be closed.
    Evicting,
    /// Nothing ever; it is to be closed.
    Evicted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationStage {
    /// Its body is being read.
    Reading,
    /// Its body is being read, but its next bytes don't fit.
    Waiting,
    /// Its body is complete and in use.
    Complete,
    /// It is to be closed.
    Evicted,
}

#[derive(Clone, Debug)]
struct ReservationRow {
    holder: ByteHolder,
    bytes: u64,
    stage: ReservationStage,
    progressed_at: Instant,
}

impl ReservationRow {
    /// Whether it has made progress within `time` before `now`.
    fn has_moved_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed_at) < time
    }

    /// Whether its body is being read, and parts of it arrive.
    fn is_moving(&self, now: Instant) -> bool {
        self.stage == ReservationStage::Reading && self.has_moved_within(STALL_TIME, now)
    }

    /// Whether others may get its bytes after it has stood still for a while; `is_any_moving` tells whether
    /// they may also get those of others.
    fn is_evictable(&self, is_any_moving: bool, now: Instant) -> bool {
        let time = match self.stage {
            ReservationStage::Waiting if !is_any_moving => DEADLOCK_TIME,
            ReservationStage::Waiting | ReservationStage::Reading => STALL_TIME,
            ReservationStage::Complete | ReservationStage::Evicted => return false,
        };
        self.bytes > 0 && !self.has_moved_within(time, now)
    }
}

/// What one holder has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderUse {
    /// Reserved bytes.
    pub bytes: ByteCount,
    /// Number of reservations.
    pub reservations: u32,
}

/// Reservations of one process.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    reserved: u64,
    waiting: usize,
    rows: HashMap<ReservationId, ReservationRow>,
    holders: HashMap<ByteHolder, HolderUse>,
    next_id: u64,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes without reservations.
    #[must_use]
    pub fn new(limit: ByteCount) -> Self {
        Self {
            limit: limit.get(),
            reserved: 0,
            waiting: 0,
            rows: HashMap::new(),
            holders: HashMap::new(),
            next_id: 0,
        }
    }

    /// Adds an empty reservation of `holder`.
    pub fn open(&mut self, holder: ByteHolder, now: Instant) -> ReservationId {
        let reservation = ReservationId(self.next_id);
        self.next_id += 1;
        self.holders.entry(holder.clone()).or_default().reservations += 1;
        let row = ReservationRow {
            holder,
            bytes: 0,
            stage: ReservationStage::Reading,
            progressed_at: now,
        };
        self.rows.insert(reservation, row);
        reservation
    }

    /// Grows `reservation` to `bytes` in all. Where they don't fit, a reservation that stands still is
    /// evicted, which may be this one.
    pub fn grow(
        &mut self,
        reservation: ReservationId,
        bytes: ByteCount,
        now: Instant,
    ) -> GrowthVerdict {
        let Some(row) = self.rows.get(&reservation) else {
            return GrowthVerdict::Evicted;
        };
        if row.stage == ReservationStage::Evicted || bytes.get() > self.limit {
            return GrowthVerdict::Evicted;
        }
        let extra = bytes.get().saturating_sub(row.bytes);
        let is_small = bytes.get() <= SMALL_BYTES;
        let of_holder = self.used_by(&row.holder);
        let share = self.share(&row.holder, is_small);
        let is_over_share = of_holder.reservations > 1 && of_holder.bytes.get() + extra > share;
        if !is_over_share && self.reserved + extra <= self.bound(is_small) {
            self.add(reservation, extra, now);
            return GrowthVerdict::Granted;
        }
        let scope = is_over_share.then(|| row.holder.clone());
        self.set_stage(reservation, ReservationStage::Waiting);
        match self.evict(scope.as_ref(), now) {
            Some(evicted) if evicted == reservation => GrowthVerdict::Evicted,
            Some(_other) => GrowthVerdict::Evicting,
            None => GrowthVerdict::Waiting,
        }
    }

    /// Bytes that `holder` may have with a further reservation, small or large.
    fn share(&self, holder: &ByteHolder, is_small: bool) -> u64 {
        let quarters = match (holder, is_small) {
            // Any number of callers, which nothing tells apart.
            (ByteHolder::Anonymous, _) => return self.bound(is_small),
            (_, true) => SMALL_QUARTERS,
            (_, false) => LARGE_QUARTERS,
        };
        self.limit / QUARTERS * quarters
    }

    /// Bytes up to which reservations are granted, small or large.
    const fn bound(&self, is_small: bool) -> u64 {
        if is_small {
            self.limit
        } else {
            self.limit / QUARTERS * (QUARTERS - SPARE_QUARTERS)
        }
    }

    /// Records that bytes of `reservation` have arrived.
    pub fn touch(&mut self, reservation: ReservationId, now: Instant) {
        if let Some(row) = self.rows.get_mut(&reservation) {
            row.progressed_at = now;
        }
    }

    /// Shrinks `reservation` to `bytes`, those of its complete body.
    pub fn complete(&mut self, reservation: ReservationId, bytes: ByteCount) {
        let Some(row) = self.rows.get_mut(&reservation) else {
            return;
        };
        let freed = row.bytes.saturating_sub(bytes.get());
        row.bytes -= freed;
        let holder = row.holder.clone();
        self.set_stage(reservation, ReservationStage::Complete);
        self.free(&holder, freed);
    }

    /// Removes `reservation`.
    pub fn close(&mut self, reservation: ReservationId) {
        let Some(row) = self.rows.remove(&reservation) else {
            return;
        };
        self.waiting -= usize::from(row.stage == ReservationStage::Waiting);
        self.free(&row.holder, row.bytes);
        if let Some(used) = self.holders.get_mut(&row.holder) {
            used.reservations -= 1;
            if used.reservations == 0 {
                self.holders.remove(&row.holder);
            }
        }
    }

    /// Whether `reservation` is to be closed.
    #[must_use]
    pub fn is_evicted(&self, reservation: ReservationId) -> bool {
        let row = self.rows.get(&reservation);
        row.is_none_or(|row| row.stage == ReservationStage::Evicted)
    }

    /// Bytes of all reservations.
    #[must_use]
    pub const fn reserved(&self) -> ByteCount {
        ByteCount::new(self.reserved)
    }

    /// What `holder` has.
    #[must_use]
    pub fn used_by(&self, holder: &ByteHolder) -> HolderUse {
        self.holders.get(holder).copied().unwrap_or_default()
    }

    /// Number of reservations that wait for bytes.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Evicts the largest reservation that stands still, of the holder `scope` if given, unless the bytes of another
    /// one are about to be freed; returns the evicted one.
    fn evict(&mut self, scope: Option<&ByteHolder>, now: Instant) -> Option<ReservationId> {
        let is_in_scope =
            |(_, row): &(&ReservationId, &ReservationRow)| scope.is_none_or(|it| row.holder == *it);
        let mut rows = self.rows.iter().filter(is_in_scope);
        if rows.any(|(_, row)| row.stage == ReservationStage::Evicted) {
            return None;
        }
        let mut rows = self.rows.iter().filter(is_in_scope);
        let is_any_moving = rows.any(|(_, row)| row.bytes > 0 && row.is_moving(now));
        let rows = self.rows.iter().filter(is_in_scope);
        let still = rows.filter(|(_, row)| row.is_evictable(is_any_moving, now));
        let (largest, _) = still.max_by_key(|(reservation, row)| (row.bytes, **reservation))?;
        let largest = *largest;
        self.set_stage(largest, ReservationStage::Evicted);
        Some(largest)
    }

    fn add(&mut self, reservation: ReservationId, extra: u64, now: Instant) {
        let Some(row) = self.rows.get_mut(&reservation) else {
            return;
        };
        row.bytes += extra;
        row.progressed_at = now;
        self.reserved += extra;
        if let Some(used) = self.holders.get_mut(&row.holder) {
            used.bytes = ByteCount::new(used.bytes.get() + extra);
        }
        self.set_stage(reservation, ReservationStage::Reading);
    }

    fn free(&mut self, holder: &ByteHolder, bytes: u64) {
        self.reserved -= bytes;
        if let Some(used) = self.holders.get_mut(holder) {
            used.bytes = ByteCount::new(used.bytes.get() - bytes);
        }
    }

    fn set_stage(&mut self, reservation: ReservationId, stage: ReservationStage) {
        let Some(row) = self.rows.get_mut(&reservation) else {
            return;
        };
        let before = std::mem::replace(&mut row.stage, stage);
        self.waiting -= usize::from(before == ReservationStage::Waiting);
        self.waiting += usize::from(stage == ReservationStage::Waiting);
    }
}
