//! What control costs: processor time, memory and bytes by size.

mod config;
mod entry;
mod kept;
mod sidecar;
mod wire;
mod worlds;

use super::{BenchTable, Result};

/// Measures each part of control by itself, without a network.
pub(super) fn measure() -> Result<Vec<BenchTable>> {
    Ok(vec![
        // Memory first, while the process has freed little.
        kept::measure(),
        sidecar::measure()?,
        config::measure()?,
        entry::measure_memory()?,
        entry::measure_ticks()?,
        wire::measure_messages()?,
        wire::measure_values()?,
    ])
}
