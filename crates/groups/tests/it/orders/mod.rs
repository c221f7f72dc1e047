use std::time::Duration;

use amaranthgw_core::{FencingNumber, MilliSpan, ModelId, TargetId, TickSystem};
use amaranthgw_groups::agreement::LeaseGuard;
use amaranthgw_groups::orders::{
    EngineOrder, EngineRole, OrderError, OrderFence, OrderNumber, OrderRow, OrderState,
    OrderSystem, OrderTables, OrderTiming,
};
use proptest::prelude::*;
use tokio::time::Instant;

const TIMING: OrderTiming = OrderTiming {
    retry: MilliSpan::new(200),
    lateness: MilliSpan::new(1_000),
};

fn role(role: EngineRole) -> EngineOrder {
    EngineOrder::ChangeRole { role }
}

fn row(order: EngineOrder, now: Instant, ttl_ms: u64, deadline_ms: u64) -> OrderRow {
    let target: TargetId = "draft-llm/1".parse().expect("valid id");
    let ttl = MilliSpan::new(ttl_ms);
    let lease = LeaseGuard::new(FencingNumber::new(4), now, ttl, MilliSpan::new(500));
    OrderRow::new(
        target,
        order,
        lease,
        now + Duration::from_millis(deadline_ms),
    )
}

/// Runs the system at each time and returns the numbers of the orders it sent.
fn sent(tables: &mut OrderTables, began: Instant, at_ms: &[u64]) -> Vec<OrderNumber> {
    for millis in at_ms {
        OrderSystem::new(TIMING).run(tables, began + Duration::from_millis(*millis));
    }
    tables
        .outbox
        .drain(..)
        .map(|command| command.number)
        .collect()
}

#[test]
fn run_retries_until_answer() {
    let now = Instant::now();
    let mut tables = OrderTables::default();
    let number = tables.push(row(role(EngineRole::Both), now, 60_000, 30_000), &TIMING);
    assert_eq!(
        sent(&mut tables, now, &[0, 100, 200, 300]),
        [number, number]
    );
    tables.answer(number, true, now);
    assert_eq!(sent(&mut tables, now, &[400, 600]), []);
    assert_eq!(tables.state(number), Some(OrderState::Done));
    tables.remove_final(&TIMING, now + Duration::from_millis(1_199));
    assert_eq!(tables.state(number), Some(OrderState::Done));
    tables.remove_final(&TIMING, now + Duration::from_millis(1_200));
    assert_eq!(tables.state(number), None);
}

#[test]
fn run_lapsed_lease() {
    let now = Instant::now();
    let mut tables = OrderTables::default();
    let number = tables.push(row(role(EngineRole::Both), now, 1_000, 30_000), &TIMING);
    assert_eq!(sent(&mut tables, now, &[499]), [number]);
    assert_eq!(sent(&mut tables, now, &[700]), []);
    assert_eq!(tables.state(number), Some(OrderState::Lapsed));
}

#[test]
fn run_past_deadline() {
    let now = Instant::now();
    let mut tables = OrderTables::default();
    let number = tables.push(row(role(EngineRole::Both), now, 60_000, 150), &TIMING);
    assert_eq!(sent(&mut tables, now, &[0, 200]), [number]);
    assert_eq!(tables.state(number), Some(OrderState::Expired));
}

#[test]
fn push_other_slot_stays() {
    let now = Instant::now();
    let mut tables = OrderTables::default();
    let model: ModelId = "mime-2".parse().expect("valid id");
    let load = EngineOrder::LoadVersion { model };
    let first = tables.push(row(load, now, 60_000, 30_000), &TIMING);
    let second = tables.push(row(role(EngineRole::Both), now, 60_000, 30_000), &TIMING);
    assert_eq!(sent(&mut tables, now, &[0]), [first, second]);
}

#[test]
fn admit_old_fencing() {
    let mut fence = OrderFence::new();
    let (old, new) = (FencingNumber::new(3), FencingNumber::new(4));
    assert_eq!(fence.admit(new), Ok(()));
    assert_eq!(fence.admit(new), Ok(()));
    assert_eq!(
        fence.admit(old),
        Err(OrderError::OldFencing {
            held: new,
            offered: old
        })
    );
}

/// An engine that ignores fencing numbers ends in the newest role, however late older ones come.
fn final_role(delays_ms: &[u64], answer_lost: &[bool]) -> (EngineRole, EngineRole) {
    const PAUSE_MS: u64 = 150;
    const STEP_MS: u64 = 10;
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let mut tables = OrderTables::default();
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Both];
    let (mut engine, mut under_way, mut sendings) = (EngineRole::Both, Vec::new(), 0);
    for millis in (0..8_000).step_by(usize::try_from(STEP_MS).expect("small")) {
        let wanted = usize::try_from(millis / PAUSE_MS).expect("small");
        if millis % PAUSE_MS == 0 && wanted < roles.len() {
            tables.push(
                row(role(roles[wanted]), at(millis), 60_000, 60_000),
                &TIMING,
            );
        }
        OrderSystem::new(TIMING).run(&mut tables, at(millis));
        for command in tables.outbox.drain(..) {
            let delay = delays_ms[sendings % delays_ms.len()];
            sendings += 1;
            under_way.push((millis + delay, command, sendings));
        }
        let (arrived, late): (Vec<_>, Vec<_>) = under_way
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= millis);
        under_way = late;
        for (_, command, sending) in arrived {
            if let EngineOrder::ChangeRole { role } = command.order {
                engine = role;
            }
            if !answer_lost[sending % answer_lost.len()] {
                tables.answer(command.number, true, at(millis));
            }
        }
    }
    (engine, roles[2])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn run_late_orders(
        delays_ms in prop::collection::vec(0_u64..950, 1..12),
        mut answer_lost in prop::collection::vec(any::<bool>(), 1..6),
    ) {
        answer_lost.push(false);
        let (engine, newest) = final_role(&delays_ms, &answer_lost);
        prop_assert_eq!(engine, newest);
    }
}
