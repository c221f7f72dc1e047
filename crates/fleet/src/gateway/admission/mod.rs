//! Admission of requests to the targets of a service: a limit on the requests in flight, and a room for
//! those that wait for a place.
//!
//! The limit applies only while the targets are congested. A request that finds no place waits in the
//! order of its urgency, of the shares of workspaces and of the time by which it must begin, or is
//! refused at once if it can't begin in time. Nothing here does I/O or reads a clock.

mod limit;
mod meters;
mod rank;
mod returns;
mod room;
mod service;
mod shares;
mod state;
mod terms;

pub use limit::{AnswerSign, ServiceLimit, TargetLoad};
pub use rank::CallRank;
pub use room::{WaitRoom, WaiterNumber, WaiterRow};
pub use service::{Arrival, FlightPass, ServiceAdmission, TicketOutcome, WaitTicket};
pub use state::AdmissionState;
pub use terms::{
    AdmissionFigures, AdmissionNotice, AdmissionRefusal, AdmissionTerms, AdmissionVerdict,
    FlightBasis, LevelFigures, NoticeOutcome, RefusalReason,
};
