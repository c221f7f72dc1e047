//! Polls the VM list.

use std::time::Duration;

use amaranthgw_fleet::membership::VmRecord;
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::platform::VmListClient;
use crate::telemetry::{EventLog, NodeEvent};

/// Callback that receives the VM list after each read.
pub type VmListSink = Box<dyn Fn(Vec<VmRecord>) + Send + Sync>;

/// Actor that polls the VM list and passes each answer to its sink.
#[derive(Debug)]
pub struct VmListActor;

/// Dependencies of [`VmListActor`].
pub struct VmListArguments {
    /// Client of the VM list.
    pub client: Box<dyn VmListClient>,
    /// Receiver of the answers.
    pub sink: VmListSink,
    /// Delay between an answer and the next read.
    pub poll_interval: Duration,
    /// Event log of the control thread.
    pub log: EventLog,
}

impl std::fmt::Debug for VmListArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("VmListArguments")
            .field("client", &self.client)
            .finish_non_exhaustive()
    }
}

/// State of [`VmListActor`].
#[derive(Debug)]
pub struct VmListState {
    arguments: VmListArguments,
    is_available: bool,
}

/// Message that makes [`VmListActor`] read the list.
#[derive(Clone, Copy, Debug)]
pub struct ReadVmList;

impl Actor for VmListActor {
    type Msg = ReadVmList;
    type State = VmListState;
    type Arguments = VmListArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(ReadVmList)?;
        Ok(VmListState {
            arguments: args,
            is_available: true,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        _message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.read().await;
        myself.send_after(state.arguments.poll_interval, || ReadVmList);
        Ok(())
    }
}

impl VmListState {
    async fn read(&mut self) {
        match self.arguments.client.list().await {
            Ok(records) => {
                self.record_availability(true, || NodeEvent::VmListRecovered {});
                (self.arguments.sink)(records);
            }
            Err(error) => {
                let reason = compact_str::format_compact!("{error}");
                self.record_availability(false, || NodeEvent::VmListUnavailable { reason });
            }
        }
    }

    /// Records `event` if the availability of the VM list changed.
    fn record_availability(&mut self, is_available: bool, event: impl FnOnce() -> NodeEvent) {
        if self.is_available != is_available {
            self.is_available = is_available;
            self.arguments.log.record(event());
        }
    }
}
