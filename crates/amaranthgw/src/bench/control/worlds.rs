//! Generated VM lists, configurations and entry tables of a given size.

use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;

use amaranthgw_core::{ChangeNumber, DomainId, OperatorId, SlotCount, StartMark, TargetId, VmId};
use amaranthgw_fleet::config::{ChangeId, ConfigChange, ServingState, diff_lists};
use amaranthgw_fleet::entry::{EntryWorld, TargetObservation, TargetStatus, entry_schedule};
use amaranthgw_fleet::membership::{NodeIdentity, NodeRole, VmRecord, VmState};
use amaranthgw_fleet::routing::{ServiceKind, TargetStage};
use tokio::time::Instant;

use crate::bench::lists::generated_lists;
use crate::bench::{BenchError, Result};

/// Failure domains that the VMs are spread over.
const DOMAINS: usize = 36;
/// Regions that the failure domains are spread over.
const REGIONS: usize = 10;
/// Plans that the workspaces are spread over.
const PLANS: usize = 12;
/// Number of entries as a percentage of the targets.
const ENTRY_PERCENT: usize = 17;

/// Size of the generated tables.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorldSize {
    /// Targets in the VM list.
    pub(super) targets: usize,
    /// Workspaces in the configuration.
    pub(super) workspaces: usize,
    /// Services; each plan allows all of them.
    pub(super) services: usize,
}

impl WorldSize {
    /// Creates a size from its three counts.
    pub(super) const fn new(targets: usize, workspaces: usize, services: usize) -> Self {
        Self {
            targets,
            workspaces,
            services,
        }
    }
}

/// Parses the identifier in `text`.
pub(super) fn parse_id<T: FromStr>(text: &str) -> Result<T> {
    let malformed = BenchError::Malformed {
        value: "an identifier",
    };
    text.parse().map_err(|_invalid| malformed)
}

/// Identity of the entry that the tables belong to.
pub(super) fn identity() -> Result<NodeIdentity> {
    Ok(NodeIdentity {
        vm: parse_id("entry-0.region-0.example")?,
        domain: domain_id(0)?,
        region: parse_id("region-0")?,
    })
}

/// Creates the VM list of a fleet with `size.targets` targets and the entries in front of them.
pub(super) fn vm_records(size: WorldSize) -> Result<Vec<VmRecord>> {
    let entries = (size.targets * ENTRY_PERCENT).div_ceil(100);
    let entries = (0..entries).map(|index| record(index, "entry", NodeRole::Entry));
    let targets = (0..size.targets).map(|index| {
        let record = record(index, "vm", NodeRole::Sidecar)?;
        Ok(VmRecord {
            service: Some(parse_id(&service_name(index % size.services))?),
            target: Some(target_id(index)?),
            ..record
        })
    });
    targets.chain(entries).collect()
}

fn record(index: usize, prefix: &str, role: NodeRole) -> Result<VmRecord> {
    let region = index % DOMAINS % REGIONS;
    let port = u16::try_from(1_024 + index).unwrap_or(u16::MAX);
    Ok(VmRecord {
        vm: parse_id::<VmId>(&format!("{prefix}-{index}.region-{region}.example"))?,
        domain: domain_id(index % DOMAINS)?,
        region: parse_id(&format!("region-{region}"))?,
        role,
        service: None,
        target: None,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        state: VmState::Live,
    })
}

fn domain_id(index: usize) -> Result<DomainId> {
    parse_id(&format!("domain-{index}"))
}

/// Name of the service with this index.
pub(super) fn service_name(index: usize) -> String {
    format!("model-{index}")
}

/// Id of the target with this index.
pub(super) fn target_id(index: usize) -> Result<TargetId> {
    parse_id(&format!("target-{index}.example"))
}

/// Creates a change and returns the configuration that results from it, and the change.
pub(super) fn configuration(size: WorldSize) -> Result<(ServingState, ConfigChange)> {
    let services: Vec<_> = (0..size.services).map(service_name).collect();
    let lists = generated_lists(size.workspaces, PLANS, &services)?;
    let mut state = ServingState::default();
    let change = ConfigChange {
        number: ChangeNumber::new(1),
        id: ChangeId::new(fastrand::u128(..)),
        operator: parse_id::<OperatorId>("operator-1.example")?,
        made_at_unix_ms: 1_790_000_000_000,
        edits: diff_lists(&state, &lists),
    };
    state.apply(&change)?;
    Ok((state, change))
}

/// Creates a report of the target with this index.
pub(super) fn report(index: usize) -> Result<TargetObservation> {
    Ok(TargetObservation::Reported {
        target: target_id(index)?,
        status: TargetStatus {
            kind: ServiceKind::Model,
            in_flight: SlotCount::new(5),
            limit: SlotCount::new(32),
            stage: TargetStage::Warm,
            start_mark: StartMark::new(7),
            first_chunk_ms: 300.0,
            change: ChangeNumber::new(1),
        },
    })
}

/// Creates the tables of an entry that has received the VM list, the configuration and a report of
/// every target.
pub(super) fn entry_world(size: WorldSize, now: Instant) -> Result<EntryWorld> {
    let mut world = EntryWorld::new(identity()?, now);
    let mut schedule = entry_schedule();
    world.inbox.vm_list = Some(vm_records(size)?);
    world.inbox.config = Some(Arc::new(configuration(size)?.0));
    schedule.run(&mut world, now);
    let reports: Result<Vec<_>> = (0..size.targets).map(report).collect();
    world.inbox.observations = reports?;
    schedule.run(&mut world, now);
    world.outbox = Vec::new();
    Ok(world)
}
