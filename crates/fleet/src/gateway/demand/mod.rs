//! Division of services' room among gateways by demand.
//!
//! Each gateway owns an equal part of every service's room, and lends what it doesn't need to gateways
//! that have more work than their part carries. Lent room counts at one gateway at a time, and loans
//! end by themselves, so the shares of all gateways never add up to much more than the whole, whichever
//! of them are cut off, frozen or restarted. See `docs/design/demand.md`.

mod ledger;
mod loans;
mod meter;
mod report;
mod table;

pub use ledger::DemandLedger;
pub use loans::LOAN_TIME;
pub use meter::WaitingDemand;
pub use report::{
    DemandAnswer, DemandReport, GrantedLoan, LevelDemand, ReportRefusal, ReportVersion,
    ServiceDemand,
};
pub use table::{DEMAND_TIME, DemandTable};
