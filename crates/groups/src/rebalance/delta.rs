//! Difference between two placements of a group, far smaller than a placement.

use amaranthgw_core::MapVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::GroupPlacement;

/// Difference between the placement of a map and a new placement. Ranks hold their experts in
/// ascending order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementDelta {
    base: MapVersion,
    shape: PlacementShape,
    /// Digest of the new placement.
    digest: u64,
    changes: Vec<RankChange>,
}

/// Number of sets, ranks and experts of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlacementShape {
    sets: u16,
    ranks: u16,
    experts: u16,
}

/// Change of the experts that one rank holds in one set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RankChange {
    set: u16,
    rank: u16,
    removed: Vec<u16>,
    added: Vec<u16>,
}

/// Reason why a [`PlacementDelta`] does not apply to a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The placement has another number of sets or ranks.
    ShapeMismatch,
    /// A change names a set, a rank or an expert that does not exist.
    OutOfBounds,
    /// The result is not the placement for which the difference was made.
    DigestMismatch,
}

/// Result of applying a [`PlacementDelta`].
pub type Result<T> = std::result::Result<T, DeltaError>;

impl std::fmt::Display for DeltaError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ShapeMismatch => "placement has another shape",
            Self::OutOfBounds => "change names an unknown set, rank or expert",
            Self::DigestMismatch => "result differs from the placement meant",
        })
    }
}

impl std::error::Error for DeltaError {}

impl PlacementShape {
    /// Largest number of expert replicas in a placement, a limit on the size that a message may claim.
    const MAX_PLACES: usize = 1 << 20;

    fn of(placement: &GroupPlacement) -> Option<Self> {
        let sets = u16::try_from(placement.sets.len()).ok()?;
        let first = placement.sets.first()?;
        let ranks = u16::try_from(first.ranks.len()).ok()?;
        let last = first.ranks.iter().flatten().max()?;
        Some(Self {
            sets,
            ranks,
            experts: last.checked_add(1)?,
        })
    }

    fn fits(self, placement: &GroupPlacement) -> bool {
        placement.sets.len() == usize::from(self.sets)
            && placement
                .sets
                .iter()
                .all(|set| set.ranks.len() == usize::from(self.ranks))
    }
}

impl PlacementDelta {
    /// Creates the difference that leads from `placement`, which belongs to the map `base`, to
    /// `target`; `None` if their shapes differ.
    #[must_use]
    pub fn new(
        base: MapVersion,
        placement: &GroupPlacement,
        target: &GroupPlacement,
    ) -> Option<Self> {
        let shape = PlacementShape::of(placement)?;
        if !shape.fits(placement) || !shape.fits(target) {
            return None;
        }
        let mut changes = Vec::new();
        for (set, (old, new)) in (0..).zip(placement.sets.iter().zip(&target.sets)) {
            for (rank, (old, new)) in (0..).zip(old.ranks.iter().zip(&new.ranks)) {
                let missing_in = |other: &Vec<u16>, experts: &Vec<u16>| -> Vec<u16> {
                    let missing = experts.iter().filter(|expert| !other.contains(expert));
                    missing.copied().collect()
                };
                let (removed, added) = (missing_in(new, old), missing_in(old, new));
                if !removed.is_empty() || !added.is_empty() {
                    changes.push(RankChange {
                        set,
                        rank,
                        removed,
                        added,
                    });
                }
            }
        }
        let mut delta = Self {
            base,
            shape,
            digest: 0,
            changes,
        };
        delta.digest = digest(&delta.changed(placement).ok()?);
        Some(delta)
    }

    /// Version of the map to which the difference applies.
    #[must_use]
    pub const fn base(&self) -> MapVersion {
        self.base
    }

    /// Placement of map 0 of this shape; `None` if the shape is not a plausible one.
    #[must_use]
    pub fn initial_placement(&self) -> Option<GroupPlacement> {
        let PlacementShape {
            sets,
            ranks,
            experts,
        } = self.shape;
        let places = usize::from(sets) * (usize::from(experts) + usize::from(ranks));
        (places <= PlacementShape::MAX_PLACES)
            .then(|| GroupPlacement::initial(sets.into(), experts.into(), ranks.into()))
    }

    /// The new placement, given that of the base map.
    ///
    /// # Errors
    ///
    /// Returns a [`DeltaError`] if `placement` is not the one for which the difference was made.
    pub fn apply(&self, placement: &GroupPlacement) -> Result<GroupPlacement> {
        let changed = self.changed(placement)?;
        if digest(&changed) == self.digest {
            Ok(changed)
        } else {
            Err(DeltaError::DigestMismatch)
        }
    }

    fn changed(&self, placement: &GroupPlacement) -> Result<GroupPlacement> {
        if !self.shape.fits(placement) {
            return Err(DeltaError::ShapeMismatch);
        }
        let mut changed = placement.clone();
        for change in &self.changes {
            let set = changed.sets.get_mut(usize::from(change.set));
            let experts = set
                .and_then(|set| set.ranks.get_mut(usize::from(change.rank)))
                .ok_or(DeltaError::OutOfBounds)?;
            if change
                .added
                .iter()
                .any(|expert| *expert >= self.shape.experts)
            {
                return Err(DeltaError::OutOfBounds);
            }
            experts.retain(|expert| !change.removed.contains(expert));
            experts.extend(&change.added);
            experts.sort_unstable();
        }
        Ok(changed)
    }
}

/// Digest of a placement; equal placements with their experts in another order differ.
fn digest(placement: &GroupPlacement) -> u64 {
    let mut hasher = Sha256::new();
    for set in &placement.sets {
        for experts in &set.ranks {
            hasher.update(experts.len().to_le_bytes());
            for expert in experts {
                hasher.update(expert.to_le_bytes());
            }
        }
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_le_bytes(first)
}
