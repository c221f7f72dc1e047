//! Adoption of the newest configuration.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::entry::EntryWorld;

/// Adopts a newer configuration; an older one is ignored.
#[derive(Debug)]
pub struct ConfigSystem;

impl TickSystem<EntryWorld> for ConfigSystem {
    fn name(&self) -> &'static str {
        "config"
    }

    fn run(&mut self, world: &mut EntryWorld, _now: Instant) {
        let Some(config) = world.inbox.config.take() else {
            return;
        };
        if config.number <= world.config.number {
            return;
        }
        world.config = config;
        world.needs_snapshot = true;
    }
}
