//! Management of all limits that one entry enforces, grouped by shard.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::{
    DemandEstimate, DemandRow, HolderId, LocalShare, ReadReply, ShareAmount, ShareBatcher,
    ShareCall, ShareKey, ShareSettings, ShareShard, UsageMeter, WriteReply,
};

/// Number of stored values over which the workspaces are sharded; it must be the same at all
/// entries.
const SHARD_COUNT: u16 = 8;
/// Interval of the demand samples.
const DEMAND_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Limit of a plan and the meter that enforces this entry's share of it.
#[derive(Clone, Debug)]
pub struct LimitRow {
    /// Amount that the plan allows over all entries; zero once no plan includes the service.
    pub limit: ShareAmount,
    /// Meter that traffic threads use.
    pub meter: Arc<UsageMeter>,
}

/// Limits by workspace and service.
pub type LimitTable = EntityTable<ShareKey, LimitRow>;

/// What the manager keeps for a limit: its meter, demand estimate and applied share.
#[derive(Clone, Debug)]
struct LimitState {
    limit: ShareAmount,
    meter: Arc<UsageMeter>,
    estimate: DemandEstimate,
    /// Share that is applied to the meter.
    share: LocalShare,
}

/// Limits of one shard.
#[derive(Debug)]
struct ShardRow {
    batcher: ShareBatcher,
    limits: EntityTable<ShareKey, LimitState>,
}

/// Negotiates the shares of all shards at one entry and applies them to the meters.
///
/// Apart from the floor of the entry's slot, a meter admits no request until a share is known to be
/// granted. Each method applies changed shares to the meters before it returns the calls, so that
/// no call is sent before its shares are applied. While the key-value service is unavailable the
/// shares stay unchanged until their lease expires. Other entries may then reclaim them, so the
/// meters admit only the floor, or nothing without a slot.
///
/// # Load on the key-value service
///
/// An entry renews its shares with one write per shard and [`ShareSettings::renew_interval`]; by
/// default this is 0.1 writes per second and shard, so 0.8 for an entry with all 8 shards in use.
/// When its share or demand differs from the stored one by more than a tenth, it writes again, at
/// most once per [`ShareSettings::min_cycle_interval`], which is 2 writes per second and shard
/// by default. Conflicts count as writes and lead to backoff. It reads the value once per
/// [`ShareSettings::poll_interval`], 2 reads per second and shard by default, so that entries that
/// hold the whole limit soon see the demand of a new one. Failed calls and conflicts add reads,
/// which are delayed by backoff.
#[derive(Debug)]
pub struct ShareManager {
    holder: HolderId,
    settings: ShareSettings,
    has_slot: bool,
    shards: EntityTable<ShareShard, ShardRow>,
    sampled_at: Instant,
}

impl ShareManager {
    /// Creates the manager of `holder` without limits.
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

    /// Assigns the entry one of the slots among which the fixed part of each limit is divided. Two
    /// running processes must not have the same slot.
    #[must_use]
    pub const fn with_slot(mut self) -> Self {
        self.has_slot = true;
        self
    }

    /// Applies the limits of a configuration and returns the calls to perform.
    ///
    /// Lower limits take effect at the meters immediately. Keep passing a removed limit with a zero
    /// amount until no request under it is in flight, at least once. Otherwise its meter keeps its
    /// last share, and its running requests are no longer counted.
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
            let kept = kept.filter(|kept: &LimitState| Arc::ptr_eq(&kept.meter, &row.meter));
            self.add_limit(key, row, kept, now);
        }
        self.tick(now)
    }

    /// Samples the demand if a sample is due and returns the calls to perform.
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

    /// Handles the result of a read and returns the write that results from it.
    pub fn on_read(
        &mut self,
        shard: ShareShard,
        reply: ReadReply,
        now: Instant,
    ) -> Option<ShareCall> {
        self.shards.get_mut(&shard)?.on_read(reply, now)
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, shard: ShareShard, reply: WriteReply, now: Instant) {
        if let Some(row) = self.shards.get_mut(&shard) {
            row.batcher.on_write(reply, now);
            row.apply();
        }
    }

    fn add_limit(
        &mut self,
        key: &ShareKey,
        row: &LimitRow,
        kept: Option<LimitState>,
        now: Instant,
    ) {
        let shard = ShareShard::with_workspace(&key.workspace, SHARD_COUNT);
        let make = || ShardRow {
            batcher: new_batcher(&self.holder, self.settings, self.has_slot, now),
            limits: EntityTable::new(),
        };
        let shard = self.shards.get_or_insert_with(shard, make);
        let mut state = kept.unwrap_or_else(|| LimitState::new(Arc::clone(&row.meter)));
        state.limit = row.limit;
        shard.limits.insert(key.clone(), state);
    }

    fn sample(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.sampled_at);
        if span < DEMAND_SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        for (_, shard) in self.shards.iter_mut() {
            for (_, row) in shard.limits.iter_mut() {
                let used = row.meter.in_flight.used();
                row.estimate
                    .sample(row.meter.take_request_count(), used, span);
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

    fn on_read(&mut self, reply: ReadReply, now: Instant) -> Option<ShareCall> {
        let call = self.batcher.on_read(reply, &self.demand(), now);
        self.apply();
        call
    }

    /// Current demand, with the requests in flight counted at the time of the call.
    fn demand(&self) -> EntityTable<ShareKey, DemandRow> {
        let is_active = |(_, row): &(&ShareKey, &LimitState)| row.is_active();
        let active = self.limits.iter().filter(is_active);
        active
            .map(|(key, row)| {
                (
                    key.clone(),
                    row.demand(self.batcher.min_demand(key, row.limit)),
                )
            })
            .collect()
    }

    /// Applies changed shares to the meters.
    fn apply(&mut self) {
        for (key, row) in self.limits.iter_mut() {
            let share = self.batcher.local_share(key, row.limit);
            if share != row.share {
                row.share = share;
                row.update_meter();
            }
        }
    }
}

impl LimitState {
    fn new(meter: Arc<UsageMeter>) -> Self {
        Self {
            limit: ShareAmount::default(),
            meter,
            estimate: DemandEstimate::default(),
            share: LocalShare::default(),
        }
    }

    fn is_active(&self) -> bool {
        let is_allowed = self.limit != ShareAmount::default();
        is_allowed || self.meter.in_flight.used().get() > 0
    }

    fn demand(&self, min_demand: ShareAmount) -> DemandRow {
        DemandRow {
            limit: self.limit,
            demand: self.estimate.demand().max(min_demand),
            used: self.meter.in_flight.used(),
        }
    }

    fn update_meter(&self) {
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
