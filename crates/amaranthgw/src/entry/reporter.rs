//! Reports of an entry to operators: status, service-level burn and request explanations.

use std::time::Duration;

use amaranthgw_core::{ChangeNumber, DomainId, ServiceId, SlotCount, TargetId, VmId};
use amaranthgw_fleet::entry::{EntryWorld, TargetRow};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use ractor::ActorRef;
use ractor::rpc::CallResult;
use serde::Serialize;
use tokio::time::Instant;

use super::control::ControlMessage;
use crate::operator::unix_ms;
use crate::peer::{NodeReporter, ReportKind};
use crate::runtime::StopPhase;
use crate::telemetry::EventLog;
use crate::wire::stage_name;

/// Maximum time for the control thread to produce a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Produces the reports of an entry; status and burn come from its control thread.
#[derive(Debug)]
pub(super) struct EntryReporter {
    pub(super) control: ActorRef<ControlMessage>,
    pub(super) log: EventLog,
}

impl EntryReporter {
    async fn query_control(&self, kind: ReportKind) -> Bytes {
        let make = |port| ControlMessage::Report(kind, port);
        match self.control.call(make, Some(REPORT_TIMEOUT)).await {
            Ok(CallResult::Success(json)) => json,
            _ => Bytes::new(),
        }
    }
}

impl NodeReporter for EntryReporter {
    fn report(&self, kind: ReportKind, subject: String) -> BoxFuture<'_, Bytes> {
        match kind {
            ReportKind::Explain => Box::pin(async move { self.log.explain_json(&subject) }),
            kind => Box::pin(self.query_control(kind)),
        }
    }
}

/// Returns the service-level burn at this entry as JSON.
pub(super) fn burn_json(world: &mut EntryWorld) -> Bytes {
    let report = world
        .burn
        .report(&world.identity.vm, unix_ms(), Instant::now());
    amaranthgw_fleet::burn::render_json(&report)
        .unwrap_or_default()
        .into()
}

#[derive(Serialize)]
struct EntryReport<'a> {
    role: &'static str,
    vm: &'a VmId,
    domain: &'a DomainId,
    change: ChangeNumber,
    is_leaving: bool,
    targets: Vec<TargetReport<'a>>,
}

#[derive(Serialize)]
struct TargetReport<'a> {
    target: &'a TargetId,
    service: &'a ServiceId,
    vm: &'a VmId,
    domain: &'a DomainId,
    stage: &'static str,
    in_flight: Option<SlotCount>,
    limit: Option<SlotCount>,
}

/// Returns the status of the entry and of its known targets as JSON.
pub(super) fn status_json(world: &EntryWorld, phase: StopPhase) -> Bytes {
    let report = EntryReport {
        role: "entry",
        vm: &world.identity.vm,
        domain: &world.identity.domain,
        change: world.config.number,
        is_leaving: phase > StopPhase::Serving,
        targets: world
            .targets
            .iter()
            .map(|(target, row)| target_report(target, row))
            .collect(),
    };
    serde_json::to_vec(&report).unwrap_or_default().into()
}

fn target_report<'a>(target: &'a TargetId, row: &'a TargetRow) -> TargetReport<'a> {
    let load = row.load();
    TargetReport {
        target,
        service: &row.service,
        vm: &row.vm,
        domain: &row.domain,
        stage: stage_name(row.stage()),
        in_flight: load.map(|load| load.in_flight),
        limit: load.map(|load| load.limit),
    }
}
