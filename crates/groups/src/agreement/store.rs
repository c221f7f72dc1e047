//! The group's record in the key-value service.

use std::sync::Arc;

use amaranthgw_core::{MapVersion, StartMark, StoreRevision};
use serde::{Deserialize, Serialize};

use crate::placement::ExpertMap;

/// The newest proposed map of a group; compare-and-swap gives each version one content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRecord {
    /// Version of the map.
    pub version: MapVersion,
    /// Mark of the process that wrote the record.
    pub author: StartMark,
    /// The map.
    #[serde(with = "arc_map")]
    pub map: Arc<ExpertMap>,
}

/// Answer of the key-value service to a read or write of the map record.
///
/// An answer that was lost is no answer: the coordinator reads back after a time limit.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// The record and its revision; `None` where there is none.
    Read(Option<(StoreRevision, MapRecord)>),
    /// The write took effect at this revision.
    Written(StoreRevision),
    /// The record has another revision than expected.
    Conflict,
}

mod arc_map {
    //! `serde` form of a shared map.

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
