//! Orders to engines: retries, leases, deadlines, fencing, and late orders that overwrite newer
//! ones.

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
    retry_interval: MilliSpan::new(200),
    max_delivery_time: MilliSpan::new(1_000),
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

/// Runs the system at each of the given times and returns the numbers of the sent orders.
fn sent(tables: &mut OrderTables, start: Instant, at_ms: &[u64]) -> Vec<OrderNumber> {
    for millis in at_ms {
        OrderSystem::new(TIMING).run(tables, start + Duration::from_millis(*millis));
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
    tables.record_answer(number, true, now);
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
            highest: new,
            offered: old
        })
    );
}

/// Sends three role orders to an engine that ignores fencing tokens, with the given delays and lost
/// answers. Returns the final role of the engine and the newest ordered role: they differ if a late
/// order overwrites a newer one and the newer one is not sent again.
fn final_role(delays_ms: &[u64], answer_lost: &[bool]) -> (EngineRole, EngineRole) {
    const ORDER_INTERVAL_MS: u64 = 150;
    const TICK_MS: u64 = 10;
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let mut tables = OrderTables::default();
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Both];
    let (mut engine, mut in_flight, mut sent_count) = (EngineRole::Both, Vec::new(), 0);
    for millis in (0..8_000).step_by(usize::try_from(TICK_MS).expect("tick fits usize")) {
        let order_index = usize::try_from(millis / ORDER_INTERVAL_MS).expect("index fits usize");
        if millis % ORDER_INTERVAL_MS == 0 && order_index < roles.len() {
            tables.push(
                row(role(roles[order_index]), at(millis), 60_000, 60_000),
                &TIMING,
            );
        }
        OrderSystem::new(TIMING).run(&mut tables, at(millis));
        for command in tables.outbox.drain(..) {
            let delay = delays_ms[sent_count % delays_ms.len()];
            sent_count += 1;
            in_flight.push((millis + delay, command, sent_count));
        }
        let (arrived, late): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= millis);
        in_flight = late;
        for (_, command, sequence) in arrived {
            if let EngineOrder::ChangeRole { role } = command.order {
                engine = role;
            }
            if !answer_lost[sequence % answer_lost.len()] {
                tables.record_answer(command.number, true, at(millis));
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
