//! Status probes of sidecars.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::TargetId;
use amaranthgw_fleet::entry::TargetObservation;

use super::shared::TrafficReport;
use crate::control::ReportSender;
use crate::link::TargetLink;

/// Queries the sidecar at `address` for the status of `target` and reports it, or the target as
/// unreachable, to the control thread.
pub(super) async fn probe(
    link: Arc<dyn TargetLink>,
    reports: ReportSender<TrafficReport>,
    target: TargetId,
    address: SocketAddr,
) {
    let observation = match link.inspect(address, target.clone()).await {
        Ok(status) => TargetObservation::Reported { target, status },
        Err(_) => TargetObservation::Unreachable { target },
    };
    reports.send(TrafficReport::Observed(observation));
}
