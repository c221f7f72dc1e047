//! Systems of an entry, one module each.

mod budgets;
mod burn;
mod config;
mod membership;
mod meters;
mod observation;
mod outs;
mod probe;
mod snapshot;

pub(super) use budgets::BudgetSystem;
pub(super) use burn::BurnSystem;
pub(super) use config::ConfigSystem;
pub(super) use membership::MembershipSystem;
pub(super) use meters::MeterSystem;
pub(super) use observation::ObservationSystem;
pub(super) use outs::OutsSystem;
pub(super) use probe::ProbeSystem;
pub(super) use snapshot::SnapshotSystem;
