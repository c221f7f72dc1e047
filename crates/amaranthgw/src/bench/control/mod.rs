//! Cost of the control threads by fleet size: processor time, memory and message sizes.

mod config;
mod entry;
mod reporting;
mod sidecar;
mod wire;
mod worlds;

use super::{BenchTable, Result};

/// Measures each part of the control threads in isolation, without a network.
pub(super) fn measure() -> Result<Vec<BenchTable>> {
    Ok(vec![
        // Memory comes first: memory freed by earlier steps would be reused and not be counted.
        reporting::measure(),
        sidecar::measure()?,
        config::measure()?,
        entry::measure_memory()?,
        entry::measure_ticks()?,
        wire::measure_messages()?,
        wire::measure_values()?,
    ])
}
