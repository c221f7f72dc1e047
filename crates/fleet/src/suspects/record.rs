//! Deaths of targets that ran a fingerprint, in a form that merges in any order.

use amaranthgw_core::{EntityTable, MilliSpan, StartMark, TargetId};
use serde::{Deserialize, Serialize};

use crate::claims::BodyFingerprint;

/// Identifies one death: the start of a target process that it ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeathMark {
    /// The target.
    pub target: TargetId,
    /// Start mark of the process that died.
    pub mark: StartMark,
}

/// A death of a target that ran the fingerprint.
///
/// The order of the fields decides which of two reports of one death wins, and which deaths are
/// kept when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DeathRecord {
    /// Whether the target ran nothing else.
    pub is_alone: bool,
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Whether the request has finished since, or another request explains the death.
    pub is_forgiven: bool,
    /// How long the request had run.
    pub ran_for: MilliSpan,
}

/// What is known of one fingerprint; shared between peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectVerdict {
    /// The fingerprint.
    pub fingerprint: BodyFingerprint,
    /// Deaths of targets that ran it.
    #[serde(with = "death_pairs")]
    pub deaths: EntityTable<DeathMark, DeathRecord>,
}

impl SuspectVerdict {
    /// Largest number of deaths kept; those of targets that ran nothing else are kept first.
    pub const MAX_DEATHS: usize = 8;

    /// Creates the verdict of a fingerprint without deaths.
    #[must_use]
    pub fn new(fingerprint: BodyFingerprint) -> Self {
        Self {
            fingerprint,
            deaths: EntityTable::new(),
        }
    }

    /// Takes in what another verdict on the same fingerprint knows; returns whether it was news.
    ///
    /// Merging is idempotent, commutative and associative.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.deaths.clone();
        for (mark, record) in other.deaths.iter() {
            self.add(mark.clone(), *record);
        }
        self.deaths != before
    }

    pub(super) fn add(&mut self, mark: DeathMark, record: DeathRecord) {
        let kept = self.deaths.get_or_insert_with(mark, || record);
        *kept = record.max(*kept);
        if self.deaths.len() > Self::MAX_DEATHS {
            self.drop_least();
        }
    }

    /// Marks the deaths for which `is_explained` holds as forgiven; returns whether one was not.
    pub(super) fn forgive(&mut self, is_explained: impl Fn(&DeathMark) -> bool) -> bool {
        let mut is_changed = false;
        for (mark, record) in self.deaths.iter_mut() {
            if !record.is_forgiven && is_explained(mark) {
                record.is_forgiven = true;
                is_changed = true;
            }
        }
        is_changed
    }

    fn drop_least(&mut self) {
        let least = self.deaths.iter().min_by_key(|(mark, row)| (**row, *mark));
        if let Some(mark) = least.map(|(mark, _)| mark.clone()) {
            self.deaths.remove(&mark);
        }
    }
}

/// Deaths as a list of pairs, as text formats only take texts for the keys of a map.
mod death_pairs {
    use amaranthgw_core::EntityTable;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::{DeathMark, DeathRecord};

    pub(super) fn serialize<S: Serializer>(
        deaths: &EntityTable<DeathMark, DeathRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(deaths.iter())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<EntityTable<DeathMark, DeathRecord>, D::Error> {
        let pairs = Vec::<(DeathMark, DeathRecord)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
