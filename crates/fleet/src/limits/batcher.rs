//! Share negotiation of one entry for all limits of one shard.

use std::time::Duration;

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::decision::ShareDecision;
use super::divide::{idle_amount, pool_amount};
use super::own::OwnTable;
use super::peers::PeerTable;
use super::{
    DemandRow, HolderId, LocalShare, RenewalNumber, ShareAmount, ShareKey, ShareRow, ShareSettings,
    ShareValue,
};

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareCall {
    /// Read the value of the shard.
    Read,
    /// Replace the value if its revision is still `expect`.
    Write {
        /// Revision that was read; 0 if the value didn't exist.
        expect: StoreRevision,
        /// The new value.
        value: ShareValue,
    },
}

/// Result of a [`ShareCall::Read`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReadReply {
    /// The value was read; a missing value is an empty one at revision 0.
    Found {
        /// Revision of the value.
        revision: StoreRevision,
        /// Content of the value.
        value: ShareValue,
    },
    /// The read failed or timed out.
    Lost,
}

/// Result of a [`ShareCall::Write`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The value was replaced.
    Written {
        /// New revision of the value.
        revision: StoreRevision,
    },
    /// The value had a different revision; nothing was written.
    Conflict,
    /// The write failed or timed out; it may have taken effect or may still do so.
    Lost,
}

/// A write that may have taken effect or may still do so.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    expect: StoreRevision,
    renewal: RenewalNumber,
    sent_at: Instant,
}

/// Call that is pending; `Writing` contains the value being written.
#[derive(Clone, Debug)]
enum CallPhase {
    Idle,
    Reading,
    Writing(ShareValue),
}

/// Negotiates one entry's shares of all limits in one shard and writes them as one value.
///
/// A share is reduced locally before the reduction is written, and raised only once the write is
/// known to have taken effect. The caller must apply [`Self::local_share`] to its meters
/// after each call of [`Self::on_tick`], [`Self::on_read`] or [`Self::on_write`], before it performs
/// the returned [`ShareCall`].
#[derive(Debug)]
pub struct ShareBatcher {
    holder: HolderId,
    settings: ShareSettings,
    has_slot: bool,
    own: OwnTable,
    peers: PeerTable,
    /// Last value that was read or written.
    seen: ShareValue,
    /// Revision of `seen`.
    revision: StoreRevision,
    /// Number of the last write that was sent.
    renewal: RenewalNumber,
    pending_writes: Vec<PendingWrite>,
    phase: CallPhase,
    /// Failed calls and conflicts since the last confirmed write.
    failures: u32,
    renewed_at: Option<Instant>,
    /// Earliest start of the next cycle, which is a read and the write that may follow it.
    next_cycle_at: Instant,
    /// When the value is read next even if nothing has changed at this entry.
    poll_at: Instant,
}

