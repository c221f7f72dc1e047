//! Demo of a complete fleet in one process, with checks of the service's guarantees.

mod checks;
mod scenario;

use tokio::runtime::Builder;

use crate::embedded::Result;

/// Runs the demo, prints its progress and returns whether every checked guarantee held.
///
/// # Errors
///
/// Returns an [`EmbeddedError`](crate::embedded::EmbeddedError) if the fleet can't be started
/// or controlled.
pub fn run_demo() -> Result<bool> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|source| crate::runtime::RuntimeError::Thread { source })?;
    runtime.block_on(scenario::run())
}
