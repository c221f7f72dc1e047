//! Adoption of the newest configuration and VM list.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::sidecar::SidecarWorld;

/// Adopts a newer configuration and the state of this VM from the VM list.
#[derive(Debug)]
pub struct ConfigSystem;

impl TickSystem<SidecarWorld> for ConfigSystem {
    fn name(&self) -> &'static str {
        "config"
    }

    fn run(&mut self, world: &mut SidecarWorld, _now: Instant) {
        let newest = world.inbox.config.take();
        if let Some(config) = newest.filter(|config| config.number > world.config.number) {
            world.config = config;
        }
        let Some(records) = world.inbox.vm_list.take() else {
            return;
        };
        let own_record = records
            .into_iter()
            .find(|record| record.vm == world.identity.vm);
        if let Some(record) = own_record {
            world.vm_state = record.state;
        }
    }
}
