//! How one entry takes part in dividing the limits of one shard.

use std::time::Duration;

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::divide::{idle_amount, pool_amount};
use super::own::OwnTable;
use super::peers::PeerTable;
use super::plan::SharePlan;
use super::{
    DemandRow, HolderId, LocalShare, RenewalNumber, ShareAmount, ShareKey, ShareRow, ShareSettings,
    ShareValue,
};

/// A call of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareCall {
    /// Read the value.
    Read,
    /// Replace the value if its revision is still `expect`.
    Write {
        /// The revision that was read; 0 where the value was absent.
        expect: StoreRevision,
        /// The new value.
        value: ShareValue,
    },
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadAnswer {
    /// The value and its revision; an empty value at revision 0 where there is none.
    Found {
        /// Revision of the value.
        revision: StoreRevision,
        /// The value.
        value: ShareValue,
    },
    /// No answer came.
    Lost,
}

/// The answer to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The value was replaced.
    Written {
        /// Its new revision.
        revision: StoreRevision,
    },
    /// The value had another revision; nothing was written.
    Conflict,
    /// No answer came; the write may have taken effect or may yet.
    Lost,
}

/// A write that may be or come into force.
#[derive(Clone, Copy, Debug)]
struct WriteRow {
    expect: StoreRevision,
    renewal: RenewalNumber,
    sent_at: Instant,
}

#[derive(Clone, Debug)]
enum CallPhase {
    Idle,
    Reading,
    Writing(ShareValue),
}

/// One entry's part in dividing the limits of one shard.
///
/// A share is lowered here before the lower one is written, and raised only after the write is
/// known to have taken effect. The caller brings [`Self::local_share`] into force after each
/// call of a method and before it carries out the returned [`ShareCall`].
#[derive(Debug)]
pub struct ShareBatcher {
    holder: HolderId,
    settings: ShareSettings,
    has_slot: bool,
    own: OwnTable,
    peers: PeerTable,
    seen: ShareValue,
    revision: StoreRevision,
    renewal: RenewalNumber,
    open_writes: Vec<WriteRow>,
    phase: CallPhase,
    failures: u32,
    renewed_at: Option<Instant>,
    next_cycle: Instant,
    /// When the value is read again though nothing has changed here.
    review_at: Instant,
}

impl ShareBatcher {
    /// Creates the part of `holder`, which holds nothing yet.
    #[must_use]
    pub fn new(holder: HolderId, settings: ShareSettings, now: Instant) -> Self {
        Self {
            holder,
            settings,
            has_slot: false,
            own: OwnTable::default(),
            peers: PeerTable::default(),
            seen: ShareValue::default(),
            revision: StoreRevision::new(0),
            renewal: RenewalNumber::default(),
            open_writes: Vec::new(),
            phase: CallPhase::Idle,
            failures: 0,
            renewed_at: None,
            next_cycle: now,
            review_at: now,
        }
    }

    /// Gives the entry one of the slots among which the fixed part is divided. No two running
    /// processes may have the same slot.
    #[must_use]
    pub fn with_slot(mut self) -> Self {
        self.has_slot = true;
        self
    }

    /// What this entry may use of `key` while the plan allows `limit`.
    #[must_use]
    pub fn local_share(&self, key: &ShareKey, limit: ShareAmount) -> LocalShare {
        self.own.share(key, limit, self.has_slot, &self.settings)
    }

    /// What this entry is to ask of `key` at least, as long as the plan allows `limit`.
    #[must_use]
    pub fn least_wanted(&self, key: &ShareKey, limit: ShareAmount) -> ShareAmount {
        let Some(shares) = self.seen.keys.get(key) else {
            return idle_amount(limit, &ShareRow::default(), 1);
        };
        let holders = shares.holders.len() + usize::from(!shares.holders.contains(&self.holder));
        let holders = u64::try_from(holders).unwrap_or(u64::MAX);
        idle_amount(limit, &shares.others(&self.holder), holders)
    }

    /// Keys of which this entry holds a part.
    pub fn held_keys(&self) -> impl Iterator<Item = &ShareKey> {
        self.own.rows.ids()
    }

    /// Starts a cycle where one is due. Has to be called at each change of a limit, too.
    ///
    /// A key belongs in `demand` while anyone asks for it or has requests in flight.
    pub fn on_tick(
        &mut self,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.note_pools(demand);
        if !matches!(self.phase, CallPhase::Idle) || !self.is_cycle_due(demand, now) {
            return None;
        }
        let targets = self.plan(demand).targets(&self.seen);
        self.own.lower(&targets);
        self.phase = CallPhase::Reading;
        Some(ShareCall::Read)
    }

    /// Takes in the answer to a read and returns the write that follows from it.
    pub fn on_read(
        &mut self,
        answer: ReadAnswer,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.phase = CallPhase::Idle;
        match answer {
            ReadAnswer::Found { revision, value } if revision >= self.revision => {
                self.revision = revision;
                self.take_value(value, demand, now)
            }
            ReadAnswer::Found { .. } | ReadAnswer::Lost => {
                self.own.raise_to_ceilings();
                self.back_off(now);
                None
            }
        }
    }

    /// Takes in the answer to a write.
    pub fn on_write(&mut self, answer: WriteAnswer, now: Instant) {
        let phase = std::mem::replace(&mut self.phase, CallPhase::Idle);
        let CallPhase::Writing(value) = phase else {
            return;
        };
        match answer {
            WriteAnswer::Written { revision } => self.finish_write(revision, value, now),
            WriteAnswer::Conflict => {
                self.open_writes
                    .retain(|write| write.renewal != self.renewal);
                self.back_off(now);
            }
            WriteAnswer::Lost => self.back_off(now),
        }
    }

