//! Tick times and memory of an entry's tables.

use std::time::Duration;

use amaranthgw_core::TickSchedule;
use amaranthgw_fleet::config::{RelayTopology, RelayVm};
use amaranthgw_fleet::entry::{EntryWorld, entry_schedule};
use amaranthgw_fleet::membership::VmRecord;
use tokio::time::Instant;

use super::worlds::{WorldSize, entry_world, identity, report, vm_records};
use crate::bench::resident::resident_bytes;
use crate::bench::timing::median_us;
use crate::bench::{BenchCell, BenchTable, Result};

/// Sizes of the measured fleets.
const SIZES: [WorldSize; 5] = [
    WorldSize::new(15, 10, 2),
    WorldSize::new(1_000, 10, 23),
    WorldSize::new(1_000, 400, 23),
    WorldSize::new(10_000, 400, 23),
    WorldSize::new(10_000, 3_800, 23),
];
/// Runs of each timed operation.
const REPEATS: u32 = 41;
/// Targets of the small fleet in the memory measurement.
const SMALL_TARGETS: usize = 100;

/// Measures the duration of a tick for each kind of input.
pub(super) fn measure_ticks() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Tick of an entry, in microseconds",
        &[
            "targets",
            "workspaces",
            "services",
            "nothing new",
            "one report",
            "a 40th of the reports",
            "probes of all targets",
            "unchanged VM list",
            "VM list with one change",
            "relay plan",
        ],
    );
    for size in SIZES {
        table.push(tick_row(size)?);
    }
    Ok(table)
}

/// An entry's tables with their schedule and the simulated time of the next tick.
struct TickBench {
    world: EntryWorld,
    schedule: TickSchedule<EntryWorld>,
    now: Instant,
}

fn tick_row(size: WorldSize) -> Result<Vec<BenchCell>> {
    let now = Instant::now();
    let mut bench = TickBench {
        world: entry_world(size, now)?,
        schedule: entry_schedule(),
        now,
    };
    let report_count = (size.targets / 40).max(1);
    let records = vm_records(size)?;
    let idle = bench.time(|_, _| {});
    let one_report = bench.time_reports(1)?;
    let some_reports = bench.time_reports(report_count)?;
    let unchanged_list = bench.time(|world, _| world.inbox.vm_list = Some(records.clone()));
    let changed_list =
        bench.time(|world, index| world.inbox.vm_list = Some(without_one_vm(&records, index)));
    let probes = bench.time_probes();
    let relay = relay_plan_us(&records)?;
    let times = [
        idle,
        one_report,
        some_reports,
        probes,
        unchanged_list,
        changed_list,
        relay,
    ];
    let mut cells = [size.targets, size.workspaces, size.services]
        .map(BenchCell::count)
        .to_vec();
    cells.extend(times.map(BenchCell::Number));
    Ok(cells)
}

impl TickBench {
    /// Median duration of a tick on the input that `prepare` creates, in microseconds.
    ///
    /// Includes the time that `prepare` takes.
    fn time(&mut self, mut prepare: impl FnMut(&mut EntryWorld, u32)) -> f64 {
        median_us(REPEATS, |index| {
            prepare(&mut self.world, index);
            self.schedule.run(&mut self.world, self.now);
            self.world.outbox.clear();
        })
    }

    /// Median duration of a tick with reports of `count` targets, in microseconds.
    fn time_reports(&mut self, count: usize) -> Result<f64> {
        let reports: Result<Vec<_>> = (0..count).map(report).collect();
        let reports = reports?;
        Ok(self.time(|world, _| world.inbox.observations.clone_from(&reports)))
    }

    /// Median duration of a tick in which a probe of every target is due, in microseconds.
    fn time_probes(&mut self) -> f64 {
        let period = self.world.probe_intervals.probe_after + Duration::from_millis(1);
        median_us(REPEATS, |_| {
            self.now += period;
            self.schedule.run(&mut self.world, self.now);
            self.world.outbox.clear();
        })
    }
}

/// Returns the list without one VM, which depends on `index`.
fn without_one_vm(records: &[VmRecord], index: u32) -> Vec<VmRecord> {
    let mut records = records.to_vec();
    let removed = usize::try_from(index).unwrap_or(0) % records.len();
    records.remove(removed);
    records
}

/// Median duration of computing the relay plan of one node, in microseconds.
fn relay_plan_us(records: &[VmRecord]) -> Result<f64> {
    let own = identity()?;
    let vms: Vec<_> = records
        .iter()
        .map(|record| RelayVm {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
        })
        .collect();
    Ok(median_us(REPEATS, |_| {
        drop(std::hint::black_box(RelayTopology::new(
            &own.vm,
            &own.domain,
            &vms,
        )));
    }))
}

/// Measures the resident memory of an entry's tables by fleet size.
pub(super) fn measure_memory() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Memory of an entry's tables with one published snapshot, in bytes",
        &["targets", "workspaces", "services", "copies", "bytes"],
    );
    let sizes = [
        (WorldSize::new(15, 10, 2), 200),
        (WorldSize::new(SMALL_TARGETS, 10, 23), 100),
        (WorldSize::new(1_000, 10, 23), 20),
        (WorldSize::new(10_000, 10, 23), 4),
        (WorldSize::new(15, 400, 23), 8),
        (WorldSize::new(15, 3_800, 23), 3),
        (WorldSize::new(10_000, 3_800, 23), 3),
    ];
    for (size, copies) in sizes {
        table.push(memory_row(size, copies)?);
    }
    Ok(table)
}

fn memory_row(size: WorldSize, copies: u32) -> Result<Vec<BenchCell>> {
    let now = Instant::now();
    entry_world(size, now)?;
    let bytes = resident_bytes(copies, || published_world(size, now));
    let mut cells = [size.targets, size.workspaces, size.services]
        .map(BenchCell::count)
        .to_vec();
    cells.push(BenchCell::Count(copies.into()));
    cells.push(BenchCell::Number(bytes));
    Ok(cells)
}

/// Creates an entry's tables with the route snapshot that its traffic threads would hold.
fn published_world(size: WorldSize, now: Instant) -> Option<EntryWorld> {
    let mut world = entry_world(size, now).ok()?;
    world.needs_snapshot = true;
    entry_schedule().run(&mut world, now);
    Some(world)
}
