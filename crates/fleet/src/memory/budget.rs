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
/// Part of the limit that one holder may leave unread; half of what it may have of large reservations.
const UNREAD_DIVISOR: u64 = 8;
/// The same for callers that nothing tells apart.
const ANONYMOUS_UNREAD_DIVISOR: u64 = 2;
/// Time without progress after which any unfinished reservation may be evicted: a body that was delayed by
/// three retransmissions in a row goes on before.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Time after which one that waits may be evicted if all others wait as well.
const DEADLOCK_TIME: Duration = Duration::from_millis(250);
/// Time without progress after which a delivery of a holder that leaves too much unread is evicted: a
/// retransmission takes 200 ms.
const OVERDUE_TIME: Duration = Duration::from_millis(500);

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
    /// Its body is complete and being written to its holder.
    Delivering,
    /// It is to be closed.
    Evicted,
}

#[derive(Clone, Debug)]
struct ReservationRow {
    holder: ByteHolder,
    bytes: u64,
    stage: ReservationStage,
    /// Who is to read the body; `None` for a request.
    reader: Option<ByteHolder>,
    progressed_at: Instant,
}

impl ReservationRow {
    /// Whether it has made progress within `time` before `now`.
    fn has_moved_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed_at) < time
    }

    /// Whether its body is being read or delivered, and parts of it move.
    fn is_moving(&self, now: Instant) -> bool {
        let is_passing = matches!(
            self.stage,
            ReservationStage::Reading | ReservationStage::Delivering
        );
        is_passing && self.has_moved_within(STALL_TIME, now)
    }

    /// Whether others may get its bytes after it has stood still for a while; `is_any_moving` tells whether
    /// they may also get those of others, `is_behind` whether its holder leaves too much unread.
    fn is_evictable(&self, is_any_moving: bool, is_behind: bool, now: Instant) -> bool {
        let time = match self.stage {
            ReservationStage::Waiting if !is_any_moving => DEADLOCK_TIME,
            ReservationStage::Delivering if is_behind => OVERDUE_TIME,
            ReservationStage::Waiting
            | ReservationStage::Reading
            | ReservationStage::Delivering => STALL_TIME,
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
    /// Bytes that each reader is to take.
    unread: HashMap<ByteHolder, u64>,
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
            unread: HashMap::new(),
            next_id: 0,
        }
    }

    /// Adds an empty reservation of `holder`, whose body is to be read by `reader`, if by anyone.
    pub fn open(
        &mut self,
        holder: ByteHolder,
        reader: Option<ByteHolder>,
        now: Instant,
    ) -> ReservationId {
        let reservation = ReservationId(self.next_id);
        self.next_id += 1;
        self.holders.entry(holder.clone()).or_default().reservations += 1;
        let row = ReservationRow {
            holder,
            bytes: 0,
            stage: ReservationStage::Reading,
            reader,
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
        let reader = row.reader.as_ref().filter(|_| !is_small);
        let behind = reader.filter(|reader| self.is_behind(reader, extra));
        let is_allowed = !is_over_share && behind.is_none();
        if is_allowed && self.reserved + extra <= self.bound(is_small) {
            self.add(reservation, extra, now);
            return GrowthVerdict::Granted;
        }
        let sender = is_over_share.then_some(&row.holder);
        let scope = behind.or(sender).cloned();
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
        self.reserved -= freed;
        let (holder, reader) = (row.holder.clone(), row.reader.clone());
        if let Some(used) = self.holders.get_mut(&holder) {
            used.bytes = ByteCount::new(used.bytes.get() - freed);
        }
        self.take_unread(reader.as_ref(), freed);
        self.set_stage(reservation, ReservationStage::Complete);
    }

    /// Hands `reservation`, whose body is complete, over to `holder`, to whom it is being written. Returns
    /// whether another delivery is to be closed, as the holder leaves too many unread.
    pub fn deliver(
        &mut self,
        reservation: ReservationId,
        holder: &ByteHolder,
        now: Instant,
    ) -> bool {
        let row = self.rows.get_mut(&reservation);
        let Some(row) = row.filter(|row| row.stage != ReservationStage::Evicted) else {
            return false;
        };
        let former = row.clone();
        row.holder = holder.clone();
        row.reader = Some(holder.clone());
        row.progressed_at = now;
        self.release(&former);
        let used = self.holders.entry(holder.clone()).or_default();
        used.reservations += 1;
        used.bytes = ByteCount::new(used.bytes.get() + former.bytes);
        *self.unread.entry(holder.clone()).or_default() += former.bytes;
        self.set_stage(reservation, ReservationStage::Delivering);
        self.is_behind(holder, 0) && self.evict(Some(holder), now).is_some()
    }

    /// Whether `reader` leaves too much unread to get `extra` bytes more. A lone answer may be longer.
    fn is_behind(&self, reader: &ByteHolder, extra: u64) -> bool {
        let divisor = match reader {
            ByteHolder::Anonymous => ANONYMOUS_UNREAD_DIVISOR,
            ByteHolder::Workspace(_) | ByteHolder::Target(_) => UNREAD_DIVISOR,
        };
        let unread = self.unread(reader).get();
        unread > 0 && unread + extra > self.limit / divisor
    }

    /// Bytes that `reader` is to take, with those that are being read for it.
    #[must_use]
    pub fn unread(&self, reader: &ByteHolder) -> ByteCount {
        ByteCount::new(self.unread.get(reader).copied().unwrap_or_default())
    }

    fn take_unread(&mut self, reader: Option<&ByteHolder>, bytes: u64) {
        let Some(reader) = reader else {
            return;
        };
        if let Some(unread) = self.unread.get_mut(reader) {
            *unread -= bytes;
            if *unread == 0 {
                self.unread.remove(reader);
            }
        }
    }

    /// Removes `reservation`.
    pub fn close(&mut self, reservation: ReservationId) {
        let Some(row) = self.rows.remove(&reservation) else {
            return;
        };
        self.waiting -= usize::from(row.stage == ReservationStage::Waiting);
        self.reserved -= row.bytes;
        self.release(&row);
    }

    /// Takes `row` from its holder and its reader.
    fn release(&mut self, row: &ReservationRow) {
        self.take_unread(row.reader.as_ref(), row.bytes);
        let Some(used) = self.holders.get_mut(&row.holder) else {
            return;
        };
        used.bytes = ByteCount::new(used.bytes.get() - row.bytes);
        used.reservations -= 1;
        if used.reservations == 0 {
            self.holders.remove(&row.holder);
        }
    }

    /// Whether `reservation` is to be closed.
    #[must_use]
    pub fn is_evicted(&self, reservation: ReservationId) -> bool {
        let row = self.rows.get(&reservation);
        row.is_none_or(|row| row.stage == ReservationStage::Evicted)
    }

    /// Who holds `reservation`; `None` once it is closed.
    #[must_use]
    pub fn holder(&self, reservation: ReservationId) -> Option<&ByteHolder> {
        self.rows.get(&reservation).map(|row| &row.holder)
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
        let is_in_scope = |(_, row): &(&ReservationId, &ReservationRow)| {
            scope.is_none_or(|it| row.holder == *it || row.reader.as_ref() == Some(it))
        };
        let mut rows = self.rows.iter().filter(is_in_scope);
        if rows.any(|(_, row)| row.stage == ReservationStage::Evicted) {
            return None;
        }
        let mut rows = self.rows.iter().filter(is_in_scope);
        let is_any_moving = rows.any(|(_, row)| row.bytes > 0 && row.is_moving(now));
        let rows = self.rows.iter().filter(is_in_scope);
        let still = rows.filter(|(_, row)| {
            let mut reader = row.reader.iter();
            let is_behind = reader.any(|reader| self.is_behind(reader, 0));
            row.is_evictable(is_any_moving, is_behind, now)
        });
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
        if let Some(reader) = &row.reader {
            *self.unread.entry(reader.clone()).or_default() += extra;
        }
        self.set_stage(reservation, ReservationStage::Reading);
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
