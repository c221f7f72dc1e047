//! Shows the whole system at work within one process.

mod checks;
mod story;

use tokio::runtime::Builder;

use crate::embedded::Result;

/// Runs the demo, prints what happened and tells whether every promise it checks held.
///
/// # Errors
///
/// Returns an [`EmbeddedError`](crate::embedded::EmbeddedError) where the fleet can't be started
/// or driven.
pub fn run_demo() -> Result<bool> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.map_err(|source| crate::runtime::RuntimeError::Thread { source })?;
    runtime.block_on(story::tell())
}
