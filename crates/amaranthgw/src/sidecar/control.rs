//! Actor of the control thread: owns the state of a sidecar and publishes the status of its target.

use std::sync::Arc;

use amaranthgw_core::{SlotCount, TickSchedule};
use amaranthgw_fleet::config::ServingState;
use amaranthgw_fleet::gate::GateTransition;
use amaranthgw_fleet::membership::VmRecord;
use amaranthgw_fleet::sidecar::{SidecarOutput, SidecarWorld, TargetEvidence, sidecar_schedule};
use compact_str::{CompactString, format_compact};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use super::shared::SidecarShared;
use crate::runtime::StopPhase;
use crate::telemetry::{EventLog, NodeEvent, TargetGauges};

/// Actor that owns the tables of a sidecar and runs its systems each tick.
#[derive(Debug)]
pub(super) struct SidecarControl;

/// Dependencies and initial state of [`SidecarControl`].
#[derive(Debug)]
pub(super) struct ControlArguments {
    pub(super) world: SidecarWorld,
    pub(super) shared: Arc<SidecarShared>,
    pub(super) log: EventLog,
}

/// State of [`SidecarControl`].
#[derive(Debug)]
pub(super) struct ControlState {
    world: SidecarWorld,
    schedule: TickSchedule<SidecarWorld>,
    shared: Arc<SidecarShared>,
    log: EventLog,
}

/// Inputs of the control thread.
#[derive(Clone, Debug)]
pub(super) enum ControlMessage {
    /// Runs the systems.
    Tick,
    /// A batch of evidence on the target from traffic threads.
    Evidence(Vec<TargetEvidence>),
    /// A newer configuration.
    Config(Arc<ServingState>),
    /// A newer VM list.
    VmList(Vec<VmRecord>),
    /// Stops the admission of new work.
    Stop,
}

impl Actor for SidecarControl {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let ControlArguments { world, shared, log } = args;
        Ok(ControlState {
            world,
            schedule: sidecar_schedule(),
            shared,
            log,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let inbox = &mut state.world.inbox;
        match message {
            ControlMessage::Tick => state.tick(),
            ControlMessage::Evidence(evidence) => inbox.evidence.extend(evidence),
            ControlMessage::Config(config) => {
                inbox.config = Some(config);
                state.tick();
            }
            ControlMessage::VmList(records) => inbox.vm_list = Some(records),
            ControlMessage::Stop => {
                inbox.is_stopping = true;
                state.tick();
            }
        }
        Ok(())
    }
}

impl ControlState {
    fn tick(&mut self) {
        let previous = self.world.config.number;
        self.schedule.run(&mut self.world, Instant::now());
        let change = self.world.config.number;
        if change > previous {
            self.shared.config.store(Arc::clone(&self.world.config));
            self.log
                .record(NodeEvent::ConfigAdopted { change, previous });
        }
        for output in std::mem::take(&mut self.world.outbox) {
            self.handle_output(output);
        }
        self.shared.queue.serve();
        let is_idle = self.shared.slots.in_flight().get() == 0;
        if self.world.is_stopping && is_idle {
            self.shared.stop.advance(StopPhase::Ending);
        }
    }

    fn handle_output(&self, output: SidecarOutput) {
        match output {
            SidecarOutput::PublishStatus { target, status } => {
                let (in_flight, limit) = (status.in_flight, status.limit);
                TargetGauges { in_flight, limit }.set(&target);
                self.shared.status.store(Arc::new(status));
            }
            SidecarOutput::GateShifted { target, transition } => {
                let (from, to, reason) = gate_event_fields(&transition);
                self.log.record(NodeEvent::GateShifted {
                    target,
                    from,
                    to,
                    reason,
                });
            }
            SidecarOutput::TargetRestarted { target, mark } => {
                self.log.record(NodeEvent::TargetRestarted { target, mark });
            }
            SidecarOutput::DrainShifted { target, reason } => {
                let state = if reason.is_some() {
                    "leaving"
                } else {
                    "serving"
                };
                let reason = reason.map_or("none", |reason| reason.name());
                self.log.record(NodeEvent::DrainShifted {
                    target,
                    state,
                    reason,
                });
            }
        }
    }
}

fn gate_event_fields(
    transition: &GateTransition,
) -> (
    amaranthgw_core::SlotCount,
    amaranthgw_core::SlotCount,
    CompactString,
) {
    let none = SlotCount::default();
    match transition {
        GateTransition::Unchanged => (none, none, CompactString::default()),
        GateTransition::Opened { leftover } => {
            (none, none, format_compact!("opened, {leftover} abandoned"))
        }
        GateTransition::Raised { from, to, inputs }
        | GateTransition::Lowered { from, to, inputs } => {
            (*from, *to, format_compact!("{inputs:?}"))
        }
        GateTransition::WentCold {
            from,
            to,
            cause,
            inputs,
        } => (*from, *to, format_compact!("{cause}: {inputs:?}")),
    }
}
