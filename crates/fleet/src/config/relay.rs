//! Relay topology: which nodes watch the key-value service and which peers a node sends to.

use std::collections::BTreeMap;

use amaranthgw_core::{DomainId, VmId};

/// Number of nodes in each failure domain that watch the key-value service.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Number of nodes in its own failure domain that a node sends to.
pub const DOMAIN_DEGREE: usize = 4;
/// Number of failure domains to whose watchers a watcher sends.
pub const WATCHER_DEGREE: usize = 2;

/// A live VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayVm {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
}

/// Position and successors of one node in the relay of the configuration.
///
/// Within a failure domain the nodes are ordered by a hash of their identifiers; the first ones
/// watch the key-value service. Node `i` of `n` sends to the nodes `-(4i + j) mod n` for `j` from 1
/// to 4, so that a message from any node reaches all others in `ceil(log4(n))` rounds, and no node
/// sends or receives more than four copies. Each watcher also sends to all watchers of up to two
/// other failure domains, chosen by the same formula with 2 instead of 4 over the failure domains in
/// the order of their identifiers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayTopology {
    position: usize,
    domain_size: usize,
    fleet_size: usize,
    successors: Vec<VmId>,
}

impl Default for RelayTopology {
    /// Topology of a node without a VM list: it doesn't watch and has no successors.
    fn default() -> Self {
        Self {
            position: WATCHERS_PER_DOMAIN,
            domain_size: 1,
            fleet_size: 1,
            successors: Vec::new(),
        }
    }
}

impl RelayTopology {
    /// Creates the topology of `node` in the failure domain `domain` from the live VMs `vms`.
    ///
    /// A node that is missing from `vms` gets the same position and successors as if it were
    /// listed, but [`Self::fleet_size`] may leave it out.
    #[must_use]
    pub fn new(node: &VmId, domain: &DomainId, vms: &[RelayVm]) -> Self {
        let mut domains: BTreeMap<&DomainId, Vec<(u64, &VmId)>> = BTreeMap::new();
        for RelayVm { vm, domain } in vms.iter().filter(|row| row.vm != *node) {
            domains.entry(domain).or_default().push((vm_score(vm), vm));
        }
        domains
            .entry(domain)
            .or_default()
            .push((vm_score(node), node));
        let own = domains
            .get_mut(domain)
            .map(std::mem::take)
            .unwrap_or_default();
        let own = sorted(own);
        let position = own.iter().position(|vm| *vm == node).unwrap_or(0);
        let mut successors =
            map_successors(position, own.len(), DOMAIN_DEGREE, |next| own[next].clone());
        if position < WATCHERS_PER_DOMAIN {
            successors.extend(successor_watchers(domain, &domains));
        }
        Self {
            position,
            domain_size: own.len(),
            fleet_size: vms.len().max(own.len()),
            successors,
        }
    }

    /// Zero-based position of the node in its failure domain.
    #[must_use]
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Whether the node watches the key-value service.
    #[must_use]
    pub const fn is_watcher(&self) -> bool {
        self.position < WATCHERS_PER_DOMAIN
    }

    /// Number of nodes in the node's failure domain, including itself.
    #[must_use]
    pub const fn domain_size(&self) -> usize {
        self.domain_size
    }

    /// Number of nodes in all failure domains.
    #[must_use]
    pub const fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// Nodes that this node sends to.
    #[must_use]
    pub fn successors(&self) -> &[VmId] {
        &self.successors
    }
}

/// Watchers in other failure domains that a watcher in `domain` sends to.
fn successor_watchers(
    domain: &DomainId,
    domains: &BTreeMap<&DomainId, Vec<(u64, &VmId)>>,
) -> Vec<VmId> {
    let position = domains.keys().position(|key| *key == domain).unwrap_or(0);
    let next_domains: Vec<_> = domains.values().collect();
    let successors = map_successors(position, domains.len(), WATCHER_DEGREE, |next| {
        next_domains[next]
    });
    let watchers = |vms: &Vec<(u64, &VmId)>| {
        let sorted = sorted(vms.clone()).into_iter();
        sorted
            .take(WATCHERS_PER_DOMAIN)
            .cloned()
            .collect::<Vec<_>>()
    };
    successors.into_iter().flat_map(watchers).collect()
}

/// Maps `make` over the successor positions of `position` among `count`, excluding itself.
fn map_successors<T>(
    position: usize,
    count: usize,
    degree: usize,
    make: impl Fn(usize) -> T,
) -> Vec<T> {
    let mut successors: Vec<_> = (1..=degree)
        .map(|step| (count - (position * degree + step) % count) % count)
        .filter(|next| *next != position)
        .collect();
    successors.sort_unstable();
    successors.dedup();
    successors.into_iter().map(make).collect()
}

fn sorted(mut vms: Vec<(u64, &VmId)>) -> Vec<&VmId> {
    vms.sort_unstable();
    vms.dedup();
    vms.into_iter().map(|(_, vm)| vm).collect()
}

/// Hash by which all nodes order the VMs alike. It is the same in all processes that use the same
/// generator, that is, the same version of `fastrand`.
fn vm_score(vm: &VmId) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let hash = vm.as_str().bytes().fold(FNV_OFFSET, mix);
    fastrand::Rng::with_seed(hash).u64(..)
}
