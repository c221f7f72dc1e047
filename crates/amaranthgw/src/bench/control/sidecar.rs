//! Tick times and memory of a sidecar's tables.

use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark, TargetId};
use amaranthgw_fleet::gate::{AnswerEvidence, GateEvidence, GateRow, GateSettings, LoadEvidence};
use amaranthgw_fleet::routing::ServiceKind;
use amaranthgw_fleet::sidecar::{
    ServedTarget, ServedTargetRow, SidecarWorld, TargetEvidence, TargetUpdate, sidecar_schedule,
};
use tokio::time::Instant;

use super::worlds::{WorldSize, identity, parse_id, service_name, target_id, vm_records};
use crate::bench::resident::resident_bytes;
use crate::bench::timing::median_us;
use crate::bench::{BenchCell, BenchTable, Result};

/// Runs of each timed operation.
const REPEATS: u32 = 201;
/// Copies of the tables in the memory measurement.
const MEMORY_COPIES: u32 = 4_000;
/// Numbers of answers that arrived since the last tick.
const ANSWER_COUNTS: [usize; 3] = [0, 16, 256];
/// Numbers of targets in the VM list that the sidecar receives.
const VM_LIST_TARGETS: [usize; 3] = [15, 1_000, 10_000];

/// Measures the memory of the tables and the duration of a tick for each kind of input.
pub(super) fn measure() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Sidecar with one target",
        &["what", "size", "value", "unit"],
    );
    let bytes = resident_bytes(MEMORY_COPIES, || world(Instant::now()).ok());
    table.push(row("tables", 1, bytes, "bytes"));
    for answers in ANSWER_COUNTS {
        table.push(row("tick with answers", answers, tick_us(answers)?, "us"));
    }
    for targets in VM_LIST_TARGETS {
        table.push(row(
            "tick with a VM list",
            targets,
            vm_list_us(targets)?,
            "us",
        ));
    }
    Ok(table)
}

fn row(what: &str, size: usize, value: f64, unit: &str) -> Vec<BenchCell> {
    vec![
        BenchCell::text(what),
        BenchCell::count(size),
        BenchCell::Number(value),
        BenchCell::text(unit),
    ]
}

fn world(now: Instant) -> Result<SidecarWorld> {
    let served = ServedTarget {
        target: target_id(0)?,
        service: parse_id(&service_name(0))?,
        kind: ServiceKind::Model,
    };
    let entry = ServedTargetRow::new(served, GateRow::new(GateSettings::default(), now));
    Ok(SidecarWorld::new(identity()?).with_target(entry))
}

/// Median duration of a tick with `answers` answers and one load report, in microseconds.
fn tick_us(answers: usize) -> Result<f64> {
    let mut now = Instant::now();
    let mut world = world(now)?;
    let mut schedule = sidecar_schedule();
    let target = target_id(0)?;
    Ok(median_us(REPEATS, |_| {
        now += Duration::from_millis(50);
        let answers = (0..answers).map(|_| evidence(&target, answer(now)));
        let load = evidence(&target, load(now));
        world.inbox.evidence = answers.chain([load]).collect();
        schedule.run(&mut world, now);
        world.outbox.clear();
    }))
}

/// Median duration of a tick with a VM list of `targets` targets, in microseconds.
fn vm_list_us(targets: usize) -> Result<f64> {
    let now = Instant::now();
    let mut world = world(now)?;
    let mut schedule = sidecar_schedule();
    let records = vm_records(WorldSize::new(targets, 0, 23))?;
    Ok(median_us(REPEATS, |_| {
        world.inbox.vm_list = Some(records.clone());
        schedule.run(&mut world, now);
        world.outbox.clear();
    }))
}

fn evidence(target: &TargetId, evidence: GateEvidence) -> TargetEvidence {
    TargetEvidence {
        target: target.clone(),
        update: TargetUpdate::Evidence(evidence),
    }
}

fn answer(now: Instant) -> GateEvidence {
    GateEvidence::Answer(AnswerEvidence {
        admitted_at: now,
        in_flight: SlotCount::new(4),
        first_chunk: Duration::from_millis(60),
        is_in_time: true,
    })
}

fn load(now: Instant) -> GateEvidence {
    GateEvidence::Load(LoadEvidence {
        mark: StartMark::new(7),
        in_flight: SlotCount::new(4),
        sampled_at: now,
    })
}
