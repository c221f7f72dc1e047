//! Order of the heartbeats that a target writes to the registry.

use amaranthgw_core::{HeartbeatNumber, StartMark};
use serde::{Deserialize, Serialize};

/// Which heartbeat of which start of a target wrote a registry entry. The revision of an entry orders the
/// writes as the store executed them, which may be seconds after they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMark {
    /// Start of the target's process; `None` if the entry doesn't tell it.
    pub born: Option<StartMark>,
    /// Number of the heartbeat since that start.
    pub number: HeartbeatNumber,
}

impl HeartbeatMark {
    /// Whether both heartbeats are known to be of the same start of the target.
    #[must_use]
    pub fn has_same_start(self, other: Self) -> bool {
        self.born.is_some() && self.born == other.born
    }

    /// Whether this heartbeat is known to be of an earlier start of the target than `other`.
    #[must_use]
    pub fn is_of_earlier_start(self, other: Self) -> bool {
        let starts = self.born.zip(other.born);
        starts.is_some_and(|(born, other)| born < other)
    }

    /// Whether this heartbeat is known to have been sent before `other`.
    #[must_use]
    pub fn precedes(self, other: Self) -> bool {
        self.is_of_earlier_start(other) || self.has_same_start(other) && self.number < other.number
    }
}
