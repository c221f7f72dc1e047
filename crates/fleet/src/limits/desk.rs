//! All limits that one entry enforces, shard by shard.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::{
    DemandEstimate, DemandRow, HolderId, LocalShare, ReadAnswer, ShareAmount, ShareBatcher,
    ShareCall, ShareKey, ShareSettings, ShareShard, UsageMeter, WriteAnswer,
};

/// Number of values among which the workspaces are spread. All entries use the same number.
const SHARD_COUNT: u16 = 8;
/// Time between two samples of the demand.
const SAMPLE_EVERY: Duration = Duration::from_millis(250);

/// A limit of a plan and the meter that enforces this entry's share of it.
#[derive(Clone, Debug)]
pub struct LimitRow {
    /// What the plan allows over all entries; nothing where no plan includes it any more.
    pub limit: ShareAmount,
    /// The meter.
    pub meter: Arc<UsageMeter>,
}

/// Limits by workspace and service.
pub type LimitTable = EntityTable<ShareKey, LimitRow>;

/// A limit with what is known of its use.
#[derive(Clone, Debug)]
struct MeteredRow {
    limit: ShareAmount,
    meter: Arc<UsageMeter>,
    estimate: DemandEstimate,
    /// The share that the meter has.
    share: LocalShare,
}

/// The limits of one shard.
#[derive(Debug)]
struct ShardRow {
    batcher: ShareBatcher,
    limits: EntityTable<ShareKey, MeteredRow>,
}

/// The limits of all shards at one entry and their shares.
///
/// A meter admits nothing until a share is known to be held. A changed share is in force at the
/// meters before the call that is returned with it may be sent. While the key-value service is
/// down the shares stay as they are until their lease ends; then the meters admit the fixed part
/// of an entry with a slot, and nothing without one, as another entry may have taken the shares
/// over.
///
/// # Calls of the key-value service
///
/// An entry renews its shares by one write in [`ShareSettings::renew_every`], which is 0.1 writes
/// a second for each entry and shard, so 0.8 for an entry with all 8 shards in use. While demand
/// moves by more than a tenth it writes at most once in [`ShareSettings::cycle_gap`], 2 writes a
/// second for each entry and shard; conflicts count as writes and back off. It reads the value
/// once in [`ShareSettings::review_every`], at most 2 reads a second for each entry and shard, so
/// that a fresh entry gets a share from those that hold the whole limit.
#[derive(Debug)]
pub struct ShareDesk {
    holder: HolderId,
    settings: ShareSettings,
    has_slot: bool,
    shards: EntityTable<ShareShard, ShardRow>,
    sampled_at: Instant,
}

impl ShareDesk {
    /// Creates the desk of `holder`, which has no limits yet.
    #[must_use]
    pub fn new(holder: HolderId, settings: ShareSettings, now: Instant) -> Self {
        Self {
            holder,
            settings,
            has_slot: false,
            shards: EntityTable::new(),
            sampled_at: now,
        }
    }

    /// Gives the entry one of the slots among which the fixed part of each limit is divided. No
    /// two running processes may have the same slot.
    #[must_use]
    pub const fn with_slot(mut self) -> Self {
        self.has_slot = true;
        self
    }

    /// Puts the limits of a configuration in force and returns the calls that are due.
    ///
    /// Lower limits hold at the meters at once. A limit that is gone has to come once more with
    /// nothing allowed, and to stay while requests under it are in flight.
    pub fn set_limits(
        &mut self,
        limits: &LimitTable,
        now: Instant,
    ) -> Vec<(ShareShard, ShareCall)> {
        let mut old = EntityTable::new();
        for (_, shard) in self.shards.iter_mut() {
            for (key, row) in std::mem::take(&mut shard.limits).iter() {
                old.insert(key.clone(), row.clone());
            }
        }
        for (key, row) in limits.iter() {
            let kept = old.get(key).cloned();
            let kept = kept.filter(|kept: &MeteredRow| Arc::ptr_eq(&kept.meter, &row.meter));
            self.add_limit(key, row, kept, now);
        }
        self.tick(now)
    }

