//! Overhead of entry and sidecar: latency at low load and processor time at saturation.

mod low_load;
mod saturation;

use amaranthgw_core::{MilliSpan, SlotCount};
use amaranthgw_standins::{EngineSettings, PlainSettings};

use super::lists::unlimited_lists;
use super::{BenchEffort, BenchTable, Result};
use crate::embedded::{EmbeddedFleet, FleetSpec};

/// The only failure domain of the fleet.
const DOMAIN: &str = "tartu-a";
/// Limit of every gate and engine, higher than the number of calls in flight.
const SLOTS: SlotCount = SlotCount::new(512);

/// Measures a fleet of one entry, one engine and one plain service.
pub(super) async fn measure(effort: BenchEffort) -> Result<Vec<BenchTable>> {
    let fleet = EmbeddedFleet::start(spec(), &unlimited_lists()?).await?;
    let tables = vec![
        low_load::measure(&fleet, effort).await?,
        saturation::measure(&fleet, effort).await?,
    ];
    tokio::task::block_in_place(|| fleet.stop())?;
    Ok(tables)
}

fn spec() -> FleetSpec {
    let engine = EngineSettings::new()
        .with_cold_slots(SLOTS)
        .with_warm_slots(SLOTS)
        .with_token_span(MilliSpan::new(1))
        .with_prefill_span(MilliSpan::new(1))
        .with_cached_prefill_span(MilliSpan::new(1));
    FleetSpec::new(vec![DOMAIN])
        .with_targets(1, 1)
        .with_engine(engine)
        .with_plain(PlainSettings::new().with_call_span(MilliSpan::new(0)))
        .with_limits(SLOTS, SLOTS)
}
