use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranthgw_core::SlotCount;
use amaranthgw_fleet::gate::{
    AdmissionSlots, GateRow, GateSettings, NotRunCause, NotRunProof, RefusalReason, publish_gate,
};
use tokio::time::Instant;

#[test]
fn try_admit_many_threads() {
    const LIMIT: u32 = 5;
    let slots = AdmissionSlots::new(SlotCount::new(2));
    slots.publish(SlotCount::new(LIMIT), slots.connection_failures());
    let running = AtomicU32::new(0);
    let admitted = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    let Ok(permit) = slots.try_admit() else {
                        continue;
                    };
                    let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
                    assert!(
                        now_running <= LIMIT,
                        "{now_running} requests are running, limit {LIMIT}"
                    );
                    admitted.fetch_add(1, Ordering::Relaxed);
                    running.fetch_sub(1, Ordering::SeqCst);
                    permit.finish();
                }
            });
        }
    });
    assert!(admitted.into_inner() > 0);
    assert_eq!(slots.in_flight(), SlotCount::new(0));
}

/// Abandoned calls never end here. While the control thread publishes, running and abandoned calls
/// together must not exceed the limit.
#[test]
fn publish_gate_many_threads() {
    for _ in 0..1_000 {
        publish_while_threads_abandon();
    }
}

fn publish_while_threads_abandon() {
    const LIMIT: u32 = 2;
    let now = Instant::now();
    let settings = GateSettings {
        cold_limit: SlotCount::new(LIMIT),
        ..GateSettings::default()
    };
    let slots = AdmissionSlots::new(settings.cold_limit);
    // Created longer ago than the settle time, so that the first publication begins admission.
    let mut row = GateRow::new(settings, now - Duration::from_hours(1));
    let mut seen_failures = slots.connection_failures();
    publish_gate(&mut row, &slots, &mut seen_failures, now);
    let running = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for round in 0..200 {
                    let Ok(permit) = slots.try_admit() else {
                        continue;
                    };
                    let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
                    assert!(
                        now_running <= LIMIT,
                        "{now_running} requests are running, limit {LIMIT}"
                    );
                    if round == 100 {
                        drop(permit);
                        continue;
                    }
                    running.fetch_sub(1, Ordering::SeqCst);
                    permit.finish();
                }
            });
        }
        for _ in 0..200 {
            publish_gate(&mut row, &slots, &mut seen_failures, now);
        }
    });
    publish_gate(&mut row, &slots, &mut seen_failures, now);
    assert_eq!(row.abandoned().get(), running.into_inner());
    assert_eq!(slots.in_flight(), SlotCount::new(0));
}

#[test]
fn publish_after_unseen_connection_failure() {
    let slots = AdmissionSlots::new(SlotCount::new(2));
    let seen_failures = slots.connection_failures();
    slots.publish(SlotCount::new(9), seen_failures);
    slots.record_connection_failure();
    slots.publish(SlotCount::new(9), seen_failures);
    assert_eq!(slots.limit(), SlotCount::new(2));
    slots.publish(SlotCount::new(9), slots.connection_failures());
    assert_eq!(slots.limit(), SlotCount::new(9));
}

#[test]
fn try_admit_alone_excludes_others() {
    let slots = AdmissionSlots::new(SlotCount::new(2));
    slots.publish(SlotCount::new(9), slots.connection_failures());
    let ordinary = slots.try_admit().expect("a free slot");
    slots.reserve_alone();
    let reason = |slots: &Arc<AdmissionSlots>| slots.try_admit().expect_err("reserved").reason();
    assert_eq!(reason(&slots), RefusalReason::Alone);
    let refusal = slots
        .try_admit_alone()
        .expect_err("an ordinary request is running");
    assert_eq!(refusal.reason(), RefusalReason::NotEmpty);
    let proof = NotRunProof::from(refusal);
    assert_eq!(proof.cause(), NotRunCause::Gate(RefusalReason::NotEmpty));
    ordinary.finish();
    let suspect = slots.try_admit_alone().expect("an idle target");
    assert_eq!(reason(&slots), RefusalReason::Alone);
    slots
        .try_admit_alone()
        .expect_err("a suspect request is running");
    suspect.finish();
    slots.end_alone();
    slots
        .try_admit()
        .expect("the reservation has ended")
        .finish();
}

#[test]
fn try_admit_alone_with_abandoned_call() {
    let start = Instant::now();
    let settings = GateSettings::default();
    let settled = start + settings.settle_time.duration();
    let slots = AdmissionSlots::new(settings.cold_limit);
    let mut row = GateRow::new(settings.clone(), start);
    let mut seen_failures = slots.connection_failures();
    publish_gate(&mut row, &slots, &mut seen_failures, settled);
    drop(slots.try_admit().expect("a free slot"));
    slots.reserve_alone();
    publish_gate(&mut row, &slots, &mut seen_failures, settled);
    assert_eq!(slots.in_flight(), SlotCount::new(0));
    let refusal = slots
        .try_admit_alone()
        .expect_err("the abandoned call may still be running");
    assert_eq!(refusal.reason(), RefusalReason::NotEmpty);
    let later = settled + settings.settle_time.duration();
    publish_gate(&mut row, &slots, &mut seen_failures, later);
    slots.try_admit_alone().expect("an idle target").finish();
}
