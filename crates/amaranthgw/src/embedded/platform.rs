//! The platform's stand-ins and the targets of an embedded fleet.

use std::net::{Ipv4Addr, SocketAddr};

use amaranthgw_standins::{
    EngineStandin, PlainStandin, RunningStandin, Standin, StoreSettings, StoreStandin,
    VmListSettings, VmListStandin,
};

use super::{FleetShape, Result};

/// A free port on the loopback address.
pub(super) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The platform's stand-ins.
#[derive(Debug)]
pub(super) struct EmbeddedPlatform {
    /// The key-value service.
    pub(super) store: RunningStandin,
    /// The VM list.
    pub(super) vms: RunningStandin,
}

impl EmbeddedPlatform {
    /// Starts the key-value service and the VM list.
    pub(super) fn start() -> Result<Self> {
        let lag = amaranthgw_core::MilliSpan::new(100);
        let vms = VmListStandin::new(VmListSettings::new().with_lag(lag));
        Ok(Self {
            store: StoreStandin::new(StoreSettings::new()).start(ANY_PORT)?,
            vms: vms.start(ANY_PORT)?,
        })
    }
}

/// Starts one engine.
pub(super) fn start_engine(shape: &FleetShape) -> Result<RunningStandin> {
    Ok(EngineStandin::new(shape.engine.clone()).start(ANY_PORT)?)
}

/// Starts one plain service.
pub(super) fn start_plain(shape: &FleetShape) -> Result<RunningStandin> {
    Ok(PlainStandin::new(shape.plain.clone()).start(ANY_PORT)?)
}
