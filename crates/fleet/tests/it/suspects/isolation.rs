//! Choice of the target for a suspect, and isolation under the lease.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount, TargetId};
use amaranthgw_fleet::gate::GateStage;
use amaranthgw_fleet::suspects::{
    IsolationCandidate, IsolationRow, QueuedSuspect, SuspectRefusal, choose_isolation,
};
use tokio::time::Instant;
use yare::parameterized;

use super::merge::fingerprint;

fn target(name: &str) -> TargetId {
    name.parse().expect("valid id")
}

fn candidate(name: &str, in_flight: u32, stage: GateStage) -> IsolationCandidate {
    IsolationCandidate {
        target: target(name),
        in_flight: SlotCount::new(in_flight),
        stage,
    }
}

#[parameterized(
    choose_isolation_least_work = { &[("a", 5, GateStage::Cold), ("b", 1, GateStage::Full)], "b" },
    choose_isolation_early_stage = { &[("a", 1, GateStage::Full), ("b", 1, GateStage::Cold)], "b" },
    choose_isolation_tie_by_id = { &[("b", 1, GateStage::Cold), ("a", 1, GateStage::Cold)], "a" },
)]
fn choose_isolation_target(rows: &[(&str, u32, GateStage)], expected: &str) {
    let rows: Vec<_> = rows
        .iter()
        .map(|row| candidate(row.0, row.1, row.2))
        .collect();
    let chosen = choose_isolation(&rows).expect("a spare target");
    assert_eq!(chosen.target, target(expected));
}

#[test]
fn choose_isolation_only_target() {
    let rows = [candidate("a", 0, GateStage::Full)];
    let only = Some(target("a"));
    assert_eq!(
        choose_isolation(&rows),
        Err(SuspectRefusal::NoSpareTarget { only })
    );
}

#[parameterized(
    start_with_lease = { Some(10), None, Ok(()) },
    start_without_lease = { None, None, Err(SuspectRefusal::NotIsolated) },
    start_short_lease = { Some(4), None, Err(SuspectRefusal::NotIsolated) },
    start_second = { Some(10), Some(2), Err(SuspectRefusal::OtherRunning) },
)]
fn start(
    lease_secs: Option<u64>,
    running: Option<u32>,
    expected: amaranthgw_fleet::suspects::Result<()>,
) {
    let now = Instant::now();
    let latest_end = now + Duration::from_secs(5);
    let mut row = IsolationRow::new();
    if let Some(secs) = lease_secs {
        row.hold_lease(now + Duration::from_secs(secs));
    }
    if let Some(body) = running {
        row.start(fingerprint(body), latest_end, now)
            .expect("first");
    }
    assert_eq!(row.start(fingerprint(1), latest_end, now), expected);
}

#[test]
fn next_suspect_ran_least() {
    let suspect = |body, millis| QueuedSuspect {
        fingerprint: fingerprint(body),
        ran_for: MilliSpan::new(millis),
    };
    let queued = [suspect(1, 900), suspect(2, 30), suspect(3, 400)];
    assert_eq!(IsolationRow::next_suspect(&queued), Some(&queued[1]));
}
