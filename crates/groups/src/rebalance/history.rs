//! Placements that an agent has passed to its rank, as bases of later changes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthgw_core::{GroupGeneration, MapVersion};
use serde::{Deserialize, Serialize};

use super::{DeltaError, GroupPlacement, PlacementDelta, RankOrder};

/// Number of placements kept: the one in use, and those prepared since.
const MAX_PLACEMENTS: usize = 4;

/// Placement of a map that is to be prepared, as agents exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapContent {
    /// The whole placement.
    Whole(Arc<GroupPlacement>),
    /// The difference to the placement of another map.
    Changed(Arc<PlacementDelta>),
}

/// Reason why an agent can't tell the placement that an order means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaseError {
    /// The placement that the order changes is not known.
    Unknown,
    /// The change doesn't fit the placement that is known.
    Unfit(DeltaError),
}

impl BaseError {
    /// Name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "base_unknown",
            Self::Unfit(DeltaError::ShapeMismatch) => "base_shape",
            Self::Unfit(DeltaError::OutOfBounds) => "change_out_of_bounds",
            Self::Unfit(DeltaError::DigestMismatch) => "result_differs",
        }
    }
}

/// Result of resolving an order.
pub type Result<T> = std::result::Result<T, BaseError>;

impl std::fmt::Display for BaseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown => f.write_str("placement that the order changes is unknown"),
            Self::Unfit(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for BaseError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Unknown => None,
            Self::Unfit(error) => Some(error),
        }
    }
}

#[derive(Clone, Debug)]
struct MapRow {
    generation: GroupGeneration,
    version: MapVersion,
    placement: Arc<GroupPlacement>,
}

/// The last placements that were prepared, newest first.
#[derive(Debug, Default)]
pub struct MapHistory {
    rows: Mutex<VecDeque<MapRow>>,
}

impl MapHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The order with its whole placement, which is remembered.
    ///
    /// # Errors
    ///
    /// Returns a [`BaseError`] if the order changes a placement that is not known; nothing is
    /// remembered then.
    pub fn resolve(
        &self,
        order: RankOrder<MapContent>,
        generation: GroupGeneration,
    ) -> Result<RankOrder> {
        order.try_map(|version, content| {
            let placement = match content {
                MapContent::Whole(placement) => placement,
                MapContent::Changed(delta) => self.apply(&delta, generation)?,
            };
            self.remember(MapRow {
                generation,
                version,
                placement: Arc::clone(&placement),
            });
            Ok(placement)
        })
    }

    fn apply(
        &self,
        delta: &PlacementDelta,
        generation: GroupGeneration,
    ) -> Result<Arc<GroupPlacement>> {
        let known = self.rows().iter().find_map(|row| {
            let is_base = (row.generation, row.version) == (generation, delta.base());
            is_base.then(|| Arc::clone(&row.placement))
        });
        let is_initial = delta.base() == MapVersion::default();
        let initial = || {
            delta
                .initial_placement()
                .filter(|_| is_initial)
                .map(Arc::new)
        };
        let base = known.or_else(initial).ok_or(BaseError::Unknown)?;
        delta.apply(&base).map(Arc::new).map_err(BaseError::Unfit)
    }

    fn remember(&self, row: MapRow) {
        let mut rows = self.rows();
        rows.retain(|known| (known.generation, known.version) != (row.generation, row.version));
        rows.push_front(row);
        rows.truncate(MAX_PLACEMENTS);
    }

    fn rows(&self) -> MutexGuard<'_, VecDeque<MapRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
