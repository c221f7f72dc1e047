//! Probes of an entry.

use std::time::Duration;

use amaranthgw_core::{ChangeNumber, SlotCount, StartMark};
use amaranthgw_fleet::entry::{
    EntryOutput, EntryWorld, TargetObservation, TargetStatus, entry_schedule,
};
use amaranthgw_fleet::membership::{NodeIdentity, NodeRole, VmRecord, VmState};
use amaranthgw_fleet::routing::{ServiceKind, TargetStage};
use tokio::time::Instant;
use yare::parameterized;

const TICK: Duration = Duration::from_millis(10);

fn identity() -> NodeIdentity {
    NodeIdentity {
        vm: "vm-1".parse().expect("a VM"),
        domain: "tartu-a".parse().expect("a failure domain"),
        region: "ee-south".parse().expect("a region"),
    }
}

fn record() -> VmRecord {
    let NodeIdentity { vm, domain, region } = identity();
    VmRecord {
        vm,
        domain,
        region,
        role: NodeRole::Sidecar,
        service: Some("booking-desk".parse().expect("a service")),
        target: Some("desk-1".parse().expect("a target")),
        address: "127.0.0.1:1".parse().expect("an address"),
        state: VmState::Live,
    }
}

fn report(stage: TargetStage) -> TargetObservation {
    let status = TargetStatus {
        kind: ServiceKind::Plain,
        in_flight: SlotCount::default(),
        limit: SlotCount::new(8),
        stage,
        start_mark: StartMark::new(1),
        first_chunk_ms: 1.0,
        change: ChangeNumber::default(),
    };
    TargetObservation::Reported {
        target: "desk-1".parse().expect("a target"),
        status,
    }
}

// An entry refused calls for up to two seconds after its targets had opened: it probed a target that
// reported itself as closed as rarely as an open one.
#[parameterized(
    probe_open = { TargetStage::Warm, 2_000 },
    probe_warming = { TargetStage::Warming, 2_000 },
    probe_leaving = { TargetStage::Leaving, 2_000 },
    probe_closed = { TargetStage::Unreachable, 250 },
)]
fn probe(stage: TargetStage, interval_ms: u64) {
    let start = Instant::now();
    let mut world = EntryWorld::new(identity(), start);
    let schedule = &mut entry_schedule();
    world.inbox.vm_list = Some(vec![record()]);
    schedule.run(&mut world, start);
    world.inbox.observations.push(report(stage));
    let reported_at = start + TICK;
    let mut now = start;
    let next = loop {
        now += TICK;
        world.outbox.clear();
        schedule.run(&mut world, now);
        let mut outputs = world.outbox.iter();
        if outputs.any(|output| matches!(output, EntryOutput::Probe { .. })) {
            break now.duration_since(reported_at);
        }
    };
    assert_eq!(next, Duration::from_millis(interval_ms));
}
