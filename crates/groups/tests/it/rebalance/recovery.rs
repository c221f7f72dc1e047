//! Recovery of a coordinator from an incomplete switch of its predecessor.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber, StoreRevision,
};
use amaranthgw_groups::rebalance::{
    ArmedMap, GroupPlacement, OrderReply, PendingOrder, RankOrder, RankView, SwitchDriver, ViewTime,
};
use tokio::time::Instant;
use yare::parameterized;

const RANKS: u16 = 4;
/// The rank beside the predecessor, whose views are old.
const LAGGING_RANK: u16 = 3;
/// Age that views of [`LAGGING_RANK`] can have.
const MAX_AGE: Duration = Duration::from_millis(400);
/// Versions that a coordinator can assign under one fencing token.
const VERSIONS_PER_LEASE: u64 = 4_096;
/// The map of the predecessor, for whose step rank 0 is held.
const ARMED: ArmedMap = ArmedMap {
    version: MapVersion::new(5),
    step: StepNumber::new(10),
};

/// View of a rank that has prepared the predecessor's map.
fn view(rank: u16, armed: Option<ArmedMap>) -> RankView {
    RankView {
        group: "g".parse().expect("group"),
        generation: GroupGeneration::new(1),
        rank: RankId::new(rank),
        size: RANKS,
        is_open: true,
        born: StartMark::new(1),
        step: StepNumber::new(9),
        map: MapVersion::default(),
        prepared: Some(ARMED.version),
        armed,
        held: (rank == 0).then_some(ARMED.step),
        pace_milli: 1_000,
        experts: Vec::new(),
    }
}

/// Lets the driver observe all ranks; the view of [`LAGGING_RANK`] shows it as armed or not.
fn observe(driver: &mut SwitchDriver, lagging: Option<ArmedMap>, max_age: Duration, now: Instant) {
    for rank in 0..RANKS {
        let mut time = ViewTime::new(now);
        let mut armed = None;
        if rank == LAGGING_RANK {
            time = time.with_max_age(max_age);
            armed = lagging;
        }
        driver.observe(view(rank, armed), time, now);
    }
}

fn names(pending: &[PendingOrder]) -> Vec<&'static str> {
    pending.iter().map(|pending| pending.order.name()).collect()
}

/// A driver whose ranks have all taken its fencing token by the time that is returned.
fn fenced_driver(max_age: Duration) -> (SwitchDriver, Instant) {
    let start = Instant::now();
    let mut driver = SwitchDriver::new(RankId::new(1), FencingNumber::new(2), start);
    let mut now = start + Duration::from_millis(500);
    while driver.phase().name() != "fencing" {
        observe(&mut driver, None, max_age, now);
        now += Duration::from_millis(50);
    }
    let pending = driver.pending_orders(now);
    assert_eq!(names(&pending), ["disarm"; RANKS as usize]);
    for order in &pending {
        driver.reply(order, OrderReply::Accepted, now);
    }
    (driver, now)
}

// Guards against MAP: the lagging rank has carried out a late order to arm just before it took the new token. A
// view from before that hid the armed map, and the held rank was let go.
#[parameterized(
    told = { MAX_AGE, &[] },
    untold = { Duration::ZERO, &["go"] },
)]
fn advance_fencing_lagging_view(max_age: Duration, expected: &[&str]) {
    let (mut driver, fenced_at) = fenced_driver(max_age);
    let soon = fenced_at + Duration::from_millis(50);
    observe(&mut driver, None, max_age, soon);
    assert_eq!(names(&driver.pending_orders(soon)), expected);
}

#[test]
fn advance_fencing_current_view_of_lagging_rank() {
    let (mut driver, fenced_at) = fenced_driver(MAX_AGE);
    let later = fenced_at + MAX_AGE + Duration::from_millis(1);
    observe(&mut driver, Some(ARMED), MAX_AGE, later);
    let pending = driver.pending_orders(later);
    assert!(pending.iter().all(|it| it.order == RankOrder::Arm(ARMED)));
    let ranks: Vec<u16> = pending.iter().map(|it| it.rank.get()).collect();
    assert_eq!(ranks, [2, 3]);
}

// A view that arrives late doesn't replace a later one.
#[test]
fn observe_earlier_view() {
    let (mut driver, now) = fenced_driver(MAX_AGE);
    let current = ViewTime::new(now + Duration::from_millis(100));
    driver.observe(view(2, Some(ARMED)), current, now);
    let earlier = ViewTime::new(now + Duration::from_millis(50));
    driver.observe(view(2, None), earlier, now);
    let armed = driver.views().filter(|view| view.armed.is_some()).count();
    assert_eq!(armed, 1);
}

