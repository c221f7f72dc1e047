//! Cache of a rank's experts, read once per map.

use std::sync::{Mutex, PoisonError};

use amaranthgw_core::{GroupGeneration, MapVersion};
use amaranthgw_groups::rebalance::RankView;
use amaranthgw_platform::rank::RankClient;

use super::Result;
use super::link::LOCAL_RANK_TIMEOUT;

/// Experts of a rank per set, with the generation and map that they belong to.
type MapExperts = (GroupGeneration, MapVersion, Vec<Vec<u16>>);

/// The last experts read from a rank.
#[derive(Debug, Default)]
pub(super) struct ExpertCache {
    cached: Mutex<Option<MapExperts>>,
}

impl ExpertCache {
    /// Adds the experts to `view`; adds none if the map changed since `view` was read.
    pub(super) async fn fill(&self, client: &RankClient, view: &mut RankView) -> Result<()> {
        let (generation, map) = (view.generation, view.map);
        let cached = self
            .cached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some((_, _, experts)) =
            cached.filter(|cached| (cached.0, cached.1) == (generation, map))
        {
            view.experts = experts;
            return Ok(());
        }
        let (version, experts) = client.experts(LOCAL_RANK_TIMEOUT).await?;
        if version == map {
            let cached = Some((generation, map, experts.clone()));
            *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = cached;
            view.experts = experts;
        }
        Ok(())
    }
}
