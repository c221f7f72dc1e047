//! Benchmarks of the system on one machine, reported as tables or JSON.
//!
//! `hops` and `move` measure embedded fleets. `control` measures the tables and systems of the
//! control threads in isolation, without a network.

mod control;
mod error;
mod hops;
mod kind;
mod lists;
mod machine;
mod movement;
mod report;
mod resident;
mod timing;

use tokio::runtime::Builder;

pub use error::{BenchError, Result};
pub use kind::{BenchEffort, BenchKind};
pub use machine::MachineInfo;
pub use report::{BenchCell, BenchReport, BenchTable};

/// Seed of the random number generator.
const SEED: u64 = 20_000;
/// Threads of the runtime that runs the callers and the stand-ins.
const CALLER_THREADS: usize = 4;

/// Runs the benchmark `kind`; `effort` affects only [`BenchKind::Hops`].
///
/// # Errors
///
/// Returns a [`BenchError`] if a fleet can't be started or controlled, or the generated input is
/// invalid.
pub fn run_bench(kind: BenchKind, effort: BenchEffort) -> Result<BenchReport> {
    fastrand::seed(SEED);
    let tables = match kind {
        BenchKind::Control => control::measure()?,
        BenchKind::Hops => caller_runtime()?.block_on(hops::measure(effort))?,
        BenchKind::Move => caller_runtime()?.block_on(movement::measure())?,
    };
    Ok(BenchReport {
        bench: kind,
        seed: SEED,
        machine: MachineInfo::read(),
        tables,
    })
}

fn caller_runtime() -> Result<tokio::runtime::Runtime> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .thread_name("callers")
        .enable_all()
        .build();
    runtime.map_err(|source| BenchError::Runtime { source })
}