// Guards against MAP: a coordinator that ranks had left for a later one gave its map a version of that one, and
// a rank that had not heard of it took the later one's map of this version for done.
#[test]
fn start_after_later_coordinator() {
    let now = Instant::now();
    let later = FencingNumber::new(3);
    let version = MapVersion::new(later.get() * VERSIONS_PER_LEASE + 1);
    let mut driver = SwitchDriver::new(RankId::new(1), FencingNumber::new(2), now);
    for rank in 0..RANKS {
        let view = RankView {
            prepared: Some(version),
            held: None,
            ..view(rank, None)
        };
        driver.observe(view, ViewTime::new(now), now);
    }
    let placement = Arc::new(GroupPlacement::initial(1, 8, RANKS.into()));
    assert!(!driver.start(placement, Duration::from_millis(100), now));
    assert!(driver.is_superseded());
}

/// View of a rank under map 0 that has prepared `version`, if any.
fn idle_view(rank: u16, prepared: Option<MapVersion>) -> RankView {
    RankView {
        prepared,
        held: None,
        ..view(rank, None)
    }
}

fn observe_idle(driver: &mut SwitchDriver, prepared: Option<MapVersion>, now: Instant) {
    for rank in 0..RANKS {
        driver.observe(idle_view(rank, prepared), ViewTime::new(now), now);
    }
}

/// Accepts all pending orders of a driver and returns their ranks.
fn accept(driver: &mut SwitchDriver, now: Instant) -> Vec<u16> {
    let pending = driver.pending_orders(now);
    for order in &pending {
        driver.reply(order, OrderReply::Accepted, now);
    }
    pending.iter().map(|order| order.rank.get()).collect()
}

/// A driver with the local rank 1 that has held rank 0 and is about to arm all ranks.
fn arming_driver() -> (SwitchDriver, Instant) {
    let start = Instant::now();
    let mut driver = SwitchDriver::new(RankId::new(1), FencingNumber::new(2), start);
    observe_idle(&mut driver, None, start);
    let placement = Arc::new(GroupPlacement::initial(1, 8, RANKS.into()));
    assert!(driver.start(placement, Duration::from_millis(100), start));
    assert_eq!(accept(&mut driver, start), [0, 1, 2, 3]);
    let now = start + Duration::from_millis(100);
    let version = MapVersion::new(2 * VERSIONS_PER_LEASE + 1);
    observe_idle(&mut driver, Some(version), now);
    assert_eq!(driver.phase().name(), "holding");
    assert_eq!(accept(&mut driver, now), [0]);
    assert_eq!(driver.phase().name(), "arming");
    (driver, now)
}

// While the held rank is unarmed, the agent beside it can let the group go if the coordinator freezes.
#[test]
fn pending_orders_arm_held_rank_and_local_rank_last() {
    let (mut driver, now) = arming_driver();
    assert_eq!(accept(&mut driver, now), [2, 3]);
    assert_eq!(accept(&mut driver, now), [0]);
    assert_eq!(accept(&mut driver, now), [1]);
    assert_eq!(driver.phase().name(), "releasing");
}

// The others are disarmed once the local rank is, or once their agents have been told that nothing shows its state.
#[parameterized(
    local_rank_answers = { true },
    local_rank_silent = { false },
)]
fn pending_orders_disarm_local_rank_first(is_answering: bool) {
    let (mut driver, now) = arming_driver();
    accept(&mut driver, now);
    let later = now + Duration::from_secs(1);
    let pending = driver.pending_orders(later);
    assert_eq!(driver.phase().name(), "clearing");
    assert!(
        driver
            .mark(StoreRevision::new(1))
            .fenced_generation
            .is_none()
    );
    let [local] = pending.as_slice() else {
        panic!("{pending:?}");
    };
    assert_eq!(local.rank, RankId::new(1));
    if is_answering {
        driver.reply(local, OrderReply::Accepted, later);
    } else {
        let told_at = later + Duration::from_millis(50);
        observe_idle(&mut driver, None, told_at);
    }
    let others = driver.pending_orders(later + Duration::from_millis(50));
    let others: Vec<u16> = others.iter().map(|order| order.rank.get()).collect();
    assert_eq!(others, [0, 2, 3]);
}

// A rank that has fallen silent could not be armed, so the group isn't held.
#[test]
fn advance_preparing_silent_rank() {
    let start = Instant::now();
    let mut driver = SwitchDriver::new(RankId::new(1), FencingNumber::new(2), start);
    observe_idle(&mut driver, None, start);
    let placement = Arc::new(GroupPlacement::initial(1, 8, RANKS.into()));
    assert!(driver.start(placement, Duration::from_millis(100), start));
    accept(&mut driver, start);
    let version = Some(MapVersion::new(2 * VERSIONS_PER_LEASE + 1));
    let silent_since = start + Duration::from_millis(50);
    driver.observe(
        idle_view(3, version),
        ViewTime::new(silent_since),
        silent_since,
    );
    let now = start + Duration::from_millis(300);
    for rank in 0..RANKS - 1 {
        driver.observe(idle_view(rank, version), ViewTime::new(now), now);
    }
    assert_eq!(driver.phase().name(), "preparing");
    driver.observe(idle_view(3, version), ViewTime::new(now), now);
    assert_eq!(driver.phase().name(), "holding");
}
