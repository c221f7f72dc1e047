//! A rank's shares of the expert maps and the experts in its memory.

use std::collections::BTreeSet;

use amaranthgw_core::{EntityTable, ExpertId, LayerId, MapVersion};

/// Layer and expert.
pub(super) type ExpertKey = (LayerId, ExpertId);

/// A rank's experts in one map version, by layer.
pub(super) type MapShare = EntityTable<LayerId, Vec<ExpertId>>;

/// The map shares that a rank was ordered to load and the experts that it holds.
#[derive(Debug, Default)]
pub(super) struct RankMaps {
    shares: EntityTable<MapVersion, MapShare>,
    held: BTreeSet<ExpertKey>,
}

impl RankMaps {
    /// Sets the experts that `version` assigns to the rank in `layer`.
    pub(super) fn set_share(
        &mut self,
        version: MapVersion,
        layer: LayerId,
        experts: Vec<ExpertId>,
    ) {
        let share = self.shares.get_or_insert_with(version, MapShare::new);
        share.insert(layer, experts);
    }

    /// The rank's share of `version`.
    pub(super) fn share(&self, version: MapVersion) -> Option<&MapShare> {
        self.shares.get(&version)
    }

    /// The next expert that is assigned to the rank by any map version but not held yet.
    pub(super) fn next_missing(&self) -> Option<ExpertKey> {
        self.shares
            .rows()
            .flat_map(keys_of)
            .find(|key| !self.held.contains(key))
    }

    /// Marks `key` as held.
    pub(super) fn add_held(&mut self, key: ExpertKey) {
        self.held.insert(key);
    }

    /// Whether the rank has a share of `version` in each of `layers` layers and holds its experts.
    pub(super) fn is_loaded(&self, version: MapVersion, layers: u16) -> bool {
        self.share(version).is_some_and(|share| {
            let has_layers = (0..layers).all(|layer| share.contains(&LayerId::new(layer)));
            has_layers && keys_of(share).all(|key| self.held.contains(&key))
        })
    }

    /// The fully loaded map versions, in ascending order.
    pub(super) fn loaded(&self, layers: u16) -> Vec<MapVersion> {
        let versions = self.shares.ids().copied();
        let mut loaded = versions
            .filter(|v| self.is_loaded(*v, layers))
            .collect::<Vec<_>>();
        loaded.sort();
        loaded
    }

    /// Removes the versions before `version` and the experts that only they assign.
    pub(super) fn remove_before(&mut self, version: MapVersion) {
        self.shares.retain(|known, _| *known >= version);
        let used = self
            .shares
            .rows()
            .flat_map(keys_of)
            .collect::<BTreeSet<_>>();
        self.held.retain(|key| used.contains(key));
    }
}

fn keys_of(share: &MapShare) -> impl Iterator<Item = ExpertKey> {
    let layers = share.iter();
    layers.flat_map(|(layer, experts)| experts.iter().map(|expert| (*layer, *expert)))
}
