//! Actor of the control thread: owns the state of an entry and publishes snapshots to traffic
//! threads.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use amaranthgw_core::TickSchedule;
use amaranthgw_fleet::config::ServingState;
use amaranthgw_fleet::entry::{EntryOutput, EntrySnapshot, EntryWorld, entry_schedule};
use amaranthgw_fleet::membership::{NodeRole, VmRecord};
use amaranthgw_fleet::routing::{RouteSnapshot, ServiceRoutes, TargetRoute};
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::Instant;

use super::probe::probe;
use super::reporter::{burn_json, status_json};
use super::shared::{EntryShared, TrafficReport};
use crate::control::ShareInput;
use crate::link::TargetLink;
use crate::peer::{PeerLink, ReportKind};
use crate::runtime::StopPhase;
use crate::telemetry::{EventLog, NodeEvent};

/// Actor that owns the tables of an entry and runs its systems each tick.
#[derive(Debug)]
pub(super) struct EntryControl;

/// Dependencies and initial state of [`EntryControl`].
#[derive(Debug)]
pub(super) struct ControlArguments {
    pub(super) world: EntryWorld,
    pub(super) shared: Arc<EntryShared>,
    pub(super) link: Arc<dyn TargetLink>,
    pub(super) peers: Arc<dyn PeerLink>,
    pub(super) shares: ActorRef<ShareInput>,
    pub(super) log: EventLog,
}

/// State of [`EntryControl`].
#[derive(Debug)]
pub(super) struct ControlState {
    world: EntryWorld,
    schedule: TickSchedule<EntryWorld>,
    shared: Arc<EntryShared>,
    link: Arc<dyn TargetLink>,
    peers: Arc<dyn PeerLink>,
    shares: ActorRef<ShareInput>,
    log: EventLog,
}

/// Inputs of the control thread.
#[derive(Debug)]
pub(super) enum ControlMessage {
    /// Runs the systems.
    Tick,
    /// A batch of reports from traffic threads.
    Reports(Vec<TrafficReport>),
    /// A newer configuration.
    Config(Arc<ServingState>),
    /// A newer VM list.
    VmList(Vec<VmRecord>),
    /// An operator's request for a report, answered as JSON.
    Report(ReportKind, RpcReplyPort<Bytes>),
}

impl Actor for EntryControl {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let ControlArguments {
            world,
            shared,
            link,
            peers,
            shares,
            log,
        } = args;
        let schedule = entry_schedule();
        Ok(ControlState {
            world,
            schedule,
            shared,
            link,
            peers,
            shares,
            log,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ControlMessage::Tick => state.tick(),
            ControlMessage::Reports(reports) => state.handle_reports(reports),
            ControlMessage::Config(config) => {
                state.world.inbox.config = Some(config);
                state.tick();
            }
            ControlMessage::VmList(records) => {
                state.world.inbox.vm_list = Some(records);
                state.tick();
            }
            // The send fails if the operator no longer waits, which needs no handling.
            ControlMessage::Report(kind, port) => drop(port.send(state.report(kind))),
        }
        Ok(())
    }
}

impl ControlState {
    fn handle_reports(&mut self, reports: Vec<TrafficReport>) {
        for report in reports {
            let inbox = &mut self.world.inbox;
            match report {
                TrafficReport::Observed(observation) => inbox.observations.push(observation),
                TrafficReport::Answered(record) => inbox.outcomes.push(record),
                TrafficReport::Suspected(verdict) => self.warn_entries(&verdict),
            }
        }
    }

    /// Sends a verdict on a suspect request, incriminating or clearing, to the other entries.
    fn warn_entries(&self, verdict: &SuspectVerdict) {
        let is_other = |record: &&VmRecord| {
            record.role == NodeRole::Entry && record.vm != self.world.identity.vm
        };
        for record in self.world.vms.rows().filter(is_other) {
            let (peers, address) = (Arc::clone(&self.peers), record.address);
            let verdict = verdict.clone();
            // An entry that misses the warning learns of the request from the next crash at the
            // latest.
            tokio::spawn(async move { peers.warn(address, verdict).await });
        }
    }

    fn tick(&mut self) {
        let previous = self.world.config.number;
        self.schedule.run(&mut self.world, Instant::now());
        let change = self.world.config.number;
        if change > previous {
            self.log
                .record(NodeEvent::ConfigAdopted { change, previous });
        }
        for output in std::mem::take(&mut self.world.outbox) {
            self.handle_output(output);
        }
        let is_idle = self.shared.in_flight.load(Ordering::SeqCst) == 0;
        if self.shared.stop.phase() == StopPhase::Draining && is_idle {
            self.shared.stop.advance(StopPhase::Ending);
        }
    }

    fn report(&mut self, kind: ReportKind) -> Bytes {
        match kind {
            ReportKind::Burn => burn_json(&mut self.world),
            ReportKind::Status => status_json(&self.world, self.shared.stop.phase()),
            ReportKind::Explain | ReportKind::Unspecified => Bytes::new(),
        }
    }

    fn handle_output(&self, output: EntryOutput) {
        match output {
            EntryOutput::Publish(snapshot) => self.publish(snapshot),
            EntryOutput::ShareLimits(limits) => {
                drop(self.shares.cast(ShareInput::Limits(limits)));
            }
            EntryOutput::Probe { target, address } => {
                let (link, reports) = (Arc::clone(&self.link), self.shared.reports.clone());
                tokio::spawn(probe(link, reports, target, address));
            }
        }
    }

    fn publish(&self, snapshot: Arc<EntrySnapshot>) {
        let (open_targets, targets) = count_targets(&snapshot.routes);
        let change = snapshot.routes.change;
        self.shared.snapshot.store(snapshot);
        self.log.record(NodeEvent::RoutesPublished {
            change,
            open_targets,
            targets,
        });
    }
}

fn count_targets(routes: &RouteSnapshot) -> (u32, u32) {
    let targets = || routes.services.rows().flat_map(ServiceRoutes::targets);
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let open = targets()
        .filter(|route: &&TargetRoute| route.is_open())
        .count();
    (count(open), count(targets().count()))
}
