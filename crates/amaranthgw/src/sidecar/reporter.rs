//! Reports of a sidecar to operators: status and request explanations.

use std::sync::Arc;

use amaranthgw_core::{ChangeNumber, DomainId, ServiceId, SlotCount, TargetId, VmId};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::Serialize;

use super::shared::SidecarShared;
use crate::peer::{NodeReporter, ReportKind};
use crate::telemetry::EventLog;
use crate::wire::stage_name;

/// Produces the reports of a sidecar.
#[derive(Debug)]
pub(super) struct SidecarReporter {
    pub(super) vm: VmId,
    pub(super) domain: DomainId,
    pub(super) shared: Arc<SidecarShared>,
    pub(super) log: EventLog,
}

#[derive(Serialize)]
struct SidecarReport<'a> {
    role: &'static str,
    vm: &'a VmId,
    domain: &'a DomainId,
    change: ChangeNumber,
    target: &'a TargetId,
    service: &'a ServiceId,
    stage: &'static str,
    in_flight: SlotCount,
    limit: SlotCount,
}

impl SidecarReporter {
    fn status(&self) -> Bytes {
        let status = self.shared.current_status();
        let report = SidecarReport {
            role: "sidecar",
            vm: &self.vm,
            domain: &self.domain,
            change: status.change,
            target: &self.shared.served.target,
            service: &self.shared.served.service,
            stage: stage_name(status.stage),
            in_flight: status.in_flight,
            limit: status.limit,
        };
        serde_json::to_vec(&report).unwrap_or_default().into()
    }
}

impl NodeReporter for SidecarReporter {
    fn report(&self, kind: ReportKind, subject: String) -> BoxFuture<'_, Bytes> {
        let report = match kind {
            ReportKind::Status => self.status(),
            ReportKind::Explain => self.log.explain_json(&subject),
            ReportKind::Burn | ReportKind::Unspecified => Bytes::new(),
        };
        Box::pin(std::future::ready(report))
    }
}