    fn plan<'a>(&'a self, demand: &'a EntityTable<ShareKey, DemandRow>) -> SharePlan<'a> {
        SharePlan {
            holder: &self.holder,
            settings: &self.settings,
            has_slot: self.has_slot,
            own: &self.own,
            demand,
        }
    }

    /// Settles what `value` shows and returns the write that follows from it, if any.
    fn take_value(
        &mut self,
        value: ShareValue,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.peers.observe(&value, now);
        self.settle(&value);
        let mut next = value.clone();
        self.peers
            .reclaim(&mut next, &self.holder, &self.settings, now);
        let plan = self.plan(demand);
        let aims = plan.put_own_rows(&mut next);
        let is_worth_writing = self.is_renewal_due(now) || plan.is_different(&value, &next);
        self.seen = value;
        self.own.set_aims(aims);
        if !is_worth_writing {
            self.own.raise_to_aims();
            self.review_at = now + self.settings.review_every;
            if self.has_changed(demand) {
                self.next_cycle = self.review_at;
            }
            return None;
        }
        self.own.restart_pools();
        self.note_pools(demand);
        Some(self.start_write(next, now))
    }

    fn note_pools(&mut self, demand: &EntityTable<ShareKey, DemandRow>) {
        for (key, row) in demand.iter() {
            let pool = pool_amount(row.limit, &self.settings);
            self.own.note_pool(key, pool);
        }
    }

    fn is_cycle_due(&self, demand: &EntityTable<ShareKey, DemandRow>, now: Instant) -> bool {
        let has_interest = !demand.is_empty() || !self.own.rows.is_empty();
        if !has_interest || now < self.next_cycle {
            return false;
        }
        self.is_renewal_due(now) || now >= self.review_at || self.has_changed(demand)
    }

    fn is_renewal_due(&self, now: Instant) -> bool {
        self.renewed_at
            .is_none_or(|at| now >= at + self.settings.renew_every)
    }

    /// Whether a key is new or gone, wants more than it holds, or holds more than it aims at.
    fn has_changed(&self, demand: &EntityTable<ShareKey, DemandRow>) -> bool {
        const SURPLUS: u64 = 4;
        let is_gone = |key: &ShareKey| !demand.contains(key);
        let is_unmet = |(key, row): (&ShareKey, &DemandRow)| {
            let granted = self.own.granted(key);
            let surplus = granted.rate.get() > row.wanted.rate.get().saturating_mul(SURPLUS);
            surplus || !row.wanted.is_within(granted)
        };
        let is_draining = self.own.is_draining();
        is_draining || self.own.rows.ids().any(is_gone) || demand.iter().any(is_unmet)
    }

    /// Takes over the stored shares, unless a write whose fate is unknown may still replace them.
    fn settle(&mut self, value: &ShareValue) {
        let may_land = |write: &WriteRow| write.expect >= self.revision;
        if self.open_writes.iter().any(may_land) {
            return;
        }
        let stored = value.renewals.get(&self.holder);
        let landed = self
            .open_writes
            .iter()
            .find(|write| Some(&write.renewal) == stored);
        let lease_until = landed.map(|write| write.sent_at + self.settings.lease);
        if let Some(write) = landed {
            self.renewed_at = Some(write.sent_at);
        }
        self.open_writes.clear();
        self.own.adopt(value, &self.holder, lease_until);
    }

    fn start_write(&mut self, mut value: ShareValue, now: Instant) -> ShareCall {
        let expect = self.revision;
        self.own.expect(&value, &self.holder);
        self.renewal = self.renewal.next();
        let is_holder = value
            .keys
            .rows()
            .any(|row| row.holders.contains(&self.holder));
        if is_holder {
            value.renewals.insert(self.holder.clone(), self.renewal);
        } else {
            value.renewals.remove(&self.holder);
        }
        self.open_writes.push(WriteRow {
            expect,
            renewal: self.renewal,
            sent_at: now,
        });
        self.phase = CallPhase::Writing(value.clone());
        ShareCall::Write { expect, value }
    }

    fn finish_write(&mut self, revision: StoreRevision, value: ShareValue, now: Instant) {
        let is_sent = |write: &&WriteRow| write.renewal == self.renewal;
        let sent_at = self
            .open_writes
            .iter()
            .find(is_sent)
            .map(|write| write.sent_at);
        self.open_writes.clear();
        self.own.forget_pools();
        let lease_until = sent_at.map(|sent_at| sent_at + self.settings.lease);
        self.own.adopt(&value, &self.holder, lease_until);
        self.own.raise_to_aims();
        self.revision = revision;
        self.seen = value;
        self.renewed_at = sent_at;
        self.failures = 0;
        self.next_cycle = now + self.settings.cycle_gap;
        self.review_at = now + self.settings.review_every;
    }

    /// Puts the next cycle off by a random time that grows with the failures in a row.
    fn back_off(&mut self, now: Instant) {
        const FIRST_DELAY: Duration = Duration::from_millis(50);
        const MAX_DOUBLINGS: u32 = 6;
        self.failures = self.failures.saturating_add(1);
        let bound = FIRST_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.next_cycle = now + bound.mul_f32(0.5 + fastrand::f32() / 2.0);
    }
}
