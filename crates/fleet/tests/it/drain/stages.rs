use std::time::Duration;

use amaranthgw_core::{ChangeNumber, MilliSpan, SlotCount};
use amaranthgw_fleet::drain::{
    DrainCause, DrainRefusal, DrainRow, DrainSettings, DrainSignals, DrainTransition, VmListing,
};
use amaranthgw_fleet::gate::NotRunCause;
use tokio::time::Instant;

const SERVING: DrainSignals = DrainSignals {
    change: ChangeNumber::new(4),
    is_out: false,
    vm: VmListing::Live,
    is_terminating: false,
};

#[test]
fn observe_out_then_back() {
    let now = Instant::now();
    let mut row = DrainRow::new(DrainSettings::default(), SERVING, now);
    let change = ChangeNumber::new(5);
    let out = DrainSignals {
        change,
        is_out: true,
        ..SERVING
    };
    let cause = DrainCause::TakenOut;
    let in_flight = SlotCount::new(2);
    assert_eq!(
        row.observe(out, in_flight, now),
        DrainTransition::Began { cause, in_flight }
    );
    let refusal = DrainRefusal { cause, change };
    assert_eq!(row.admit(now), Err(refusal));
    assert_eq!(refusal.proof().cause(), NotRunCause::RefusedBySidecar);
    assert_eq!(
        row.observe(out, SlotCount::new(1), now),
        DrainTransition::Unchanged
    );
    assert_eq!(
        row.observe(out, SlotCount::new(0), now),
        DrainTransition::Emptied { cause }
    );
    let old = DrainSignals {
        change: ChangeNumber::new(4),
        ..SERVING
    };
    assert_eq!(
        row.observe(old, SlotCount::new(0), now),
        DrainTransition::Unchanged
    );
    let back = DrainSignals {
        change: ChangeNumber::new(6),
        ..SERVING
    };
    assert_eq!(
        row.observe(back, SlotCount::new(0), now),
        DrainTransition::Returned
    );
    assert_eq!(row.admit(now), Ok(()));
}

/// A terminating entry must report not ready at once, but accept requests until the load balancer
/// has noticed.
#[test]
fn observe_entry_lingers() {
    let now = Instant::now();
    let linger = MilliSpan::new(2_000);
    let settings = DrainSettings {
        linger,
        ..DrainSettings::default()
    };
    let mut row = DrainRow::new(settings, SERVING, now);
    let ending = DrainSignals {
        is_terminating: true,
        ..SERVING
    };
    let none = SlotCount::new(0);
    let cause = DrainCause::Terminating;
    row.observe(ending, none, now);
    assert!(!row.is_ready());
    assert_eq!(row.admit(now), Ok(()));
    assert_eq!(row.observe(ending, none, now), DrainTransition::Unchanged);
    let later = now + Duration::from_secs(2);
    row.admit(later).expect_err("the linger time is over");
    assert_eq!(
        row.observe(ending, SlotCount::new(1), later),
        DrainTransition::Unchanged
    );
    assert_eq!(
        row.observe(ending, none, later),
        DrainTransition::Emptied { cause }
    );
}

/// The return time restarts when the VM list no longer contains the VM; without that, two short
/// live periods around a gap would count as one.
#[test]
fn observe_vm_back_after_gap() {
    let now = Instant::now();
    let mut row = DrainRow::new(DrainSettings::default(), SERVING, now);
    let none = SlotCount::new(0);
    let mut observe = |vm, secs| {
        let signals = DrainSignals { vm, ..SERVING };
        row.observe(signals, none, now + Duration::from_secs(secs))
    };
    observe(VmListing::Leaving, 0);
    observe(VmListing::Live, 1);
    observe(VmListing::Unknown, 9);
    assert_ne!(observe(VmListing::Live, 12), DrainTransition::Returned);
    assert_eq!(observe(VmListing::Live, 22), DrainTransition::Returned);
}
