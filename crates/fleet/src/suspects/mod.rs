//! Requests that crash the targets that run them.
//!
//! A [`SuspectTable`] keeps, for each fingerprint, the deaths of targets that ran it. Its rows
//! are shared as [`SuspectVerdict`]s, which merge in any order. An [`IsolationRow`] runs the
//! suspects of one service alone, one after the other.

mod isolation;
mod record;
mod settings;
mod table;

pub use isolation::{IsolationCandidate, IsolationRow, SuspectWait, choose_isolation};
pub use record::{DeathMark, DeathRecord, SuspectVerdict};
pub use settings::SuspectSettings;
pub use table::{RunningRow, SuspectLevel, SuspectTable, TargetDeath};

use amaranthgw_core::TargetId;

use crate::gate::NotRunProof;

/// Why a suspect request was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectRefusal {
    /// The request killed targets that ran nothing else.
    KillsTargets {
        /// Targets it killed while it ran alone.
        alone_deaths: u32,
    },
    /// Another suspect of the service is running.
    OtherRunning,
    /// This target does not run suspects of the service now.
    NotIsolated,
    /// No target can be spared to run it alone.
    NoSpareTarget {
        /// The only open target, if there is one.
        only: Option<TargetId>,
    },
}

impl SuspectRefusal {
    /// The proof that the refused request did not run.
    #[must_use]
    pub const fn proof(&self) -> NotRunProof {
        NotRunProof::with_refusal_before_dispatch()
    }
}

impl std::fmt::Display for SuspectRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::KillsTargets { alone_deaths } => {
                write!(
                    f,
                    "not run: the request crashed {alone_deaths} targets on its own"
                )
            }
            Self::OtherRunning => f.write_str("not run: another suspect request is running"),
            Self::NotIsolated => f.write_str("not run: suspect requests run on another target"),
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
