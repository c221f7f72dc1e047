//! The experts of a rank, read once for each map.

use std::sync::{Mutex, PoisonError};

use amaranthgw_core::{GroupGeneration, MapVersion};
use amaranthgw_groups::rebalance::RankView;
use amaranthgw_platform::rank::RankClient;

use super::Result;
use super::link::BESIDE_LIMIT;

/// Experts of a rank under one map.
type MapExperts = (GroupGeneration, MapVersion, Vec<Vec<u16>>);

/// The experts of a rank as last read.
#[derive(Debug, Default)]
pub(super) struct KnownExperts {
    known: Mutex<Option<MapExperts>>,
}

impl KnownExperts {
    /// Adds the experts to `view`; none where the map changes right now.
    pub(super) async fn complete(&self, client: &RankClient, view: &mut RankView) -> Result<()> {
        let (generation, map) = (view.generation, view.map);
        let known = self
            .known
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some((_, _, experts)) = known.filter(|known| (known.0, known.1) == (generation, map))
        {
            view.experts = experts;
            return Ok(());
        }
        let (version, experts) = client.experts(BESIDE_LIMIT).await?;
        if version == map {
            let known = Some((generation, map, experts.clone()));
            *self.known.lock().unwrap_or_else(PoisonError::into_inner) = known;
            view.experts = experts;
        }
        Ok(())
    }
}
