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
        entry::measure_ticks()?,
        entry::measure_memory()?,
        sidecar::measure()?,
        config::measure()?,
        wire::measure_messages()?,
        wire::measure_values()?,
        kept::measure(),
    ])
}