    /// Samples the demand where that is due and returns the calls that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<(ShareShard, ShareCall)> {
        self.sample(now);
        let mut calls = Vec::new();
        for (shard, row) in self.shards.iter_mut() {
            if let Some(call) = row.tick(now) {
                calls.push((*shard, call));
            }
        }
        calls
    }

    /// Takes in the answer to a read and returns the write that follows from it.
    pub fn on_read(
        &mut self,
        shard: ShareShard,
        answer: ReadAnswer,
        now: Instant,
    ) -> Option<ShareCall> {
        self.shards.get_mut(&shard)?.on_read(answer, now)
    }

    /// Takes in the answer to a write.
    pub fn on_write(&mut self, shard: ShareShard, answer: WriteAnswer, now: Instant) {
        if let Some(row) = self.shards.get_mut(&shard) {
            row.batcher.on_write(answer, now);
            row.apply();
        }
    }

    fn add_limit(
        &mut self,
        key: &ShareKey,
        row: &LimitRow,
        kept: Option<MeteredRow>,
        now: Instant,
    ) {
        let shard = ShareShard::with_workspace(&key.workspace, SHARD_COUNT);
        let make = || ShardRow {
            batcher: new_batcher(&self.holder, self.settings, self.has_slot, now),
            limits: EntityTable::new(),
        };
        let shard = self.shards.get_or_insert_with(shard, make);
        let mut metered = kept.unwrap_or_else(|| MeteredRow::new(Arc::clone(&row.meter)));
        metered.limit = row.limit;
        shard.limits.insert(key.clone(), metered);
    }

    fn sample(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.sampled_at);
        if span < SAMPLE_EVERY {
            return;
        }
        self.sampled_at = now;
        for (_, shard) in self.shards.iter_mut() {
            for (_, row) in shard.limits.iter_mut() {
                let used = row.meter.in_flight.used();
                row.estimate.sample(row.meter.take_asked(), used, span);
            }
        }
    }
}

impl ShardRow {
    fn tick(&mut self, now: Instant) -> Option<ShareCall> {
        let call = self.batcher.on_tick(&self.demand(), now);
        self.apply();
        call
    }

    fn on_read(&mut self, answer: ReadAnswer, now: Instant) -> Option<ShareCall> {
        let call = self.batcher.on_read(answer, &self.demand(), now);
        self.apply();
        call
    }

    /// The demand now; requests in flight are counted anew.
    fn demand(&self) -> EntityTable<ShareKey, DemandRow> {
        let is_asked = |(_, row): &(&ShareKey, &MeteredRow)| row.is_asked();
        let asked = self.limits.iter().filter(is_asked);
        asked
            .map(|(key, row)| {
                (
                    key.clone(),
                    row.demand(self.batcher.least_wanted(key, row.limit)),
                )
            })
            .collect()
    }

    /// Brings changed shares into force at the meters.
    fn apply(&mut self) {
        for (key, row) in self.limits.iter_mut() {
            let share = self.batcher.local_share(key, row.limit);
            if share != row.share {
                row.share = share;
                row.put_in_force();
            }
        }
    }
}

impl MeteredRow {
    fn new(meter: Arc<UsageMeter>) -> Self {
        Self {
            limit: ShareAmount::default(),
            meter,
            estimate: DemandEstimate::default(),
            share: LocalShare::default(),
        }
    }

    fn is_asked(&self) -> bool {
        let is_allowed = self.limit != ShareAmount::default();
        is_allowed || self.meter.in_flight.used().get() > 0
    }

    fn demand(&self, least: ShareAmount) -> DemandRow {
        DemandRow {
            limit: self.limit,
            wanted: self.estimate.wanted().max(least),
            used: self.meter.in_flight.used(),
        }
    }

    fn put_in_force(&self) {
        let LocalShare {
            floor,
            leased,
            leased_until,
        } = self.share;
        self.meter.rate.set_floor(floor.rate);
        self.meter.rate.set_leased(leased.rate, leased_until);
        self.meter.in_flight.set_floor(floor.in_flight);
        self.meter
            .in_flight
            .set_leased(leased.in_flight, leased_until);
    }
}

fn new_batcher(
    holder: &HolderId,
    settings: ShareSettings,
    has_slot: bool,
    now: Instant,
) -> ShareBatcher {
    let batcher = ShareBatcher::new(holder.clone(), settings, now);
    if has_slot {
        batcher.with_slot()
    } else {
        batcher
    }
}