impl ShareBatcher {
    /// Creates the batcher of `holder`, which has no share yet.
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
            pending_writes: Vec::new(),
            phase: CallPhase::Idle,
            failures: 0,
            renewed_at: None,
            next_cycle_at: now,
            poll_at: now,
        }
    }

    /// Assigns the entry one of the slots among which the fixed part of each limit is divided. Two
    /// running processes must not have the same slot.
    #[must_use]
    pub fn with_slot(mut self) -> Self {
        self.has_slot = true;
        self
    }

    /// Share of `key` that this entry may use while the plan allows `limit`.
    #[must_use]
    pub fn local_share(&self, key: &ShareKey, limit: ShareAmount) -> LocalShare {
        self.own.share(key, limit, self.has_slot, &self.settings)
    }

    /// Minimum demand that this entry reports for `key` while the plan allows `limit`.
    #[must_use]
    pub fn min_demand(&self, key: &ShareKey, limit: ShareAmount) -> ShareAmount {
        let Some(shares) = self.seen.keys.get(key) else {
            return idle_amount(limit, &ShareRow::default(), 1);
        };
        let holders = shares.holders.len() + usize::from(!shares.holders.contains(&self.holder));
        let holders = u64::try_from(holders).unwrap_or(u64::MAX);
        idle_amount(limit, &shares.others(&self.holder), holders)
    }

    /// Keys in which this entry has a share.
    pub fn held_keys(&self) -> impl Iterator<Item = &ShareKey> {
        self.own.rows.ids()
    }

    /// Starts a read-and-write cycle if one is due. Must also be called whenever a limit changes.
    ///
    /// `demand` must contain each key that has demand or requests in flight.
    pub fn on_tick(
        &mut self,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.record_pools(demand);
        if !matches!(self.phase, CallPhase::Idle) || !self.is_cycle_due(demand, now) {
            return None;
        }
        let goals = self.decision(demand).goals(&self.seen);
        self.own.lower(&goals);
        self.phase = CallPhase::Reading;
        Some(ShareCall::Read)
    }

    /// Handles the result of a read and returns the write that results from it.
    pub fn on_read(
        &mut self,
        reply: ReadReply,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.phase = CallPhase::Idle;
        match reply {
            ReadReply::Found { revision, value } if revision >= self.revision => {
                self.revision = revision;
                self.handle_value(value, demand, now)
            }
            ReadReply::Found { .. } | ReadReply::Lost => {
                self.own.raise_to_ceilings();
                self.back_off(now);
                None
            }
        }
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, reply: WriteReply, now: Instant) {
        let phase = std::mem::replace(&mut self.phase, CallPhase::Idle);
        let CallPhase::Writing(value) = phase else {
            return;
        };
        match reply {
            WriteReply::Written { revision } => self.confirm_write(revision, value, now),
            WriteReply::Conflict => {
                self.pending_writes
                    .retain(|write| write.renewal != self.renewal);
                self.back_off(now);
            }
            WriteReply::Lost => self.back_off(now),
        }
    }

    fn decision<'a>(&'a self, demand: &'a EntityTable<ShareKey, DemandRow>) -> ShareDecision<'a> {
        ShareDecision {
            holder: &self.holder,
            settings: &self.settings,
            has_slot: self.has_slot,
            own: &self.own,
            demand,
        }
    }

    /// Adopts the stored shares and returns the write that results from them, if any.
    fn handle_value(
        &mut self,
        value: ShareValue,
        demand: &EntityTable<ShareKey, DemandRow>,
        now: Instant,
    ) -> Option<ShareCall> {
        self.peers.observe(&value, now);
        self.adopt_settled(&value);
        let mut next = value.clone();
        self.peers
            .reclaim(&mut next, &self.holder, &self.settings, now);
        let decision = self.decision(demand);
        let goals = decision.put_own_rows(&mut next);
        let needs_write = self.is_renewal_due(now) || decision.is_different(&value, &next);
        self.seen = value;
        self.own.set_goals(goals);
        if !needs_write {
            self.own.set_to_goals();
            self.poll_at = now + self.settings.poll_interval;
            if self.needs_change(demand) {
                self.next_cycle_at = self.poll_at;
            }
            return None;
        }
        self.own.clear_pools_since_sent();
        self.record_pools(demand);
        Some(self.start_write(next, now))
    }

    fn record_pools(&mut self, demand: &EntityTable<ShareKey, DemandRow>) {
        for (key, row) in demand.iter() {
            let pool = pool_amount(row.limit, &self.settings);
            self.own.record_pool(key, pool);
        }
    }

    fn is_cycle_due(&self, demand: &EntityTable<ShareKey, DemandRow>, now: Instant) -> bool {
        let has_keys = !demand.is_empty() || !self.own.rows.is_empty();
        if !has_keys || now < self.next_cycle_at {
            return false;
        }
        self.is_renewal_due(now) || now >= self.poll_at || self.needs_change(demand)
    }

    fn is_renewal_due(&self, now: Instant) -> bool {
        self.renewed_at
            .is_none_or(|at| now >= at + self.settings.renew_interval)
    }

    /// Whether this entry's shares should change: it holds a share of a removed limit, a demand
    /// exceeds its share, the rate of a share exceeds `SURPLUS_FACTOR` times the demand, or a
    /// stored share exceeds its goal.
    fn needs_change(&self, demand: &EntityTable<ShareKey, DemandRow>) -> bool {
        const SURPLUS_FACTOR: u64 = 4;
        let is_gone = |key: &ShareKey| !demand.contains(key);
        let is_mismatched = |(key, row): (&ShareKey, &DemandRow)| {
            let granted = self.own.granted(key);
            let surplus = granted.rate.get() > row.demand.rate.get().saturating_mul(SURPLUS_FACTOR);
            surplus || !row.demand.is_within(granted)
        };
        let is_draining = self.own.is_draining();
        is_draining || self.own.rows.ids().any(is_gone) || demand.iter().any(is_mismatched)
    }

    /// Adopts the stored shares, unless a write with an unknown outcome may still replace them.
    fn adopt_settled(&mut self, value: &ShareValue) {
        let may_take_effect = |write: &PendingWrite| write.expect >= self.revision;
        if self.pending_writes.iter().any(may_take_effect) {
            return;
        }
        let stored = value.renewals.get(&self.holder);
        let confirmed = self
            .pending_writes
            .iter()
            .find(|write| Some(&write.renewal) == stored);
        let lease_until = confirmed.map(|write| write.sent_at + self.settings.lease);
        if let Some(write) = confirmed {
            self.renewed_at = Some(write.sent_at);
        }
        self.pending_writes.clear();
        self.own.adopt(value, &self.holder, lease_until);
    }

    fn start_write(&mut self, mut value: ShareValue, now: Instant) -> ShareCall {
        let expect = self.revision;
        self.own.lower_ceilings(&value, &self.holder);
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
        self.pending_writes.push(PendingWrite {
            expect,
            renewal: self.renewal,
            sent_at: now,
        });
        self.phase = CallPhase::Writing(value.clone());
        ShareCall::Write { expect, value }
    }

    fn confirm_write(&mut self, revision: StoreRevision, value: ShareValue, now: Instant) {
        let is_sent = |write: &&PendingWrite| write.renewal == self.renewal;
        let sent_at = self
            .pending_writes
            .iter()
            .find(is_sent)
            .map(|write| write.sent_at);
        self.pending_writes.clear();
        self.own.drop_old_pools();
        let lease_until = sent_at.map(|sent_at| sent_at + self.settings.lease);
        self.own.adopt(&value, &self.holder, lease_until);
        self.own.set_to_goals();
        self.revision = revision;
        self.seen = value;
        self.renewed_at = sent_at;
        self.failures = 0;
        self.next_cycle_at = now + self.settings.min_cycle_interval;
        self.poll_at = now + self.settings.poll_interval;
    }

    /// Delays the next cycle by exponential backoff with jitter.
    fn back_off(&mut self, now: Instant) {
        const MIN_FIRST_DELAY: Duration = Duration::from_millis(50);
        const MAX_DOUBLINGS: u32 = 6;
        self.failures = self.failures.saturating_add(1);
        let bound = MIN_FIRST_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.next_cycle_at = now + bound.mul_f32(0.5 + fastrand::f32() / 2.0);
    }
}
