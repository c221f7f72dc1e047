//! Systems of a sidecar, one module each.

mod config;
mod drain;
mod evidence;
mod gate;
mod status;

pub(super) use config::ConfigSystem;
pub(super) use drain::DrainSystem;
pub(super) use evidence::EvidenceSystem;
pub(super) use gate::GateSystem;
pub(super) use status::StatusSystem;
