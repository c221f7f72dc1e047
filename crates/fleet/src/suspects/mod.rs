//! Detection and isolation of poison requests, which crash the targets that run them.
//!
//! A [`SuspectTable`] records, per request fingerprint, the deaths of targets that ran it.
//! Processes exchange its rows as [`SuspectVerdict`]s, which can be merged in any order. An
//! [`IsolationRow`] ensures that the suspects of one service run one at a time, each alone on its
//! target.

mod isolation;
mod record;
mod settings;
mod table;

pub use isolation::{IsolationCandidate, IsolationRow, QueuedSuspect, choose_isolation};
pub use record::{DeathId, DeathRecord, SuspectVerdict};
pub use settings::SuspectSettings;
pub use table::{RunningRow, SuspectLevel, SuspectTable, TargetDeath};

use amaranthgw_core::TargetId;

use crate::gate::NotRunProof;

/// Why a suspect request was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectRefusal {
    /// The request crashed targets that ran nothing else.
    CrashesTargets {
        /// Number of deaths of targets that ran nothing else.
        alone_deaths: u32,
    },
    /// Another suspect of the service is running.
    OtherRunning,
    /// This sidecar does not hold the isolation lease of the service for long enough.
    NotIsolated,
    /// No target can be spared to run the request alone.
    NoSpareTarget {
        /// The only open target, if there is one.
        only: Option<TargetId>,
    },
}

impl SuspectRefusal {
    /// Proof that the refused request did not run.
    #[must_use]
    pub const fn proof(&self) -> NotRunProof {
        NotRunProof::with_refusal_before_dispatch()
    }
}

impl std::fmt::Display for SuspectRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::CrashesTargets { alone_deaths } => {
                write!(
                    f,
                    "not run: the request crashed {alone_deaths} targets that ran nothing else"
                )
            }
            Self::OtherRunning => f.write_str("not run: another suspect request is running"),
            Self::NotIsolated => f.write_str(
                "not run: this sidecar does not hold the isolation lease for long enough",
            ),
            Self::NoSpareTarget { only: Some(only) } => {
                write!(f, "not run: {only} is the only open target")
            }
            Self::NoSpareTarget { only: None } => f.write_str("not run: no target is open"),
        }
    }
}

impl std::error::Error for SuspectRefusal {}

/// Result of a decision about a suspect request.
pub type Result<T> = std::result::Result<T, SuspectRefusal>;
