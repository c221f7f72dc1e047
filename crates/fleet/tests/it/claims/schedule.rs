//! At most one grant per key under generated schedules of crashes, resends, lost and delayed calls
//! and outages; afterwards every key that must be free can be claimed.

use std::time::Duration;

use proptest::prelude::*;

use super::harness::{BATCHERS, CallFate, CaseResult, GrantUse, Harness, KEYS};

#[derive(Clone, Debug)]
enum Event {
    Submit {
        process: usize,
        key: u8,
        body: u8,
    },
    Settle {
        process: usize,
        fate: CallFate,
    },
    ApplyDelayed,
    DeliverLateReply(usize),
    Use {
        process: usize,
        choice: usize,
        grant_use: GrantUse,
    },
    Crash(usize),
    Advance(u64),
}

fn any_fate() -> impl Strategy<Value = CallFate> {
    prop_oneof![
        8 => Just(CallFate::Answered),
        2 => Just(CallFate::ReplyLost),
        2 => Just(CallFate::Delayed),
        1 => Just(CallFate::Dropped),
        1 => Just(CallFate::Down),
    ]
}

fn any_use() -> impl Strategy<Value = GrantUse> {
    prop_oneof![
        Just(GrantUse::Run),
        Just(GrantUse::Finish),
        Just(GrantUse::Release),
    ]
}

fn any_event() -> impl Strategy<Value = Event> {
    let process = 0..BATCHERS;
    let body = prop_oneof![6 => Just(0_u8), 1 => Just(1_u8)];
    prop_oneof![
        6 => (process.clone(), 0..KEYS, body)
            .prop_map(|(process, key, body)| Event::Submit { process, key, body }),
        12 => (process.clone(), any_fate()).prop_map(|(process, fate)| Event::Settle { process, fate }),
        2 => Just(Event::ApplyDelayed),
        2 => process.clone().prop_map(Event::DeliverLateReply),
        3 => (process.clone(), any::<usize>(), any_use())
            .prop_map(|(process, choice, grant_use)| Event::Use { process, choice, grant_use }),
        1 => process.prop_map(Event::Crash),
        8 => (1..150_u64).prop_map(Event::Advance),
        1 => (10_000..30_000_u64).prop_map(Event::Advance),
    ]
}

fn apply(harness: &mut Harness, event: &Event) -> CaseResult {
    match *event {
        Event::Submit { process, key, body } => harness.submit(process, key, body),
        Event::Settle { process, fate } => harness.settle_call(process, fate),
        Event::DeliverLateReply(process) => harness.deliver_late_reply(process),
        Event::ApplyDelayed => {
            harness.apply_delayed();
            Ok(())
        }
        Event::Use {
            process,
            choice,
            grant_use,
        } => {
            harness.use_grant(process, choice, grant_use);
            Ok(())
        }
        Event::Crash(process) => {
            harness.crash(process);
            Ok(())
        }
        Event::Advance(millis) => {
            harness.now += Duration::from_millis(millis);
            (0..BATCHERS).try_for_each(|process| harness.tick(process))
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_500) })]

    #[test]
    fn claim_at_most_one_grant(events in prop::collection::vec(any_event(), 1..120)) {
        let mut harness = Harness::new();
        for event in &events {
            apply(&mut harness, event)?;
        }
        harness.run_without_faults()?;
        for key in 0..KEYS {
            if harness.must_be_free(key) {
                harness.submit(0, key, 0)?;
                harness.run_without_faults()?;
                prop_assert!(harness.holds_grant(0, key), "key {key} cannot be claimed");
            }
        }
    }
}
