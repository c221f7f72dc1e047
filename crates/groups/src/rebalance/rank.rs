//! State that a rank reports, and the orders it takes.

use std::sync::Arc;

use amaranthgw_core::{
    GroupGeneration, GroupId, MapVersion, ParseError, RankId, StartMark, StepNumber, StoreRevision,
};

use super::GroupPlacement;

/// A map and the step at whose beginning a rank switches to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ArmedMap {
    /// Version of the map.
    pub version: MapVersion,
    /// First step under the map.
    pub step: StepNumber,
}

/// State of a rank as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RankView {
    /// Group of the rank.
    pub group: GroupId,
    /// Generation of the group; a new one begins whenever the group fails and restarts with map 0.
    pub generation: GroupGeneration,
    /// The rank.
    pub rank: RankId,
    /// Number of ranks in the group.
    pub size: u16,
    /// Whether the group is open, that is, running.
    pub is_open: bool,
    /// Start mark of the rank's process.
    pub born: StartMark,
    /// Last step that began.
    pub step: StepNumber,
    /// Version of the map in use.
    pub map: MapVersion,
    /// Version of the prepared map, whose weights are present.
    pub prepared: Option<MapVersion>,
    /// Map that the rank is armed with, and its step.
    pub armed: Option<ArmedMap>,
    /// Step before which the rank is held.
    pub held: Option<StepNumber>,
    /// Slowdown factor in thousandths: 1,000 is normal, 2,000 is half as fast.
    pub pace_milli: u32,
    /// Experts of this rank by set, under the map in use; empty if not read.
    pub experts: Vec<Vec<u16>>,
}

/// Slowdown factor from which a rank copies no experts and gets no requests.
pub const SLOWDOWN_THRESHOLD: f64 = 1.5;

impl RankView {
    /// Slowdown factor: 1 is normal, 2 is half as fast.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        f64::from(self.pace_milli) / 1_000.0
    }

    /// Whether the slowdown reaches [`SLOWDOWN_THRESHOLD`].
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.slowdown() >= SLOWDOWN_THRESHOLD
    }
}

/// The coordinator that last queried a rank's agent, written as `RANK.REVISION.PHASE[.GENERATION]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CoordinatorMark {
    /// Local rank of the coordinator.
    pub rank: RankId,
    /// Revision of the key-value store at which the coordinator was last known to hold the lease.
    pub known_at: StoreRevision,
    /// Number of the phase in which it was; a later query has the same or a higher one.
    pub phase_number: u64,
    /// Generation in which every rank has accepted an order with this coordinator's fencing token,
    /// and so rejects orders of earlier coordinators; `None` before that, and while the coordinator
    /// disarms ranks: its local rank may then be armed although others aren't.
    pub fenced_generation: Option<GroupGeneration>,
}

impl CoordinatorMark {
    /// Whether this mark tells of an earlier time than `other`.
    #[must_use]
    pub fn precedes(self, other: Self) -> bool {
        (self.known_at, self.phase_number) < (other.known_at, other.phase_number)
    }
}

impl std::fmt::Display for CoordinatorMark {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.rank, self.known_at, self.phase_number)?;
        match self.fenced_generation {
            Some(generation) => write!(f, ".{generation}"),
            None => Ok(()),
        }
    }
}

impl std::str::FromStr for CoordinatorMark {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().unwrap_or_default();
        let (rank, known_at) = (part().parse()?, part().parse()?);
        let phase_number = part().parse().map_err(|_invalid| {
            ParseError::new("CoordinatorMark", "the number of a phase", text)
        })?;
        let fenced_generation = parts.next().map(str::parse).transpose()?;
        Ok(Self {
            rank,
            known_at,
            phase_number,
            fenced_generation,
        })
    }
}

/// An order to one rank; `M` is the form in which it carries a placement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RankOrder<M = Arc<GroupPlacement>> {
    /// Copy the weights that a map needs.
    Prepare {
        /// Version of the map.
        version: MapVersion,
        /// Placement under the map.
        map: M,
    },
    /// Switch to a prepared map when a step begins.
    Arm(ArmedMap),
    /// Cancel the switch to a map.
    Disarm {
        /// Version of the map.
        version: MapVersion,
    },
    /// Hold before a step.
    Hold {
        /// The step.
        step: StepNumber,
    },
    /// Release the hold before a step.
    Go {
        /// The step.
        step: StepNumber,
    },
}

impl<M> RankOrder<M> {
    /// The order with its placement in another form.
    ///
    /// # Errors
    ///
    /// Returns the error of `convert`.
    pub fn try_map<N, E>(
        self,
        convert: impl FnOnce(MapVersion, M) -> std::result::Result<N, E>,
    ) -> std::result::Result<RankOrder<N>, E> {
        Ok(match self {
            Self::Prepare { version, map } => RankOrder::Prepare {
                version,
                map: convert(version, map)?,
            },
            Self::Arm(armed) => RankOrder::Arm(armed),
            Self::Disarm { version } => RankOrder::Disarm { version },
            Self::Hold { step } => RankOrder::Hold { step },
            Self::Go { step } => RankOrder::Go { step },
        })
    }

    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm(_) => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Go { .. } => "go",
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OrderReply {
    /// The rank executes the order or is already in the ordered state.
    Accepted,
    /// The order does not fit the rank's state.
    Conflict,
    /// The rank rejected the order because it has taken one with a higher fencing token.
    Fenced,
    /// No answer: the order may have been executed, or may still be executed seconds later.
    Unanswered,
}

impl OrderReply {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Unanswered => "unanswered",
        }
    }
}
