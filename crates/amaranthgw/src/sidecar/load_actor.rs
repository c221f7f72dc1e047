//! Polls the target's load report.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gate::{GateEvidence, LoadEvidence};
use amaranthgw_fleet::sidecar::TargetUpdate;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use super::shared::SidecarShared;
use super::target::TargetLoad;

/// Delay between a load report and the next poll.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that polls the load report and passes it to the gate as evidence.
#[derive(Debug)]
pub(super) struct LoadActor;

/// Message that makes [`LoadActor`] read the report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadLoad;

impl Actor for LoadActor {
    type Msg = ReadLoad;
    type State = Arc<SidecarShared>;
    type Arguments = Arc<SidecarShared>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(ReadLoad)?;
        Ok(args)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        _message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let requested_at = Instant::now();
        let update = match state.client.load().await {
            Ok(load) => {
                state.reachability.record_response(requested_at);
                TargetUpdate::Evidence(GateEvidence::Load(evidence(load, requested_at)))
            }
            Err(_) => TargetUpdate::Unreachable,
        };
        state.send_update(update);
        myself.send_after(POLL_INTERVAL, || ReadLoad);
        Ok(())
    }
}

fn evidence(load: TargetLoad, requested_at: Instant) -> LoadEvidence {
    let sampled_at = requested_at.checked_sub(load.age.duration());
    LoadEvidence {
        mark: load.mark,
        in_flight: load.in_flight,
        sampled_at: sampled_at.unwrap_or(requested_at),
    }
}
