//! Loads of ranks as their agents read them.

use std::net::SocketAddr;

use amaranthgw_core::{MilliSpan, TokenCount};
use serde::{Deserialize, Serialize};

/// Most ranks whose loads one report holds; the ranks of a large group.
pub const MAX_RANK_LOADS: usize = 256;
/// Most requests at a rank that a report is believed to tell of.
const MAX_REQUESTS: u32 = 100_000;

/// Load of a rank, as its engine reports it to the agent on its VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that have a slot.
    pub running: u32,
    /// Memory that can't yield.
    pub memory_used: TokenCount,
    /// Memory of the rank.
    pub memory_total: TokenCount,
    /// Slowdown factor in thousandths: 1,000 is normal, 2,000 is half as fast.
    pub pace_milli: u32,
}

impl RankLoad {
    /// Running and waiting requests.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Why a report of loads is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// More than [`MAX_RANK_LOADS`] ranks.
    TooMany,
    /// More requests than a rank can have, or no pace.
    OutOfBounds,
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TooMany => "loads of more than 256 ranks",
            Self::OutOfBounds => "a load is out of bounds",
        })
    }
}

impl std::error::Error for LoadError {}

/// Load of one rank with its age; written as a list, since each message holds many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct RankLoadReport {
    /// Address of the rank.
    pub rank: SocketAddr,
    /// Its load.
    pub load: RankLoad,
    /// Time since the load was read.
    pub age: MilliSpan,
}

/// Rank, waiting, running, memory used and in total, pace in thousandths, age.
type LoadFields = (SocketAddr, u32, u32, TokenCount, TokenCount, u32, MilliSpan);

impl From<LoadFields> for RankLoadReport {
    fn from((rank, waiting, running, used, total, pace_milli, age): LoadFields) -> Self {
        let load = RankLoad {
            waiting,
            running,
            memory_used: used,
            memory_total: total,
            pace_milli,
        };
        Self { rank, load, age }
    }
}

impl From<RankLoadReport> for LoadFields {
    fn from(RankLoadReport { rank, load, age }: RankLoadReport) -> Self {
        let (used, total) = (load.memory_used, load.memory_total);
        let pace = load.pace_milli;
        (rank, load.waiting, load.running, used, total, pace, age)
    }
}

impl RankLoadReport {
    /// Checks the loads of one message.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadError`] if there are more than a group has ranks, or one is impossible.
    pub fn check_all(loads: &[Self]) -> Result<(), LoadError> {
        if loads.len() > MAX_RANK_LOADS {
            return Err(LoadError::TooMany);
        }
        let is_possible = |it: &Self| it.load.in_flight() <= MAX_REQUESTS && it.load.pace_milli > 0;
        if loads.iter().all(is_possible) {
            Ok(())
        } else {
            Err(LoadError::OutOfBounds)
        }
    }
}
