//! Reads the VM list again and again.

use std::time::Duration;

use amaranthgw_fleet::membership::VmRecord;
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::platform::VmListClient;
use crate::telemetry::{EventLog, NodeEvent};

/// Receives each answer of the VM list.
pub type VmListSink = Box<dyn Fn(Vec<VmRecord>) + Send + Sync>;

/// Reads the VM list and passes each answer on.
#[derive(Debug)]
pub struct VmListActor;

/// What the actor works with.
pub struct VmListArguments {
    /// The VM list.
    pub client: Box<dyn VmListClient>,
    /// Where answers go.
    pub sink: VmListSink,
    /// Time between two reads.
    pub period: Duration,
    /// Where events go.
    pub log: EventLog,
}

impl std::fmt::Debug for VmListArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("VmListArguments")
            .field("client", &self.client)
            .finish_non_exhaustive()
    }
}

/// State of the actor.
#[derive(Debug)]
pub struct VmListState {
    arguments: VmListArguments,
    is_available: bool,
}

/// Asks the actor to read the list.
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
        myself.send_after(state.arguments.period, || ReadVmList);
        Ok(())
    }
}

impl VmListState {
    async fn read(&mut self) {
        match self.arguments.client.list().await {
            Ok(records) => {
                self.note(true, || NodeEvent::VmListRecovered {});
                (self.arguments.sink)(records);
            }
            Err(error) => {
                let reason = compact_str::format_compact!("{error}");
                self.note(false, || NodeEvent::VmListUnavailable { reason });
            }
        }
    }

    /// Records the event of a change between available and not.
    fn note(&mut self, is_available: bool, event: impl FnOnce() -> NodeEvent) {
        if self.is_available != is_available {
            self.is_available = is_available;
            self.arguments.log.record(event());
        }
    }
}
