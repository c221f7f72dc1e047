//! Which targets of a service an entry uses.

use amaranthgw_core::VmId;

use super::hash::{hash_text, mix};
use super::{DomainDistance, TargetRoute};

/// How many targets of a service an entry uses, by their distance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    entry_hash: u64,
    /// Largest number of targets in the entry's own failure domain.
    pub same_domain: usize,
    /// Largest number of targets in other failure domains of its region.
    pub same_region: usize,
    /// Largest number of targets in other regions.
    pub other_region: usize,
}

impl SubsetSettings {
    /// Creates the usual settings of the entry on `vm`.
    #[must_use]
    pub fn new(vm: &VmId) -> Self {
        Self {
            entry_hash: hash_text(vm.as_str()),
            same_domain: 32,
            same_region: 16,
            other_region: 8,
        }
    }

    /// Sets the largest numbers of targets in the own failure domain, in other failure domains of
    /// the region and in other regions.
    #[must_use]
    pub fn with_sizes(self, same_domain: usize, same_region: usize, other_region: usize) -> Self {
        Self {
            same_domain,
            same_region,
            other_region,
            ..self
        }
    }

    /// Positions of the open targets at `distance` that this entry uses, at most `size`.
    ///
    /// Each entry ranks targets by a hash of both (rendezvous hashing): entries differ, and a
    /// target that leaves changes only its own place.
    pub(super) fn pick(
        &self,
        targets: &[TargetRoute],
        distance: DomainDistance,
        size: usize,
    ) -> Vec<usize> {
        let rank = |route: &TargetRoute| mix(self.entry_hash ^ hash_text(route.target.as_str()));
        let is_candidate = |route: &TargetRoute| route.is_open() && route.distance == distance;
        let mut ranked: Vec<(u64, usize)> = targets
            .iter()
            .enumerate()
            .filter(|(_, route)| is_candidate(route))
            .map(|(index, route)| (rank(route), index))
            .collect();
        if size < ranked.len() {
            ranked.select_nth_unstable(size);
            ranked.truncate(size);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    pub(super) fn sizes(&self) -> [(DomainDistance, usize); 3] {
        [
            (DomainDistance::SameDomain, self.same_domain),
            (DomainDistance::SameRegion, self.same_region),
            (DomainDistance::OtherRegion, self.other_region),
        ]
    }
}
