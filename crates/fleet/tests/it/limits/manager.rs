use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, SlotCount, StartMark, StoreRevision};
use amaranthgw_fleet::limits::{
    HolderId, LimitRow, LimitTable, MilliRate, ReadReply, ShareAmount, ShareCall, ShareManager,
    ShareSettings, ShareShard, ShareValue, UsageMeter, WriteReply,
};
use tokio::time::Instant;

use super::world::share_key;

const LIMIT: ShareAmount = ShareAmount::new(MilliRate::new(20_000), SlotCount::new(40));
const TICK: Duration = Duration::from_millis(100);

/// Entries that share one limit through a store that answers immediately.
struct ManagerWorld {
    managers: Vec<ShareManager>,
    meters: Vec<Arc<UsageMeter>>,
    store: EntityTable<ShareShard, (StoreRevision, ShareValue)>,
    now: Instant,
    writes: u32,
}

impl ManagerWorld {
    fn new(count: u64) -> Self {
        let now = Instant::now();
        let settings = ShareSettings::new(1).with_floor_percent(0);
        let make = |start: u64| {
            let vm = "entry".parse().expect("valid id");
            ShareManager::new(HolderId::new(vm, StartMark::new(start)), settings, now)
        };
        let mut world = Self {
            managers: (0..count).map(make).collect(),
            meters: (0..count).map(|_| Arc::new(UsageMeter::new(now))).collect(),
            store: EntityTable::new(),
            now,
            writes: 0,
        };
        for index in 0..world.managers.len() {
            world.set_limit(index, LIMIT);
        }
        world
    }

    fn set_limit(&mut self, index: usize, limit: ShareAmount) {
        let meter = Arc::clone(&self.meters[index]);
        let mut limits = LimitTable::new();
        limits.insert(share_key(), LimitRow { limit, meter });
        let calls = self.managers[index].set_limits(&limits, self.now);
        self.answer(index, calls);
    }

    fn run(&mut self, span: Duration, requests_per_tick: &[u32]) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.managers.len() {
                for _ in 0..requests_per_tick.get(index).copied().unwrap_or(0) {
                    drop(self.meters[index].try_admit(self.now));
                }
                let calls = self.managers[index].tick(self.now);
                self.answer(index, calls);
                let total: u64 = (0..self.managers.len()).map(|index| self.rate(index)).sum();
                assert!(
                    total <= LIMIT.rate.get(),
                    "total rate {total} exceeds the limit"
                );
            }
        }
    }

    fn answer(&mut self, index: usize, calls: Vec<(ShareShard, ShareCall)>) {
        for (shard, call) in calls {
            assert_eq!(call, ShareCall::Read);
            let stored = self.store.get(&shard).cloned();
            let (revision, value) = stored.unwrap_or_default();
            let found = ReadReply::Found { revision, value };
            let write = self.managers[index].on_read(shard, found, self.now);
            if let Some(ShareCall::Write { expect, value }) = write {
                assert_eq!(expect, revision);
                self.writes += 1;
                let revision = revision.next();
                self.store.insert(shard, (revision, value));
                let written = WriteReply::Written { revision };
                self.managers[index].on_write(shard, written, self.now);
            }
        }
    }

    fn rate(&self, index: usize) -> u64 {
        self.meters[index].rate.rate(self.now).get()
    }
}

#[yare::parameterized(
    set_limits_two_fresh_entries = { 2 },
    set_limits_ten_fresh_entries = { 10 },
    set_limits_thirty_fresh_entries = { 30 },
)]
fn set_limits_fresh_entries_share_within_a_second(count: u64) {
    let mut world = ManagerWorld::new(count);
    world.run(Duration::from_secs(1), &[]);
    let starved = (0..world.managers.len()).find(|index| world.rate(*index) == 0);
    assert_eq!(starved, None);
    world.run(Duration::from_secs(20), &[]);
    world.writes = 0;
    world.run(Duration::from_mins(1), &[]);
    // Each entry renews 6 times a minute and may write once more.
    let most = u32::try_from(count).expect("few entries") * 7;
    assert!(world.writes <= most, "{} writes while idle", world.writes);
}

/// One entry holds nearly the whole limit. An entry that gets callers later must obtain a share
/// from it instead of waiting for its lease to end.
#[test]
fn tick_late_entry_gets_share_of_a_loaded_one() {
    let mut world = ManagerWorld::new(2);
    world.run(Duration::from_secs(20), &[10]);
    assert!(world.rate(0) >= 19_000, "{}", world.rate(0));
    world.run(Duration::from_secs(10), &[0, 10]);
    assert!(world.rate(1) >= 16_000, "{}", world.rate(1));
}

/// A limit is removed while requests under it are in flight. These must still count, or another
/// entry that keeps the limit admits requests beyond it.
#[test]
fn set_limits_gone_limit_counts_requests_in_flight() {
    let mut world = ManagerWorld::new(2);
    world.run(Duration::from_secs(3), &[]);
    let open: Vec<_> =
        std::iter::from_fn(|| world.meters[0].in_flight.try_enter(world.now).ok()).collect();
    let held = u32::try_from(open.len()).expect("few requests");
    assert!(held > 0);
    world.set_limit(0, ShareAmount::default());
    assert_eq!(world.rate(0), 0);
    assert_eq!(world.meters[0].in_flight.limit(world.now).get(), 0);
    let mut others = Vec::new();
    for _ in 0..10 {
        world.run(Duration::from_secs(1), &[0, 10]);
        others.extend(std::iter::from_fn(|| {
            world.meters[1].in_flight.try_enter(world.now).ok()
        }));
    }
    let total = open.len() + others.len();
    assert!(total <= 40, "{held} and {} in flight", others.len());
}
