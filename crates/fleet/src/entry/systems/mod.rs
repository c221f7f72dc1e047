//! Systems of an entry, one module each.

mod budgets;
mod burn;
mod config;
mod membership;
mod meters;
mod observation;
mod probe;
mod snapshot;
mod taken_out;

pub(super) use budgets::BudgetSystem;
pub(super) use burn::BurnSystem;
pub(super) use config::ConfigSystem;
pub(super) use membership::MembershipSystem;
pub(super) use meters::MeterSystem;
pub(super) use observation::ObservationSystem;
pub(super) use probe::ProbeSystem;
pub(super) use snapshot::SnapshotSystem;
pub(super) use taken_out::TakenOutSystem;
