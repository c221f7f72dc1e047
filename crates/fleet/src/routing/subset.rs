//! Deterministic subsetting: the targets of a service that an entry uses.

use amaranthgw_core::VmId;

use super::hash::{hash_text, mix};
use super::{DomainDistance, TargetRoute};

/// Subset size of an entry, by distance of the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    entry_hash: u64,
    /// Maximum number of targets in the entry's own failure domain.
    pub same_domain: usize,
    /// Maximum number of targets in other failure domains of its region.
    pub same_region: usize,
    /// Maximum number of targets in other regions.
    pub other_region: usize,
}

impl SubsetSettings {
    /// Creates the default settings of the entry on `vm`.
    #[must_use]
    pub fn new(vm: &VmId) -> Self {
        Self {
            entry_hash: hash_text(vm.as_str()),
            same_domain: 32,
            same_region: 16,
            other_region: 8,
        }
    }

    /// Sets the maximum numbers of targets in the entry's failure domain, in other failure domains
    /// of its region and in other regions.
    #[must_use]
    pub fn with_sizes(self, same_domain: usize, same_region: usize, other_region: usize) -> Self {
        Self {
            same_domain,
            same_region,
            other_region,
            ..self
        }
    }

    /// Indices of at most `size` open targets at `distance` that this entry uses.
    ///
    /// Targets are ordered by a hash of entry and target (rendezvous hashing): entries use
    /// different subsets, and a target that leaves is replaced by one other.
    pub(super) fn pick(
        &self,
        targets: &[TargetRoute],
        distance: DomainDistance,
        size: usize,
    ) -> Vec<usize> {
        let order_key =
            |route: &TargetRoute| mix(self.entry_hash ^ hash_text(route.target.as_str()));
        let is_candidate = |route: &TargetRoute| route.is_open() && route.distance == distance;
        let mut ordered: Vec<(u64, usize)> = targets
            .iter()
            .enumerate()
            .filter(|(_, route)| is_candidate(route))
            .map(|(index, route)| (order_key(route), index))
            .collect();
        if size < ordered.len() {
            ordered.select_nth_unstable(size);
            ordered.truncate(size);
        }
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, index)| index).collect()
    }

    pub(super) fn sizes(&self) -> [(DomainDistance, usize); 3] {
        [
            (DomainDistance::SameDomain, self.same_domain),
            (DomainDistance::SameRegion, self.same_region),
            (DomainDistance::OtherRegion, self.other_region),
        ]
    }
}
