//! Map record of a group in the key-value service.

use std::sync::Arc;

use amaranthgw_core::{MapVersion, StartMark, StoreRevision};
use serde::{Deserialize, Serialize};

use crate::placement::ExpertMap;

/// Newest proposed map of a group. Written by compare-and-swap, so that a version has one content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRecord {
    /// Version of the map.
    pub version: MapVersion,
    /// Start mark of the process that wrote the record.
    pub author: StartMark,
    /// Proposed map.
    #[serde(with = "arc_map")]
    pub map: Arc<ExpertMap>,
}

/// Response of the key-value service to a read or write of the map record.
///
/// A lost response has no variant: the coordinator repeats the call after the retry interval.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The record and its revision; `None` if it does not exist.
    Read(Option<(StoreRevision, MapRecord)>),
    /// The write took effect at this revision.
    Written(StoreRevision),
    /// The record does not have the expected revision; nothing was written.
    Conflict,
}

mod arc_map {
    //! Serializes an `Arc<ExpertMap>` as the map itself.

    use std::sync::Arc;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::placement::ExpertMap;

    pub(super) fn serialize<S: Serializer>(
        map: &Arc<ExpertMap>,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        map.as_ref().serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> Result<Arc<ExpertMap>, D::Error> {
        ExpertMap::deserialize(input).map(Arc::new)
    }
}
