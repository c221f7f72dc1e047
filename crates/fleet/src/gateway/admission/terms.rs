//! Inputs and outcomes of the admission.

use std::time::Duration;

use amaranthgw_core::{PartId, WorkspaceId};
use tokio::time::Instant;

use super::rank::CallRank;
use super::room::WaiterNumber;

/// What decides on the admission of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionTerms {
    /// Rank of the request.
    pub rank: CallRank,
    /// Workspace that it belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Mark by which it is known again if it comes back after a refusal.
    pub mark: PartId,
    /// Time of its arrival.
    pub arrived_at: Instant,
    /// Latency objective of its first byte.
    pub objective: Duration,
    /// Time at which it times out.
    pub deadline: Instant,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It can't begin before its deadline, as too many requests go before it.
    Backlog,
    /// No more requests may wait.
    RoomFull,
    /// A more urgent request took its place.
    Displaced,
}

impl RefusalReason {
    /// Label in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::RoomFull => "room_full",
            Self::Displaced => "displaced",
        }
    }
}

/// Refusal of a request that was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason for it.
    pub reason: RefusalReason,
    /// Time until the backlog is expected to be worked off.
    pub retry_after: Duration,
}

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It may be sent.
    Granted(WaiterNumber),
    /// It waits.
    Waits(WaiterNumber),
    /// It is refused.
    Refused(AdmissionRefusal),
}

/// What became of a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// It may be sent.
    Granted,
    /// It is refused.
    Refused(AdmissionRefusal),
}

/// News for a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionNotice {
    /// The waiter.
    pub number: WaiterNumber,
    /// What became of it.
    pub outcome: NoticeOutcome,
}

/// State of the admission at one time, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlightBasis {
    /// Requests in flight or about to be sent.
    pub in_flight: u32,
    /// Limit in force; `None` while the targets are not congested.
    pub limit: Option<u32>,
    /// Requests that wait and are at least as urgent.
    pub ahead: usize,
    /// Requests admitted so far.
    pub grants: u64,
}

/// Waiters of one rank, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LevelFigures {
    /// The rank.
    pub rank: CallRank,
    /// Number of waiters.
    pub waiting: usize,
}

/// State of the admission, for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionFigures {
    /// Requests in flight or about to be sent.
    pub in_flight: u32,
    /// Limit in force; `None` while the targets are not congested.
    pub limit: Option<u32>,
    /// Waiters by rank.
    pub levels: Vec<LevelFigures>,
}
