//! Reads the target's load report again and again.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::gate::{GateEvidence, LoadEvidence};
use amaranthgw_fleet::sidecar::TargetUpdate;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use super::shared::SidecarShared;
use super::target::TargetLoad;

const READ_PERIOD: Duration = Duration::from_millis(100);

/// Reads the load report and passes it to the gate.
#[derive(Debug)]
pub(super) struct LoadActor;

/// Asks the actor to read the report.
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
        let asked_at = Instant::now();
        let news = match state.client.load().await {
            Ok(load) => {
                state.presence.note_answer(asked_at);
                TargetUpdate::Evidence(GateEvidence::Load(evidence(load, asked_at)))
            }
            Err(_) => TargetUpdate::Unreachable,
        };
        state.tell(news);
        myself.send_after(READ_PERIOD, || ReadLoad);
        Ok(())
    }
}

fn evidence(load: TargetLoad, asked_at: Instant) -> LoadEvidence {
    let sampled_at = asked_at.checked_sub(load.age.duration());
    LoadEvidence {
        mark: load.mark,
        in_flight: load.in_flight,
        sampled_at: sampled_at.unwrap_or(asked_at),
    }
}
