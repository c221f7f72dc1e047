use std::collections::BTreeSet;
use std::time::Duration;

use amaranthgw_fleet::gate::{
    QueueRow, QueueSettings, QueueTable, TicketNumber, enqueue, take_next,
};
use proptest::prelude::*;
use tokio::time::Instant;

const SETTINGS: QueueSettings = QueueSettings {
    capacity: 6,
    slot_interval: Duration::from_millis(100),
};

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { slack_ms: u64, refund_weight: u32 },
    SlotFree,
    Advance(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..1_500_u64, 1..5_u32)
            .prop_map(|(slack_ms, refund_weight)| Event::Arrive { slack_ms, refund_weight }),
        2 => Just(Event::SlotFree),
        2 => (1..200_u64).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn enqueue_one_outcome_each(events in prop::collection::vec(any_event(), 1..80)) {
        let mut now = Instant::now();
        let mut table = QueueTable::new();
        let mut arrived = std::collections::BTreeMap::new();
        let mut ended = BTreeSet::new();
        let mut ticket = TicketNumber::default();
        for event in events {
            match event {
                Event::Advance(millis) => now += Duration::from_millis(millis),
                Event::Arrive { slack_ms, refund_weight } => {
                    ticket = ticket.next();
                    let start_by = now + Duration::from_millis(slack_ms);
                    let row = QueueRow { start_by, refund_weight };
                    arrived.insert(ticket, row);
                    for refusal in enqueue(&mut table, ticket, row, &SETTINGS, now) {
                        prop_assert!(ended.insert(refusal.ticket));
                        prop_assert!(!table.contains(&refusal.ticket));
                    }
                    prop_assert!(table.len() <= SETTINGS.capacity);
                }
                Event::SlotFree => {
                    let selection = take_next(&mut table, now);
                    for refusal in &selection.refused {
                        prop_assert!(ended.insert(refusal.ticket));
                    }
                    if let Some(admitted) = selection.admitted {
                        prop_assert!(ended.insert(admitted));
                        prop_assert!(now <= arrived[&admitted].start_by);
                    }
                }
            }
        }
        prop_assert_eq!(ended.len() + table.len(), arrived.len());
    }

    #[test]
    fn enqueue_refuses_cheapest(weights in prop::collection::vec(1..9_u32, 1..30)) {
        let now = Instant::now();
        let start_by = now + Duration::from_secs(10);
        let mut table = QueueTable::new();
        let mut ticket = TicketNumber::default();
        for refund_weight in &weights {
            ticket = ticket.next();
            let row = QueueRow { start_by, refund_weight: *refund_weight };
            enqueue(&mut table, ticket, row, &SETTINGS, now);
        }
        let mut kept: Vec<_> = table.rows().map(|row| row.refund_weight).collect();
        let mut costliest = weights;
        kept.sort_unstable_by(|a, b| b.cmp(a));
        costliest.sort_unstable_by(|a, b| b.cmp(a));
        costliest.truncate(SETTINGS.capacity);
        prop_assert_eq!(kept, costliest);
    }
}

#[test]
fn enqueue_unreachable_deadline_refuses_cheapest() {
    let now = Instant::now();
    let mut table = QueueTable::new();
    let row = |slack_ms, refund_weight| QueueRow {
        start_by: now + Duration::from_millis(slack_ms),
        refund_weight,
    };
    let tickets = [1, 2, 3].map(TicketNumber::new);
    assert!(enqueue(&mut table, tickets[0], row(50, 1), &SETTINGS, now).is_empty());
    assert!(enqueue(&mut table, tickets[1], row(120, 5), &SETTINGS, now).is_empty());
    let refused = enqueue(&mut table, tickets[2], row(130, 9), &SETTINGS, now);
    assert_eq!(
        refused.len(),
        1,
        "three starts 100 ms apart do not fit into 130 ms"
    );
    assert_eq!(
        refused[0].ticket, tickets[0],
        "the request with the smallest refund weight is refused"
    );
    assert_eq!(take_next(&mut table, now).admitted, Some(tickets[1]));
}
