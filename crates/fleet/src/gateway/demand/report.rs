//! What gateways tell each other of their demand, and what is refused.

use std::fmt::{self, Display, Formatter};

use amaranthgw_core::{CallUrgency, DemandRate, DemandShare, DemandWork, ServiceId, StartMark};
use serde::{Deserialize, Serialize};

/// Services in a report at most, those with the most waiting work; keeps it below 0.5 KB.
pub(super) const MAX_SERVICES: usize = 2;
/// Levels of urgency of a service at most; less urgent requests count with the last one.
pub(super) const MAX_LEVELS: usize = 4;

/// Result of checking what a peer told.
pub(super) type Result<T> = std::result::Result<T, ReportRefusal>;

/// Number of a report: a process numbers its reports from 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReportVersion {
    /// Start of the process, in Unix milliseconds.
    pub started: StartMark,
    /// Number of the report.
    pub number: u64,
}

/// Demand for one service at one level of urgency; written as a list of three numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(CallUrgency, DemandRate, DemandWork)")]
#[serde(from = "(CallUrgency, DemandRate, DemandWork)")]
pub struct LevelDemand {
    /// Urgency of the requests.
    pub urgency: CallUrgency,
    /// Work that arrives.
    pub arriving: DemandRate,
    /// Work that waits.
    pub waiting: DemandWork,
}

impl From<(CallUrgency, DemandRate, DemandWork)> for LevelDemand {
    fn from((urgency, arriving, waiting): (CallUrgency, DemandRate, DemandWork)) -> Self {
        Self {
            urgency,
            arriving,
            waiting,
        }
    }
}

impl From<LevelDemand> for (CallUrgency, DemandRate, DemandWork) {
    fn from(level: LevelDemand) -> Self {
        (level.urgency, level.arriving, level.waiting)
    }
}

/// Demand of one gateway for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceId,
    /// Share of its room that the gateway may use now.
    pub held: DemandShare,
    /// Share of its room that is the gateway's part of the demand.
    pub wanted: DemandShare,
    /// Demand by urgency, each level once.
    pub levels: Vec<LevelDemand>,
}

/// Demand of one gateway, with which it asks a peer for room.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Process and number of the report.
    pub version: ReportVersion,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
}

impl DemandReport {
    /// Checks the bounds of the report.
    ///
    /// # Errors
    ///
    /// Returns [`ReportRefusal::TooLarge`] if it has more rows than a gateway sends, or
    /// [`ReportRefusal::Repeated`] if it has a service or a level twice.
    pub fn check(&self) -> std::result::Result<(), ReportRefusal> {
        let levels = self.services.iter().map(|service| service.levels.len());
        if self.services.len() > MAX_SERVICES || levels.max() > Some(MAX_LEVELS) {
            return Err(ReportRefusal::TooLarge);
        }
        let is_repeated = |at: usize, service: &ServiceId| {
            let others = self.services[..at].iter();
            others.into_iter().any(|other| other.service == *service)
        };
        let mut services = self.services.iter().enumerate();
        let has_repeated =
            services.any(|(at, row)| is_repeated(at, &row.service) || has_repeated_level(row));
        if has_repeated {
            return Err(ReportRefusal::Repeated);
        }
        Ok(())
    }
}

fn has_repeated_level(row: &ServiceDemand) -> bool {
    let mut urgencies: Vec<_> = row.levels.iter().map(|level| level.urgency).collect();
    urgencies.sort_unstable();
    urgencies.windows(2).any(|pair| pair[0] == pair[1])
}

/// Room of one service that a peer lends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedLoan {
    /// The service.
    pub service: ServiceId,
    /// Share of its room.
    pub share: DemandShare,
}

/// Answer to a [`DemandReport`]: the room that is lent in place of earlier loans, and the demand of the
/// lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandAnswer {
    /// Version of the report that is answered.
    pub asked: ReportVersion,
    /// Loans by service.
    pub loans: Vec<GrantedLoan>,
    /// Demand of the lender.
    pub report: DemandReport,
}

/// Why a peer's report or answer was refused; nothing of it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportRefusal {
    /// It can't be decoded.
    Malformed,
    /// It has more rows, or more room, than a gateway can send.
    TooLarge,
    /// It has a service or a level twice.
    Repeated,
    /// A report as new, or a newer one, is known.
    Old,
    /// It answers no report that is still open: it was answered already, or too long ago.
    NotAsked,
}

impl ReportRefusal {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::Repeated => "repeated",
            Self::Old => "old",
            Self::NotAsked => "not_asked",
        }
    }
}

impl Display for ReportRefusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for ReportRefusal {}
