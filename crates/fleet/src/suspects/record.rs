//! Records of target deaths per request fingerprint, with an order-independent merge.

use amaranthgw_core::{EntityTable, MilliSpan, StartMark, TargetId};
use serde::{Deserialize, Serialize};

use crate::claims::BodyFingerprint;

/// Identifies a death by the target and the start of the process that died.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeathId {
    /// Target of the process.
    pub target: TargetId,
    /// Start mark of the process that died.
    pub mark: StartMark,
}

/// Death of a target while it ran the request.
///
/// The order of the fields matters: the greater of two records of the same death is kept, and the
/// greatest records are kept when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DeathRecord {
    /// Whether the target is known to have run no request with another fingerprint.
    pub is_alone: bool,
    /// Time of the death, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Whether the request has finished since, or a refused request explains the death. A forgiven
    /// death no longer makes the request a suspect, but counts for a refusal if the target ran
    /// nothing else.
    pub is_forgiven: bool,
    /// How long the request had been running.
    pub ran_for: MilliSpan,
}

/// Known deaths for one fingerprint, from which its [`SuspectLevel`](super::SuspectLevel) follows;
/// exchanged between peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectVerdict {
    /// Fingerprint of the request.
    pub fingerprint: BodyFingerprint,
    /// Deaths of targets while they ran it.
    #[serde(with = "death_pairs")]
    pub deaths: EntityTable<DeathId, DeathRecord>,
}

impl SuspectVerdict {
    /// Maximum number of deaths kept; deaths of targets that ran nothing else take precedence.
    pub const MAX_DEATHS: usize = 8;

    /// Creates the verdict of a fingerprint without deaths.
    #[must_use]
    pub fn new(fingerprint: BodyFingerprint) -> Self {
        Self {
            fingerprint,
            deaths: EntityTable::new(),
        }
    }

    /// Merges another verdict on the same fingerprint; returns whether `self` changed.
    ///
    /// Merging is idempotent, commutative and associative.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.deaths.clone();
        for (id, record) in other.deaths.iter() {
            self.add(id.clone(), *record);
        }
        self.deaths != before
    }

    pub(super) fn add(&mut self, id: DeathId, record: DeathRecord) {
        let kept = self.deaths.get_or_insert_with(id, || record);
        *kept = record.max(*kept);
        if self.deaths.len() > Self::MAX_DEATHS {
            self.drop_least();
        }
    }

    /// Marks the deaths for which `selects` holds as forgiven; returns whether a record changed.
    pub(super) fn forgive(&mut self, selects: impl Fn(&DeathId) -> bool) -> bool {
        let mut is_changed = false;
        for (id, record) in self.deaths.iter_mut() {
            if !record.is_forgiven && selects(id) {
                record.is_forgiven = true;
                is_changed = true;
            }
        }
        is_changed
    }

    fn drop_least(&mut self) {
        let least = self.deaths.iter().min_by_key(|(id, row)| (**row, *id));
        if let Some(id) = least.map(|(id, _)| id.clone()) {
            self.deaths.remove(&id);
        }
    }
}

/// Serialises deaths as a list of pairs, since JSON maps only have string keys.
mod death_pairs {
    use amaranthgw_core::EntityTable;
    use serde::{Deserialize, Deserializer, Serializer};

    use super::{DeathId, DeathRecord};

    pub(super) fn serialize<S: Serializer>(
        deaths: &EntityTable<DeathId, DeathRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(deaths.iter())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<EntityTable<DeathId, DeathRecord>, D::Error> {
        let pairs = Vec::<(DeathId, DeathRecord)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
