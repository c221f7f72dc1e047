//! Stand-ins for the platform services and the targets of an embedded fleet.

use std::net::{Ipv4Addr, SocketAddr};

use amaranthgw_standins::{
    EngineStandin, PlainStandin, RunningStandin, Standin, StoreSettings, StoreStandin,
    VmListSettings, VmListStandin,
};

use super::{FleetSpec, Result};

/// Loopback address with port 0, which lets the system choose a free port.
pub(super) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Running stand-ins for the platform services.
#[derive(Debug)]
pub(super) struct EmbeddedPlatform {
    /// The key-value service.
    pub(super) store: RunningStandin,
    /// The VM list service.
    pub(super) vm_list: RunningStandin,
}

impl EmbeddedPlatform {
    /// Starts the key-value service and the VM list service.
    pub(super) fn start() -> Result<Self> {
        let lag = amaranthgw_core::MilliSpan::new(100);
        let vm_list = VmListStandin::new(VmListSettings::new().with_lag(lag));
        Ok(Self {
            store: StoreStandin::new(StoreSettings::new()).start(ANY_PORT)?,
            vm_list: vm_list.start(ANY_PORT)?,
        })
    }
}

/// Starts an engine with the settings of `spec`.
pub(super) fn start_engine(spec: &FleetSpec) -> Result<RunningStandin> {
    Ok(EngineStandin::new(spec.engine.clone()).start(ANY_PORT)?)
}

/// Starts a plain service with the settings of `spec`.
pub(super) fn start_plain(spec: &FleetSpec) -> Result<RunningStandin> {
    Ok(PlainStandin::new(spec.plain.clone()).start(ANY_PORT)?)
}
