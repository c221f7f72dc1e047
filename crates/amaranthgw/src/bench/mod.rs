//! Measurements of the system on one machine, as tables or JSON.
//!
//! Latency, processor time and service are measured on embedded fleets; the costs of control are
//! measured on the tables and systems themselves, without a network.

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

/// Seed of every random choice.
const SEED: u64 = 20_000;
/// Threads that the callers and the stand-ins share.
const CALLER_THREADS: usize = 4;

/// Measures `kind`; `effort` bears on the calls of `hops` alone.
///
/// # Errors
///
/// Returns a [`BenchError`] where a fleet can't be started or driven, or the machine can't be
/// asked for its processor time.
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
